//! Executes one run of one point: starts all processes, waits until the forwarders are current, measures over a window,
//! and ends the processes.

use crate::cluster::{Cluster, RunFolder};
use crate::error::RunError;
use crate::measurement::{Metric, Role};
use crate::options::{MessageTotals, RunOptions};
use crate::report::{RunHeader, RunRows};
use crate::service::{Service, ServiceOutcome};

/// The roles that get result rows, in the order of the rows.
const ROLES: [Role; 4] = [
    Role::Coordinator,
    Role::Planner,
    Role::RealForwarder,
    Role::HollowForwarder,
];
/// The number of rules by which the service is judged; they are numbered from 1.
const RULES: u8 = 5;

/// The result of one run.
pub struct RunResult {
    /// The result rows.
    pub rows: RunRows,
    /// The messages that both sides of all connections have counted, by kind.
    pub message_totals: Vec<MessageTotals>,
    /// Ids of the processes at the end of the run, so that a caller can check that all have ended.
    pub processes: Vec<u32>,
}

/// Executes one run. All processes that it started have ended when it returns; if the future is dropped, they are
/// killed.
///
/// # Errors
///
/// If a process doesn't start, doesn't carry out an order, or fails, or a file of the run can't be read or written.
pub async fn play(
    options: &RunOptions<'_>,
    progress: &dyn Fn(&str),
) -> Result<RunResult, RunError> {
    let folder = RunFolder::create(options.keeps_files)?;
    if options.keeps_files {
        progress(&format!("files in {}", folder.path().display()));
    }
    let mut cluster = Cluster::start(options, folder.path(), progress).await?;
    let window = cluster.measure(progress).await?;
    let message_totals = cluster.message_totals();
    let processes = cluster.processes().map(|process| process.id).collect();
    let service = cluster.service.as_ref().map(Service::outcome);
    let delivery = cluster.end(&window).await?;
    let mut rows = RunRows::new(header(options));
    for role in ROLES {
        rows.add_role(role, &window.processes);
    }
    if let Some(idle) = window.idle_fraction {
        rows.add(Role::Coordinator, Metric::MachineIdleShare, "", idle);
    }
    rows.add_delivery(Role::HollowForwarder, &delivery);
    if let Some(service) = &service {
        add_service(&mut rows, service);
    }
    Ok(RunResult {
        rows,
        message_totals,
        processes,
    })
}

/// Returns the values that all rows of a run have in common.
fn header(options: &RunOptions<'_>) -> RunHeader {
    let scenario = options.scenario;
    RunHeader {
        name: format!("{}-{}", scenario.name, options.seed),
        seed: options.seed,
        distribution: scenario.distribution,
        point: options.point,
        fault: options
            .fault
            .map_or("none", |fault| fault.kind.word())
            .to_owned(),
    }
}

fn add_service(rows: &mut RunRows, outcome: &ServiceOutcome) {
    let role = Role::RealForwarder;
    rows.add(role, Metric::ServedShare, "", outcome.served_fraction);
    rows.add(role, Metric::ServiceP99Ms, "", outcome.p99_ms);
    for rule in 1..=RULES {
        let violations = outcome.violations.get(&rule).copied().unwrap_or(0);
        let kind = format!("rule_{rule}");
        rows.add(role, Metric::RulesBroken, &kind, violations as f64);
    }
}
