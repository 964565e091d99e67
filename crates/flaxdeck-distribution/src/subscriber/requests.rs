//! The requests of a subscriber to planners, and when they are due.

use flaxdeck::Time;

use super::planner::{Planner, RETRY_AFTER, STABLE_AFTER};
use super::selection::MAX_BEHIND;
use super::{PlannerNumber, Subscriber};
use crate::messages::Subscription;

impl Subscriber {
    /// Returns the requests to be sent now, with the planner for each. All of them must be sent: a connection that
    /// cannot accept one counts as ended.
    pub fn actions(&mut self, now: Time) -> Vec<(PlannerNumber, Subscription)> {
        self.select_planner(now);
        let mut actions = Vec::new();
        for number in (0..self.planners.len() as u32).map(PlannerNumber) {
            let desired = self.subscription_for(number);
            let planner = self.planner_mut(number);
            if planner.is_connected() && planner.is_request_due(now, desired) {
                planner.record_request(now, desired);
                actions.push((number, desired));
            }
        }
        actions
    }

    fn subscription_for(&self, number: PlannerNumber) -> Subscription {
        if self.followed != Some(number) && self.candidate != Some(number) {
            return Subscription::None;
        }
        if self.needs_snapshot {
            Subscription::FromSnapshot
        } else {
            Subscription::After(self.position)
        }
    }

    /// Returns when the results of [`actions`](Subscriber::actions) or
    /// [`needs_coordinator`](Subscriber::needs_coordinator) may change if nothing is received before.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let behind_until = self.behind_since.map(|since| since + MAX_BEHIND);
        self.planners
            .iter()
            .flat_map(|planner| self.possible_change_times(planner))
            .chain([behind_until])
            .flatten()
            .chain(self.coordinator_need.possible_change_times())
            .filter(|at| *at > now)
            .min()
    }

    fn possible_change_times(&self, planner: &Planner) -> [Option<Time>; 5] {
        [
            planner
                .request
                .map(|request| request.last_sent + RETRY_AFTER),
            planner.retry_at,
            planner
                .connected_since
                .map(|connected| connected + STABLE_AFTER),
            self.silence_deadline(planner),
            Some(planner.avoided_until),
        ]
    }
}
