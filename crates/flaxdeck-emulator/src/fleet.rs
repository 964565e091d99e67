//! The real programs among the stand-ins: forwarders and planners as processes, each forwarder with links of its own
//! to every planner and to the coordinator, and faults as data.

mod faults;
mod files;
mod process;
mod setup;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::Value;

pub use faults::{Fault, ScheduledFault};
pub use setup::Setup;

use crate::error::EmulatorError;
use crate::proxy::Proxy;
use crate::world::World;
use files::{read_json, write_file};
use process::{LogLines, Process};

/// The key that the fleet's instances share.
const KEY: &str = "6b1f0c5e9a7d42388e4c1b2a3f5d6e7c8b9a0f1e2d3c4b5a69788796a5b4c3d2";

/// Bytes between forwarders and planners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// From forwarders to planners.
    pub reports: u64,
    /// From planners to forwarders.
    pub guidance: u64,
}

/// Forwarders and planners as processes in a world; they end when this is dropped.
pub struct Fleet {
    /// The stand-ins.
    pub world: World,
    setup: Setup,
    folder: PathBuf,
    planners: Vec<Option<Process>>,
    planner_addresses: Vec<SocketAddr>,
    forwarders: Vec<Option<Process>>,
    /// Of each forwarder to each planner.
    planner_links: Vec<Vec<Proxy>>,
    /// Of each forwarder.
    coordinator_links: Vec<Proxy>,
    /// Milliseconds that the wall clocks of processes are ahead which start from now on.
    clock_skew_ms: i64,
    lines: LogLines,
}

fn fresh_folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("flaxdeck-fleet-{}-{number}", std::process::id());
    std::env::temp_dir().join(name)
}

impl Fleet {
    /// Starts planners, links and forwarders.
    ///
    /// # Errors
    ///
    /// If a file can't be written, a link can't listen, or a program doesn't start.
    pub fn start(world: World, setup: Setup) -> Result<Fleet, EmulatorError> {
        let folder = fresh_folder();
        std::fs::create_dir_all(&folder).map_err(|source| EmulatorError::File {
            path: folder.clone(),
            source,
        })?;
        write_file(&folder.join("fleet.key"), KEY)?;
        let mut fleet = Fleet {
            world,
            setup,
            folder,
            planners: Vec::new(),
            planner_addresses: Vec::new(),
            forwarders: Vec::new(),
            planner_links: Vec::new(),
            coordinator_links: Vec::new(),
            clock_skew_ms: 0,
            lines: LogLines::default(),
        };
        for planner in 0..fleet.setup.planners {
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            fleet.planners.push(None);
            fleet.planner_addresses.push(any_port);
            fleet.start_planner(planner)?;
        }
        for forwarder in 0..fleet.setup.forwarders {
            fleet.start_links()?;
            fleet.forwarders.push(None);
            fleet.start_forwarder(forwarder)?;
        }
        Ok(fleet)
    }

    /// Starts the links of the next forwarder.
    fn start_links(&mut self) -> Result<(), EmulatorError> {
        let planners = self.planner_addresses.iter();
        let links = planners.map(|address| self.world.proxy(*address));
        let links = links.collect::<Result<Vec<Proxy>, EmulatorError>>()?;
        let coordinator_link = self.world.proxy(self.world.coordinator)?;
        self.planner_links.push(links);
        self.coordinator_links.push(coordinator_link);
        Ok(())
    }

    /// Where a forwarder keeps its state, for tests that spoil it.
    pub fn state_folder(&self, forwarder: usize) -> PathBuf {
        self.folder.join(format!("state{forwarder}"))
    }

    /// The configuration of an instance: what the world says now, or what its file has said since its first start.
    fn config(&self, path: &Path, coordinator: SocketAddr) -> Result<Value, EmulatorError> {
        if self.setup.keeps_first_config && path.exists() {
            return read_json(path);
        }
        Ok(self.world.config(coordinator))
    }

    fn start_planner(&mut self, planner: usize) -> Result<(), EmulatorError> {
        // Its own port is chosen at the first start and kept; the others' do not matter to it.
        let address = self.planner_addresses[planner];
        let mut addresses = self.planner_addresses.clone();
        for other in &mut addresses {
            other.set_port(0);
        }
        addresses[planner] = address;
        let plan_path = self.folder.join(format!("planner{planner}.plan"));
        write_file(&plan_path, &self.setup.plan(&addresses, None))?;
        let config_path = self.folder.join(format!("planner{planner}.json"));
        let config = self.config(&config_path, self.world.coordinator)?;
        write_file(&config_path, &config.to_string())?;
        let mut command = Command::new(&self.setup.binary);
        command.args(["plan", "--name", &format!("p{planner}")]);
        command.arg("--config").arg(config_path);
        command.arg("--plan").arg(plan_path);
        let known = (address.port() != 0).then_some(address);
        let process = self.spawn(command, known)?;
        self.planner_addresses[planner] = process.address;
        self.planners[planner] = Some(process);
        Ok(())
    }

    fn start_forwarder(&mut self, forwarder: usize) -> Result<(), EmulatorError> {
        let earlier = self.forwarders[forwarder].as_ref();
        let known = earlier.map(|process| process.address);
        let state = format!("state{forwarder}");
        let state = (self.setup.keeps_state && known.is_some()).then_some(&*state);
        let links = self.planner_links[forwarder].iter();
        let planners: Vec<SocketAddr> = links.map(|link| link.address).collect();
        let plan_path = self.folder.join(format!("forwarder{forwarder}.plan"));
        write_file(&plan_path, &self.setup.plan(&planners, state))?;
        let config_path = self.folder.join(format!("forwarder{forwarder}.json"));
        let coordinator = self.coordinator_links[forwarder].address;
        let mut config = self.config(&config_path, coordinator)?;
        config["seed"] = format!("{:016x}", 0xaa00 + forwarder).into();
        // A restarted forwarder comes back where its clients look for it.
        if let Some(address) = known {
            config["listen"] = address.to_string().into();
        }
        write_file(&config_path, &config.to_string())?;
        let mut command = Command::new(&self.setup.binary);
        command.arg("forward").arg("--config").arg(config_path);
        if self.setup.guided {
            command.arg("--plan").arg(plan_path);
        }
        self.forwarders[forwarder] = Some(self.spawn(command, known)?);
        Ok(())
    }

    fn spawn(
        &self,
        mut command: Command,
        known: Option<SocketAddr>,
    ) -> Result<Process, EmulatorError> {
        if self.clock_skew_ms != 0 {
            let skew = self.clock_skew_ms.to_string();
            command.arg("--clock-apart-ms").arg(skew);
        }
        Process::start(command, known, &self.lines, self.setup.shows_logs)
    }

    /// Where clients reach the forwarders.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let forwarders = self.forwarders.iter().flatten();
        forwarders.map(|forwarder| forwarder.address).collect()
    }

    /// All lines that the programs have logged so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.all()
    }

    /// Bytes of reports and of guidance so far, over all forwarders and planners.
    pub fn control_bytes(&self) -> ControlBytes {
        let mut bytes = ControlBytes::default();
        for link in self.planner_links.iter().flatten() {
            bytes.reports += link.bytes_to_far();
            bytes.guidance += link.bytes_to_near();
        }
        bytes
    }

    /// The most memory that a forwarder has held, in KB; none where the system does not tell.
    pub fn peak_memory_kb(&self, forwarder: usize) -> Option<u64> {
        self.forwarders[forwarder].as_ref()?.peak_memory_kb()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let processes = self.forwarders.iter_mut().chain(&mut self.planners);
        for process in processes.flatten() {
            process.kill();
        }
        // A folder that stays behind does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
