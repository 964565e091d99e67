//! One started program.

use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::EmulatorError;
use crate::sync::lock;

/// A program that has not said its address by then has failed.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// What stands before the address in a program's log.
const LISTENING: &str = "listening at ";

/// The lines that all programs have logged.
#[derive(Clone, Default)]
pub(super) struct LogLines(Arc<Mutex<Vec<String>>>);

impl LogLines {
    pub(super) fn all(&self) -> Vec<String> {
        lock(&self.0).clone()
    }

    fn extend(&self, lines: Vec<String>) {
        lock(&self.0).extend(lines);
    }
}

/// A signal that stops a process or lets it go on.
#[derive(Clone, Copy)]
pub(super) enum Signal {
    Stop,
    Continue,
}

/// A started program.
pub(super) struct Process {
    child: Child,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

impl Process {
    /// Starts a program. One whose address is not known yet is waited for until it says it; one that restarts may take
    /// its time.
    pub(super) fn start(
        mut command: Command,
        known: Option<SocketAddr>,
        lines: &LogLines,
        shows_logs: bool,
    ) -> Result<Process, EmulatorError> {
        command.env_remove("GW_LISTEN").env_remove("GW_CONFIG");
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let spawned = command.stderr(Stdio::piped()).spawn();
        let mut child = spawned.map_err(|source| EmulatorError::Spawn {
            binary: command.get_program().into(),
            source,
        })?;
        let stderr = child.stderr.take().ok_or(EmulatorError::NoStandardError)?;
        let mut log = BufReader::new(stderr).lines();
        let address = match known {
            Some(address) => address,
            None => wait_for_address(&mut child, &mut log, lines)?,
        };
        let lines = lines.clone();
        thread::spawn(move || collect(log, &lines, shows_logs));
        Ok(Process { child, address })
    }

    /// Kills the program and waits for its end.
    pub(super) fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub(super) fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        let id = self.child.id().to_string();
        // A process that has ended can't be stopped.
        let _ = Command::new("kill").arg(name).arg(id).status();
    }

    /// The most memory that it has held, in KB; none where the system does not tell.
    pub(super) fn peak_memory_kb(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).ok()?;
        let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.split_whitespace().next()?.parse().ok()
    }
}

/// Reads the log until it says where the program listens.
fn wait_for_address(
    child: &mut Child,
    log: &mut Lines<BufReader<ChildStderr>>,
    lines: &LogLines,
) -> Result<SocketAddr, EmulatorError> {
    let started = Instant::now();
    let mut read = Vec::new();
    while let Some(Ok(line)) = log.next() {
        if started.elapsed() >= START_TIMEOUT {
            break;
        }
        let address = listening_address(&line);
        read.push(line);
        if let Some(address) = address {
            lines.extend(read);
            return Ok(address);
        }
    }
    // It may have ended by itself.
    let _ = child.kill();
    let _ = child.wait();
    Err(EmulatorError::NotListening { lines: read })
}

/// Collects the rest of a program's log.
fn collect(log: Lines<BufReader<ChildStderr>>, lines: &LogLines, shows_logs: bool) {
    for line in log.map_while(Result::ok) {
        if shows_logs {
            eprintln!("{line}");
        }
        lines.extend(vec![line]);
    }
}

/// The address that a line of the log tells.
fn listening_address(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(LISTENING)?;
    rest.split(',').next()?.parse().ok()
}
