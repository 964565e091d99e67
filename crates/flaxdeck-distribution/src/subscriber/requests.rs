//! What a subscriber asks of planners, and when.

use flaxdeck::Time;

use super::planner::{Planner, RETRY_AFTER, STABLE_AFTER};
use super::selection::MAX_BEHIND;
use super::{PlannerNumber, Subscriber};
use crate::messages::Subscription;

impl Subscriber {
    /// What is to be sent now, and to whom. It has to be sent: a connection that can't take it has ended.
    pub fn actions(&mut self, now: Time) -> Vec<(PlannerNumber, Subscription)> {
        self.choose(now);
        let mut actions = Vec::new();
        for number in (0..self.planners.len() as u32).map(PlannerNumber) {
            let wanted = self.wanted_of(number);
            let planner = self.planner_mut(number);
            if planner.is_connected() && planner.is_request_due(now, wanted) {
                planner.record_request(now, wanted);
                actions.push((number, wanted));
            }
        }
        actions
    }

    fn wanted_of(&self, number: PlannerNumber) -> Subscription {
        if self.followed != Some(number) && self.candidate != Some(number) {
            return Subscription::None;
        }
        if self.needs_snapshot {
            Subscription::FromSnapshot
        } else {
            Subscription::After(self.position)
        }
    }

    /// When [`actions`](Subscriber::actions) or [`needs_coordinator`](Subscriber::needs_coordinator) may say something
    /// else, if nothing comes until then.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let behind = self.behind_since.map(|since| since + MAX_BEHIND);
        self.planners
            .iter()
            .flat_map(|planner| self.planner_changes(planner))
            .chain([behind])
            .flatten()
            .chain(self.coordinator_need.changes_at())
            .filter(|at| *at > now)
            .min()
    }

    fn planner_changes(&self, planner: &Planner) -> [Option<Time>; 5] {
        [
            planner.request.map(|request| request.last + RETRY_AFTER),
            planner.retry_at,
            planner
                .connected_since
                .map(|connected| connected + STABLE_AFTER),
            self.silent_at(planner),
            Some(planner.avoided_until),
        ]
    }
}
