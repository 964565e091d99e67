//! Holds the state of a subscription: one planner delivers events in batches, and the coordinator itself is connected
//! to only while no planner does. `flaxdeck_distribution` decides what is applied.

use std::cell::{Cell, RefCell};

use flaxdeck::{CaughtUpAt, CompleteAsOf, Span, Time};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::{Applied, Cadence, DeliveryError, PlannerNumber, Subscriber};
use flaxdeck_recovery::EventPosition;
use tokio::sync::Notify;

use super::purges::PurgeTracker;

/// The options of a subscription, from the operator's file.
#[derive(Clone, Copy, Debug)]
pub struct SubscriptionOptions {
    /// The interval at which planners send batches, and how late one may be.
    pub cadence: Cadence,
    /// The interval between reports to planners while there is nothing urgent to report.
    pub report_idle_every: Span,
}

/// A message to a planner that starts, continues or ends its deliveries.
pub(super) struct SubscriptionChange {
    pub(super) planner: PlannerId,
    pub(super) subscription: Subscription,
}

/// Owns the state of a forwarder's subscription, and whether it needs the coordinator in addition.
pub(super) struct EventSubscription {
    subscriber: RefCell<Subscriber>,
    /// The purges of single objects that were delivered.
    pub(super) purges: PurgeTracker,
    started: Time,
    purge_settles: Span,
    /// Whether all unsettled purges are known, including those from before this process started.
    knows_unsettled: Cell<bool>,
    coordinator_needed: Cell<bool>,
    coordinator_need_changed: Notify,
    /// Notified when the time of the next due action may be another.
    schedule_changed: Notify,
}

impl EventSubscription {
    /// Creates the subscription of a forwarder that has just started. `planners` is their number; `preference`
    /// determines the order in which they are chosen.
    pub(super) fn start(
        now: Time,
        planners: u32,
        preference: u64,
        options: SubscriptionOptions,
        purge_settles: Span,
    ) -> EventSubscription {
        let subscriber =
            Subscriber::start(now, planners, preference, options.cadence, purge_settles);
        EventSubscription {
            subscriber: RefCell::new(subscriber),
            purges: PurgeTracker::new(purge_settles),
            started: now,
            purge_settles,
            knows_unsettled: Cell::new(false),
            coordinator_needed: Cell::new(false),
            coordinator_need_changed: Notify::new(),
            schedule_changed: Notify::new(),
        }
    }

    /// Waits until the need for the coordinator may have changed, and returns whether it is needed.
    pub(super) async fn coordinator_need_changed(&self) -> bool {
        self.coordinator_need_changed.notified().await;
        self.coordinator_needed.get()
    }

    /// Updates whether the coordinator is needed; returns the new value if it has changed.
    pub(super) fn update_coordinator_need(&self, now: Time) -> Option<bool> {
        let needed = self.subscriber.borrow().needs_coordinator(now);
        if self.coordinator_needed.replace(needed) == needed {
            return None;
        }
        self.coordinator_need_changed.notify_one();
        Some(needed)
    }

    /// Returns the latest time, by the local clock, at which no further event seemed to be on its way; none if never.
    pub(super) fn caught_up_at(&self) -> Option<CaughtUpAt> {
        self.subscriber.borrow().caught_up_at()
    }

    /// Returns the latest time, by the local clock, as of which all of the coordinator's events are known; none if
    /// never.
    pub(super) fn complete_as_of(&self) -> Option<CompleteAsOf> {
        self.subscriber.borrow().complete_as_of()
    }

    /// Returns the planner whose deliveries this forwarder follows, if there is one.
    pub(super) fn followed(&self) -> Option<PlannerId> {
        self.subscriber
            .borrow()
            .followed()
            .map(|planner| PlannerId(planner.0))
    }

    /// Notes that a connection to a planner was opened.
    pub(super) fn connected(&self, now: Time, planner: PlannerId) {
        self.subscriber
            .borrow_mut()
            .connected(now, PlannerNumber(planner.0));
    }

    /// Notes that a connection to a planner has ended.
    pub(super) fn disconnected(&self, now: Time, planner: PlannerId) {
        self.subscriber
            .borrow_mut()
            .disconnected(now, PlannerNumber(planner.0));
    }

    /// Receives a planner's delivery; returns what of it is to be applied.
    pub(super) fn receive(
        &self,
        now: Time,
        planner: PlannerId,
        delivery: Delivery,
    ) -> Result<Applied, DeliveryError> {
        self.subscriber
            .borrow_mut()
            .receive(now, PlannerNumber(planner.0), delivery)
    }

    /// Returns the messages that are to be sent to planners now.
    pub(super) fn changes(&self, now: Time) -> Vec<SubscriptionChange> {
        self.subscriber
            .borrow_mut()
            .actions(now)
            .into_iter()
            .map(|(planner, subscription)| SubscriptionChange {
                planner: PlannerId(planner.0),
                subscription,
            })
            .collect()
    }

    /// Sets the subscriber's position to that of the last applied event, which events from the coordinator's own watch
    /// move on without the subscriber. Has no effect until all unsettled purges are known.
    pub(super) fn sync_position(&self, now: Time, position: EventPosition) {
        let mut subscriber = self.subscriber.borrow_mut();
        if self.knows_unsettled.get() && position != subscriber.position() {
            subscriber.set_position(now, position);
        }
    }

    /// Sets the position back to the last applied event after a delivery that was not applied.
    pub(super) fn reset_position(&self, now: Time, position: EventPosition) {
        self.subscriber.borrow_mut().set_position(now, position);
    }

    /// Returns the time of the next due action.
    pub(super) fn next_change(&self, now: Time) -> Option<Time> {
        self.subscriber.borrow().next_change(now)
    }

    /// Notifies the waiting task that the time of the next due action may be another.
    pub(super) fn notify_schedule_changed(&self) {
        self.schedule_changed.notify_one();
    }

    /// Waits until [`EventSubscription::notify_schedule_changed`] is called.
    pub(super) async fn schedule_changed(&self) {
        self.schedule_changed.notified().await;
    }

    /// Notes that a snapshot was applied, so that all unsettled purges are known. Has the watch close a connection to
    /// the coordinator, which was opened at another position; it reconnects if the coordinator is needed.
    pub(super) fn snapshot_applied(&self) {
        self.knows_unsettled.set(true);
        self.coordinator_need_changed.notify_one();
    }

    /// Notes that the coordinator's own watch has caught up. Returns whether unsettled purges from before the start of
    /// this process may be missing: unlike a planner, the coordinator does not send them again.
    pub(super) fn note_coordinator_caught_up(&self, now: Time) -> bool {
        !self.knows_unsettled.replace(true) && now.since(self.started) < self.purge_settles
    }

    /// Returns the followed planner, the number of unsettled purges and the counters of deliveries, for the log.
    pub(super) fn status(&self) -> String {
        let subscriber = self.subscriber.borrow();
        format!(
            "followed={:?} unsettled={} {:?}",
            subscriber.followed(),
            self.purges.unsettled(),
            subscriber.counters
        )
    }
}
