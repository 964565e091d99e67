//! A toy world round the built dispatcher, shared by the test files.
#![allow(dead_code)] // each of them uses a part

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, Coordinator, Host, body_of};
use serde_json::{Value, json};

pub const CONFIG: &str = include_str!("../../../../examples/toy/config.json");
pub const KEY: &str = "7f3a9c21e0b4d655";
/// Long enough for anything that happens at all.
pub const SOON: Duration = Duration::from_secs(10);

/// A dispatcher among caches, a parent, the origin and a coordinator.
pub struct World {
    pub process: Child,
    pub config: String,
    /// The file that the configuration was read from.
    pub path: PathBuf,
    pub address: SocketAddr,
    pub caches: Vec<Host>,
    pub parent: Host,
    pub origin: Host,
    pub coordinator: Coordinator,
}

pub fn command(config: &str) -> Command {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("flaxdeck-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxdeck-dispatcher"));
    command.env_remove("GW_LISTEN").env("GW_CONFIG", path).stderr(Stdio::piped());
    command
}

/// The address that a line of the log tells.
pub fn listening(line: &str) -> Option<SocketAddr> {
    line.split("listening at ").nth(1)?.split(',').next()?.parse().ok()
}

impl World {
    pub fn start(caches: u32) -> World {
        World::with(caches, |_| {})
    }

    pub fn with(caches: u32, change: impl FnOnce(&mut Value)) -> World {
        let host = |id: String| Host::start(&id, "127.0.0.1:0").unwrap();
        let caches: Vec<Host> = (0..caches).map(|n| host(format!("s-0000ca0{n}"))).collect();
        let (parent, origin) = (host("s-00009a01".into()), host("s-00000001".into()));
        let coordinator = Coordinator::start("127.0.0.1:0", 1).unwrap();
        let row = |host: &Host, class: &str, site: &str| {
            json!({"host": host.id, "dial": host.address.to_string(), "site": site, "class": class,
                "block": 0, "health": "Ready", "share": 4, "born_ms": 0})
        };
        let mut hosts: Vec<Value> = caches.iter().map(|cache| row(cache, "cache", "here")).collect();
        hosts.extend([row(&parent, "parent", "hub"), row(&origin, "origin", "hub")]);
        let mut config: Value = serde_json::from_str(CONFIG).unwrap();
        config["listen"] = "127.0.0.1:0".into();
        config["coordinator"] = coordinator.address.to_string().into();
        config["known"]["updates"][0]["endpoints"]["hosts"] = hosts.into();
        change(&mut config);
        let config = config.to_string();
        let mut command = command(&config);
        let path = command.get_envs().find_map(|(name, value)| value.filter(|_| name == "GW_CONFIG"));
        let path = PathBuf::from(path.unwrap());
        let mut process = command.spawn().unwrap();
        let mut lines = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
        let address = lines.find_map(|line| listening(&line)).unwrap();
        thread::spawn(move || lines.for_each(|line| eprintln!("{line}")));
        World { process, config, path, address, caches, parent, origin, coordinator }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).unwrap()
    }

    /// Pulls one object on a connection of its own.
    pub fn pull(&self, class: &str, key: &str, wait: u64, body: &[u8]) -> Answer {
        let mut client = self.client();
        client.pull(class, key, wait, body).unwrap();
        client.answer().unwrap()
    }

    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.caches.iter().chain([&self.parent, &self.origin])
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.process.id())]).status();
        assert!(kill.unwrap().success());
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Whether a cache gets nothing of some new pulls that it would have its share of.
    pub fn spares(&self, cache: &Host) -> bool {
        let before = cache.heard("want").len();
        (0..8).for_each(|n| drop(self.pull("page", &key(n), 2000, b"")));
        cache.heard("want").len() == before
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Opens so many pulls at once, of an object each, and takes their answers.
pub fn pull_together(client: &mut Client, count: u32, wait: u64) -> Vec<Answer> {
    for n in 0..count {
        client.pull("page", &key(n), wait, b"").unwrap();
    }
    (0..count).map(|_| client.answer().unwrap()).collect()
}

pub fn finished(answer: &Answer, key: &str) -> bool {
    matches!(answer, Answer::Served { body, .. } if *body == body_of(&format!("{key}.0")))
}

pub fn word(answer: Answer) -> String {
    match answer {
        Answer::Error { word, .. } => word,
        other => format!("{other:?}"),
    }
}

pub fn wait_for(what: &str, mut come: impl FnMut() -> bool) {
    let start = Instant::now();
    while !come() {
        assert!(start.elapsed() < SOON, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn key(number: u32) -> String {
    format!("{number:016x}")
}
