//! The processes of a run: each is started with a file of orders, ends when its standard input closes, and is killed
//! by the system should the run itself be killed.

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

/// How long a process may take to end by itself once its standard input is closed.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Lines of a log that errors quote.
const LAST_LINES: usize = 3;

/// Has this process end with the one that started it: when standard input closes, or by the system, also while it is
/// stopped by a signal.
pub fn end_with_parent() {
    die_with_parent();
    thread::spawn(|| {
        // Whatever is read, the end of the input is what matters.
        let mut input = std::io::stdin().lock();
        let _ = std::io::copy(&mut input, &mut std::io::sink());
        std::process::exit(0);
    });
}

fn die_with_parent() {
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        log::warn!("the system will not end this process with its parent: {error}");
    }
}

/// What comes over standard input, a message a line.
pub struct Input<T> {
    lines: UnboundedReceiver<String>,
    message: PhantomData<T>,
}

impl<T: DeserializeOwned> Input<T> {
    /// Begins to read; the process ends with its parent from now on.
    pub fn start() -> Input<T> {
        die_with_parent();
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

    /// The next message; none once standard input is closed. One that can't be read is told of and passed over.
    pub async fn next(&mut self) -> Option<T> {
        loop {
            let line = self.lines.recv().await?;
            match serde_json::from_str(&line) {
                Ok(message) => return Some(message),
                Err(error) => log::error!("an order that can't be read: {error}"),
            }
        }
    }
}

/// Writes a message to standard output, a line.
pub fn say(message: &impl Serialize) {
    let line = serde_json::to_string(message).unwrap_or_default();
    let mut out = std::io::stdout().lock();
    // The parent may have gone.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Which process of a run it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    /// The stand-in coordinator.
    Coordinator,
    /// The planner of that index.
    Planner(usize),
    /// So many hollow forwarders.
    Hollow(u32),
    /// The real forwarder of that index.
    RealForwarder(usize),
}

/// A process that this run started, and ends.
pub struct Process {
    /// Which process of the run it is.
    pub kind: ProcessKind,
    /// Its id in the system.
    pub id: u32,
    /// The file that it writes its counters to.
    pub counters: PathBuf,
    /// The file with its log.
    pub log: PathBuf,
    child: Child,
    input: Option<ChildStdin>,
    output: Option<Lines<BufReader<ChildStdout>>>,
}

impl Process {
    /// Starts a command whose log goes to that file.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Spawn`] if the log can't be made or the program can't be started, [`ProcessError::EndedAtOnce`].
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

    /// Gives it an order.
    ///
    /// # Errors
    ///
    /// [`ProcessError::InputClosed`], or [`ProcessError::Order`] if the order can't be written.
    pub async fn order(&mut self, order: &impl Serialize) -> Result<(), ProcessError> {
        let process = self.kind;
        let order_error = |source| ProcessError::Order { process, source };
        let line = serde_json::to_string(order).map_err(|error| order_error(error.into()))? + "\n";
        let input = self.input.as_mut().ok_or(ProcessError::InputClosed)?;
        let written = input.write_all(line.as_bytes()).await;
        written.map_err(order_error)
    }

    /// Its next reply. May be dropped and called again without loss.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Ended`] if it has ended, [`ProcessError::Reply`] if it said something else.
    pub async fn reply<T: DeserializeOwned>(&mut self) -> Result<T, ProcessError> {
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

    /// Sends it a signal, by its id.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id).ok().and_then(Pid::from_raw);
        if let Some(Err(error)) = id.map(|id| kill_process(id, signal)) {
            log::warn!("{:?} can't be signalled: {error}", self.kind);
        }
    }

    /// Kills it without a word.
    pub async fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill().await;
    }

    /// Closes its standard input and waits until it has ended.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Failed`] if it ended with a failure, [`ProcessError::Killed`] if it did not end in time.
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

/// The last lines of a log, in one line.
pub fn last_lines(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LAST_LINES)..].join(" | ")
}
