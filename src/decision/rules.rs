//! The rules that are applied to a request: in a fixed order, until none of them fires.

use crate::{Decisions, Health, RequestId, Time};

use super::DecisionEngine;
use super::constants::{CLEANUP_INTERVAL, OBJECT_MEMORY};

/// A rule for a request; returns whether it fired, that is, changed anything.
type Rule = fn(&mut DecisionEngine, RequestId) -> bool;

/// The rules in their order. After one has fired, they are applied from the first again.
const RULES: [Rule; 6] = [
    DecisionEngine::remove_finished,
    DecisionEngine::answer_before_deadline,
    DecisionEngine::give_up_without_retries,
    DecisionEngine::start_waiting_attempt,
    DecisionEngine::note_overdue_attempt,
    DecisionEngine::start_hedged_attempt,
];

impl DecisionEngine {
    /// Applies the rules to all requests that are ready or whose timers have expired. The caller calls this at the time
    /// requested by [`Decisions::wake`]; every other event ends in it as well.
    pub fn wake(&mut self, now: Time) -> Decisions {
        self.now = now;
        if now >= self.next_cleanup {
            self.clean_up();
        }
        if now >= self.next_load_poll {
            self.poll_load();
        }
        while self.timers.first().is_some_and(|timer| timer.at <= now) {
            let expired = self.timers.pop_first();
            self.ready.extend(expired.map(|timer| timer.request));
        }
        while let Some(id) = self.ready.pop_first() {
            while RULES.iter().any(|rule| rule(self, id)) {}
        }
        self.announce_wake();
        std::mem::take(&mut self.decisions)
    }

    /// Requests a wake at the next timer, unless one that is no later has been requested and is still to come.
    fn announce_wake(&mut self) {
        let periodic = self.next_cleanup.min(self.next_load_poll);
        let next = match self.timers.first() {
            Some(timer) => periodic.min(timer.at),
            None => periodic,
        };
        if self
            .announced_wake
            .is_none_or(|at| at <= self.now || next < at)
        {
            self.decisions.wake = Some(next);
            self.announced_wake = Some(next);
        }
    }

    /// Removes state that no decision needs any more.
    fn clean_up(&mut self) {
        let now = self.now;
        self.next_cleanup = now + CLEANUP_INTERVAL;
        self.recent_objects
            .retain(|_, sent| now.since(*sent) < OBJECT_MEMORY);
        self.promised_objectives
            .retain(|_, objective| now.since(*objective) < OBJECT_MEMORY);
        let purge_lifetime = self.terms.purge_settles + CLEANUP_INTERVAL;
        self.purges
            .retain(|purge| now.since(purge.made) < purge_lifetime);
        self.hosts
            .retain(|_, host| host.endpoint.health != Health::Removed || host.in_flight > 0.0);
    }
}
