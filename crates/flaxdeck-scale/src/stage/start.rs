//! Starts the processes of a run, each from files that are written for it.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use flaxdeck_emulator::{Proxy, settings};
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};

use super::{Region, Stage, write};
use crate::hosts::{self, Host};
use crate::measurement::Distribution;
use crate::messages::{CoordinatorOrders, CoordinatorReply, HollowOrders, HollowReply};
use crate::processes::{Part, Process, tail};
use crate::run::Asked;
use crate::scenario::{FaultKind, Point};
use crate::service::{Service, layout};

/// How long a process may take until it listens.
const LISTENS_WITHIN: Duration = Duration::from_secs(10);
/// How long all forwarders may take until they are current.
const CURRENT_WITHIN: Duration = Duration::from_secs(90);
const LOOK: Duration = Duration::from_millis(20);
/// Sets the seeds of real forwarders apart from those of hollow ones.
const REAL_SEEDS: u64 = 0x4ea1 << 48;
/// Between reports of forwarders that hear of events by digests, while they have nothing urgent to tell.
const DIGEST_IDLE_MS: u32 = 1_500;
/// The shared key of a run's own instances, who listen on loopback only.
const KEY: &str = "3f1c0e5d9a7b42688e4d1b2a3c5f6d7e8c9b0a1f2e3d4c5b6a79887a96b5c4d3";

impl<'a> Stage<'a> {
    /// Starts everything and waits until all forwarders are current.
    pub async fn start(
        asked: &'a Asked<'a>,
        folder: &'a Path,
        progress: &dyn Fn(&str),
    ) -> Result<Stage<'a>, String> {
        write(&folder.join("scale.key"), KEY)?;
        let real = asked.point.real;
        let service = (real > 0)
            .then(|| Service::start(real, asked.seed))
            .transpose()?;
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
        write(
            &folder.join("forwarders.plan"),
            &stage.plan(&stage.planners_at),
        )?;
        stage.start_wire()?;
        for at in 0..asked.point.processes {
            let count = share(asked.point.hollow, asked.point.processes, at);
            let plan = if at == 0 {
                "first.plan"
            } else {
                "forwarders.plan"
            };
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
        if self
            .asked
            .scenario
            .fault
            .is_some_and(|fault| fault.kind == FaultKind::LinkCut)
        {
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
        command
            .args(["forward", "--ends-with-parent", "--config"])
            .arg(file("json"));
        command
            .arg("--plan")
            .arg(self.folder.join("forwarders.plan"));
        command.arg("--counters").arg(file("counters"));
        let process = Process::start(
            Part::RealForwarder(at),
            command,
            file("counters"),
            file("log"),
        )?;
        let address = listening(&process).await?;
        Ok((process, address))
    }

    pub(super) fn configuration(&self, known: Value, settings: Value) -> Value {
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
        let line = |(at, address): (usize, &SocketAddr)| {
            format!("(planner (name p{at}) (listen \"{address}\"))")
        };
        let lines: Vec<String> = planners.iter().enumerate().map(line).collect();
        let every = self.asked.scenario.report_every_ms;
        let (reports, events) = match self.asked.scenario.distribution {
            Distribution::EachEvent => (format!("(every-ms {every})"), "(by each-event)"),
            Distribution::Digest => (
                format!("(every-ms {every}) (idle-ms {DIGEST_IDLE_MS})"),
                "(by digest) (batch-ms 1000)",
            ),
        };
        format!(
            "(plan (key-file \"scale.key\") (planners {}) (reports {reports}) (events {events}) \
             (log (levels \"info\")))",
            lines.join(" "),
        )
    }

    pub(super) async fn start_planner(
        &self,
        at: usize,
        listen: SocketAddr,
    ) -> Result<(Process, SocketAddr), String> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let planners: Vec<SocketAddr> = (0..self.asked.point.planners as usize)
            .map(|other| if other == at { listen } else { any })
            .collect();
        let file = |ending: &str| self.folder.join(format!("planner{at}.{ending}"));
        write(&file("plan"), &self.plan(&planners))?;
        let mut command = Command::new(self.asked.binary);
        command.args([
            "plan",
            "--ends-with-parent",
            "--name",
            &format!("p{at}"),
            "--config",
        ]);
        command
            .arg(self.folder.join("config.json"))
            .arg("--plan")
            .arg(file("plan"));
        command.arg("--counters").arg(file("counters"));
        let process = Process::start(Part::Planner(at), command, file("counters"), file("log"))?;
        let address = listening(&process).await?;
        Ok((process, address))
    }

    pub(super) fn start_region(
        &mut self,
        count: u32,
        configuration: &str,
        plan: &str,
    ) -> Result<Region, String> {
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
        write(
            &file("json"),
            &serde_json::to_string(&orders).map_err(|error| error.to_string())?,
        )?;
        let mut command = Command::new(self.asked.binary);
        command.arg("scale-hollow").arg(file("json"));
        let process = Process::start(Part::Hollow(count), command, file("counters"), file("log"))?;
        Ok(Region {
            process,
            in_force: orders.in_force,
            first,
            count,
            current: 0,
        })
    }

    async fn wait_until_current(&mut self, progress: &dyn Fn(&str)) -> Result<(), String> {
        let all = async {
            let mut current = 0;
            for region in &mut self.regions {
                while region.current < region.count {
                    let HollowReply::Current(now) = region.process.reply().await?;
                    region.current = now;
                    progress(&format!("{} forwarders current", current + now));
                }
                current += region.count;
            }
            Ok(())
        };
        timeout(CURRENT_WITHIN, all)
            .await
            .map_err(|_| "not all forwarders were current in time")?
    }
}

/// How many of a whole fall to one of so many parts.
fn share(whole: u32, parts: u32, at: u32) -> u32 {
    whole / parts + u32::from(at < whole % parts)
}

pub(super) fn platform_settings(point: &Point) -> Value {
    let forwarders = (point.hollow + point.real) as usize;
    settings(&layout(forwarders))
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
    write(
        &file,
        &serde_json::to_string(&orders).map_err(|error| error.to_string())?,
    )?;
    let mut command = Command::new(asked.binary);
    command.arg("scale-coordinator").arg(file);
    let log = folder.join("coordinator.log");
    let mut process = Process::start(Part::Coordinator, command, orders.counters, log)?;
    let said = timeout(LISTENS_WITHIN, process.reply()).await;
    match said.map_err(|_| "the coordinator did not listen in time")?? {
        CoordinatorReply::Listening(address) => Ok((process, address)),
        other => Err(format!("the coordinator said {other:?} before it listened")),
    }
}

/// Where a process listens, by its log.
async fn listening(process: &Process) -> Result<SocketAddr, String> {
    let begun = Instant::now();
    while begun.elapsed() < LISTENS_WITHIN {
        let text = fs::read_to_string(&process.log).unwrap_or_default();
        let told = text
            .split("listening at ")
            .nth(1)
            .and_then(|rest| rest.split_once(','));
        if let Some(address) = told.and_then(|(address, _)| address.parse().ok()) {
            return Ok(address);
        }
        sleep(LOOK).await;
    }
    Err(format!(
        "{:?} did not listen in time: {}",
        process.part,
        tail(&process.log)
    ))
}
