//! Which planner a subscriber follows.

use std::cmp::Reverse;

use flaxdeck::hash::mix;
use flaxdeck::{Span, Time};

use super::planner::{MAX_DOUBLINGS, Planner};
use super::{PlannerNumber, Subscriber};

/// Without a planner that knows the position for so long, the numbering is taken to be another.
pub(super) const MAX_BEHIND: Span = Span::from_ms(3_000);

impl Subscriber {
    /// Chooses whom to follow, and whether from the position.
    pub(super) fn choose(&mut self, now: Time) {
        if let Some(candidate) = self.candidate
            && self.is_silent(now, candidate)
        {
            self.planner_mut(candidate).avoid(now);
            self.candidate = None;
        }
        if let Some(followed) = self.followed
            && self.is_silent(now, followed)
        {
            self.leave_silent(now, followed);
        }
        if self.followed.is_none() {
            (self.followed, self.candidate) = (self.first_connected(now), None);
        }
        if self.candidate.is_none() {
            self.candidate = self.preferred_to_followed(now);
        }
        self.give_position_up(now);
    }

    /// When a planner that was asked counts as silent if it delivers nothing of use.
    pub(super) fn silent_at(&self, planner: &Planner) -> Option<Time> {
        let since = planner.wanted_since?;
        let from = planner
            .last_delivered
            .map_or(since, |delivered| delivered.max(since));
        let factor = f64::from(1_u32 << self.silences.min(MAX_DOUBLINGS));
        Some(from + self.cadence.silence_timeout() * factor)
    }

    fn is_silent(&self, now: Time, number: PlannerNumber) -> bool {
        self.silent_at(self.planner(number))
            .is_some_and(|at| now >= at)
    }

    /// Another planner is asked, if there is any.
    fn leave_silent(&mut self, now: Time, followed: PlannerNumber) {
        if now >= self.planner(followed).avoided_until {
            self.planner_mut(followed).avoid(now);
        }
        let other = self
            .candidate
            .or(self.first_connected(now))
            .filter(|other| *other != followed);
        if other.is_some() {
            self.counters.failovers += 1;
            self.silences += 1;
            (self.followed, self.candidate) = (other, None);
        }
    }

    /// The first of those connected in the order of preference; those left for their silence come last.
    fn first_connected(&self, now: Time) -> Option<PlannerNumber> {
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

    /// The planners that are connected.
    pub(super) fn connected_planners(&self) -> impl Iterator<Item = PlannerNumber> {
        self.planners
            .iter()
            .enumerate()
            .filter(|(_, planner)| planner.is_connected())
            .map(|(number, _)| PlannerNumber(number as u32))
    }

    /// A planner's rank, the highest preferred. Rendezvous hashing: each forwarder orders the planners in its own way,
    /// and no planner's coming or going changes the order of the others.
    fn rank(&self, number: PlannerNumber) -> u64 {
        mix(self.preference ^ mix(u64::from(number.0) + 1))
    }

    /// No planner that could be asked has known the position for long: the numbering is another. What was missed since
    /// is told by the snapshot's reach.
    fn give_position_up(&mut self, now: Time) {
        let is_long = self
            .behind_since
            .is_some_and(|since| now.since(since) >= MAX_BEHIND);
        let are_all_behind = self
            .connected_planners()
            .all(|number| self.planner(number).is_behind);
        if is_long && are_all_behind && self.followed.is_some() {
            self.needs_snapshot = true;
        }
    }
}
