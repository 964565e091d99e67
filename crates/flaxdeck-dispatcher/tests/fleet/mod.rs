//! Many built dispatchers at once, each a process with a configuration of its own.
#![allow(dead_code)] // each test file uses a part

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, request_message};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::world::{command, key, listening};

/// How long a process may take until it listens: far more than any does.
const STARTED_WITHIN: Duration = Duration::from_secs(20);
/// Between looks at what processes have logged.
const LOOK: Duration = Duration::from_millis(2);

/// A line of a process's log, with when it was read here.
pub(crate) type Logged = (Instant, String);

/// One dispatcher, which comes back at the address of its first start.
pub(crate) struct Dispatcher {
    config: Value,
    process: Child,
    address: Option<SocketAddr>,
    log: Arc<Mutex<Vec<Logged>>>,
}

impl Dispatcher {
    /// Starts one that listens at any port; does not wait for it.
    pub(crate) fn spawn(mut config: Value) -> Dispatcher {
        config["listen"] = "127.0.0.1:0".into();
        let (process, log) = start(&config);
        Dispatcher {
            config,
            process,
            address: None,
            log,
        }
    }

    /// Where it listens, once it does.
    pub(crate) fn address(&mut self) -> SocketAddr {
        let begun = Instant::now();
        while self.address.is_none() {
            assert!(
                begun.elapsed() < STARTED_WITHIN,
                "a dispatcher does not listen"
            );
            self.address = self
                .log
                .lock()
                .unwrap()
                .iter()
                .find_map(|(_, line)| listening(line));
            thread::sleep(LOOK);
        }
        self.address.expect("just found")
    }

    /// Kills it without a word (SIGKILL).
    pub(crate) fn kill(&mut self) {
        self.address();
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts it again after a kill; does not wait for it.
    pub(crate) fn restart(&mut self) {
        self.config["listen"] = self.address().to_string().into();
        (self.process, self.log) = start(&self.config);
    }

    /// When this run of it logged a line with these words.
    pub(crate) fn logged(&self, words: &str) -> Option<Instant> {
        self.log
            .lock()
            .unwrap()
            .iter()
            .find(|(_, line)| line.contains(words))
            .map(|(at, _)| *at)
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn start(config: &Value) -> (Child, Arc<Mutex<Vec<Logged>>>) {
    let mut process = command(&config.to_string()).spawn().unwrap();
    let lines = BufReader::new(process.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let log: Arc<Mutex<Vec<Logged>>> = Arc::default();
    let keeps = log.clone();
    thread::spawn(move || {
        for line in lines {
            keeps.lock().unwrap().push((Instant::now(), line));
        }
    });
    (process, log)
}

/// Asks one dispatcher for a new object each time, at that rate and of that size in KB, until it is over; looks for it again where it went.
pub(crate) fn ask(
    address: SocketAddr,
    (rate, kb): (f64, f64),
    seed: u64,
    over: Arc<AtomicBool>,
    served: Arc<AtomicU32>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let kb = kb.to_string();
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (mut due, mut number) = (Instant::now(), 0);
        while !over.load(Ordering::Relaxed) {
            let Ok(mut client) = Client::connect(address) else {
                thread::sleep(Duration::from_millis(20));
                due = Instant::now();
                continue;
            };
            let (mut hears, served) = (client.try_clone().unwrap(), served.clone());
            let hears = thread::spawn(move || {
                while let Ok(answer) = hears.answer() {
                    let is_served = matches!(answer, Answer::Served { .. });
                    served.fetch_add(u32::from(is_served), Ordering::Relaxed);
                }
            });
            while !over.load(Ordering::Relaxed) && !hears.is_finished() {
                due += Duration::from_secs_f64(-(1.0 - chance.random::<f64>()).ln() / rate);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                number += 1;
                let (id, key) = (client.id(number), key(seed as u32 * 10_000 + number));
                let fields = [
                    ("id", &*id),
                    ("wait", "2000"),
                    ("key", &key),
                    ("slice", "0"),
                    ("set", "7"),
                    ("kb", &kb),
                ];
                if client
                    .send(&request_message(number, "page", &fields, b""))
                    .is_err()
                {
                    break;
                }
            }
            let _ = client.shutdown_write(); // it may have ended already
            let _ = hears.join();
        }
    })
}
