//! A toy world round the built dispatcher, shared by the test files.
#![allow(dead_code)] // each of them uses a part

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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
    /// What the process has logged.
    pub log: Arc<Mutex<Vec<String>>>,
}

pub fn command(config: &str) -> Command {
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

/// The same command with a bound of the system on the process's descriptors.
fn limited(command: Command, most: usize) -> Command {
    let mut shell = Command::new("sh");
    shell
        .args(["-c", &format!("ulimit -n {most} && exec \"$0\"")])
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

/// The address that a line of the log tells.
pub fn listening(line: &str) -> Option<SocketAddr> {
    line.split("listening at ")
        .nth(1)?
        .split(',')
        .next()?
        .parse()
        .ok()
}

impl World {
    pub fn start(caches: u32) -> World {
        World::with(caches, |_| {})
    }

    pub fn with(caches: u32, change: impl FnOnce(&mut Value)) -> World {
        World::within(caches, None, change)
    }

    /// One whose process gets no more descriptors from the system than so many.
    pub fn with_descriptors(caches: u32, most: usize, change: impl FnOnce(&mut Value)) -> World {
        World::within(caches, Some(most), change)
    }

    fn within(caches: u32, descriptors: Option<usize>, change: impl FnOnce(&mut Value)) -> World {
        let host = |id: String| Host::start(&id, "127.0.0.1:0").unwrap();
        let caches: Vec<Host> = (0..caches).map(|n| host(format!("s-0000ca0{n}"))).collect();
        let (parent, origin) = (host("s-00009a01".into()), host("s-00000001".into()));
        let coordinator = Coordinator::start("127.0.0.1:0", 1).unwrap();
        let row = |host: &Host, class: &str, site: &str| {
            json!({"host": host.id, "dial": host.address.to_string(), "site": site, "class": class,
                "block": 0, "health": "Ready", "share": 4, "born_ms": 0})
        };
        let mut hosts: Vec<Value> = caches
            .iter()
            .map(|cache| row(cache, "cache", "here"))
            .collect();
        hosts.extend([row(&parent, "parent", "hub"), row(&origin, "origin", "hub")]);
        let mut config: Value = serde_json::from_str(CONFIG).unwrap();
        config["listen"] = "127.0.0.1:0".into();
        config["coordinator"] = coordinator.address.to_string().into();
        config["known"]["updates"][0]["endpoints"]["hosts"] = hosts.into();
        change(&mut config);
        let config = config.to_string();
        let mut command = command(&config);
        if let Some(most) = descriptors {
            command = limited(command, most);
        }
        let path = command
            .get_envs()
            .find_map(|(name, value)| value.filter(|_| name == "GW_CONFIG"));
        let path = PathBuf::from(path.unwrap());
        let mut process = command.spawn().unwrap();
        let mut lines = BufReader::new(process.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let address = lines.find_map(|line| listening(&line)).unwrap();
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let keeps = log.clone();
        thread::spawn(move || {
            lines.for_each(|line| {
                eprintln!("{line}");
                keeps.lock().unwrap().push(line);
            })
        });
        World {
            process,
            config,
            path,
            address,
            caches,
            parent,
            origin,
            coordinator,
            log,
        }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).unwrap()
    }

    /// Requests one object on a connection of its own.
    pub fn request(&self, class: &str, key: &str, wait: u64, body: &[u8]) -> Answer {
        let mut client = self.client();
        client.request(class, key, wait, body).unwrap();
        client.answer().unwrap()
    }

    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.caches.iter().chain([&self.parent, &self.origin])
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.process.id())])
            .status();
        assert!(kill.unwrap().success());
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Has the process stand still until it is told to go on (`CONT`); a signal may take its time on a busy machine.
    pub fn stand_still(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        // The state follows the name, which stands in parentheses.
        let stands = |text: String| {
            text.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        };
        wait_for("the process stands still", || {
            std::fs::read_to_string(&stat).is_ok_and(stands)
        });
    }

    /// Waits until the log has a line with all these words.
    pub fn logged(&self, words: &[&str]) {
        let has = |line: &String| words.iter().all(|word| line.contains(word));
        wait_for(&format!("a log line with {words:?}"), || {
            self.log.lock().unwrap().iter().any(has)
        });
    }

    /// When each client that has left so far was noticed, by the process's own clock, since 1970.
    pub fn left_at(&self) -> Vec<Duration> {
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
            .map(|line| time(line).expect("a line begins with its time"))
            .collect()
    }

    /// Whether a cache gets nothing of some new requests that it would have its share of.
    pub fn spares(&self, cache: &Host) -> bool {
        let before = cache.heard("want").len();
        (0..8).for_each(|n| drop(self.request("page", &key(n), 2000, b"")));
        cache.heard("want").len() == before
    }
}

/// The time since 1970.
pub fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

/// How long after its end a client has gone: nothing begins for it any more.
pub const GONE: Duration = Duration::from_millis(100);

/// Watches how late the machine itself runs the process and the threads here, so that a bound on a delay in the process
/// can leave out what the process could not have helped.
pub struct Stalls {
    /// Asks the process whether it is up, behind what the same thread has just sent: on a busy machine the system may
    /// hold up bytes between two processes for hundreds of milliseconds, and tells nobody.
    witness: Option<Client>,
    asked: Vec<Instant>,
    slowest: Duration,
    process: u32,
    waited_before: Duration,
    late_us: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
}

impl Stalls {
    const STEP: Duration = Duration::from_millis(1);
    /// A thread that wakes up this much late is as punctual as any.
    const USUAL: Duration = Duration::from_millis(4);

    pub fn watch(world: &World) -> Stalls {
        let (process, late_us, over) = (world.process.id(), Arc::default(), Arc::default());
        let (witness, asked, slowest) = (None, Vec::new(), Duration::ZERO);
        let waited_before = waited_to_run(process);
        let stalls = Stalls {
            witness,
            asked,
            slowest,
            process,
            waited_before,
            late_us,
            over,
        };
        let (late_us, over) = (stalls.late_us.clone(), stalls.over.clone());
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let begun = Instant::now();
                thread::sleep(Stalls::STEP);
                let late = begun.elapsed() - Stalls::STEP;
                if late > Stalls::USUAL {
                    late_us.fetch_add(late.as_micros() as u64, Ordering::Relaxed);
                }
            }
        });
        stalls
    }

    /// The same with a witness on a connection of its own.
    pub fn witnessed(world: &World) -> Stalls {
        let mut stalls = Stalls::watch(world);
        stalls.witness = Some(world.client());
        stalls
    }

    /// To be called right after what is sent to the process.
    pub fn sent(&mut self) {
        if let Some(witness) = &mut self.witness {
            witness.alive().unwrap();
            self.asked.push(Instant::now());
        }
    }

    /// Takes the answers to the witness; to be called as soon as all is sent.
    pub fn hear_witness(&mut self) {
        for asked in self.asked.drain(..) {
            let answer = self
                .witness
                .as_mut()
                .expect("it has asked")
                .answer()
                .unwrap();
            assert!(matches!(answer, Answer::Alive { .. }), "{answer:?}");
            self.slowest = self.slowest.max(asked.elapsed());
        }
    }

    /// By how much the machine was late, all in all; twice what was seen, since the system's own threads that carry bytes
    /// between the two wait as well and tell nobody.
    pub fn so_far(&self) -> Duration {
        let here = Duration::from_micros(self.late_us.load(Ordering::Relaxed));
        (here + waited_to_run(self.process).saturating_sub(self.waited_before)) * 2 + self.slowest
    }
}

/// How long a process's first thread has been ready to run and was not let, since its start; none where the system does
/// not tell.
fn waited_to_run(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    let waited = text
        .split_whitespace()
        .nth(1)
        .and_then(|nanos| nanos.parse().ok());
    waited.map_or(Duration::ZERO, Duration::from_nanos)
}

impl Drop for Stalls {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Opens so many requests at once, of an object each, and takes their answers.
pub fn request_together(client: &mut Client, count: u32, wait: u64) -> Vec<Answer> {
    for n in 0..count {
        client.request("page", &key(n), wait, b"").unwrap();
    }
    (0..count).map(|_| client.answer().unwrap()).collect()
}

pub fn served(answer: &Answer, key: &str) -> bool {
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

/// A host at which connections come up late: nobody accepts and its queue is full, until it is opened.
pub struct Clogged {
    pub address: SocketAddr,
    listener: TcpListener,
    /// What fills the queue.
    stuffing: Vec<TcpStream>,
    /// The requests that have come, by their first lines.
    heard: Arc<Mutex<Vec<String>>>,
    /// Connections taken since it was opened, but for the stuffing.
    taken: Arc<AtomicU32>,
}

impl Clogged {
    /// One whose queue has room as yet.
    pub fn start() -> Clogged {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        Clogged {
            address,
            listener,
            stuffing: Vec::new(),
            heard: Arc::default(),
            taken: Arc::default(),
        }
    }

    /// Fills the queue, so that the next connection comes up only once this is opened: the system tries again about a
    /// second after the first try.
    pub fn clog(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100))
        {
            self.stuffing.push(stream);
            assert!(self.stuffing.len() < 5000, "the queue has a bound");
        }
    }

    fn own(&self) -> Vec<SocketAddr> {
        self.stuffing
            .iter()
            .map(|stream| stream.local_addr().unwrap())
            .collect()
    }

    /// Takes the next connection that is not stuffing; the queue must not be full.
    pub fn accept(&self) -> TcpStream {
        let own = self.own();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !own.contains(&from) {
                return stream;
            }
        }
    }

    /// Takes whoever waits and comes, and serves each request.
    pub fn open(&self) {
        let (listener, heard) = (self.listener.try_clone().unwrap(), self.heard.clone());
        let (stuffing, taken) = (self.own(), self.taken.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let heard = heard.clone();
                if stream
                    .peer_addr()
                    .is_ok_and(|from| !stuffing.contains(&from))
                {
                    taken.fetch_add(1, Ordering::Relaxed);
                }
                thread::spawn(move || {
                    let mut stream = stream;
                    while let Some((line, body)) = read_want(&mut stream) {
                        heard.lock().unwrap().push(line.clone());
                        serve(&mut stream, &line, &body);
                    }
                });
            }
        });
    }

    pub fn taken(&self) -> u32 {
        self.taken.load(Ordering::Relaxed)
    }

    pub fn heard(&self) -> Vec<String> {
        self.heard.lock().unwrap().clone()
    }
}

/// The next request of a connection with its body; none once it has ended. Other commands are passed over.
pub fn read_want(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let line = String::from_utf8(line).unwrap().trim_end().to_owned();
        if line.starts_with("want ") {
            let length: usize = line.rsplit(' ').next().unwrap().parse().unwrap();
            let mut body = vec![0; length + 2];
            stream.read_exact(&mut body).ok()?;
            body.truncate(length);
            return Some((line, body));
        }
        if let Some(tag) = line.strip_prefix("there ") {
            stream
                .write_all(format!("{tag} well - 0\r\n\r\n").as_bytes())
                .ok()?;
        }
    }
}

/// Answers a request as the toy's hosts do.
pub fn serve(stream: &mut TcpStream, line: &str, sent: &[u8]) {
    let field = |name: &str| {
        line.split([' ', ','])
            .find_map(|word| word.strip_prefix(name))
            .unwrap_or("")
    };
    let id = line.split(' ').nth(1).unwrap();
    let body = if sent.is_empty() {
        body_of(&format!("{}.{}", field("key="), field("part=")))
    } else {
        sent.to_vec()
    };
    let head = format!("{id} data version=v1,how=hit {}\r\n", body.len());
    let _ = stream.write_all(&[head.as_bytes(), &body, b"\r\n"].concat()); // whoever asked may have gone
}

/// A world whose first cache takes no connection yet, and that waits longer for one than the system's first two tries.
pub fn clogged_cache(change: impl FnOnce(&mut Value)) -> (World, Clogged, Host) {
    let mut clogged = Clogged::start();
    clogged.clog();
    let world = World::with(2, |config| {
        config["known"]["updates"][0]["endpoints"]["hosts"][0]["dial"] =
            clogged.address.to_string().into();
        config["settings"]["allowed"]["connect_timeout_ms"] = 5000.into();
        // A request takes a second to send by these settings, so none is overdue before its connection is up.
        config["settings"]["family_info"]["client_kb_per_s"] = 50.into();
        for class in config["settings"]["request_classes"]
            .as_array_mut()
            .unwrap()
        {
            class["objective_ms"] = 6000.into();
            class["deadline_ms"] = 8000.into();
        }
        change(config);
    });
    let mut host = world.caches[0].clone();
    host.address = clogged.address;
    (world, clogged, host)
}

/// Asks for objects, the first of that number, until one is on its way to the first cache; gives its client and number.
pub fn on_its_way(world: &World, first: u32) -> (Client, u32) {
    on_its_way_over(world, first, || world.client())
}

/// The same, by clients of that make.
pub fn on_its_way_over(world: &World, first: u32, make: impl Fn() -> Client) -> (Client, u32) {
    for n in first..first + 64 {
        let mut client = make();
        client.request("page", &key(n), 7000, b"").unwrap();
        let decided = |cache: &str| {
            let words = [&*format!("request {n} attempt 0 to"), cache];
            world
                .log
                .lock()
                .unwrap()
                .iter()
                .any(|line| words.iter().all(|word| line.contains(word)))
        };
        wait_for("decided", || {
            decided("to s-0000ca00") || decided("to s-0000ca01")
        });
        if decided("to s-0000ca00") {
            return (client, n);
        }
    }
    panic!("no object of 64 belongs to the first cache");
}
