//! `flaxdeck-toy world CONFIG` runs stand-ins for the coordinator and all hosts of a dispatcher's configuration;
//! `flaxdeck-toy request ADDRESS CLASS KEY` requests one object through a dispatcher.

use std::process::ExitCode;
use std::thread;

use flaxdeck_toy::{Answer, Client, Coordinator, Host};
use serde_json::Value;

const USAGE: &str = "usage: flaxdeck-toy world CONFIG | flaxdeck-toy request ADDRESS CLASS KEY";
/// How long the client waits for an answer, in milliseconds.
const TIMEOUT_MS: u64 = 2500;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match arguments[..] {
        ["world", config] => world(config),
        ["request", address, class, key] => request(address, class, key),
        _ => Err(USAGE.to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flaxdeck-toy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn world(path: &str) -> Result<(), String> {
    let text = std::fs::read(path).map_err(|error| format!("cannot read {path}: {error}"))?;
    let config: Value = serde_json::from_slice(&text)
        .map_err(|error| format!("invalid JSON in {path}: {error}"))?;
    let string = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let known = config["known"]["index"].as_u64().unwrap_or(0);
    let coordinator = string(&config["coordinator"]);
    let _coordinator = Coordinator::start(&coordinator, known)
        .map_err(|error| format!("the coordinator cannot listen at {coordinator}: {error}"))?;
    let updates = config["known"]["updates"]
        .as_array()
        .ok_or_else(|| format!("known.updates in {path} is missing or not a list"))?;
    for row in updates
        .iter()
        .filter_map(|update| update["endpoints"]["hosts"].as_array())
        .flatten()
    {
        let (id, dial) = (string(&row["host"]), string(&row["dial"]));
        Host::start(&id, &dial)
            .map_err(|error| format!("host {id} cannot listen at {dial}: {error}"))?;
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
        .map_err(|_| format!("invalid address {address:?}: expected IP:PORT"))?;
    let mut client = Client::connect(address)
        .map_err(|error| format!("cannot connect to {address}: {error}"))?;
    let body: &[u8] = if class == "submit" { b"a form" } else { b"" };
    client
        .request(class, key, TIMEOUT_MS, body)
        .map_err(|error| format!("cannot send the request to {address}: {error}"))?;
    match client
        .answer()
        .map_err(|error| format!("no answer from {address}: {error}"))?
    {
        Answer::Served { body, .. } => {
            println!(
                "served, {} bytes: {}",
                body.len(),
                String::from_utf8_lossy(&body)
            )
        }
        Answer::Error { word, fields, .. } => println!("not served: {word} {fields:?}"),
        Answer::Alive { .. } => {
            return Err("expected an answer to the request, got one to a liveness check".into());
        }
    }
    Ok(())
}
