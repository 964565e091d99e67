//! The processes of a run: each is started with a file of orders or a configuration, ends when its standard input
//! closes, and is killed by the system if the process that executes the run is killed.

use std::fs::File;
use std::io::{BufRead, Write};
use std::marker::PhantomData;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use crate::error::ProcessError;

/// How long a process may take to end after its standard input is closed, before it is killed.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of log lines that an error quotes.
const QUOTED_LOG_LINES: usize = 3;

/// Makes this process end together with its parent: it exits when its standard input closes, and the system kills it
/// when its parent dies, even while a signal has stopped it.
pub fn end_with_parent() {
    request_kill_on_parent_death();
    thread::spawn(|| {
        // Discards the input; only its end matters.
        let mut input = std::io::stdin().lock();
        let _ = std::io::copy(&mut input, &mut std::io::sink());
        std::process::exit(0);
    });
}

fn request_kill_on_parent_death() {
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        log::warn!("cannot have the system kill this process when its parent dies: {error}");
    }
}

/// Messages from standard input, one per line.
pub struct Input<T> {
    lines: UnboundedReceiver<String>,
    message: PhantomData<T>,
}

impl<T: DeserializeOwned> Input<T> {
    /// Starts to read standard input; from now on, the system kills this process when its parent dies.
    pub fn start() -> Input<T> {
        request_kill_on_parent_death();
        let (sender, lines) = unbounded_channel();
        thread::spawn(move || {
            let read = std::io::stdin().lock().lines().map_while(Result::ok);
            for line in read {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Input {
            lines,
            message: PhantomData,
        }
    }

    /// Returns the next message; `None` once standard input is closed. A line that can't be parsed is logged and
    /// skipped.
    pub async fn next(&mut self) -> Option<T> {
        loop {
            let line = self.lines.recv().await?;
            match serde_json::from_str(&line) {
                Ok(message) => return Some(message),
                Err(error) => log::error!("skipped an invalid order {line:?}: {error}"),
            }
        }
    }
}

/// Writes a message to standard output as one line.
pub fn write_message(message: &impl Serialize) {
    let line = serde_json::to_string(message).unwrap_or_default();
    let mut out = std::io::stdout().lock();
    // Fails if the parent has ended; the end of standard input then ends this process too.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Identifies a process of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    /// The stand-in coordinator.
    Coordinator,
    /// A planner, by its index.
    Planner(usize),
    /// A process of hollow forwarders, by their number.
    Hollow(u32),
    /// A real forwarder, by its index.
    RealForwarder(usize),
}

/// A process that the run has started; it is killed on drop.
pub struct Process {
    /// Which process of the run it is.
    pub kind: ProcessKind,
    /// Its process id.
    pub id: u32,
    /// The file to which it writes its counters.
    pub counters: PathBuf,
    /// The file that receives its standard error, which is its log.
    pub log: PathBuf,
    child: Child,
    input: Option<ChildStdin>,
    output: Option<Lines<BufReader<ChildStdout>>>,
}

impl Process {
    /// Starts a command, with its standard error written to the file `log`.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Spawn`] if the log can't be created or the program can't be started,
    /// [`ProcessError::EndedAtOnce`] if the process has no id.
    pub fn start(
        kind: ProcessKind,
        mut command: Command,
        counters: PathBuf,
        log: PathBuf,
    ) -> Result<Process, ProcessError> {
        let spawn_error = |source| ProcessError::Spawn {
            process: kind,
            source,
        };
        let file = File::create(&log).map_err(spawn_error)?;
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true);
        let spawned = command
            .env_remove("GW_LISTEN")
            .env_remove("GW_CONFIG")
            .spawn();
        let mut child = spawned.map_err(spawn_error)?;
        let id = child.id().ok_or(ProcessError::EndedAtOnce)?;
        let input = child.stdin.take();
        let output = child.stdout.take();
        let output = output.map(|output| BufReader::new(output).lines());
        Ok(Process {
            kind,
            id,
            counters,
            log,
            child,
            input,
            output,
        })
    }

    /// Sends an order to the process.
    ///
    /// # Errors
    ///
    /// [`ProcessError::InputClosed`] if its standard input is closed, [`ProcessError::Order`] if the order can't be
    /// written.
    pub async fn send_order(&mut self, order: &impl Serialize) -> Result<(), ProcessError> {
        let process = self.kind;
        let order_error = |source| ProcessError::Order { process, source };
        let line = serde_json::to_string(order).map_err(|error| order_error(error.into()))? + "\n";
        let input = self.input.as_mut().ok_or(ProcessError::InputClosed)?;
        let written = input.write_all(line.as_bytes()).await;
        written.map_err(order_error)
    }

    /// Waits for and reads the next reply. Cancel-safe: if the future is dropped, no reply is lost.
    ///
    /// # Errors
    ///
    /// [`ProcessError::NoOutput`] or [`ProcessError::Output`] if its standard output can't be read,
    /// [`ProcessError::Ended`] if it has ended, [`ProcessError::Reply`] if the line is not a valid reply.
    pub async fn read_reply<T: DeserializeOwned>(&mut self) -> Result<T, ProcessError> {
        let output = self.output.as_mut().ok_or(ProcessError::NoOutput)?;
        let line = output.next_line().await.map_err(ProcessError::Output)?;
        let Some(line) = line else {
            return Err(ProcessError::Ended {
                process: self.kind,
                log: last_lines(&self.log),
            });
        };
        serde_json::from_str(&line).map_err(|source| ProcessError::Reply {
            process: self.kind,
            line,
            source,
        })
    }

    /// Sends a signal to the process; a failure is logged.
    pub fn send_signal(&self, signal: Signal) {
        let id = i32::try_from(self.id).ok().and_then(Pid::from_raw);
        if let Some(Err(error)) = id.map(|id| kill_process(id, signal)) {
            log::warn!("cannot send {signal:?} to {:?}: {error}", self.kind);
        }
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill().await;
    }

    /// Closes the standard input of the process and waits until it has ended.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Failed`] if it ended with a failure, [`ProcessError::Wait`] if waiting failed,
    /// [`ProcessError::Killed`] if it did not end in time and was killed.
    pub async fn end(&mut self) -> Result<(), ProcessError> {
        let process = self.kind;
        drop(self.input.take());
        match timeout(END_TIMEOUT, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(ProcessError::Failed {
                process,
                status,
                log: last_lines(&self.log),
            }),
            Ok(Err(source)) => Err(ProcessError::Wait { process, source }),
            Err(_) => {
                self.kill().await;
                Err(ProcessError::Killed { process })
            }
        }
    }
}

/// Returns the last lines of a log, joined to one line.
pub fn last_lines(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(QUOTED_LOG_LINES)..].join(" | ")
}
