//! All processes of one run, and what is done with them: [`start`] starts them, [`window`] measures, [`faults`] has
//! things go wrong; here they are ended, and what forwarders noted is judged.

mod faults;
mod start;
mod window;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use flaxdeck_emulator::Proxy;
use tokio::time::Instant;

use crate::delays::{Judge, Outcome, read_events};
use crate::in_force;
use crate::processes::Process;
use crate::run::Asked;
use crate::service::Service;
pub use window::Measured;

/// A folder of the run's own files, gone with it unless it is kept.
pub struct Folder {
    path: PathBuf,
    kept: bool,
}

impl Folder {
    /// Makes a new one; one that is kept outlasts the run.
    pub fn create(kept: bool) -> Result<Folder, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "flaxdeck-scale-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Folder { path, kept })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.kept {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// A process of hollow forwarders, one after another if it is restarted.
struct Region {
    process: Process,
    in_force: PathBuf,
    first: u32,
    count: u32,
    current: u32,
}

/// Notes of hollow forwarders that were killed.
struct Killed {
    in_force: PathBuf,
    first: u32,
    count: u32,
}

/// The processes of one run, all ended when it is dropped.
pub struct Stage<'a> {
    asked: &'a Asked<'a>,
    folder: &'a Path,
    coordinator: Process,
    coordinator_at: SocketAddr,
    planners: Vec<Process>,
    planners_at: Vec<SocketAddr>,
    regions: Vec<Region>,
    killed: Vec<Killed>,
    real: Vec<Process>,
    real_at: Vec<SocketAddr>,
    /// What the real forwarders serve, if there are any, and when the next purge of one of its objects is due.
    pub service: Option<Service>,
    next_purge: Option<Instant>,
    /// Between the first process of hollow forwarders and the first planner, where a run or its twin cuts it.
    wire: Option<Proxy>,
    /// The first number that no hollow forwarder has had.
    next: u32,
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

impl Stage<'_> {
    /// All processes as they run now, without those that were killed.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        let regions = self.regions.iter().map(|region| &region.process);
        [&self.coordinator]
            .into_iter()
            .chain(&self.planners)
            .chain(regions)
            .chain(&self.real)
    }

    /// Ends all processes and judges what was noted.
    pub async fn end(mut self, measured: &Measured) -> Result<Outcome, String> {
        for region in &mut self.regions {
            region.process.end().await?;
        }
        for process in self.real.iter_mut().chain(&mut self.planners) {
            process.end().await?;
        }
        self.coordinator.end().await?;
        let events = read_events(&self.folder.join("events.txt"))?;
        let mut judge = Judge::new(&events, measured.from_us, measured.until_us);
        let killed = self
            .killed
            .iter()
            .map(|killed| (&killed.in_force, killed.first, killed.count, true));
        let alive = self
            .regions
            .iter()
            .map(|region| (&region.in_force, region.first, region.count, false));
        for (path, first, count, was_killed) in killed.chain(alive) {
            let read = in_force::read(path, |note| judge.take(&note));
            read.map_err(|error| format!("{}: {error}", path.display()))?;
            if was_killed {
                judge.killed(first..first + count);
            }
        }
        Ok(judge.outcome())
    }
}
