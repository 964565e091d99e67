//! Faults as data: what goes wrong, when and for how long; written down by hand, or drawn from ranges by a seed.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// What goes wrong. Hosts, forwarders and planners are told by their places in the model's lists.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// So large a part of all caches and parents dies at once; each starts again, cold, at the kind's end.
    Die {
        /// The part, from 0 to 1.
        part: f64,
    },
    /// Caches are drained and started again one after another, so many at a time.
    Deploy {
        /// Caches that are drained together.
        at_once: usize,
    },
    /// The coordinator's events come so much later.
    LateRegister {
        /// Milliseconds that are added.
        ms: f64,
    },
    /// All caches of a place are lost.
    LostZone {
        /// The location.
        zone: usize,
    },
    /// All parents but the last are lost.
    LostHub,
    /// So large a part of the caches takes requests and answers none.
    Hang {
        /// The part, from 0 to 1.
        part: f64,
    },
    /// So large a part of the caches answers that it failed.
    Fail {
        /// The part, from 0 to 1.
        part: f64,
    },
    /// So large a part of the caches takes so many times as long.
    Slow {
        /// The part, from 0 to 1.
        part: f64,
        /// The factor.
        times: f64,
    },
    /// The origin takes so many times as long.
    SlowOrigin {
        /// The factor.
        times: f64,
    },
    /// The origin answers that it failed.
    OriginRefuses,
    /// Every object is purged.
    PurgeAll,
    /// So many objects a second are asked for that nobody asks for again.
    Scan {
        /// Requests a second.
        rate: f64,
    },
    /// So large a part of all requests goes to one object.
    Hot {
        /// The part, from 0 to 1.
        part: f64,
    },
    /// All load is so many times as high.
    Overload {
        /// The factor.
        times: f64,
    },
    /// So large a part of the forwarders is killed; they start again at once.
    KillForwarders {
        /// The part, from 0 to 1.
        part: f64,
    },
    /// All planners say nothing.
    SilentPlanners,
    /// Each forwarder hears only one planner, every other one another.
    SplitPlanners,
}

/// One fault of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Milliseconds from the beginning of the day.
    pub at_ms: f64,
    /// Milliseconds until it ends.
    pub lasts_ms: f64,
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
    /// The kind of that kind, whose strengths are asked for by their words: part, times, at-once, zone, ms, rate.
    /// None for an unknown kind.
    pub fn of(kind: &str, mut ask: impl FnMut(&'static str) -> f64) -> Option<FaultKind> {
        Some(match kind {
            "die" => FaultKind::Die { part: ask("part") },
            "deploy" => FaultKind::Deploy {
                at_once: ask("at-once") as usize,
            },
            "late-register" => FaultKind::LateRegister { ms: ask("ms") },
            "lost-zone" => FaultKind::LostZone {
                zone: ask("zone") as usize,
            },
            "lost-hub" => FaultKind::LostHub,
            "hang" => FaultKind::Hang { part: ask("part") },
            "fail" => FaultKind::Fail { part: ask("part") },
            "slow" => FaultKind::Slow {
                part: ask("part"),
                times: ask("times"),
            },
            "slow-origin" => FaultKind::SlowOrigin {
                times: ask("times"),
            },
            "origin-refuses" => FaultKind::OriginRefuses,
            "purge-all" => FaultKind::PurgeAll,
            "scan" => FaultKind::Scan { rate: ask("rate") },
            "hot" => FaultKind::Hot { part: ask("part") },
            "overload" => FaultKind::Overload {
                times: ask("times"),
            },
            "kill-forwarders" => FaultKind::KillForwarders { part: ask("part") },
            "silent-planners" => FaultKind::SilentPlanners,
            "split-planners" => FaultKind::SplitPlanners,
            _ => return None,
        })
    }
}

/// One fault of a kind with its strength drawn, within a day of that length; none for an unknown kind.
pub fn draw(kind: &str, zones: usize, day_ms: f64, chance: &mut Pcg64Mcg) -> Option<Fault> {
    let part = chance.random_range(0.15..0.35);
    let times = chance.random_range(2.0..6.0);
    let kind = FaultKind::of(kind, |what| match (what, kind) {
        ("part", "die") => 0.2,
        ("part", "kill-forwarders") => 0.5,
        ("part", _) => part,
        ("times", "overload") => chance.random_range(1.3..2.0),
        ("times", _) => times,
        ("at-once", _) => f64::from(chance.random_range(1..3)),
        ("zone", _) => chance.random_range(0..zones.max(1)) as f64,
        ("ms", _) => chance.random_range(2_000.0..6_000.0),
        _ => chance.random_range(20.0..80.0),
    })?;
    let at_ms = day_ms * chance.random_range(0.25..0.45);
    let lasts_ms = day_ms * chance.random_range(0.2..0.35);
    Some(Fault {
        at_ms,
        lasts_ms,
        kind,
    })
}
