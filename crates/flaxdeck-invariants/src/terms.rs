//! What a record is judged by.

use std::collections::BTreeMap;

/// What a host that has just started bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartTerms {
    /// Requests that it works on at once when it is warm.
    pub slots: f64,
    /// The fraction of its capacity at its start, from 0 to 1.
    pub initial_fraction: f64,
    /// Milliseconds in which its capacity rises evenly to all of it.
    pub duration_ms: f64,
    /// It falls over when asked for more than this many times its present capacity within the window.
    pub overload_factor: f64,
}

impl SlowStartTerms {
    /// The fraction of its capacity that a host has so many milliseconds after its start, from 0 to 1.
    pub fn capacity_fraction(&self, age_ms: f64) -> f64 {
        let initial = self.initial_fraction;
        (initial + (1.0 - initial) * age_ms / self.duration_ms.max(1.0)).clamp(0.0, 1.0)
    }
}

/// What the rules are judged by.
#[derive(Clone, Debug, Default)]
pub struct InvariantTerms {
    /// Milliseconds after a withdrawal until no new work may arrive.
    pub withdrawal_grace_ms: f64,
    /// Milliseconds after a purge until no older copy may be handed out.
    pub purge_grace_ms: f64,
    /// Milliseconds by which an answer may come after its client stopped waiting: timers and the record itself.
    pub deadline_slack_ms: f64,
    /// Milliseconds within which work at a cold host is added up.
    pub load_window_ms: f64,
    /// Slow start by host; a host that isn't named has none.
    pub slow_starts: BTreeMap<String, SlowStartTerms>,
}
