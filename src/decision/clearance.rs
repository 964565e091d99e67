//! Whether an attempt still stands once its connection is up.

use crate::{AttemptIndex, Clearance, RequestId, Role, Time};

use super::DecisionEngine;
use super::state::Host;

impl DecisionEngine {
    /// Whether an attempt may still be sent now that its connection is up, and what it may ask for by now.
    ///
    /// Guards against a connect that outlasts a grace, a window or the request: the rules bind what is sent.
    pub fn clear(&mut self, now: Time, id: RequestId, index: AttemptIndex) -> Option<Clearance> {
        self.now = now;
        let state = self.requests.get(&id)?;
        if state.done || !self.list_trusted {
            return None;
        }
        let attempt = state
            .in_flight
            .iter()
            .find(|attempt| attempt.index == index)?;
        let class = self.class_of(&state.request);
        let oldest = self.max_copy_age(&state.request, class, attempt.without_fill());
        let deadline = state.request.deadline;
        let sent_by = self.repeats_dropped_until(state).min(deadline) - self.answer_margin;
        for participant in attempt.participants() {
            let host = self.hosts.get_mut(participant)?;
            let counted = host.in_service() && host.renew_charge(now, id, index);
            if !self.still_accepts(&self.hosts[participant], counted) {
                return None;
            }
        }
        (now < sent_by).then_some(Clearance { oldest, sent_by })
    }

    /// Decides whether a host still takes part in an attempt, which may count against its slow start already.
    ///
    /// Guards against a cold host that has started anew since the attempt was decided: what was counted for its earlier
    /// process does not hold for this one.
    fn still_accepts(&self, host: &Host, counted: bool) -> bool {
        if !host.in_service() {
            return false;
        }
        let warm = self.capacity_over_window(host, self.now) >= 1.0;
        warm || host.is(Role::Origin) || (counted && self.fits_slow_start(host, 0.0))
    }
}
