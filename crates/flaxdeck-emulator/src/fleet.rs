//! The real programs among the stand-ins: forwarders and planners as processes, each forwarder with wires of its own
//! to every planner and to the coordinator, and faults as data.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::World;
use crate::proxy::{Proxy, Wire};
use crate::world::FailureMode;

/// One fault, told by the places of those it meets: forwarders and planners count from 0, hosts have their names.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    KillPlanner(usize),
    StartPlanner(usize),
    /// It stands still with its sockets open, until it is let go on.
    FreezePlanner(usize),
    ThawPlanner(usize),
    KillForwarder(usize),
    StartForwarder(usize),
    /// It stands still with its sockets open, until it is let go on.
    FreezeForwarder(usize),
    ThawForwarder(usize),
    /// What a forwarder keeps is gone.
    LoseState(usize),
    /// All processes that start from now on have a wall clock so many milliseconds ahead.
    ClocksApart(i64),
    /// The wire between a forwarder and a planner.
    PlannerWire(usize, usize, Wire),
    /// The wire between a forwarder and the coordinator.
    CoordinatorWire(usize, Wire),
    Drain(String),
    /// Back in service, as it is.
    Serve(String),
    /// Dies, and is listed as gone after a while by whoever plays the coordinator.
    KillHost(String),
    /// Starts anew, empty and cold, and is listed so.
    RestartHost(String),
    HostManner(String, FailureMode),
    Purge(String),
    MuteCoordinator(bool),
    /// The coordinator restarts and numbers from 1 again.
    LoseNumbering,
    /// It restarts from what it knew so many events ago.
    PutBackCoordinator(u64),
    /// It restarts and numbers so much further on.
    JumpAhead(u64),
}

/// A started program.
struct Instance {
    child: Child,
    address: SocketAddr,
}

/// How a fleet is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program `flaxdeck`.
    pub binary: PathBuf,
    pub planners: usize,
    pub forwarders: usize,
    pub reserve: f64,
    /// Without planners every forwarder is a lone dispatcher: the program `flaxdeck-dispatcher` does the same.
    pub guided: bool,
    /// Further words of the plan: what to do when nobody is heard, how events are told.
    pub plan_words: &'static str,
    /// Lines of the log are shown.
    pub shown: bool,
    /// A program that starts again finds the configuration of its first start, not one that tells what came since.
    pub first_file: bool,
    /// Forwarders keep state, each in a folder of its own, from their second start on: then their addresses are known,
    /// which the state bears as its name.
    pub state: bool,
}

impl Setup {
    /// Guided forwarders and planners, with the defaults of the plan file.
    pub fn of(binary: PathBuf, planners: usize, forwarders: usize) -> Setup {
        let (reserve, guided, plan_words, shown) = (0.0, planners > 0, "", false);
        let (first_file, state) = (false, false);
        Setup {
            binary,
            planners,
            forwarders,
            reserve,
            guided,
            plan_words,
            shown,
            first_file,
            state,
        }
    }
}

pub struct Fleet {
    pub world: World,
    setup: Setup,
    folder: PathBuf,
    planners: Vec<Option<Instance>>,
    planner_addresses: Vec<SocketAddr>,
    forwarders: Vec<Option<Instance>>,
    planner_wires: Vec<Vec<Proxy>>,
    coordinator_wires: Vec<Proxy>,
    clocks_apart: i64,
    lines: Arc<Mutex<Vec<String>>>,
}

/// A program that has not said its address by then has failed.
const SOON: Duration = Duration::from_secs(10);

const KEY: &str = "6b1f0c5e9a7d42388e4c1b2a3f5d6e7c8b9a0f1e2d3c4b5a69788796a5b4c3d2";

impl Fleet {
    pub fn start(world: World, setup: Setup) -> Result<Fleet, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "flaxdeck-fleet-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)
            .map_err(|error| format!("{}: {error}", folder.display()))?;
        write(&folder.join("fleet.key"), KEY)?;
        let mut fleet = Fleet {
            world,
            setup,
            folder,
            planners: Vec::new(),
            planner_addresses: Vec::new(),
            forwarders: Vec::new(),
            planner_wires: Vec::new(),
            coordinator_wires: Vec::new(),
            clocks_apart: 0,
            lines: Arc::default(),
        };
        for at in 0..fleet.setup.planners {
            fleet.planners.push(None);
            fleet
                .planner_addresses
                .push(SocketAddr::from(([127, 0, 0, 1], 0)));
            fleet.start_planner(at)?;
        }
        for at in 0..fleet.setup.forwarders {
            let wires = fleet
                .planner_addresses
                .iter()
                .map(|address| fleet.world.proxy(*address));
            let wires = wires.collect::<Result<Vec<_>, _>>()?;
            fleet.planner_wires.push(wires);
            fleet
                .coordinator_wires
                .push(fleet.world.proxy(fleet.world.coordinator)?);
            fleet.forwarders.push(None);
            fleet.start_forwarder(at)?;
        }
        Ok(fleet)
    }

    /// Where a forwarder keeps its state, for tests that spoil it.
    pub fn state(&self, forwarder: usize) -> PathBuf {
        self.folder.join(format!("state{forwarder}"))
    }

    fn plan(&self, addresses: &[SocketAddr], port: impl Fn(usize) -> u16, state: &str) -> String {
        let planner = |(at, address): (usize, &SocketAddr)| {
            format!(
                "(planner (name p{at}) (listen \"{}:{}\"))",
                address.ip(),
                port(at)
            )
        };
        let planners: Vec<String> = addresses.iter().enumerate().map(planner).collect();
        format!(
            "(plan (key-file \"fleet.key\") (planners {}) (shares (reserve {})) (reports (every-ms 100)) {} {state})",
            planners.join(" "),
            self.setup.reserve,
            self.setup.plan_words
        )
    }

    /// What the world says now, or what that file has said since its first start.
    fn config(&self, path: &Path, coordinator: SocketAddr) -> Result<serde_json::Value, String> {
        let old = std::fs::read_to_string(path)
            .ok()
            .filter(|_| self.setup.first_file);
        let Some(old) = old else {
            return Ok(self.world.config(coordinator));
        };
        serde_json::from_str(&old).map_err(|error| format!("{}: {error}", path.display()))
    }

    fn start_planner(&mut self, at: usize) -> Result<(), String> {
        // Its own port is chosen at the first start and kept; the others' do not matter to it.
        let own = self.planner_addresses[at].port();
        let plan = self.plan(
            &self.planner_addresses,
            |other| if other == at { own } else { 0 },
            "",
        );
        let plan_path = self.folder.join(format!("planner{at}.plan"));
        write(&plan_path, &plan)?;
        let config_path = self.folder.join(format!("planner{at}.json"));
        let config = self.config(&config_path, self.world.coordinator)?;
        write(&config_path, &config.to_string())?;
        let mut command = Command::new(&self.setup.binary);
        command
            .args(["plan", "--name", &format!("p{at}"), "--config"])
            .arg(config_path);
        command.arg("--plan").arg(plan_path);
        let known = Some(self.planner_addresses[at]).filter(|address| address.port() != 0);
        let instance = self.spawn(command, known)?;
        self.planner_addresses[at] = instance.address;
        self.planners[at] = Some(instance);
        Ok(())
    }

    fn start_forwarder(&mut self, at: usize) -> Result<(), String> {
        let addresses: Vec<SocketAddr> = self.planner_wires[at]
            .iter()
            .map(|wire| wire.address)
            .collect();
        let state = format!("(state (folder \"state{at}\"))");
        let state = if self.setup.state && self.forwarders[at].is_some() {
            &*state
        } else {
            ""
        };
        let plan = self.plan(&addresses, |planner| addresses[planner].port(), state);
        let plan_path = self.folder.join(format!("forwarder{at}.plan"));
        write(&plan_path, &plan)?;
        let config_path = self.folder.join(format!("forwarder{at}.json"));
        let mut config = self.config(&config_path, self.coordinator_wires[at].address)?;
        config["seed"] = format!("{:016x}", 0xaa00 + at).into();
        // A restarted forwarder comes back where its clients look for it.
        if let Some(old) = &self.forwarders[at] {
            config["listen"] = old.address.to_string().into();
        }
        write(&config_path, &config.to_string())?;
        let mut command = Command::new(&self.setup.binary);
        if self.setup.guided {
            command
                .arg("forward")
                .arg("--config")
                .arg(config_path)
                .arg("--plan")
                .arg(plan_path);
        } else {
            command.arg("forward").arg("--config").arg(config_path);
        }
        let known = self.forwarders[at].as_ref().map(|old| old.address);
        self.forwarders[at] = Some(self.spawn(command, known)?);
        Ok(())
    }

    /// Starts a program. One whose address is not known yet is waited for until it tells it; one that starts again may
    /// take its time.
    fn spawn(&self, mut command: Command, known: Option<SocketAddr>) -> Result<Instance, String> {
        if self.clocks_apart != 0 {
            command
                .arg("--clock-apart-ms")
                .arg(self.clocks_apart.to_string());
        }
        command
            .env_remove("GW_LISTEN")
            .env_remove("GW_CONFIG")
            .stdin(Stdio::null());
        let spawned = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
        let mut child =
            spawned.map_err(|error| format!("{}: {error}", self.setup.binary.display()))?;
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let mut read = BufReader::new(stderr).lines().map_while(Result::ok);
        let (begun, mut said) = (Instant::now(), Vec::new());
        let mut address = known;
        while address.is_none() {
            let Some(line) = read.next().filter(|_| begun.elapsed() < SOON) else {
                let _ = (child.kill(), child.wait());
                return Err(format!("a program has not begun: {}", said.join("\n")));
            };
            address = listening(&line);
            said.push(line);
        }
        let (lines, shown) = (self.lines.clone(), self.setup.shown);
        lines.lock().expect("no holder panics").extend(said);
        thread::spawn(move || {
            for line in read {
                if shown {
                    eprintln!("{line}");
                }
                lines.lock().expect("no holder panics").push(line);
            }
        });
        let address = address.ok_or("a program without an address")?;
        Ok(Instance { child, address })
    }

    /// Where clients reach the forwarders.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.forwarders
            .iter()
            .flatten()
            .map(|forwarder| forwarder.address)
            .collect()
    }

    /// All lines that the programs have logged so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no holder panics").clone()
    }

    /// Bytes of reports and of guidance so far, over all forwarders and planners.
    pub fn spoken(&self) -> [u64; 2] {
        let wires = self.planner_wires.iter().flatten().map(Proxy::passed);
        wires.fold([0, 0], |sum, passed| {
            [sum[0] + passed[0], sum[1] + passed[1]]
        })
    }

    /// The most memory that a program has held, in KB; none where the system does not tell.
    pub fn memory_kb(&self, forwarder: usize) -> Option<u64> {
        let id = self.forwarders[forwarder].as_ref()?.child.id();
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        text.lines().find_map(|line| {
            line.strip_prefix("VmHWM:")?
                .split_whitespace()
                .next()?
                .parse()
                .ok()
        })
    }

    fn signal(child: &Child, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status();
    }

    /// Has one fault happen now.
    pub fn cause(&mut self, fault: &Fault) -> Result<(), String> {
        match fault {
            Fault::KillPlanner(at) => kill(&mut self.planners[*at]),
            Fault::StartPlanner(at) => self.start_planner(*at)?,
            Fault::FreezePlanner(at) => self.planners[*at]
                .iter()
                .for_each(|p| Fleet::signal(&p.child, "STOP")),
            Fault::ThawPlanner(at) => self.planners[*at]
                .iter()
                .for_each(|p| Fleet::signal(&p.child, "CONT")),
            Fault::KillForwarder(at) => {
                if let Some(forwarder) = &mut self.forwarders[*at] {
                    let _ = (forwarder.child.kill(), forwarder.child.wait());
                }
            }
            Fault::StartForwarder(at) => self.start_forwarder(*at)?,
            Fault::FreezeForwarder(at) => self.forwarders[*at]
                .iter()
                .for_each(|f| Fleet::signal(&f.child, "STOP")),
            Fault::ThawForwarder(at) => self.forwarders[*at]
                .iter()
                .for_each(|f| Fleet::signal(&f.child, "CONT")),
            Fault::LoseState(at) => drop(std::fs::remove_dir_all(self.state(*at))), // there may be none
            Fault::ClocksApart(ms) => self.clocks_apart = *ms,
            Fault::PlannerWire(forwarder, planner, wire) => {
                self.planner_wires[*forwarder][*planner].set(*wire)
            }
            Fault::CoordinatorWire(forwarder, wire) => {
                self.coordinator_wires[*forwarder].set(*wire)
            }
            Fault::Drain(host) => self.world.withdraw(host),
            Fault::Serve(host) => self.world.announce(host),
            Fault::KillHost(host) => self.world.kill(host),
            Fault::RestartHost(host) => self.world.restart(host)?,
            Fault::HostManner(host, failure_mode) => self.world.failure_mode(host, *failure_mode),
            Fault::Purge(object) => self.world.purge(object),
            Fault::MuteCoordinator(mute) => self.world.mute(*mute),
            Fault::LoseNumbering => self.world.lose_numbering(),
            Fault::PutBackCoordinator(events) => self.world.put_back(*events),
            Fault::JumpAhead(events) => self.world.jump_ahead(*events),
        }
        Ok(())
    }

    /// Has the faults of a script happen at their times, in milliseconds of the world, in order.
    pub fn play(&mut self, script: &[(f64, Fault)]) -> Result<(), String> {
        for (at, fault) in script {
            self.world.wait_until(*at);
            self.cause(fault)?;
        }
        Ok(())
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    let written = std::fs::File::create(path).and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|error| format!("{}: {error}", path.display()))
}

fn kill(instance: &mut Option<Instance>) {
    if let Some(mut instance) = instance.take() {
        let _ = (instance.child.kill(), instance.child.wait());
    }
}

/// The address that a line of the log tells.
fn listening(line: &str) -> Option<SocketAddr> {
    line.split("listening at ")
        .nth(1)?
        .split(',')
        .next()?
        .parse()
        .ok()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.forwarders
            .iter_mut()
            .chain(&mut self.planners)
            .for_each(kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
