//! Rule 4: no host in slow start is asked for more than it bears.

use std::collections::{BTreeMap, VecDeque};

use crate::{InvariantTerms, Rule, Verdict};

/// Adds up each host's work of the last window.
pub(crate) struct SlowStartChecker<'a> {
    terms: &'a InvariantTerms,
    hosts: BTreeMap<&'a str, HostLoad>,
}

/// Work that a host was asked for at one moment.
struct WorkItem {
    at_ms: f64,
    cost_ms: f64,
}

/// A host's work within the window.
#[derive(Default)]
struct HostLoad {
    started_ms: Option<f64>,
    recent: VecDeque<WorkItem>,
    sum_ms: f64,
}

impl HostLoad {
    fn add(&mut self, item: WorkItem, window_ms: f64) {
        let window_start = item.at_ms - window_ms;
        self.sum_ms += item.cost_ms;
        self.recent.push_back(item);
        while let Some(oldest) = self.recent.front() {
            if oldest.at_ms > window_start {
                break;
            }
            self.sum_ms -= oldest.cost_ms;
            self.recent.pop_front();
        }
    }
}

impl<'a> SlowStartChecker<'a> {
    pub(crate) fn new(terms: &'a InvariantTerms) -> SlowStartChecker<'a> {
        SlowStartChecker {
            terms,
            hosts: BTreeMap::new(),
        }
    }

    /// What was asked of the host's earlier process doesn't count against the new one.
    pub(crate) fn started(&mut self, at_ms: f64, host: &'a str) {
        let load = HostLoad {
            started_ms: Some(at_ms),
            ..HostLoad::default()
        };
        self.hosts.insert(host, load);
    }

    pub(crate) fn work_requested(
        &mut self,
        at_ms: f64,
        host: &'a str,
        cost_ms: f64,
        verdict: &mut Verdict,
    ) {
        let window_ms = self.terms.load_window_ms;
        let load = self.hosts.entry(host).or_default();
        load.add(WorkItem { at_ms, cost_ms }, window_ms);
        let (Some(slow_start), Some(started_ms)) =
            (self.terms.slow_starts.get(host), load.started_ms)
        else {
            return;
        };
        let fraction = slow_start.capacity_fraction(at_ms - started_ms);
        if fraction >= 1.0 {
            return;
        }
        let bearable_ms = slow_start.overload_factor * fraction * slow_start.slots * window_ms;
        let cold_load = load.sum_ms / bearable_ms;
        verdict.peak_cold_load = verdict.peak_cold_load.max(cold_load);
        if cold_load > 1.0 {
            let description =
                format!("{host} was asked for {cold_load:.2} of what it bears while cold");
            verdict.add_violation(Rule::NoOverloadedSlowStart, at_ms, description);
        }
    }
}
