//! `flaxdeck-toy world CONFIG` plays the coordinator and all hosts that a dispatcher's configuration names;
//! `flaxdeck-toy request ADDRESS CLASS KEY` requests one object through a dispatcher.

use std::process::ExitCode;
use std::thread;

use flaxdeck_toy::{Answer, Client, Coordinator, Host};
use serde_json::Value;

const USAGE: &str = "usage: flaxdeck-toy world CONFIG | flaxdeck-toy request ADDRESS CLASS KEY";
/// How long the client waits, in milliseconds.
const TIMEOUT_MS: u64 = 2500;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let done = match words[..] {
        ["world", config] => world(config),
        ["request", address, class, key] => request(address, class, key),
        _ => Err(USAGE.to_owned()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("flaxdeck-toy: {why}");
            ExitCode::FAILURE
        }
    }
}

fn world(path: &str) -> Result<(), String> {
    let text = std::fs::read(path).map_err(|error| format!("{path}: {error}"))?;
    let config: Value =
        serde_json::from_slice(&text).map_err(|error| format!("{path}: {error}"))?;
    let string = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let known = config["known"]["index"].as_u64().unwrap_or(0);
    let coordinator = string(&config["coordinator"]);
    let _coordinator =
        Coordinator::start(&coordinator, known).map_err(|e| format!("{coordinator}: {e}"))?;
    let updates = config["known"]["updates"]
        .as_array()
        .ok_or("no updates in known")?;
    for row in updates
        .iter()
        .filter_map(|update| update["endpoints"]["hosts"].as_array())
        .flatten()
    {
        let (id, dial) = (string(&row["host"]), string(&row["dial"]));
        Host::start(&id, &dial).map_err(|error| format!("{dial}: {error}"))?;
        println!("{id}, a {}, at {dial}", string(&row["class"]));
    }
    println!("the coordinator at {coordinator}; end with ctrl-c");
    loop {
        thread::park();
    }
}

fn request(address: &str, class: &str, key: &str) -> Result<(), String> {
    let address = address
        .parse()
        .map_err(|_| format!("{address} is no address"))?;
    let mut client = Client::connect(address).map_err(|error| format!("{address}: {error}"))?;
    let body: &[u8] = if class == "submit" { b"a form" } else { b"" };
    client
        .request(class, key, TIMEOUT_MS, body)
        .map_err(|error| error.to_string())?;
    match client.answer().map_err(|error| error.to_string())? {
        Answer::Served { body, .. } => {
            println!(
                "served, {} bytes: {}",
                body.len(),
                String::from_utf8_lossy(&body)
            )
        }
        Answer::Error { word, fields, .. } => println!("not served: {word} {fields:?}"),
        Answer::Alive { .. } => return Err("an answer to another question".into()),
    }
    Ok(())
}
