//! All processes of one run: `start` starts them, `window` measures them and `faults` injects faults; this module ends
//! them and checks the forwarders' logs.

mod faults;
mod start;
mod window;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use flaxdeck_emulator::Proxy;
use tokio::time::Instant;

use crate::delivery::{DeliveryChecker, DeliveryOutcome, read_events};
use crate::error::RunError;
use crate::in_force_log;
use crate::options::RunOptions;
use crate::processes::Process;
use crate::service::Service;
pub(crate) use window::Window;

/// A temporary folder for the files of a run, removed on drop unless it is kept.
pub(crate) struct RunFolder {
    path: PathBuf,
    is_kept: bool,
}

impl RunFolder {
    /// Creates a new folder; with `is_kept`, it is not removed after the run.
    pub(crate) fn create(is_kept: bool) -> Result<RunFolder, RunError> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("flaxdeck-scale-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(RunError::file(&path))?;
        Ok(RunFolder { path, is_kept })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if !self.is_kept {
            // A leftover folder in the temporary directory is harmless.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// The log file of a process of hollow forwarders, with the range of their numbers.
struct HollowLog {
    path: PathBuf,
    first: u32,
    count: u32,
}

/// A process of hollow forwarders.
struct HollowProcess {
    process: Process,
    log: HollowLog,
    /// The number of its forwarders, as last reported, that have an endpoint list and are connected to all planners.
    current: u32,
}

/// A process with the address at which it listens.
struct Server {
    process: Process,
    address: SocketAddr,
}

/// The processes of one run; all of them are killed on drop.
pub(crate) struct Cluster<'a> {
    options: &'a RunOptions<'a>,
    folder: &'a Path,
    coordinator: Server,
    planners: Vec<Server>,
    hollow: Vec<HollowProcess>,
    /// Logs of processes of hollow forwarders that a fault has killed.
    killed_logs: Vec<HollowLog>,
    real: Vec<Server>,
    /// The hosts and clients of the real forwarders; `None` if the point has no real forwarders.
    pub(crate) service: Option<Service>,
    /// When the next purge of one of the service's objects is due; `None` while no such purges are made.
    next_purge: Option<Instant>,
    /// The proxy between the first process of hollow forwarders and the first planner, if the scale file's fault is a
    /// cut link (in the twin too).
    link: Option<Proxy>,
    /// The number of the next hollow forwarder; numbers are never reused within a run.
    next_hollow: u32,
}

fn write_file(path: &Path, text: &str) -> Result<(), RunError> {
    fs::write(path, text).map_err(RunError::file(path))
}

impl Cluster<'_> {
    /// Returns all current processes, without those that were killed and replaced.
    pub(crate) fn processes(&self) -> impl Iterator<Item = &Process> {
        let hollow = self.hollow.iter().map(|hollow| &hollow.process);
        let planners = self.planners.iter().map(|planner| &planner.process);
        let real = self.real.iter().map(|forwarder| &forwarder.process);
        [&self.coordinator.process]
            .into_iter()
            .chain(planners)
            .chain(hollow)
            .chain(real)
    }

    /// Ends all processes and checks the delivery of events from the forwarders' logs.
    pub(crate) async fn end(mut self, window: &Window) -> Result<DeliveryOutcome, RunError> {
        for hollow in &mut self.hollow {
            hollow.process.end().await?;
        }
        for server in self.real.iter_mut().chain(&mut self.planners) {
            server.process.end().await?;
        }
        self.coordinator.process.end().await?;
        let events = read_events(&self.folder.join("events.txt"))?;
        let mut checker = DeliveryChecker::new(&events, window.from_us, window.until_us);
        for log in &self.killed_logs {
            check_log(&mut checker, log)?;
            checker.mark_killed(log.first..log.first + log.count);
        }
        for hollow in &self.hollow {
            check_log(&mut checker, &hollow.log)?;
        }
        Ok(checker.outcome())
    }
}

fn check_log(checker: &mut DeliveryChecker, log: &HollowLog) -> Result<(), RunError> {
    let read = in_force_log::read(&log.path, |entry| checker.add(&entry));
    read.map_err(RunError::file(&log.path))
}
