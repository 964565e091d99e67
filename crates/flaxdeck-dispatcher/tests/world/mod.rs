//! A dispatcher process among emulated hosts, a coordinator and clients on loopback, shared by the test files.

#![allow(dead_code, reason = "each test file uses a part")]

mod full_backlog;
mod stalls;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flaxdeck_toy::{Answer, Client, Coordinator, Host, body_of};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

#[allow(unused_imports, reason = "each test file uses a part")]
pub(crate) use full_backlog::{
    FullBacklogHost, attempt_in_flight, attempt_in_flight_with, cache_with_full_backlog,
    read_request, serve,
};
#[allow(unused_imports, reason = "each test file uses a part")]
pub(crate) use stalls::{MAX_CANCEL_DELAY, Stalls};

/// The configuration of the example deployment.
pub(crate) const CONFIG: &str = include_str!("../../../../examples/toy/config.json");
/// The key of some object.
pub(crate) const KEY: &str = "7f3a9c21e0b4d655";
/// How long a test waits for something that has to happen.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A dispatcher process with caches, a parent, the origin and a coordinator.
pub(crate) struct World {
    pub(crate) process: Child,
    pub(crate) config: String,
    /// The path of the configuration file.
    pub(crate) path: PathBuf,
    pub(crate) address: SocketAddr,
    pub(crate) caches: Vec<Host>,
    pub(crate) parent: Host,
    pub(crate) origin: Host,
    pub(crate) coordinator: Coordinator,
    /// The lines that the process has logged.
    pub(crate) log: Arc<Mutex<Vec<String>>>,
}

/// Returns the command that starts a dispatcher with that configuration.
pub(crate) fn command(config: &str) -> Command {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "flaxdeck-{}-{}.json",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxdeck-dispatcher"));
    command
        .env_remove("GW_LISTEN")
        .env("GW_CONFIG", path)
        .stderr(Stdio::piped());
    command
}

/// Returns the same command with a system limit on the descriptors of the process.
fn with_descriptor_limit(command: Command, max: usize) -> Command {
    let mut shell = Command::new("sh");
    shell
        .args(["-c", &format!("ulimit -n {max} && exec \"$0\"")])
        .arg(command.get_program());
    for (name, value) in command.get_envs() {
        match value {
            Some(value) => shell.env(name, value),
            None => shell.env_remove(name),
        };
    }
    shell.stderr(Stdio::piped());
    shell
}

/// Returns the address in the log line that reports where the process listens; none for other lines.
pub(crate) fn listening_address(line: &str) -> Option<SocketAddr> {
    line.split("listening at ")
        .nth(1)?
        .split(',')
        .next()?
        .parse()
        .ok()
}

/// Returns the example configuration with these hosts in its endpoint list.
fn configuration(
    caches: &[Host],
    parent: &Host,
    origin: &Host,
    coordinator: &Coordinator,
) -> Value {
    let row = |host: &Host, class: &str, site: &str| {
        json!({"host": host.id, "dial": host.address.to_string(), "site": site, "class": class,
            "block": 0, "health": "Ready", "share": 4, "born_ms": 0})
    };
    let mut hosts: Vec<Value> = caches
        .iter()
        .map(|cache| row(cache, "cache", "here"))
        .collect();
    hosts.extend([row(parent, "parent", "hub"), row(origin, "origin", "hub")]);
    let mut config: Value = serde_json::from_str(CONFIG).unwrap();
    config["listen"] = "127.0.0.1:0".into();
    config["coordinator"] = coordinator.address.to_string().into();
    config["known"]["updates"][0]["endpoints"]["hosts"] = hosts.into();
    config
}

/// Returns the path of the file that a command reads its configuration from.
fn configuration_path(command: &Command) -> PathBuf {
    let path = command
        .get_envs()
        .find_map(|(name, value)| value.filter(|_| name == "GW_CONFIG"));
    PathBuf::from(path.unwrap())
}

/// Collects the lines that a process logs, and prints them as well.
fn record_log(lines: impl Iterator<Item = String> + Send + 'static) -> Arc<Mutex<Vec<String>>> {
    let log: Arc<Mutex<Vec<String>>> = Arc::default();
    let recorded = log.clone();
    thread::spawn(move || {
        for line in lines {
            eprintln!("{line}");
            recorded.lock().unwrap().push(line);
        }
    });
    log
}

impl World {
    pub(crate) fn start(caches: u32) -> World {
        World::with_config(caches, |_| {})
    }

    /// Starts a world whose configuration is edited by `change`.
    pub(crate) fn with_config(caches: u32, change: impl FnOnce(&mut Value)) -> World {
        World::start_process(caches, None, change)
    }

    /// The same with a system limit on the descriptors of the process.
    pub(crate) fn with_descriptor_limit(
        caches: u32,
        max: usize,
        change: impl FnOnce(&mut Value),
    ) -> World {
        World::start_process(caches, Some(max), change)
    }

    fn start_process(
        caches: u32,
        max_descriptors: Option<usize>,
        change: impl FnOnce(&mut Value),
    ) -> World {
        let host = |id: String| Host::start(&id, "127.0.0.1:0").unwrap();
        let caches: Vec<Host> = (0..caches).map(|n| host(format!("s-0000ca0{n}"))).collect();
        let (parent, origin) = (host("s-00009a01".into()), host("s-00000001".into()));
        let coordinator = Coordinator::start("127.0.0.1:0", 1).unwrap();
        let mut config = configuration(&caches, &parent, &origin, &coordinator);
        change(&mut config);
        let config = config.to_string();
        let mut command = command(&config);
        if let Some(max) = max_descriptors {
            command = with_descriptor_limit(command, max);
        }
        let path = configuration_path(&command);
        let mut process = command.spawn().unwrap();
        let mut lines = BufReader::new(process.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let address = lines.find_map(|line| listening_address(&line)).unwrap();
        World {
            process,
            config,
            path,
            address,
            caches,
            parent,
            origin,
            coordinator,
            log: record_log(lines),
        }
    }

    pub(crate) fn client(&self) -> Client {
        Client::connect(self.address).unwrap()
    }

    /// Requests one object on a new connection, and returns the answer.
    pub(crate) fn request(&self, class: &str, key: &str, timeout_ms: u64, body: &[u8]) -> Answer {
        let mut client = self.client();
        client.request(class, key, timeout_ms, body).unwrap();
        client.answer().unwrap()
    }

    pub(crate) fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.caches.iter().chain([&self.parent, &self.origin])
    }

    pub(crate) fn signal(&self, name: &str) {
        let kill = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.process.id())])
            .status();
        assert!(kill.unwrap().success());
    }

    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Stops the process until it gets the signal `CONT`. Waits for the stop, as a signal may be late on a busy
    /// machine.
    pub(crate) fn pause(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        // The state follows the name, which is in parentheses.
        let is_stopped = |text: String| {
            text.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        };
        wait_for("the process is stopped", || {
            std::fs::read_to_string(&stat).is_ok_and(is_stopped)
        });
    }

    /// Waits until the log has a line that contains all these texts.
    pub(crate) fn wait_for_log(&self, texts: &[&str]) {
        let matches = |line: &String| texts.iter().all(|text| line.contains(text));
        wait_for(&format!("the log has a line with {texts:?}"), || {
            self.log.lock().unwrap().iter().any(matches)
        });
    }

    /// Returns the Unix times, by the process's own clock, at which the process has noticed that a client had left.
    pub(crate) fn departure_times(&self) -> Vec<Duration> {
        let log = self.log.lock().unwrap();
        let lines = log.iter().filter(|line| line.contains("left: request"));
        let time = |line: &String| {
            line.split(' ')
                .next()?
                .parse()
                .ok()
                .map(Duration::from_secs_f64)
        };
        lines
            .map(|line| time(line).expect("a log line begins with its Unix time"))
            .collect()
    }

    /// Whether a cache receives none of eight new requests, some of which it would normally get.
    pub(crate) fn receives_nothing(&self, cache: &Host) -> bool {
        let before = cache.received("want").len();
        for n in 0..8 {
            drop(self.request("page", &key(n), 2000, b""));
        }
        cache.received("want").len() == before
    }
}

/// Returns the Unix time.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Sends `count` requests at once, each for another object, and returns their answers.
pub(crate) fn request_all(client: &mut Client, count: u32, timeout_ms: u64) -> Vec<Answer> {
    for n in 0..count {
        client.request("page", &key(n), timeout_ms, b"").unwrap();
    }
    (0..count).map(|_| client.answer().unwrap()).collect()
}

/// Whether an answer contains the bytes of that object's first part.
pub(crate) fn served(answer: &Answer, key: &str) -> bool {
    matches!(answer, Answer::Served { body, .. } if *body == body_of(&format!("{key}.0")))
}

/// Returns the text of an answer that is an error, or the debug form of any other answer.
pub(crate) fn error_text(answer: Answer) -> String {
    match answer {
        Answer::Error { word, .. } => word,
        other => format!("{other:?}"),
    }
}

/// Waits until a condition holds; `description` is the condition in words, for the message if it never does.
pub(crate) fn wait_for(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "not within {WAIT_TIMEOUT:?}: {description}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the key of a numbered object.
pub(crate) fn key(number: u32) -> String {
    format!("{number:016x}")
}

/// Returns an address at which nobody listens, and the socket that reserves it.
pub(crate) fn unused_address() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}
