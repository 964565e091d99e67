//! Sends reports to planners, and runs the other periodic work of the control client.

use std::rc::Rc;

use flaxdeck::{ListKind, Observation, Time};
use flaxdeck_channel::messages::FromForwarder;
use flaxdeck_net::metrics::{Counter, count};
use tokio::time::{MissedTickBehavior, interval};

use super::ControlClient;
use crate::routing::Router;

/// Sends reports at each tick to the planners to which one is due, until the client is stopped.
pub(super) async fn send_reports(client: Rc<ControlClient>, router: Rc<Router>) {
    let mut ticks = interval(client.options.report_every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // A planner that has just connected gets its report without waiting for the next tick.
        tokio::select! {
            _ = ticks.tick() => {}
            () = client.report_requested.notified() => {}
        }
        let now = router.clock.now();
        let observations = client.observations(&router);
        client.report_to_planners(&router, now, &observations);
        // Quota that was lent by these reports must not be used here from now on.
        client.update_hints(&router);
        client.update_reconnect_priority(&router);
        client
            .startup
            .log_completion(now, client.session.own_share_from());
        client.store_state(now, &observations);
        client.release_unconfirmed(&router, now);
    }
}

impl ControlClient {
    /// Has due reports sent at once.
    pub(super) fn report_now(&self) {
        self.report_requested.notify_one();
    }

    /// Returns the observations of hosts, with their start times by the coordinator's clock.
    pub(super) fn observations(&self, router: &Router) -> Vec<Observation> {
        let mut observations = router.engine.borrow().observations(router.clock.now());
        self.coordinator_clock
            .observations_to_coordinator(&mut observations);
        observations
    }

    fn report_to_planners(&self, router: &Router, now: Time, observations: &[Observation]) {
        let link = router.engine.borrow().link();
        self.session.observe(now, observations, router.zone, link);
        let position = self.position();
        self.planners.for_each_connected(|planner, sender| {
            if !self.session.is_report_due(now, planner, observations) {
                return;
            }
            // A planner that reads too slowly gets its next report when it has read the earlier ones.
            if !sender.may_send() {
                count(Counter::reports_skipped);
                return;
            }
            let report = self.session.report(now, planner, observations, position);
            sender.send(&FromForwarder::Report(report));
        });
    }

    /// Makes the watch reconnect to the coordinator less often while planners confirm the endpoint list, which leaves
    /// the coordinator's limited capacity to the planners.
    fn update_reconnect_priority(&self, router: &Router) {
        let is_confirmed_by_planners = self.session.is_confirmed_by_planners(router.clock.now());
        self.expedited_reconnect
            .set_relaxed(is_confirmed_by_planners);
    }

    /// Reports endpoints whose withholding has ended to the decision engine, so that they are used again.
    fn release_unconfirmed(&self, router: &Router, now: Time) {
        let released = self.endpoints.release_expired(now);
        if released.is_empty() {
            return;
        }
        log::warn!(
            "{} withheld hosts are used again: no event has named them since the list was replaced",
            released.len()
        );
        router.report_endpoints(ListKind::Delta, released);
    }
}
