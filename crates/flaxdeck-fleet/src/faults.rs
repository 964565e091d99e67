//! Faults of a scenario: what goes wrong, when and for how long; read from a scenario file, or drawn at random.
//!
//! Zones are identified by their index, starting at 0.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The kind of a fault, with its parameters.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A fraction of all caches and parents crashes at the same time; they restart with empty caches when the fault
    /// ends.
    HostCrash {
        /// From 0 to 1.
        fraction: f64,
    },
    /// All caches are drained and restarted, one batch after another.
    RollingRestart {
        /// The number of caches that are drained at the same time.
        batch: usize,
    },
    /// The coordinator's events arrive later than usual.
    CoordinatorDelay {
        /// Milliseconds added to the delay of each event.
        added_ms: f64,
    },
    /// All caches of a zone crash; they restart when the fault ends.
    ZoneLoss {
        /// The index of the zone.
        zone: usize,
    },
    /// All parents but one crash; they restart when the fault ends.
    ParentLoss,
    /// A fraction of the caches accepts requests but answers none.
    SilentCaches {
        /// From 0 to 1.
        fraction: f64,
    },
    /// A fraction of the caches answers every request with an error.
    FailingCaches {
        /// From 0 to 1.
        fraction: f64,
    },
    /// A fraction of the caches is slow.
    SlowCaches {
        /// From 0 to 1.
        fraction: f64,
        /// The factor by which their service times grow.
        factor: f64,
    },
    /// The origin is slow.
    SlowOrigin {
        /// The factor by which its latency and service times grow.
        factor: f64,
    },
    /// The origin answers every request with an error.
    FailingOrigin,
    /// Every object is purged.
    PurgeAll,
    /// Additional requests for objects that are each requested only once.
    Scan {
        /// Additional requests per second.
        requests_per_s: f64,
    },
    /// A fraction of all operations is for the most popular object.
    HotObject {
        /// From 0 to 1.
        fraction: f64,
    },
    /// The request rate of all zones rises.
    Overload {
        /// The factor by which the request rate grows.
        factor: f64,
    },
    /// A fraction of the forwarders crashes; they restart immediately.
    ForwarderCrash {
        /// From 0 to 1.
        fraction: f64,
    },
    /// No planner processes or answers reports.
    SilentPlanners,
    /// Forwarders with an even index reach only planners with an even index, those with an odd index only planners with
    /// an odd index.
    PartitionedPlanners,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When the fault begins, in milliseconds from the start of the run.
    pub at_ms: f64,
    /// How long the fault lasts, in milliseconds.
    pub duration_ms: f64,
    /// The kind of the fault.
    pub kind: FaultKind,
}

/// The names of the kinds in scenario files and on the command line.
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
    /// Returns the fault kind that a name in [`KINDS`] stands for, or `None` for an unknown name. `parameter` returns
    /// the value of a parameter by its key in scenario files: part, times, at-once, zone, ms, rate.
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
    /// Draws the parameters and times of a fault whose kind is named in [`KINDS`], for a run of `run_ms`. Returns
    /// `None` for an unknown kind.
    pub fn draw(kind: &str, zones: usize, run_ms: f64, rng: &mut Pcg64Mcg) -> Option<Fault> {
        // Drawn for every kind, so that all kinds without further parameters get the same times from the same seed.
        let fraction = rng.random_range(0.15..0.35);
        let factor = rng.random_range(2.0..6.0);
        let kind = FaultKind::from_name(kind, |key| match (key, kind) {
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
