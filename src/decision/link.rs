//! The load of the location's link: the number of transfers over those that it carries at full speed.

use crate::Sampled;

use super::DecisionEngine;
use super::constants::{FULL_LINK, IDLE_LINK, MAX_LINK_SIZE_BIAS, REPORT_LIFETIME, SAMPLE_WEIGHT};
use super::load::unexpired;
use super::state::RequestState;

impl DecisionEngine {
    /// Applies a host's report of the link's load, if there is one.
    pub(super) fn record_link_report(&mut self, load: Option<f64>) {
        if let Some(value) = load {
            self.link = Some(Sampled {
                value,
                at: self.now,
            });
        }
    }

    /// Estimates the link's load from the ratio of a fill's transfer time to the expected one, where hosts do not
    /// report it.
    ///
    /// Guards against a full link that goes unnoticed: a fill is faster than the answer that it feeds, unless the link
    /// slows it down.
    pub(super) fn estimate_link(&mut self, slowdown: f64) {
        if self.terms.reports_link_load {
            return;
        }
        let sample = FULL_LINK * (slowdown - 1.0).max(0.0);
        let value = match unexpired(self.link, self.now) {
            Some(old) => old + SAMPLE_WEIGHT * (sample - old),
            None => sample,
        };
        self.link = Some(Sampled {
            value,
            at: self.now,
        });
    }

    /// Decides whether the link has capacity for a fill of a request. `class_mean_ms` is the mean transfer time of the
    /// request's class.
    ///
    /// Guards against a full link, where fills outlast their requests and every miss is answered late: while it is full
    /// only hits are requested, and known misses are rejected, large ones first.
    pub(super) fn link_admits(&self, state: &RequestState, class_mean_ms: f64) -> bool {
        // Among requests of unknown size a few large ones carry most of the bytes. All of them are held to a lower
        // limit, and their class's mean stands for their size.
        let mean_ms = if state.request.size_kb.is_some() {
            class_mean_ms
        } else {
            self.mean_transfer_ms / MAX_LINK_SIZE_BIAS
        };
        let late = state.objective_left_ms(self.now) < state.transfer_ms;
        let size_bias = if late {
            0.0
        } else {
            mean_ms / state.transfer_ms.max(1.0)
        };
        let bias = size_bias.clamp(1.0 / MAX_LINK_SIZE_BIAS, MAX_LINK_SIZE_BIAS);
        self.link.is_none_or(|link| {
            link.value < FULL_LINK * bias || self.now.since(link.at) >= REPORT_LIFETIME
        })
    }

    /// Whether the link, by its last known load, has capacity for more than fills.
    pub(super) fn link_is_idle(&self) -> bool {
        self.link.is_some_and(|link| link.value < IDLE_LINK)
    }
}
