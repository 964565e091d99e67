//! The terms by which a record is checked: graces, windows and capacities.

use std::collections::BTreeMap;

/// The capacity of a host during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartTerms {
    /// The number of requests that it processes concurrently when it is warm.
    pub slots: f64,
    /// The fraction of its full capacity that it has at its start, from 0 to 1.
    pub initial_fraction: f64,
    /// The time over which its capacity rises linearly to full capacity, in milliseconds.
    pub duration_ms: f64,
    /// The host crashes when the work requested within the window exceeds its current capacity by more than this
    /// factor.
    pub overload_factor: f64,
}

impl SlowStartTerms {
    /// Returns the fraction of its full capacity, from 0 to 1, that a host has `age_ms` milliseconds after its start.
    pub fn capacity_fraction(&self, age_ms: f64) -> f64 {
        let initial = self.initial_fraction;
        (initial + (1.0 - initial) * age_ms / self.duration_ms.max(1.0)).clamp(0.0, 1.0)
    }
}

/// The terms by which the rules are checked.
#[derive(Clone, Debug, Default)]
pub struct InvariantTerms {
    /// How long after a withdrawal new work may still arrive, in milliseconds.
    pub withdrawal_grace_ms: f64,
    /// How long after a purge requests may be sent that still get an older copy, in milliseconds.
    pub purge_grace_ms: f64,
    /// How late an answer may come after its client's deadline, in milliseconds. Allows for the inaccuracy of timers
    /// and of the record's times.
    pub deadline_slack_ms: f64,
    /// The window over which a cold host's work is summed, in milliseconds.
    pub load_window_ms: f64,
    /// The slow start of each host; hosts without an entry have none.
    pub slow_starts: BTreeMap<String, SlowStartTerms>,
}
