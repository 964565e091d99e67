//! Clearance: whether an attempt may still be sent once its connection is established.

use crate::{AttemptIndex, Clearance, RequestId, Role, Time};

use super::DecisionEngine;
use super::state::{Host, WarmupCost};

impl DecisionEngine {
    /// Decides whether an attempt may still be sent now that its connection is established, and on which terms.
    ///
    /// Guards against a connect that takes longer than a purge grace, a slow start window or the request itself: the
    /// limits have to hold when the attempt is written, not only when it was decided.
    pub fn clear_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        index: AttemptIndex,
    ) -> Option<Clearance> {
        self.now = now;
        let state = self.requests.get(&id)?;
        if state.done || !self.list_is_valid() {
            return None;
        }
        let attempt = state
            .in_flight
            .iter()
            .find(|attempt| attempt.index == index)?;
        let class = self.class_of(&state.request);
        let oldest = self.max_copy_age(&state.request, class, attempt.without_fill());
        let deadline = state.request.deadline;
        let sent_by = self.deduplicated_until(state).min(deadline) - self.answer_margin;
        for participant in attempt.participants() {
            let host = self.hosts.get_mut(participant)?;
            let is_charged = host.in_service() && host.renew_charge(now, id, index);
            if !self.still_accepts(&self.hosts[participant], is_charged) {
                return None;
            }
        }
        (now < sent_by).then_some(Clearance { oldest, sent_by })
    }

    /// Decides whether a host may still take part in an attempt. `is_charged` is true if the attempt is charged against
    /// the host's slow start.
    ///
    /// Guards against a cold host that has restarted since the attempt was decided: the charge against its earlier
    /// process does not count for the new one.
    fn still_accepts(&self, host: &Host, is_charged: bool) -> bool {
        if !host.in_service() {
            return false;
        }
        let warm = self.capacity_over_window(host, self.now) >= 1.0;
        warm || host.is(Role::Origin)
            || (is_charged && self.fits_slow_start(host, WarmupCost::NONE))
    }
}
