//! A program of the fleet as a child process.

use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::EmulatorError;
use crate::sync::lock;

/// The time within which a started program must log its listening address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The text that precedes the address in a program's log.
const LISTENING: &str = "listening at ";

/// The log lines of all programs, in order of arrival.
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

/// A signal that suspends or resumes a process.
#[derive(Clone, Copy)]
pub(super) enum Signal {
    Stop,
    Continue,
}

/// A running program.
pub(super) struct Process {
    child: Child,
    /// The address at which it listens.
    pub(super) address: SocketAddr,
}

impl Process {
    /// Starts a program. If its address is not known yet, waits until the program logs it; for a restart at a known
    /// address it returns at once.
    pub(super) fn start(
        mut command: Command,
        known_address: Option<SocketAddr>,
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
        let address = match known_address {
            Some(address) => address,
            None => wait_for_address(&mut child, &mut log, lines)?,
        };
        let lines = lines.clone();
        thread::spawn(move || collect_lines(log, &lines, shows_logs));
        Ok(Process { child, address })
    }

    /// Kills the program and waits for its end.
    pub(super) fn kill(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub(super) fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        let id = self.child.id().to_string();
        // The signal fails for a process that has exited, which needs none.
        let _ = Command::new("kill").arg(name).arg(id).status();
    }

    /// Returns its peak resident memory in KB; `None` where the system doesn't report it.
    pub(super) fn peak_memory_kb(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).ok()?;
        let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.split_whitespace().next()?.parse().ok()
    }
}

/// Reads the log until the line with the program's listening address.
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
    // It may have exited already.
    let _ = child.kill();
    let _ = child.wait();
    Err(EmulatorError::NotListening { lines: read })
}

/// Collects the rest of a program's log, and prints it if `shows_logs` is set.
fn collect_lines(log: Lines<BufReader<ChildStderr>>, lines: &LogLines, shows_logs: bool) {
    for line in log.map_while(Result::ok) {
        if shows_logs {
            eprintln!("{line}");
        }
        lines.extend(vec![line]);
    }
}

/// Returns the listening address in a log line, if it has one.
fn listening_address(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once(LISTENING)?;
    rest.split(',').next()?.parse().ok()
}
