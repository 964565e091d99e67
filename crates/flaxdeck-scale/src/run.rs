//! One run of one point: starts all processes, waits until they are current, measures over a window, ends them.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use flaxdeck_emulator::{Layout, Proxy, Wire, settings};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::delays::{Judge, Outcome, read_events};
use crate::hosts::{self, Host};
use crate::in_force;
use crate::measurement::{Metric, Role};
use crate::messages::{CoordinatorOrder, CoordinatorOrders, CoordinatorWord, HollowOrders, HollowWord};
use crate::monotonic;
use crate::processes::{Part, Process, tail};
use crate::report::{KINDS, Looks, Rows, Run};
use crate::scenario::{Fault, FaultKind, Point, Scenario};
use crate::service::{self, Served, Service};
use crate::usage;

/// How long a process may take until it listens.
const LISTENS_WITHIN: Duration = Duration::from_secs(10);
/// How long all forwarders may take until they are current.
const CURRENT_WITHIN: Duration = Duration::from_secs(90);
/// How long the last requests may take beyond the drain.
const ANSWERED_WITHIN: Duration = Duration::from_secs(4);
const LOOK: Duration = Duration::from_millis(20);
/// Slow readers run for the first part of each such span and stand still for the rest.
const SLOW_TURN: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(800)];
/// Sets the seeds of real forwarders apart from those of hollow ones.
const REAL_SEEDS: u64 = 0x4ea1 << 48;
/// By how much purges come more often in a storm.
const STORM: f64 = 10.0;

/// What a run is, beside its point.
#[derive(Clone, Debug)]
pub struct Asked<'a> {
    pub scenario: &'a Scenario,
    pub point: Point,
    pub seed: u64,
    pub fault: Option<Fault>,
    /// The program `flaxdeck`.
    pub binary: &'a Path,
}

/// What one run gave.
pub struct Played {
    pub rows: Rows,
    /// What both sides of all conversations counted, by kind.
    pub both_sides: Vec<BothSides>,
    /// Ids of all processes that it started, in case somebody wants to see that they have gone.
    pub processes: Vec<u32>,
}

/// Messages and bytes of one kind since the start, as those counted who sent them and those who received them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BothSides {
    pub kind: &'static str,
    pub sent: [u64; 2],
    pub received: [u64; 2],
}

/// Plays one run; all that it started has ended when it returns, also when it is dropped before.
pub async fn play(asked: &Asked<'_>, progress: &dyn Fn(&str)) -> Result<Played, String> {
    let folder = Folder::create()?;
    let mut stage = Stage::start(asked, &folder.0, progress).await?;
    let measured = stage.measure(progress).await?;
    let (both_sides, processes) = (stage.both_sides(), stage.processes().map(|process| process.id).collect());
    let served = stage.service.as_ref().map(Service::served);
    let outcome = stage.end(&measured).await?;
    let fault = asked.fault.map_or("none", |fault| fault.kind.word()).to_owned();
    let Scenario { name, distribution, .. } = asked.scenario;
    let run = Run {
        name: format!("{name}-{}", asked.seed),
        seed: asked.seed,
        distribution: *distribution,
        point: asked.point,
        fault,
    };
    let mut rows = Rows::of(run);
    for role in [Role::Coordinator, Role::Planner, Role::RealForwarder, Role::HollowForwarder] {
        rows.add_role(role, &measured.looks);
    }
    measured
        .idle
        .into_iter()
        .for_each(|idle| rows.add(Role::Coordinator, Metric::MachineIdleShare, "", idle));
    rows.add_outcome(Role::HollowForwarder, &outcome);
    served.iter().for_each(|served| add_service(&mut rows, served));
    Ok(Played { rows, both_sides, processes })
}

fn add_service(rows: &mut Rows, served: &Served) {
    rows.add(Role::RealForwarder, Metric::ServedShare, "", served.share);
    rows.add(Role::RealForwarder, Metric::ServiceP99Ms, "", served.p99_ms);
    for rule in 1..=5 {
        let broken = served.broken.get(&rule).copied().unwrap_or(0);
        rows.add(Role::RealForwarder, Metric::RulesBroken, &format!("rule_{rule}"), broken as f64);
    }
}

/// A folder of the run's own files, gone with it.
struct Folder(PathBuf);

impl Folder {
    fn create() -> Result<Folder, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("flaxdeck-scale-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What was read over the window.
struct Measured {
    from_us: u64,
    until_us: u64,
    looks: Vec<Looks>,
    /// The share of the machine that nobody used.
    idle: Option<f64>,
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

struct Stage<'a> {
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
    service: Option<Service>,
    next_purge: Option<Instant>,
    /// Between the first process of hollow forwarders and the first planner, where a run or its twin cuts it.
    wire: Option<Proxy>,
    /// The first number that no hollow forwarder has had.
    next: u32,
}

const KEY: &str = "3f1c0e5d9a7b42688e4d1b2a3c5f6d7e8c9b0a1f2e3d4c5b6a79887a96b5c4d3";

fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

impl<'a> Stage<'a> {
    async fn start(
        asked: &'a Asked<'a>,
        folder: &'a Path,
        progress: &dyn Fn(&str),
    ) -> Result<Stage<'a>, String> {
        write(&folder.join("scale.key"), KEY)?;
        let real = asked.point.real;
        let service = (real > 0).then(|| Service::start(real, asked.seed)).transpose()?;
        let own_hosts = service.as_ref().map(Service::hosts).unwrap_or_default();
        let (coordinator, coordinator_at) = start_coordinator(asked, own_hosts, folder).await?;
        let mut stage = Stage {
            asked,
            folder,
            coordinator,
            coordinator_at,
            planners: Vec::new(),
            planners_at: Vec::new(),
            regions: Vec::new(),
            killed: Vec::new(),
            real: Vec::new(),
            real_at: Vec::new(),
            service,
            next_purge: None,
            wire: None,
            next: 0,
        };
        let nothing_known = json!({"index": 0, "updates": []});
        let configuration = stage.configuration(nothing_known, platform_settings(&asked.point));
        write(&folder.join("config.json"), &configuration.to_string())?;
        for at in 0..asked.point.planners as usize {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let (process, address) = stage.start_planner(at, any).await?;
            stage.planners.push(process);
            stage.planners_at.push(address);
        }
        write(&folder.join("forwarders.plan"), &stage.plan(&stage.planners_at))?;
        stage.start_wire()?;
        for at in 0..asked.point.processes {
            let count = share(asked.point.hollow, asked.point.processes, at);
            let plan = if at == 0 { "first.plan" } else { "forwarders.plan" };
            let region = stage.start_region(count, "config.json", plan)?;
            stage.regions.push(region);
        }
        for at in 0..asked.point.real as usize {
            let (process, address) = stage.start_real(at).await?;
            stage.real.push(process);
            stage.real_at.push(address);
        }
        stage.wait_until_current(progress).await?;
        Ok(stage)
    }

    /// The plan of the first process of hollow forwarders, whose connections to the first planner may go over a wire
    /// that can be cut.
    fn start_wire(&mut self) -> Result<(), String> {
        let mut planners = self.planners_at.clone();
        if self.asked.scenario.fault.is_some_and(|fault| fault.kind == FaultKind::LinkCut) {
            let wire = Proxy::start(planners[0]).map_err(|error| format!("no wire: {error}"))?;
            planners[0] = wire.address;
            self.wire = Some(wire);
        }
        write(&self.folder.join("first.plan"), &self.plan(&planners))
    }

    async fn start_real(&self, at: usize) -> Result<(Process, SocketAddr), String> {
        let file = |ending: &str| self.folder.join(format!("real{at}.{ending}"));
        let settings = self.service.as_ref().map_or(Value::Null, Service::settings);
        let mut configuration = self.configuration(json!({"index": 0, "updates": []}), settings);
        configuration["seed"] = format!("{:016x}", self.asked.seed ^ REAL_SEEDS ^ at as u64).into();
        write(&file("json"), &configuration.to_string())?;
        let mut command = Command::new(self.asked.binary);
        command.args(["forward", "--ends-with-parent", "--config"]).arg(file("json"));
        command.arg("--plan").arg(self.folder.join("forwarders.plan"));
        command.arg("--counters").arg(file("counters"));
        let process = Process::start(Part::RealForwarder(at), command, file("counters"), file("log"))?;
        let address = listening(&process).await?;
        Ok((process, address))
    }

    fn configuration(&self, known: Value, settings: Value) -> Value {
        json!({
            "listen": "127.0.0.1:0",
            "seed": format!("{:016x}", self.asked.seed),
            "limits": {"memory_mb": 64, "sockets": 512},
            "coordinator": self.coordinator_at.to_string(),
            "known": known,
            "settings": settings,
        })
    }

    fn plan(&self, planners: &[SocketAddr]) -> String {
        let line =
            |(at, address): (usize, &SocketAddr)| format!("(planner (name p{at}) (listen \"{address}\"))");
        let lines: Vec<String> = planners.iter().enumerate().map(line).collect();
        format!(
            "(plan (key-file \"scale.key\") (planners {}) (reports (every-ms {})) (log (levels \"info\")))",
            lines.join(" "),
            self.asked.scenario.report_every_ms
        )
    }

    async fn start_planner(&self, at: usize, listen: SocketAddr) -> Result<(Process, SocketAddr), String> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let planners: Vec<SocketAddr> = (0..self.asked.point.planners as usize)
            .map(|other| if other == at { listen } else { any })
            .collect();
        let file = |ending: &str| self.folder.join(format!("planner{at}.{ending}"));
        write(&file("plan"), &self.plan(&planners))?;
        let mut command = Command::new(self.asked.binary);
        command.args(["plan", "--ends-with-parent", "--name", &format!("p{at}"), "--config"]);
        command.arg(self.folder.join("config.json")).arg("--plan").arg(file("plan"));
        command.arg("--counters").arg(file("counters"));
        let process = Process::start(Part::Planner(at), command, file("counters"), file("log"))?;
        let address = listening(&process).await?;
        Ok((process, address))
    }

    fn start_region(&mut self, count: u32, configuration: &str, plan: &str) -> Result<Region, String> {
        let first = self.next;
        self.next += count;
        let file = |ending: &str| self.folder.join(format!("hollow{first}.{ending}"));
        let orders = HollowOrders {
            first,
            count,
            configuration: self.folder.join(configuration),
            plan: self.folder.join(plan),
            counters: file("counters"),
            in_force: file("notes"),
            seed: self.asked.seed,
        };
        write(&file("json"), &serde_json::to_string(&orders).map_err(|error| error.to_string())?)?;
        let mut command = Command::new(self.asked.binary);
        command.arg("scale-hollow").arg(file("json"));
        let process = Process::start(Part::Hollow(count), command, file("counters"), file("log"))?;
        Ok(Region { process, in_force: orders.in_force, first, count, current: 0 })
    }

    async fn wait_until_current(&mut self, progress: &dyn Fn(&str)) -> Result<(), String> {
        let all = async {
            let mut current = 0;
            for region in &mut self.regions {
                while region.current < region.count {
                    let HollowWord::Current(now) = region.process.word().await?;
                    region.current = now;
                    progress(&format!("{} forwarders current", current + now));
                }
                current += region.count;
            }
            Ok(())
        };
        timeout(CURRENT_WITHIN, all).await.map_err(|_| "not all forwarders were current in time")?
    }

    /// Has events happen, measures over the window, has the fault happen within it.
    async fn measure(&mut self, progress: &dyn Fn(&str)) -> Result<Measured, String> {
        let times = self.asked.scenario.times;
        progress("settling");
        self.coordinator.order(&CoordinatorOrder::Begin).await?;
        if let Some(service) = &mut self.service {
            service.load(&self.real_at, times.settle_s + times.window_s, self.asked.seed);
            self.next_purge = Some(Instant::now());
        }
        self.pass_until(Instant::now() + Duration::from_secs_f64(times.settle_s)).await?;
        progress("measuring");
        let (begun, from_us) = (Instant::now(), monotonic::now_us());
        let (first, machine) = (self.look(), usage::machine());
        if let Some(fault) = self.asked.fault {
            self.pass_until(begun + Duration::from_secs_f64(fault.at_s)).await?;
            self.cause(fault, begun + Duration::from_secs_f64(fault.at_s + fault.lasts_s)).await?;
        }
        self.pass_until(begun + Duration::from_secs_f64(times.window_s)).await?;
        self.next_purge = None;
        let (seconds, until_us) = (begun.elapsed().as_secs_f64(), monotonic::now_us());
        let (second, idle) = (self.look(), machine.zip(usage::machine()).map(idle_share));
        self.coordinator.order(&CoordinatorOrder::Stop).await?;
        let CoordinatorWord::Stopped { .. } = self.coordinator.word().await? else {
            return Err("the coordinator said something else than that it has stopped".into());
        };
        progress("draining");
        sleep(Duration::from_secs_f64(times.drain_s)).await;
        let answered_by = Instant::now() + ANSWERED_WITHIN;
        while self.service.as_ref().is_some_and(|service| !service.is_done()) && Instant::now() < answered_by
        {
            sleep(LOOK).await;
        }
        let mut looks = Vec::new();
        for (id, role, instances, usage, counters) in second {
            // What was restarted within the window is left out: its counters began anew.
            let Some(before) = first.iter().find(|before| before.0 == id) else { continue };
            let (usage, counters) = ([before.3, usage], [before.4.clone(), counters]);
            looks.push(Looks { role, instances, seconds, usage, counters });
        }
        Ok(Measured { from_us, until_us, looks, idle })
    }

    /// Lets time pass, with purges of what clients ask for when they are due.
    async fn pass_until(&mut self, until: Instant) -> Result<(), String> {
        while let Some(due) = self.next_purge.filter(|due| *due < until) {
            sleep_until(due).await;
            if let Some(service) = &mut self.service {
                let object = service.purge();
                self.coordinator.order(&CoordinatorOrder::Purge { object }).await?;
            }
            self.next_purge = Some(due + service::between_purges());
        }
        sleep_until(until).await;
        Ok(())
    }

    fn processes(&self) -> impl Iterator<Item = &Process> {
        let regions = self.regions.iter().map(|region| &region.process);
        [&self.coordinator].into_iter().chain(&self.planners).chain(regions).chain(&self.real)
    }

    /// What both sides have counted of each kind since the start.
    fn both_sides(&self) -> Vec<BothSides> {
        let all: Vec<usage::Counters> =
            self.processes().filter_map(|process| usage::last_counters(&process.counters)).collect();
        let sum = |name: String| all.iter().filter_map(|counters| counters.values.get(&name)).sum::<u64>();
        let side =
            |kind: &str, way: &str| ["messages", "bytes"].map(|what| sum(format!("{kind}_{what}_{way}")));
        KINDS
            .iter()
            .map(|kind| BothSides { kind, sent: side(kind, "out"), received: side(kind, "in") })
            .collect()
    }

    /// Reads all processes as they are now.
    fn look(&self) -> Vec<(u32, Role, u32, usage::Usage, usage::Counters)> {
        let look = |process: &Process| {
            let (role, instances) = match process.part {
                Part::Coordinator => (Role::Coordinator, 1),
                Part::Planner(_) => (Role::Planner, 1),
                Part::Hollow(count) => (Role::HollowForwarder, count),
                Part::RealForwarder(_) => (Role::RealForwarder, 1),
            };
            let counters = usage::last_counters(&process.counters).unwrap_or_default();
            usage::of(process.id).map(|usage| (process.id, role, instances, usage, counters))
        };
        self.processes().filter_map(look).collect()
    }

    async fn cause(&mut self, fault: Fault, until: Instant) -> Result<(), String> {
        match fault.kind {
            FaultKind::PlannerKilled => {
                self.planners[0].kill().await;
                self.pass_until(until).await?;
                let (process, _) = self.start_planner(0, self.planners_at[0]).await?;
                self.planners[0] = process;
            }
            FaultKind::PlannerHung => {
                self.planners[0].signal(Signal::STOP);
                self.pass_until(until).await?;
                self.planners[0].signal(Signal::CONT);
            }
            FaultKind::RegionRestarted => self.restart_region().await?,
            FaultKind::CoordinatorForgets => self.coordinator.order(&CoordinatorOrder::Forget).await?,
            FaultKind::CoordinatorSilent => {
                self.coordinator.order(&CoordinatorOrder::Silent(true)).await?;
                self.pass_until(until).await?;
                self.coordinator.order(&CoordinatorOrder::Silent(false)).await?;
            }
            FaultKind::LinkCut => {
                self.wire.iter().for_each(|wire| wire.set(Wire::Cut));
                self.pass_until(until).await?;
                self.wire.iter().for_each(|wire| wire.set(Wire::Whole));
            }
            FaultKind::SlowReaders => {
                while Instant::now() < until {
                    self.regions[0].process.signal(Signal::STOP);
                    self.pass_until(Instant::now() + SLOW_TURN[1]).await?;
                    self.regions[0].process.signal(Signal::CONT);
                    self.pass_until(Instant::now() + SLOW_TURN[0]).await?;
                }
            }
            FaultKind::PurgeStorm => {
                self.coordinator.order(&CoordinatorOrder::PurgeRateTimes(STORM)).await?;
                self.pass_until(until).await?;
                self.coordinator.order(&CoordinatorOrder::PurgeRateTimes(1.0)).await?;
            }
        }
        Ok(())
    }

    /// Kills all hollow forwarders of the first process and starts as many at once, from a configuration of now.
    async fn restart_region(&mut self) -> Result<(), String> {
        let known = self.folder.join("known.json");
        self.coordinator.order(&CoordinatorOrder::WriteKnown(known.clone())).await?;
        let CoordinatorWord::Written = self.coordinator.word().await? else {
            return Err("the coordinator said something else than that its file is written".into());
        };
        let text = fs::read_to_string(&known).map_err(|error| format!("{}: {error}", known.display()))?;
        let known = serde_json::from_str(&text).map_err(|error| format!("known events: {error}"))?;
        let configuration = self.configuration(known, platform_settings(&self.asked.point));
        write(&self.folder.join("restart.json"), &configuration.to_string())?;
        self.regions[0].process.kill().await;
        let count = self.regions[0].count;
        let region = self.start_region(count, "restart.json", "first.plan")?;
        let old = std::mem::replace(&mut self.regions[0], region);
        self.killed.push(Killed { in_force: old.in_force, first: old.first, count: old.count });
        Ok(())
    }

    /// Ends all processes and judges what was noted.
    async fn end(mut self, measured: &Measured) -> Result<Outcome, String> {
        for region in &mut self.regions {
            region.process.end().await?;
        }
        for process in self.real.iter_mut().chain(&mut self.planners) {
            process.end().await?;
        }
        self.coordinator.end().await?;
        let events = read_events(&self.folder.join("events.txt"))?;
        let mut judge = Judge::new(&events, measured.from_us, measured.until_us);
        let killed = self.killed.iter().map(|killed| (&killed.in_force, killed.first, killed.count, true));
        let alive = self.regions.iter().map(|region| (&region.in_force, region.first, region.count, false));
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

/// The part of all processor time between two looks that nobody used.
fn idle_share((before, after): ([u64; 2], [u64; 2])) -> f64 {
    let [all, idle] = [0, 1].map(|at| after[at].saturating_sub(before[at]) as f64);
    idle / all.max(1.0)
}

/// How many of a whole fall to one of so many parts.
fn share(whole: u32, parts: u32, at: u32) -> u32 {
    whole / parts + u32::from(at < whole % parts)
}

fn platform_settings(point: &Point) -> Value {
    let forwarders = (point.hollow + point.real) as usize;
    settings(&Layout { forwarders, ..Layout::default() })
}

async fn start_coordinator(
    asked: &Asked<'_>,
    own_hosts: Vec<Host>,
    folder: &Path,
) -> Result<(Process, SocketAddr), String> {
    let unchanging = own_hosts.len();
    let orders = CoordinatorOrders {
        hosts: [own_hosts, hosts::generated(asked.point.hosts)].concat(),
        unchanging,
        purges_per_s: asked.point.purges_per_s,
        host_changes_per_s: asked.point.host_changes_per_s,
        seed: asked.seed,
        settings: platform_settings(&asked.point),
        counters: folder.join("coordinator.counters"),
        events: folder.join("events.txt"),
    };
    let file = folder.join("coordinator.json");
    write(&file, &serde_json::to_string(&orders).map_err(|error| error.to_string())?)?;
    let mut command = Command::new(asked.binary);
    command.arg("scale-coordinator").arg(file);
    let log = folder.join("coordinator.log");
    let mut process = Process::start(Part::Coordinator, command, orders.counters, log)?;
    let said = timeout(LISTENS_WITHIN, process.word()).await;
    match said.map_err(|_| "the coordinator did not listen in time")?? {
        CoordinatorWord::Listening(address) => Ok((process, address)),
        other => Err(format!("the coordinator said {other:?} before it listened")),
    }
}

/// Where a process listens, by its log.
async fn listening(process: &Process) -> Result<SocketAddr, String> {
    let begun = Instant::now();
    while begun.elapsed() < LISTENS_WITHIN {
        let text = fs::read_to_string(&process.log).unwrap_or_default();
        let told = text.split("listening at ").nth(1).and_then(|rest| rest.split_once(','));
        if let Some(address) = told.and_then(|(address, _)| address.parse().ok()) {
            return Ok(address);
        }
        sleep(LOOK).await;
    }
    Err(format!("{:?} did not listen in time: {}", process.part, tail(&process.log)))
}
