//! One run of one point: starts all processes, waits until they are current, measures over a window, ends them.

use crate::cluster::{Cluster, RunFolder};
use crate::error::RunError;
use crate::measurement::{Metric, Role};
use crate::options::{MessageTotals, RunOptions};
use crate::report::{RunHeader, RunRows};
use crate::service::{Service, ServiceOutcome};

/// The roles that rows are made for, in their order.
const ROLES: [Role; 4] = [
    Role::Coordinator,
    Role::Planner,
    Role::RealForwarder,
    Role::HollowForwarder,
];
/// The rules are numbered from 1 to this.
const RULES: u8 = 5;

/// What one run gave.
pub struct RunResult {
    /// Its rows of results.
    pub rows: RunRows,
    /// What both sides of all connections counted, by kind.
    pub message_totals: Vec<MessageTotals>,
    /// Ids of all processes that it started, in case somebody wants to see that they have gone.
    pub processes: Vec<u32>,
}

/// Plays one run; all that it started has ended when it returns, also when it is dropped before.
///
/// # Errors
///
/// If a process doesn't start, doesn't do what it is ordered, or fails, or a file of the run can't be read or written.
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

/// What all rows of a run have in common.
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
