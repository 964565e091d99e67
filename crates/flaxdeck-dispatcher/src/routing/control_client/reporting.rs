//! Reports to planners, and what else is looked after at each of them.

use std::rc::Rc;

use flaxdeck::{ListKind, Observation, Time};
use flaxdeck_channel::messages::FromForwarder;
use flaxdeck_net::metrics::{Counter, count};
use tokio::time::{MissedTickBehavior, interval};

use super::ControlClient;
use crate::routing::Router;

/// Sends reports until the client is stopped, at each tick to those planners to which one is due.
pub(super) async fn send_reports(client: Rc<ControlClient>, router: Rc<Router>) {
    let mut ticks = interval(client.options.report_every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // A planner that has just been reached need not wait for the next report.
        tokio::select! {
            _ = ticks.tick() => {}
            () = client.report_requested.notified() => {}
        }
        let now = router.clock.now();
        let observations = client.observations(&router);
        client.report_to_planners(&router, now, &observations);
        // What was lent is not used from this moment on.
        client.update_hints(&router);
        client.update_reconnect_priority(&router);
        client
            .startup
            .note_progress(now, client.session.owns_from());
        client.store_state(now, &observations);
        client.release_unconfirmed(&router, now);
    }
}

impl ControlClient {
    /// Has a report sent at once.
    pub(super) fn report_now(&self) {
        self.report_requested.notify_one();
    }

    /// What was observed of hosts, with their starts as they were announced.
    pub(super) fn observations(&self, router: &Router) -> Vec<Observation> {
        let mut observations = router.engine.borrow().observations(router.clock.now());
        self.coordinator_clock
            .observations_as_announced(&mut observations);
        observations
    }

    fn report_to_planners(&self, router: &Router, now: Time, observations: &[Observation]) {
        let link = router.engine.borrow().link();
        self.session.observe(now, observations, router.zone, link);
        let position = self.position();
        self.planners.for_each_connected(|planner, sender| {
            if !self.session.needs_report(now, planner, observations) {
                return;
            }
            // A planner that reads too slowly gets its next report once it has caught up.
            if !sender.may_send() {
                count(Counter::reports_skipped);
                return;
            }
            let report = self.session.report(now, planner, observations, position);
            sender.send(&FromForwarder::Report(report));
        });
    }

    /// A coordinator that has little room is left to planners while they say the same.
    fn update_reconnect_priority(&self, router: &Router) {
        let calm = self.session.is_confirmed_by_planners(router.clock.now());
        self.expedited_reconnect.set_relaxed(calm);
    }

    /// Endpoints that were withheld for long enough are used again.
    fn release_unconfirmed(&self, router: &Router, now: Time) {
        let released = self.endpoints.release_expired(now);
        if released.is_empty() {
            return;
        }
        log::warn!(
            "{} hosts that were in doubt are used again: nothing more was told of them",
            released.len()
        );
        router.report_endpoints(ListKind::Delta, released);
    }
}
