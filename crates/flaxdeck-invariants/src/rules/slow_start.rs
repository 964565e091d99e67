//! Rule 4: no host in slow start is overloaded.

use std::collections::{BTreeMap, VecDeque};

use crate::{InvariantTerms, Rule, Verdict};

/// Sums the work requested from each host within the last window.
pub(crate) struct SlowStartChecker<'a> {
    terms: &'a InvariantTerms,
    hosts: BTreeMap<&'a str, HostLoad>,
}

/// One piece of work that was requested from a host.
struct WorkItem {
    at_ms: f64,
    cost_ms: f64,
}

/// The work requested from a host within the window.
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

    /// Starts a host with an empty window: work requested before its restart doesn't count.
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
        let overload_limit_ms =
            slow_start.overload_factor * fraction * slow_start.slots * window_ms;
        let cold_load = load.sum_ms / overload_limit_ms;
        verdict.peak_cold_load = verdict.peak_cold_load.max(cold_load);
        if cold_load > 1.0 {
            let description = format!(
                "work requested from cold host {host} was {cold_load:.2} times its overload limit"
            );
            verdict.add_violation(Rule::NoOverloadedSlowStart, at_ms, description);
        }
    }
}
