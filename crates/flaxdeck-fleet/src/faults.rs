//! Faults as data: what goes wrong, when and for how long; written down by hand, or drawn from ranges by a seed.
//!
//! Hosts, forwarders, planners and zones are named by their places in the model's lists.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A fraction of all caches and parents crashes at once; each restarts, cold, at the fault's end.
    HostCrash {
        /// From 0 to 1.
        fraction: f64,
    },
    /// Caches are drained and restarted, one batch after another.
    RollingRestart {
        /// Caches that are drained together.
        batch: usize,
    },
    /// The coordinator's events come later.
    CoordinatorDelay {
        /// Milliseconds that are added.
        added_ms: f64,
    },
    /// All caches of a zone are lost.
    ZoneLoss {
        /// The zone.
        zone: usize,
    },
    /// All parents but the last are lost.
    ParentLoss,
    /// A fraction of the caches takes requests and answers none.
    SilentCaches {
        /// From 0 to 1.
        fraction: f64,
    },
    /// A fraction of the caches answers that it failed.
    FailingCaches {
        /// From 0 to 1.
        fraction: f64,
    },
    /// A fraction of the caches is slow.
    SlowCaches {
        /// From 0 to 1.
        fraction: f64,
        /// How many times as long they take.
        factor: f64,
    },
    /// The origin is slow.
    SlowOrigin {
        /// How many times as long it takes.
        factor: f64,
    },
    /// The origin answers that it failed.
    FailingOrigin,
    /// Every object is purged.
    PurgeAll,
    /// Objects are asked for that nobody asks for again.
    Scan {
        /// Objects a second.
        requests_per_s: f64,
    },
    /// A fraction of all requests goes to one object.
    HotObject {
        /// From 0 to 1.
        fraction: f64,
    },
    /// All load rises.
    Overload {
        /// How many times as high it is.
        factor: f64,
    },
    /// A fraction of the forwarders is killed; they restart at once.
    ForwarderCrash {
        /// From 0 to 1.
        fraction: f64,
    },
    /// No planner sends anything.
    SilentPlanners,
    /// Each forwarder hears only one planner, every other one another.
    PartitionedPlanners,
}

/// One fault of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, in milliseconds of the run.
    pub at_ms: f64,
    /// Milliseconds until it ends.
    pub duration_ms: f64,
    /// What goes wrong.
    pub kind: FaultKind,
}

/// The names of the kinds, as operators write them.
pub const KINDS: &[&str] = &[
    "die",
    "deploy",
    "late-register",
    "lost-zone",
    "lost-hub",
    "hang",
    "fail",
    "slow",
    "slow-origin",
    "origin-refuses",
    "purge-all",
    "scan",
    "hot",
    "overload",
    "kill-forwarders",
    "silent-planners",
    "split-planners",
];

impl FaultKind {
    /// The kind of a name out of [`KINDS`], whose parameters are asked for by their words in files: part, times, at-once,
    /// zone, ms, rate. None for an unknown name.
    pub fn from_name(
        name: &str,
        mut parameter: impl FnMut(&'static str) -> f64,
    ) -> Option<FaultKind> {
        Some(match name {
            "die" => FaultKind::HostCrash {
                fraction: parameter("part"),
            },
            "deploy" => FaultKind::RollingRestart {
                batch: parameter("at-once") as usize,
            },
            "late-register" => FaultKind::CoordinatorDelay {
                added_ms: parameter("ms"),
            },
            "lost-zone" => FaultKind::ZoneLoss {
                zone: parameter("zone") as usize,
            },
            "lost-hub" => FaultKind::ParentLoss,
            "hang" => FaultKind::SilentCaches {
                fraction: parameter("part"),
            },
            "fail" => FaultKind::FailingCaches {
                fraction: parameter("part"),
            },
            "slow" => FaultKind::SlowCaches {
                fraction: parameter("part"),
                factor: parameter("times"),
            },
            "slow-origin" => FaultKind::SlowOrigin {
                factor: parameter("times"),
            },
            "origin-refuses" => FaultKind::FailingOrigin,
            "purge-all" => FaultKind::PurgeAll,
            "scan" => FaultKind::Scan {
                requests_per_s: parameter("rate"),
            },
            "hot" => FaultKind::HotObject {
                fraction: parameter("part"),
            },
            "overload" => FaultKind::Overload {
                factor: parameter("times"),
            },
            "kill-forwarders" => FaultKind::ForwarderCrash {
                fraction: parameter("part"),
            },
            "silent-planners" => FaultKind::SilentPlanners,
            "split-planners" => FaultKind::PartitionedPlanners,
            _ => return None,
        })
    }
}

impl Fault {
    /// A fault of a kind out of [`KINDS`] with its parameters and time drawn, within a run of that length; none for an
    /// unknown kind.
    pub fn draw(kind: &str, zones: usize, run_ms: f64, rng: &mut Pcg64Mcg) -> Option<Fault> {
        // Drawn for every kind, so that the same seed gives the same times whatever the kind.
        let fraction = rng.random_range(0.15..0.35);
        let factor = rng.random_range(2.0..6.0);
        let kind = FaultKind::from_name(kind, |word| match (word, kind) {
            ("part", "die") => 0.2,
            ("part", "kill-forwarders") => 0.5,
            ("part", _) => fraction,
            ("times", "overload") => rng.random_range(1.3..2.0),
            ("times", _) => factor,
            ("at-once", _) => f64::from(rng.random_range(1..3)),
            ("zone", _) => rng.random_range(0..zones.max(1)) as f64,
            ("ms", _) => rng.random_range(2_000.0..6_000.0),
            _ => rng.random_range(20.0..80.0),
        })?;
        let at_ms = run_ms * rng.random_range(0.25..0.45);
        let duration_ms = run_ms * rng.random_range(0.2..0.35);
        Some(Fault {
            at_ms,
            duration_ms,
            kind,
        })
    }
}
