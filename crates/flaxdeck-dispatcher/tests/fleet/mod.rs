//! Many dispatchers at once, each a process with a configuration of its own.
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

use crate::world::{command, key, listening_address};

/// How long a process may take until it listens: far more than any does.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which the logs of processes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A line of a process's log, with the time at which the test has read it.
pub(crate) type LogLine = (Instant, String);

/// One dispatcher, which restarts at the address of its first start.
pub(crate) struct Dispatcher {
    config: Value,
    process: Child,
    address: Option<SocketAddr>,
    log: Arc<Mutex<Vec<LogLine>>>,
}

impl Dispatcher {
    /// Starts a dispatcher at any free port; does not wait until it listens.
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

    /// Returns the address at which it listens, once it does.
    pub(crate) fn address(&mut self) -> SocketAddr {
        let begun = Instant::now();
        while self.address.is_none() {
            assert!(
                begun.elapsed() < START_TIMEOUT,
                "a dispatcher does not listen after {START_TIMEOUT:?}"
            );
            self.address = self
                .log
                .lock()
                .unwrap()
                .iter()
                .find_map(|(_, line)| listening_address(line));
            thread::sleep(POLL_INTERVAL);
        }
        self.address.expect("the loop ends with an address")
    }

    /// Kills it with SIGKILL, once it listens.
    pub(crate) fn kill(&mut self) {
        self.address();
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts it again after a kill; does not wait until it listens.
    pub(crate) fn restart(&mut self) {
        self.config["listen"] = self.address().to_string().into();
        (self.process, self.log) = start(&self.config);
    }

    /// Returns when the current process first logged a line that contains `text`.
    pub(crate) fn logged_at(&self, text: &str) -> Option<Instant> {
        self.log
            .lock()
            .unwrap()
            .iter()
            .find(|(_, line)| line.contains(text))
            .map(|(at, _)| *at)
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn start(config: &Value) -> (Child, Arc<Mutex<Vec<LogLine>>>) {
    let mut process = command(&config.to_string()).spawn().unwrap();
    let lines = BufReader::new(process.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let log: Arc<Mutex<Vec<LogLine>>> = Arc::default();
    let recorded = log.clone();
    thread::spawn(move || {
        for line in lines {
            recorded.lock().unwrap().push((Instant::now(), line));
        }
    });
    (process, log)
}

/// Requests a new object of `kb` KB from one dispatcher `rate` times a second on average, until `stop` is set.
/// Reconnects whenever the dispatcher ends the connection. `served` counts the requests that are served.
pub(crate) fn generate_load(
    address: SocketAddr,
    (rate, kb): (f64, f64),
    seed: u64,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU32>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let kb = kb.to_string();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut due, mut number) = (Instant::now(), 0);
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut client) = Client::connect(address) else {
                thread::sleep(Duration::from_millis(20));
                due = Instant::now();
                continue;
            };
            let (mut reader, served) = (client.try_clone().unwrap(), served.clone());
            let reader = thread::spawn(move || {
                while let Ok(answer) = reader.answer() {
                    let is_served = matches!(answer, Answer::Served { .. });
                    served.fetch_add(u32::from(is_served), Ordering::Relaxed);
                }
            });
            while !stop.load(Ordering::Relaxed) && !reader.is_finished() {
                due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
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
            let _ = client.shutdown_write(); // the dispatcher may have closed the connection already
            let _ = reader.join();
        }
    })
}
