//! Starts the processes of a run, each with files written for it.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use flaxdeck_emulator::{Proxy, settings};
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};

use super::{Cluster, HollowLog, HollowProcess, Server, write_file};
use crate::error::{ProcessError, RunError};
use crate::hosts::{self, Host};
use crate::measurement::Distribution;
use crate::messages::{CoordinatorOrders, CoordinatorReply, HollowOrders, HollowReply};
use crate::options::RunOptions;
use crate::processes::{Process, ProcessKind, last_lines};
use crate::scenario::{FaultKind, Point};
use crate::service::{Service, layout};

/// How long a process may take to listen after its start.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the hollow forwarders may take until all have an endpoint list and are connected to all planners.
const CURRENT_TIMEOUT: Duration = Duration::from_secs(90);
/// How often a process's log is checked for its listening address.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Distinguishes the seeds of real forwarders from those of hollow ones.
const REAL_SEED_MASK: u64 = 0x4ea1 << 48;
/// Milliseconds between the reports of a forwarder that receives events by digest, while it has nothing urgent to
/// report.
const DIGEST_IDLE_MS: u32 = 1_500;
/// The shared key of all instances of a run, which listen on loopback only.
const KEY: &str = "3f1c0e5d9a7b42688e4d1b2a3c5f6d7e8c9b0a1f2e3d4c5b6a79887a96b5c4d3";

/// The files of one process, named `NAME.ENDING` in the folder of the run.
struct ProcessFiles<'a> {
    folder: &'a Path,
    name: String,
}

impl ProcessFiles<'_> {
    fn path(&self, ending: &str) -> PathBuf {
        self.folder.join(format!("{}.{ending}", self.name))
    }

    /// Starts the process that these files belong to.
    fn start(&self, kind: ProcessKind, command: Command) -> Result<Process, ProcessError> {
        Process::start(kind, command, self.path("counters"), self.path("log"))
    }
}

impl<'a> Cluster<'a> {
    /// Starts all processes and waits until all hollow forwarders have an endpoint list and are connected to all
    /// planners.
    pub(crate) async fn start(
        options: &'a RunOptions<'a>,
        folder: &'a Path,
        progress: &dyn Fn(&str),
    ) -> Result<Cluster<'a>, RunError> {
        write_file(&folder.join("scale.key"), KEY)?;
        let service = match options.point.real {
            0 => None,
            real => Some(Service::start(real, options.seed)?),
        };
        let own_hosts = service.as_ref().map(Service::hosts).unwrap_or_default();
        let coordinator = start_coordinator(options, own_hosts, folder).await?;
        let mut cluster = Cluster {
            options,
            folder,
            coordinator,
            planners: Vec::new(),
            hollow: Vec::new(),
            killed_logs: Vec::new(),
            real: Vec::new(),
            service,
            next_purge: None,
            link: None,
            next_hollow: 0,
        };
        cluster.start_planners().await?;
        cluster.start_hollow_processes()?;
        for index in 0..options.point.real as usize {
            let forwarder = cluster.start_real_forwarder(index).await?;
            cluster.real.push(forwarder);
        }
        cluster.wait_until_current(progress).await?;
        Ok(cluster)
    }

    async fn start_planners(&mut self) -> Result<(), RunError> {
        let no_events = json!({"index": 0, "updates": []});
        let configuration = self.configuration(no_events, platform_settings(&self.options.point));
        let path = self.folder.join("config.json");
        write_file(&path, &configuration.to_string())?;
        for index in 0..self.options.point.planners as usize {
            let planner = self.start_planner(index, any_port()).await?;
            self.planners.push(planner);
        }
        Ok(())
    }

    /// Starts the processes of hollow forwarders. If the fault of the scale file is a cut link, the first process
    /// connects to the first planner through a proxy that can be cut, in runs without the fault too.
    fn start_hollow_processes(&mut self) -> Result<(), RunError> {
        let mut addresses: Vec<SocketAddr> = self
            .planners
            .iter()
            .map(|planner| planner.address)
            .collect();
        let path = self.folder.join("forwarders.plan");
        write_file(&path, &self.plan(&addresses))?;
        let fault = self.options.scenario.fault;
        if fault.is_some_and(|fault| fault.kind == FaultKind::LinkCut) {
            let link = Proxy::start(addresses[0]).map_err(RunError::Proxy)?;
            addresses[0] = link.address;
            self.link = Some(link);
        }
        write_file(&self.folder.join("first.plan"), &self.plan(&addresses))?;
        let Point {
            hollow, processes, ..
        } = self.options.point;
        for index in 0..processes {
            let count = hollow / processes + u32::from(index < hollow % processes);
            let plan = match index {
                0 => "first.plan",
                _ => "forwarders.plan",
            };
            let process = self.start_hollow_process(count, "config.json", plan)?;
            self.hollow.push(process);
        }
        Ok(())
    }

    fn files(&self, name: String) -> ProcessFiles<'a> {
        ProcessFiles {
            folder: self.folder,
            name,
        }
    }

    async fn start_real_forwarder(&self, index: usize) -> Result<Server, RunError> {
        let files = self.files(format!("real{index}"));
        let settings = self.service.as_ref().map_or(Value::Null, Service::settings);
        let mut configuration = self.configuration(json!({"index": 0, "updates": []}), settings);
        let seed = self.options.seed ^ REAL_SEED_MASK ^ index as u64;
        configuration["seed"] = format!("{seed:016x}").into();
        write_file(&files.path("json"), &configuration.to_string())?;
        let mut command = Command::new(self.options.binary);
        command.args(["forward", "--ends-with-parent", "--config"]);
        command.arg(files.path("json"));
        command
            .arg("--plan")
            .arg(self.folder.join("forwarders.plan"));
        command.arg("--counters").arg(files.path("counters"));
        let process = files.start(ProcessKind::RealForwarder(index), command)?;
        let address = wait_until_listening(&process).await?;
        Ok(Server { process, address })
    }

    /// Returns the configuration of an instance that starts with these known events.
    pub(super) fn configuration(&self, known: Value, settings: Value) -> Value {
        json!({
            "listen": "127.0.0.1:0",
            "seed": format!("{:016x}", self.options.seed),
            "limits": {"memory_mb": 64, "sockets": 512},
            "coordinator": self.coordinator.address.to_string(),
            "known": known,
            "settings": settings,
        })
    }

    fn plan(&self, planners: &[SocketAddr]) -> String {
        let form = |(index, address): (usize, &SocketAddr)| {
            format!("(planner (name p{index}) (listen \"{address}\"))")
        };
        let forms: Vec<String> = planners.iter().enumerate().map(form).collect();
        let interval_ms = self.options.scenario.report_every_ms;
        let (reports, events) = match self.options.scenario.distribution {
            Distribution::EachEvent => (format!("(every-ms {interval_ms})"), "(by each-event)"),
            Distribution::Digest => (
                format!("(every-ms {interval_ms}) (idle-ms {DIGEST_IDLE_MS})"),
                "(by digest) (batch-ms 1000)",
            ),
        };
        format!(
            "(plan (key-file \"scale.key\") (planners {}) (reports {reports}) (events {events}) \
             (log (levels \"info\")))",
            forms.join(" "),
        )
    }

    pub(super) async fn start_planner(
        &self,
        index: usize,
        listen: SocketAddr,
    ) -> Result<Server, RunError> {
        let mut addresses = vec![any_port(); self.options.point.planners as usize];
        addresses[index] = listen;
        let files = self.files(format!("planner{index}"));
        write_file(&files.path("plan"), &self.plan(&addresses))?;
        let mut command = Command::new(self.options.binary);
        command.args(["plan", "--ends-with-parent", "--name", &format!("p{index}")]);
        command.arg("--config").arg(self.folder.join("config.json"));
        command.arg("--plan").arg(files.path("plan"));
        command.arg("--counters").arg(files.path("counters"));
        let process = files.start(ProcessKind::Planner(index), command)?;
        let address = wait_until_listening(&process).await?;
        Ok(Server { process, address })
    }

    pub(super) fn start_hollow_process(
        &mut self,
        count: u32,
        configuration: &str,
        plan: &str,
    ) -> Result<HollowProcess, RunError> {
        let first = self.next_hollow;
        self.next_hollow += count;
        let files = self.files(format!("hollow{first}"));
        let orders = HollowOrders {
            first,
            count,
            configuration: self.folder.join(configuration),
            plan: self.folder.join(plan),
            counters: files.path("counters"),
            in_force: files.path("notes"),
            seed: self.options.seed,
        };
        let text = serde_json::to_string(&orders).map_err(RunError::Encode)?;
        write_file(&files.path("json"), &text)?;
        let mut command = Command::new(self.options.binary);
        command.arg("scale-hollow").arg(files.path("json"));
        let process = files.start(ProcessKind::Hollow(count), command)?;
        Ok(HollowProcess {
            process,
            log: HollowLog {
                path: orders.in_force,
                first,
                count,
            },
            current: 0,
        })
    }

    async fn wait_until_current(&mut self, progress: &dyn Fn(&str)) -> Result<(), RunError> {
        let all_current = async {
            let mut current = 0;
            for hollow in &mut self.hollow {
                while hollow.current < hollow.log.count {
                    let HollowReply::Current(now) = hollow.process.read_reply().await?;
                    hollow.current = now;
                    progress(&format!("{} forwarders current", current + now));
                }
                current += hollow.log.count;
            }
            Ok(())
        };
        let waited = timeout(CURRENT_TIMEOUT, all_current).await;
        waited.map_err(|_| RunError::NotCurrent)?
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the platform's settings for the number of forwarders of a point.
pub(super) fn platform_settings(point: &Point) -> Value {
    let forwarders = (point.hollow + point.real) as usize;
    settings(&layout(forwarders))
}

async fn start_coordinator(
    options: &RunOptions<'_>,
    own_hosts: Vec<Host>,
    folder: &Path,
) -> Result<Server, RunError> {
    let files = ProcessFiles {
        folder,
        name: "coordinator".to_owned(),
    };
    let unchanging = own_hosts.len();
    let orders = CoordinatorOrders {
        hosts: [own_hosts, hosts::generate(options.point.hosts)].concat(),
        unchanging,
        purges_per_s: options.point.purges_per_s,
        host_changes_per_s: options.point.host_changes_per_s,
        seed: options.seed,
        settings: platform_settings(&options.point),
        counters: files.path("counters"),
        events: folder.join("events.txt"),
    };
    let text = serde_json::to_string(&orders).map_err(RunError::Encode)?;
    write_file(&files.path("json"), &text)?;
    let mut command = Command::new(options.binary);
    command.arg("scale-coordinator").arg(files.path("json"));
    let mut process = files.start(ProcessKind::Coordinator, command)?;
    let reply = timeout(LISTEN_TIMEOUT, process.read_reply()).await;
    match reply.map_err(|_| RunError::CoordinatorListen)?? {
        CoordinatorReply::Listening(address) => Ok(Server { process, address }),
        other => Err(RunError::CoordinatorReply(format!(
            "{other:?} instead of Listening"
        ))),
    }
}

/// Waits until a process listens and returns its address, which is read from its log.
async fn wait_until_listening(process: &Process) -> Result<SocketAddr, ProcessError> {
    let started = Instant::now();
    while started.elapsed() < LISTEN_TIMEOUT {
        let text = fs::read_to_string(&process.log).unwrap_or_default();
        if let Some(address) = listening_address(&text) {
            return Ok(address);
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(ProcessError::NotListening {
        process: process.kind,
        log: last_lines(&process.log),
    })
}

fn listening_address(log: &str) -> Option<SocketAddr> {
    let (_, rest) = log.split_once("listening at ")?;
    let (address, _) = rest.split_once(',')?;
    address.parse().ok()
}
