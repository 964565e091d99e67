//! One run of one point: starts all processes, waits until they are current, measures over a window, ends them.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use flaxdeck_emulator::{Layout, settings};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::delays::{Judge, Outcome, read_events};
use crate::hosts;
use crate::in_force;
use crate::measurement::Role;
use crate::messages::{CoordinatorOrder, CoordinatorOrders, CoordinatorWord, HollowOrders, HollowWord};
use crate::monotonic;
use crate::processes::{Part, Process, tail};
use crate::report::{Looks, Rows, Run};
use crate::scenario::{Fault, FaultKind, Point, Scenario};
use crate::usage;

/// How long a process may take until it listens.
const LISTENS_WITHIN: Duration = Duration::from_secs(10);
/// How long all forwarders may take until they are current.
const CURRENT_WITHIN: Duration = Duration::from_secs(90);
const LOOK: Duration = Duration::from_millis(20);
/// Slow readers run for the first part of each such span and stand still for the rest.
const SLOW_TURN: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(800)];
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

/// Plays one run; all that it started has ended when it returns, also when it is dropped before.
pub async fn play(asked: &Asked<'_>, progress: &dyn Fn(&str)) -> Result<Rows, String> {
    let folder = Folder::create()?;
    let mut stage = Stage::start(asked, &folder.0, progress).await?;
    let measured = stage.measure(progress).await?;
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
    rows.add_outcome(Role::HollowForwarder, &outcome);
    Ok(rows)
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
        let (coordinator, coordinator_at) = start_coordinator(asked, folder).await?;
        let mut stage = Stage {
            asked,
            folder,
            coordinator,
            coordinator_at,
            planners: Vec::new(),
            planners_at: Vec::new(),
            regions: Vec::new(),
            killed: Vec::new(),
            next: 0,
        };
        write(
            &folder.join("config.json"),
            &stage.configuration(json!({"index": 0, "updates": []})).to_string(),
        )?;
        for at in 0..asked.point.planners as usize {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let (process, address) = stage.start_planner(at, any).await?;
            stage.planners.push(process);
            stage.planners_at.push(address);
        }
        write(&folder.join("forwarders.plan"), &stage.plan(&stage.planners_at))?;
        for at in 0..asked.point.processes {
            let count = share(asked.point.hollow, asked.point.processes, at);
            let region = stage.start_region(count, "config.json", "forwarders.plan")?;
            stage.regions.push(region);
        }
        stage.wait_until_current(progress).await?;
        Ok(stage)
    }

    fn configuration(&self, known: Value) -> Value {
        json!({
            "listen": "127.0.0.1:0",
            "seed": format!("{:016x}", self.asked.seed),
            "limits": {"memory_mb": 64, "sockets": 512},
            "coordinator": self.coordinator_at.to_string(),
            "known": known,
            "settings": platform_settings(&self.asked.point),
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
        sleep(Duration::from_secs_f64(times.settle_s)).await;
        progress("measuring");
        let (begun, from_us) = (Instant::now(), monotonic::now_us());
        let first = self.look();
        if let Some(fault) = self.asked.fault {
            sleep_until(begun + Duration::from_secs_f64(fault.at_s)).await;
            self.cause(fault, begun + Duration::from_secs_f64(fault.at_s + fault.lasts_s)).await?;
        }
        sleep_until(begun + Duration::from_secs_f64(times.window_s)).await;
        let (seconds, until_us) = (begun.elapsed().as_secs_f64(), monotonic::now_us());
        let second = self.look();
        self.coordinator.order(&CoordinatorOrder::Stop).await?;
        let CoordinatorWord::Stopped { .. } = self.coordinator.word().await? else {
            return Err("the coordinator said something else than that it has stopped".into());
        };
        progress("draining");
        sleep(Duration::from_secs_f64(times.drain_s)).await;
        let mut looks = Vec::new();
        for (id, role, instances, usage, counters) in second {
            // What was restarted within the window is left out: its counters began anew.
            let Some(before) = first.iter().find(|before| before.0 == id) else { continue };
            let (usage, counters) = ([before.3, usage], [before.4.clone(), counters]);
            looks.push(Looks { role, instances, seconds, usage, counters });
        }
        Ok(Measured { from_us, until_us, looks })
    }

    /// Reads all processes as they are now.
    fn look(&self) -> Vec<(u32, Role, u32, usage::Usage, usage::Counters)> {
        let regions = self.regions.iter().map(|region| &region.process);
        let processes = [&self.coordinator].into_iter().chain(&self.planners).chain(regions);
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
        processes.filter_map(look).collect()
    }

    async fn cause(&mut self, fault: Fault, until: Instant) -> Result<(), String> {
        match fault.kind {
            FaultKind::PlannerKilled => {
                self.planners[0].kill().await;
                sleep_until(until).await;
                let (process, _) = self.start_planner(0, self.planners_at[0]).await?;
                self.planners[0] = process;
            }
            FaultKind::PlannerHung => {
                self.planners[0].signal(Signal::STOP);
                sleep_until(until).await;
                self.planners[0].signal(Signal::CONT);
            }
            FaultKind::RegionRestarted => self.restart_region().await?,
            FaultKind::CoordinatorForgets => self.coordinator.order(&CoordinatorOrder::Forget).await?,
            FaultKind::CoordinatorSilent => {
                self.coordinator.order(&CoordinatorOrder::Silent(true)).await?;
                sleep_until(until).await;
                self.coordinator.order(&CoordinatorOrder::Silent(false)).await?;
            }
            FaultKind::LinkCut => return Err("link-cut is not built yet".into()),
            FaultKind::SlowReaders => {
                while Instant::now() < until {
                    self.regions[0].process.signal(Signal::STOP);
                    sleep(SLOW_TURN[1]).await;
                    self.regions[0].process.signal(Signal::CONT);
                    sleep(SLOW_TURN[0]).await;
                }
            }
            FaultKind::PurgeStorm => {
                self.coordinator.order(&CoordinatorOrder::PurgeRateTimes(STORM)).await?;
                sleep_until(until).await;
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
        write(&self.folder.join("restart.json"), &self.configuration(known).to_string())?;
        self.regions[0].process.kill().await;
        let count = self.regions[0].count;
        let region = self.start_region(count, "restart.json", "forwarders.plan")?;
        let old = std::mem::replace(&mut self.regions[0], region);
        self.killed.push(Killed { in_force: old.in_force, first: old.first, count: old.count });
        Ok(())
    }

    /// Ends all processes and judges what was noted.
    async fn end(mut self, measured: &Measured) -> Result<Outcome, String> {
        for region in &mut self.regions {
            region.process.end().await?;
        }
        for planner in &mut self.planners {
            planner.end().await?;
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

/// How many of a whole fall to one of so many parts.
fn share(whole: u32, parts: u32, at: u32) -> u32 {
    whole / parts + u32::from(at < whole % parts)
}

fn platform_settings(point: &Point) -> Value {
    let forwarders = (point.hollow + point.real) as usize;
    settings(&Layout { forwarders, ..Layout::default() })
}

async fn start_coordinator(asked: &Asked<'_>, folder: &Path) -> Result<(Process, SocketAddr), String> {
    let orders = CoordinatorOrders {
        hosts: hosts::generated(asked.point.hosts),
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
