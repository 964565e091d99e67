//! A fleet of real processes: forwarders and planners that run against the stand-ins. Each forwarder has its own
//! proxied link to every planner and to the coordinator. Faults are injected from data.

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

/// The key that all instances of the fleet share, in the form of the key file.
const KEY: &str = "6b1f0c5e9a7d42388e4c1b2a3f5d6e7c8b9a0f1e2d3c4b5a69788796a5b4c3d2";

/// Bytes transferred between forwarders and planners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// From forwarders to planners.
    pub reports: u64,
    /// From planners to forwarders.
    pub guidance: u64,
}

/// The forwarder and planner processes of a world; dropping it kills them.
pub struct Fleet {
    /// The world with the stand-ins.
    pub world: World,
    setup: Setup,
    folder: PathBuf,
    planners: Vec<Option<Process>>,
    planner_addresses: Vec<SocketAddr>,
    forwarders: Vec<Option<Process>>,
    /// The links by forwarder and then by planner.
    planner_links: Vec<Vec<Proxy>>,
    /// The link of each forwarder.
    coordinator_links: Vec<Proxy>,
    /// How far the wall clocks of processes started from now on are set ahead, in milliseconds.
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
    /// Starts the planners, the links and the forwarders.
    ///
    /// # Errors
    ///
    /// If a file can't be written, a link can't listen, or a program can't be started.
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

    /// Starts the links of the next forwarder to all planners and to the coordinator.
    fn start_links(&mut self) -> Result<(), EmulatorError> {
        let planners = self.planner_addresses.iter();
        let links = planners.map(|address| self.world.proxy(*address));
        let links = links.collect::<Result<Vec<Proxy>, EmulatorError>>()?;
        let coordinator_link = self.world.proxy(self.world.coordinator)?;
        self.planner_links.push(links);
        self.coordinator_links.push(coordinator_link);
        Ok(())
    }

    /// Returns the folder of a forwarder's stored state, for tests that corrupt it.
    pub fn state_folder(&self, forwarder: usize) -> PathBuf {
        self.folder.join(format!("state{forwarder}"))
    }

    /// Returns an instance's configuration: that of the world now, or with `keeps_first_config` that of its first
    /// start.
    fn config(&self, path: &Path, coordinator: SocketAddr) -> Result<Value, EmulatorError> {
        if self.setup.keeps_first_config && path.exists() {
            return read_json(path);
        }
        Ok(self.world.config(coordinator))
    }

    fn start_planner(&mut self, planner: usize) -> Result<(), EmulatorError> {
        // A planner's port is chosen at its first start and then kept. It never connects to other planners, so their
        // ports are left out.
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
        let known_address = (address.port() != 0).then_some(address);
        let process = self.spawn(command, known_address)?;
        self.planner_addresses[planner] = process.address;
        self.planners[planner] = Some(process);
        Ok(())
    }

    fn start_forwarder(&mut self, forwarder: usize) -> Result<(), EmulatorError> {
        let earlier = self.forwarders[forwarder].as_ref();
        let known_address = earlier.map(|process| process.address);
        let state = format!("state{forwarder}");
        let state = (self.setup.keeps_state && known_address.is_some()).then_some(&*state);
        let links = self.planner_links[forwarder].iter();
        let planners: Vec<SocketAddr> = links.map(|link| link.address).collect();
        let plan_path = self.folder.join(format!("forwarder{forwarder}.plan"));
        write_file(&plan_path, &self.setup.plan(&planners, state))?;
        let config_path = self.folder.join(format!("forwarder{forwarder}.json"));
        let coordinator = self.coordinator_links[forwarder].address;
        let mut config = self.config(&config_path, coordinator)?;
        config["seed"] = format!("{:016x}", 0xaa00 + forwarder).into();
        // A restarted forwarder listens at its earlier address, to which its clients connect.
        if let Some(address) = known_address {
            config["listen"] = address.to_string().into();
        }
        write_file(&config_path, &config.to_string())?;
        let mut command = Command::new(&self.setup.binary);
        command.arg("forward").arg("--config").arg(config_path);
        if self.setup.guided {
            command.arg("--plan").arg(plan_path);
        }
        self.forwarders[forwarder] = Some(self.spawn(command, known_address)?);
        Ok(())
    }

    fn spawn(
        &self,
        mut command: Command,
        known_address: Option<SocketAddr>,
    ) -> Result<Process, EmulatorError> {
        if self.clock_skew_ms != 0 {
            let skew = self.clock_skew_ms.to_string();
            command.arg("--clock-apart-ms").arg(skew);
        }
        Process::start(command, known_address, &self.lines, self.setup.shows_logs)
    }

    /// Returns the addresses at which the forwarders accept clients.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let forwarders = self.forwarders.iter().flatten();
        forwarders.map(|forwarder| forwarder.address).collect()
    }

    /// Returns the addresses at which the planners listen for forwarders.
    pub fn planner_addresses(&self) -> &[SocketAddr] {
        &self.planner_addresses
    }

    /// Returns all lines that the programs have logged so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.all()
    }

    /// Returns the bytes of reports and guidance so far, summed over all forwarders and planners.
    pub fn control_bytes(&self) -> ControlBytes {
        let mut bytes = ControlBytes::default();
        for link in self.planner_links.iter().flatten() {
            bytes.reports += link.bytes_to_upstream();
            bytes.guidance += link.bytes_to_downstream();
        }
        bytes
    }

    /// Returns the peak resident memory of a forwarder in KB; `None` where the system doesn't report it.
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
        // A temporary folder that can't be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
