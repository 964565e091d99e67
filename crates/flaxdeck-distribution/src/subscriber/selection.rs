//! Selects the planner that a subscriber follows.

use std::cmp::Reverse;

use flaxdeck::hash::mix;
use flaxdeck::{Span, Time};

use super::planner::{MAX_DOUBLINGS, Planner};
use super::{PlannerNumber, Subscriber};

/// Time after which the numbering is assumed to have changed if no planner knows the position.
pub(super) const MAX_BEHIND: Span = Span::from_ms(3_000);

impl Subscriber {
    /// Selects the planner to follow and the candidate, and decides whether a snapshot is needed.
    pub(super) fn select_planner(&mut self, now: Time) {
        if let Some(candidate) = self.candidate
            && self.is_silent(now, candidate)
        {
            self.planner_mut(candidate).avoid(now);
            self.candidate = None;
        }
        if let Some(followed) = self.followed
            && self.is_silent(now, followed)
        {
            self.replace_silent_planner(now, followed);
        }
        if self.followed.is_none() {
            (self.followed, self.candidate) = (self.best_connected(now), None);
        }
        if self.candidate.is_none() {
            self.candidate = self.preferred_to_followed(now);
        }
        self.request_snapshot_if_position_unknown(now);
    }

    /// Returns when a planner that was asked for events counts as silent unless it makes a useful delivery.
    pub(super) fn silence_deadline(&self, planner: &Planner) -> Option<Time> {
        let since = planner.requested_since?;
        let last_activity = planner
            .last_delivered
            .map_or(since, |delivered| delivered.max(since));
        let factor = f64::from(1_u32 << self.silent_failovers.min(MAX_DOUBLINGS));
        Some(last_activity + self.cadence.silence_timeout() * factor)
    }

    fn is_silent(&self, now: Time, number: PlannerNumber) -> bool {
        self.silence_deadline(self.planner(number))
            .is_some_and(|at| now >= at)
    }

    /// Follows another planner in place of the silent one, if another is connected.
    fn replace_silent_planner(&mut self, now: Time, followed: PlannerNumber) {
        if now >= self.planner(followed).avoided_until {
            self.planner_mut(followed).avoid(now);
        }
        let other = self
            .candidate
            .or(self.best_connected(now))
            .filter(|other| *other != followed);
        if other.is_some() {
            self.counters.failovers += 1;
            self.silent_failovers += 1;
            (self.followed, self.candidate) = (other, None);
        }
    }

    /// Returns the connected planner with the highest rank; planners that are avoided because of silence come last.
    fn best_connected(&self, now: Time) -> Option<PlannerNumber> {
        let rank = |number: &PlannerNumber| {
            let avoided_until = self.planner(*number).avoided_until.max(now);
            (Reverse(avoided_until), self.rank(*number))
        };
        self.connected_planners().max_by_key(rank)
    }

    fn preferred_to_followed(&self, now: Time) -> Option<PlannerNumber> {
        let followed = self.rank(self.followed?);
        self.connected_planners()
            .filter(|number| self.rank(*number) > followed)
            .filter(|number| self.planner(*number).is_stable(now))
            .max_by_key(|number| self.rank(*number))
    }

    /// Returns the planners that are connected.
    pub(super) fn connected_planners(&self) -> impl Iterator<Item = PlannerNumber> {
        self.planners
            .iter()
            .enumerate()
            .filter(|(_, planner)| planner.is_connected())
            .map(|(number, _)| PlannerNumber(number as u32))
    }

    /// Returns a planner's rank; the highest is preferred. Rendezvous hashing: each forwarder ranks the planners
    /// differently, and adding or removing a planner does not change the order of the others.
    fn rank(&self, number: PlannerNumber) -> u64 {
        mix(self.preference ^ mix(u64::from(number.0) + 1))
    }

    /// Requests a snapshot if no connected planner has known the position for long: the numbering must have changed.
    /// How far back the snapshot's purges reach shows whether any were missed.
    fn request_snapshot_if_position_unknown(&mut self, now: Time) {
        let is_overdue = self
            .behind_since
            .is_some_and(|since| now.since(since) >= MAX_BEHIND);
        let are_all_behind = self
            .connected_planners()
            .all(|number| self.planner(number).is_behind);
        if is_overdue && are_all_behind && self.followed.is_some() {
            self.needs_snapshot = true;
        }
    }
}
