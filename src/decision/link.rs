//! The load of the location's link: transfers over those that fit at full pace.

use crate::Sampled;

use super::DecisionEngine;
use super::constants::{FULL_LINK, IDLE_LINK, MAX_LINK_SIZE_BIAS, REPORT_LIFETIME, SAMPLE_WEIGHT};
use super::load::current;
use super::state::RequestState;

impl DecisionEngine {
    /// Takes in a host's report of the link, if it has one.
    pub(super) fn record_link_report(&mut self, load: Option<f64>) {
        if let Some(value) = load {
            self.link = Some(Sampled {
                value,
                at: self.now,
            });
        }
    }

    /// Estimates the link's load where no report tells it, from a fill's transfer time over the expected one.
    ///
    /// Guards against a full link that no report tells of: a fill outruns its answer unless the link holds it up.
    pub(super) fn estimate_link(&mut self, slowdown: f64) {
        if self.terms.tells_link {
            return;
        }
        let sample = FULL_LINK * (slowdown - 1.0).max(0.0);
        let value = match current(self.link, self.now) {
            Some(old) => old + SAMPLE_WEIGHT * (sample - old),
            None => sample,
        };
        self.link = Some(Sampled {
            value,
            at: self.now,
        });
    }

    /// Decides whether the link carries a fill of a request, the mean transfer time of whose class is given in ms.
    ///
    /// Guards against a full link, where fills outlive their requests and every miss comes late: while it is full
    /// only hits are asked for, and known misses are rejected, large ones first.
    pub(super) fn link_admits(&self, state: &RequestState, class_mean_ms: f64) -> bool {
        // Of requests without a size most bytes are in few large ones, so these stop sooner, by their class's mean.
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

    /// Whether the link, by its last report, has capacity beside the fills.
    pub(super) fn link_is_idle(&self) -> bool {
        self.link.is_some_and(|link| link.value < IDLE_LINK)
    }
}
