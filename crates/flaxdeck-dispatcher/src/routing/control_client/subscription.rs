//! The state of a subscription: one planner delivers events in batches, and the coordinator itself is asked only where
//! no planner delivers. What is applied is decided in `flaxdeck_distribution`.

use std::cell::{Cell, RefCell};

use flaxdeck::{Span, Time};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::{Applied, Cadence, DeliveryError, PlannerNumber, Subscriber};
use flaxdeck_recovery::EventPosition;
use tokio::sync::Notify;

use super::purges::PurgeTracker;

/// Between lines in the log about deliveries that are refused.
const REFUSAL_LOG_INTERVAL: Span = Span::from_ms(1_000);

/// What the operator's file says of events by a subscription.
#[derive(Clone, Copy, Debug)]
pub struct SubscriptionOptions {
    /// How often planners send batches, and how long one may be late.
    pub cadence: Cadence,
    /// Between reports to planners while there is nothing urgent to report.
    pub report_idle_every: Span,
}

/// A message for a planner, by which it sends events or stops sending them.
pub(super) struct SubscriptionChange {
    pub(super) planner: PlannerId,
    pub(super) subscription: Subscription,
}

/// Owns what a forwarder knows of the events that it subscribes to, and whether it needs the coordinator beside them.
pub(super) struct EventSubscription {
    subscriber: RefCell<Subscriber>,
    /// The purges of single objects among the events.
    pub(super) purges: PurgeTracker,
    started: Time,
    purge_settles: Span,
    /// All purges that may not have settled are known here, those from before this process started too.
    knows_unsettled: Cell<bool>,
    coordinator_needed: Cell<bool>,
    coordinator_need_changed: Notify,
    /// Something may be due sooner than was known.
    schedule_changed: Notify,
    refusal_logged: Cell<Option<Time>>,
}

impl EventSubscription {
    /// Of a forwarder that has just started, with so many planners, which it orders by that preference.
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
            refusal_logged: Cell::new(None),
        }
    }

    /// Waits until it may have changed whether the coordinator is needed, and gives whether it is.
    pub(super) async fn coordinator_need_changed(&self) -> bool {
        self.coordinator_need_changed.notified().await;
        self.coordinator_needed.get()
    }

    /// Notes whether the coordinator is needed; whether that is another than before.
    pub(super) fn update_coordinator_need(&self, now: Time) -> Option<bool> {
        let needed = self.subscriber.borrow().needs_coordinator(now);
        if self.coordinator_needed.replace(needed) == needed {
            return None;
        }
        self.coordinator_need_changed.notify_one();
        Some(needed)
    }

    /// When, on this clock, all was last known here that the coordinator had.
    pub(super) fn current_at(&self) -> Option<Time> {
        self.subscriber.borrow().confirmed_at()
    }

    /// The planner that delivers the events, if one does.
    pub(super) fn followed(&self) -> Option<PlannerId> {
        self.subscriber
            .borrow()
            .followed()
            .map(|planner| PlannerId(planner.0))
    }

    /// A connection to a planner is up.
    pub(super) fn connected(&self, now: Time, planner: PlannerId) {
        self.subscriber
            .borrow_mut()
            .connected(now, PlannerNumber(planner.0));
    }

    /// A connection to a planner has ended.
    pub(super) fn disconnected(&self, now: Time, planner: PlannerId) {
        self.subscriber
            .borrow_mut()
            .disconnected(now, PlannerNumber(planner.0));
    }

    /// A planner has delivered; gives what of it is to be applied.
    pub(super) fn delivered(
        &self,
        now: Time,
        planner: PlannerId,
        delivery: Delivery,
    ) -> Result<Applied, DeliveryError> {
        self.subscriber
            .borrow_mut()
            .receive(now, PlannerNumber(planner.0), delivery)
    }

    /// What is to be sent to planners now.
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

    /// The coordinator's own watch moves the position on without the subscriber.
    pub(super) fn catch_up(&self, now: Time, position: EventPosition) {
        let mut subscriber = self.subscriber.borrow_mut();
        if self.knows_unsettled.get() && position != subscriber.position() {
            subscriber.set_position(now, position);
        }
    }

    /// What was delivered is not applied: the position is still this one.
    pub(super) fn reset_position(&self, now: Time, position: EventPosition) {
        self.subscriber.borrow_mut().set_position(now, position);
    }

    /// When something falls due by itself.
    pub(super) fn next_change(&self, now: Time) -> Option<Time> {
        self.subscriber.borrow().next_change(now)
    }

    /// Something may be due sooner than was known.
    pub(super) fn changed(&self) {
        self.schedule_changed.notify_one();
    }

    /// Waits until [`EventSubscription::changed`] is called.
    pub(super) async fn schedule_changed(&self) {
        self.schedule_changed.notified().await;
    }

    /// A snapshot was applied, with all purges that have not settled.
    pub(super) fn snapshot_applied(&self) {
        self.knows_unsettled.set(true);
        self.coordinator_need_changed.notify_one();
    }

    /// The coordinator's own watch is current; whether purges from before this process started may be missing. Unlike a
    /// planner, the coordinator does not send them again.
    pub(super) fn current_by_coordinator(&self, now: Time) -> bool {
        !self.knows_unsettled.replace(true) && now.since(self.started) < self.purge_settles
    }

    /// Whether a refused delivery is logged now, or goes without after one that was.
    pub(super) fn should_log_refusal(&self, now: Time) -> bool {
        let logs = self
            .refusal_logged
            .get()
            .is_none_or(|logged| now.since(logged) >= REFUSAL_LOG_INTERVAL);
        if logs {
            self.refusal_logged.set(Some(now));
        }
        logs
    }

    /// The followed planner and the counters of deliveries, for the log.
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
