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

/// How long a process may take to end by itself once its standard input is closed.
const ENDS_WITHIN: Duration = Duration::from_secs(10);

/// Has this process end with the one that started it: when standard input closes, or by the system, also while it is
/// stopped by a signal.
pub fn end_with_parent() {
    die_with_parent();
    thread::spawn(|| {
        std::io::stdin().lock().lines().for_each(drop);
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
            read.for_each(|line| drop(sender.send(line))); // nobody listens at the end
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

/// Says something over standard output, a line.
pub fn say(word: &impl Serialize) {
    let line = serde_json::to_string(word).unwrap_or_default();
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush()); // the parent may have gone
}

/// What one process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Coordinator,
    Planner(usize),
    /// So many hollow forwarders.
    Hollow(u32),
    RealForwarder(usize),
}

/// A process that this run started, and ends.
pub struct Process {
    pub part: Part,
    pub id: u32,
    pub counters: PathBuf,
    pub log: PathBuf,
    child: Child,
    input: Option<ChildStdin>,
    output: Option<Lines<BufReader<ChildStdout>>>,
}

impl Process {
    /// Starts a command whose log goes to that file.
    pub fn start(
        part: Part,
        mut command: Command,
        counters: PathBuf,
        log: PathBuf,
    ) -> Result<Process, String> {
        let file = File::create(&log).map_err(|error| format!("{}: {error}", log.display()))?;
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true);
        let spawned = command
            .env_remove("GW_LISTEN")
            .env_remove("GW_CONFIG")
            .spawn();
        let mut child = spawned.map_err(|error| format!("{part:?} can't be started: {error}"))?;
        let id = child.id().ok_or("a process that has ended at once")?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let output = output.map(|output| BufReader::new(output).lines());
        Ok(Process {
            part,
            id,
            counters,
            log,
            child,
            input,
            output,
        })
    }

    /// Gives it an order.
    pub async fn order(&mut self, order: &impl Serialize) -> Result<(), String> {
        let line = serde_json::to_string(order).map_err(|error| error.to_string())? + "\n";
        let input = self.input.as_mut().ok_or("a process that has ended")?;
        let written = input.write_all(line.as_bytes()).await;
        written.map_err(|error| format!("{:?} takes no order: {error}", self.part))
    }

    /// The next thing that it says; a failure if it has ended. May be dropped and called again without loss.
    pub async fn reply<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let output = self.output.as_mut().ok_or("a process without output")?;
        let line = output
            .next_line()
            .await
            .map_err(|error| error.to_string())?;
        let Some(line) = line else {
            return Err(format!("{:?} has ended: {}", self.part, tail(&self.log)));
        };
        serde_json::from_str(&line)
            .map_err(|error| format!("{:?} said {line:?}: {error}", self.part))
    }

    /// Sends it a signal, by its id.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id).ok().and_then(Pid::from_raw);
        if let Some(Err(error)) = id.map(|id| kill_process(id, signal)) {
            log::warn!("{:?} can't be signalled: {error}", self.part);
        }
    }

    /// Kills it without a word.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await; // it may have ended by itself
    }

    /// Closes its standard input and waits until it has ended.
    pub async fn end(&mut self) -> Result<(), String> {
        drop(self.input.take());
        match timeout(ENDS_WITHIN, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(format!(
                "{:?} ended with {status}: {}",
                self.part,
                tail(&self.log)
            )),
            Ok(Err(error)) => Err(format!("{:?}: {error}", self.part)),
            Err(_) => {
                self.kill().await;
                Err(format!(
                    "{:?} did not end in time and was killed",
                    self.part
                ))
            }
        }
    }
}

/// The last lines of a log.
pub fn tail(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(3)..].join(" | ")
}
