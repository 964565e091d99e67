//! One run of one point: starts all processes, waits until they are current, measures over a window, ends them.

use std::path::Path;

use crate::measurement::{Metric, Role};
use crate::report::{Rows, Run};
use crate::scenario::{Fault, Point, Scenario};
use crate::service::{Served, Service};
use crate::stage::{Folder, Stage};

/// What a run is, beside its point.
#[derive(Clone, Debug)]
pub struct Asked<'a> {
    pub scenario: &'a Scenario,
    pub point: Point,
    pub seed: u64,
    pub fault: Option<Fault>,
    /// The run's own files, with the logs of its processes, are left where they are.
    pub keeps_files: bool,
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
    let folder = Folder::create(asked.keeps_files)?;
    if asked.keeps_files {
        progress(&format!("files in {}", folder.path().display()));
    }
    let mut stage = Stage::start(asked, folder.path(), progress).await?;
    let measured = stage.measure(progress).await?;
    let (both_sides, processes) = (
        stage.both_sides(),
        stage.processes().map(|process| process.id).collect(),
    );
    let served = stage.service.as_ref().map(Service::served);
    let outcome = stage.end(&measured).await?;
    let fault = asked
        .fault
        .map_or("none", |fault| fault.kind.word())
        .to_owned();
    let Scenario {
        name, distribution, ..
    } = asked.scenario;
    let run = Run {
        name: format!("{name}-{}", asked.seed),
        seed: asked.seed,
        distribution: *distribution,
        point: asked.point,
        fault,
    };
    let mut rows = Rows::of(run);
    for role in [
        Role::Coordinator,
        Role::Planner,
        Role::RealForwarder,
        Role::HollowForwarder,
    ] {
        rows.add_role(role, &measured.looks);
    }
    measured
        .idle
        .into_iter()
        .for_each(|idle| rows.add(Role::Coordinator, Metric::MachineIdleShare, "", idle));
    rows.add_outcome(Role::HollowForwarder, &outcome);
    served
        .iter()
        .for_each(|served| add_service(&mut rows, served));
    Ok(Played {
        rows,
        both_sides,
        processes,
    })
}

fn add_service(rows: &mut Rows, served: &Served) {
    rows.add(Role::RealForwarder, Metric::ServedShare, "", served.share);
    rows.add(Role::RealForwarder, Metric::ServiceP99Ms, "", served.p99_ms);
    for rule in 1..=5 {
        let broken = served.broken.get(&rule).copied().unwrap_or(0);
        rows.add(
            Role::RealForwarder,
            Metric::RulesBroken,
            &format!("rule_{rule}"),
            broken as f64,
        );
    }
}
