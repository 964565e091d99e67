//! All processes of one run, and what is done with them: `start` starts them, `window` measures, `faults` has things go
//! wrong; here they are ended, and what forwarders logged is checked.

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

/// A folder of the run's own files, gone with it unless it is kept.
pub(crate) struct RunFolder {
    path: PathBuf,
    is_kept: bool,
}

impl RunFolder {
    /// Makes a new one; one that is kept outlasts the run.
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
            // A folder that stays behind does no harm.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// What a group of hollow forwarders logs, and their numbers.
struct HollowLog {
    path: PathBuf,
    first: u32,
    count: u32,
}

/// A process of hollow forwarders, one after another if it is restarted.
struct HollowProcess {
    process: Process,
    log: HollowLog,
    /// Forwarders that know a list and are connected to all planners.
    current: u32,
}

/// A started instance with where it listens.
struct Server {
    process: Process,
    address: SocketAddr,
}

/// The processes of one run, all ended when it is dropped.
pub(crate) struct Cluster<'a> {
    options: &'a RunOptions<'a>,
    folder: &'a Path,
    coordinator: Server,
    planners: Vec<Server>,
    hollow: Vec<HollowProcess>,
    /// Logs of hollow forwarders that were killed.
    killed: Vec<HollowLog>,
    real: Vec<Server>,
    /// What the real forwarders serve, if there are any, ...
    pub(crate) service: Option<Service>,
    /// ... and when the next purge of one of its objects is due.
    next_purge: Option<Instant>,
    /// Between the first process of hollow forwarders and the first planner, where a run or its twin cuts it.
    link: Option<Proxy>,
    /// The first number that no hollow forwarder has had.
    next_hollow: u32,
}

fn write_file(path: &Path, text: &str) -> Result<(), RunError> {
    fs::write(path, text).map_err(RunError::file(path))
}

impl Cluster<'_> {
    /// All processes as they run now, without those that were killed.
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

    /// Ends all processes and checks what was logged.
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
        for log in &self.killed {
            check_log(&mut checker, log)?;
            checker.killed(log.first..log.first + log.count);
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
