//! Applies deliveries of planners, each as a whole or not at all. Purges of single objects are reported to the decision
//! engine only for objects that are requested.

use std::rc::Rc;

use flaxdeck::polled::Input;
use flaxdeck::{CaughtUpAt, GroupId, ObjectId, Time};
use flaxdeck_channel::messages::FromForwarder;
use flaxdeck_channel::watch::Event;
use flaxdeck_control::membership::PlannerId;
use flaxdeck_distribution::messages::{Delivery, FullEvent};
use flaxdeck_distribution::{Applied, Fingerprint};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::MissedPeriod;
use flaxdeck_terms::Names;
use flaxdeck_wire::frames;
use tokio::time::{Instant, sleep_until};

use super::ControlClient;
use super::subscription::EventSubscription;
use crate::routing::{AppliedEvents, Router};

/// Updates the subscription whenever a time at which it changes by itself is reached, until the client is stopped.
pub(super) async fn update_subscription_when_due(client: Rc<ControlClient>, router: Rc<Router>) {
    let Some(subscription) = &client.subscription else {
        return;
    };
    loop {
        let next = subscription.next_change(router.clock.now());
        let next = next.map(|at| router.clock.instant(at));
        tokio::select! {
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                client.update_subscription(&router, subscription);
            }
            () = subscription.schedule_changed() => {}
        }
    }
}

/// A decoded event, with its position in the coordinator's numbering.
struct PositionedEvent {
    position: EventPosition,
    event: Event,
}

/// Decodes all events; none if one of them can't be decoded.
fn decode_all(events: &[FullEvent], names: &Names) -> Option<Vec<PositionedEvent>> {
    let decode = |event: &FullEvent| {
        Some(PositionedEvent {
            position: event.position,
            event: frames::read(&event.frame, names).ok()??,
        })
    };
    events.iter().map(decode).collect()
}

/// All events after one position, up to another.
struct Batch {
    after: EventPosition,
    upto: EventPosition,
    purges: Vec<Fingerprint>,
    events: Vec<FullEvent>,
}

/// The complete state at a position, which replaces everything known.
struct Snapshot {
    position: EventPosition,
    /// The frame of the full endpoint list.
    list: Vec<u8>,
    purges: Vec<Fingerprint>,
    group_purges: Vec<FullEvent>,
    /// Whether the snapshot may lack purges that have not settled.
    may_miss_purges: bool,
}

impl ControlClient {
    /// Updates the subscription after a connection to a planner was opened.
    pub(super) fn planner_connected(&self, router: &Router, planner: PlannerId) {
        if let Some(subscription) = &self.subscription {
            let now = router.clock.now();
            subscription.sync_position(now, self.position());
            subscription.connected(now, planner);
            self.update_subscription(router, subscription);
        }
    }

    /// Updates the subscription after a connection to a planner has ended.
    pub(super) fn planner_disconnected(&self, router: &Router, planner: PlannerId) {
        if let Some(subscription) = &self.subscription {
            let now = router.clock.now();
            subscription.sync_position(now, self.position());
            subscription.disconnected(now, planner);
            self.update_subscription(router, subscription);
        }
    }

    /// Sends due subscription changes to planners, and notifies the watch if the need for the coordinator has changed.
    fn update_subscription(&self, router: &Router, subscription: &EventSubscription) {
        let now = router.clock.now();
        subscription.sync_position(now, self.position());
        for change in subscription.changes(now) {
            self.planners.send(
                change.planner,
                &FromForwarder::Subscribe(change.subscription),
            );
        }
        self.session.set_subscribed_to(subscription.followed());
        if let Some(needed) = subscription.update_coordinator_need(now) {
            let source = if needed {
                "no planner delivers, the coordinator is asked"
            } else {
                "a planner delivers, the coordinator is not needed"
            };
            log::info!("events: {source}");
        }
        subscription.notify_schedule_changed();
    }

    /// Applies a planner's delivery of events.
    pub(super) fn apply_delivery(&self, router: &Router, planner: PlannerId, delivery: Delivery) {
        let Some(subscription) = &self.subscription else {
            return;
        };
        let now = router.clock.now();
        if !self.numbering.borrow().trusts_peers(now) {
            return;
        }
        let after = self.position();
        subscription.sync_position(now, after);
        match subscription.receive(now, planner, delivery) {
            Ok(applied) => self.apply(router, subscription, after, applied),
            Err(error) => {
                count(Counter::deliveries_refused);
                if self.rejection_log.admits() {
                    log::warn!("a delivery of planner {} is refused: {error:?}", planner.0);
                }
            }
        }
        self.note_planner_knowledge(router, subscription);
        self.update_subscription(router, subscription);
    }

    fn apply(
        &self,
        router: &Router,
        subscription: &EventSubscription,
        after: EventPosition,
        applied: Applied,
    ) {
        match applied {
            Applied::Nothing => {}
            Applied::Events {
                purges,
                events,
                last: upto,
            } => {
                let batch = Batch {
                    after,
                    upto,
                    purges,
                    events,
                };
                self.apply_batch(router, subscription, &batch);
            }
            Applied::Snapshot {
                list,
                purges,
                group_purges,
                position: upto,
                may_miss_purges,
            } => {
                let snapshot = Snapshot {
                    position: upto,
                    list,
                    purges,
                    group_purges,
                    may_miss_purges,
                };
                self.apply_snapshot(router, subscription, &snapshot);
            }
        }
    }

    /// Rejects a delivery in which an event or the endpoint list can't be decoded: nothing of it is applied, and the
    /// position stays the same.
    fn reject_unreadable(
        &self,
        subscription: &EventSubscription,
        now: Time,
        position: EventPosition,
    ) {
        count(Counter::events_unreadable);
        subscription.reset_position(now, position);
        if self.rejection_log.admits() {
            log::warn!(
                "a planner's delivery is dropped: an event or the list in it can't be decoded"
            );
        }
    }

    fn apply_batch(&self, router: &Router, subscription: &EventSubscription, batch: &Batch) {
        let (now, after, upto) = (router.clock.now(), batch.after, batch.upto);
        let Some(events) = decode_all(&batch.events, &router.names) else {
            return self.reject_unreadable(subscription, now, after);
        };
        let caught_up_at = subscription.caught_up_at().map(CaughtUpAt::time);
        let follows = self
            .numbering
            .borrow_mut()
            .accept_batch(now, after, upto, caught_up_at);
        if !follows {
            return subscription.reset_position(now, after);
        }
        if after == upto {
            return;
        }
        for PositionedEvent { position, event } in events {
            count(Counter::events_relayed);
            router.record_and_apply(position, event);
        }
        apply_object_purges(router, subscription, now, &batch.purges);
        router.notify_listener(AppliedEvents::Range {
            after: after.number,
            upto,
        });
    }

    fn apply_snapshot(
        &self,
        router: &Router,
        subscription: &EventSubscription,
        snapshot: &Snapshot,
    ) {
        let (now, upto) = (router.clock.now(), snapshot.position);
        let list = frames::read(&snapshot.list, &router.names)
            .ok()
            .flatten()
            .filter(Event::is_full_list);
        let group_purges = decode_all(&snapshot.group_purges, &router.names);
        let (Some(list), Some(group_purges)) = (list, group_purges) else {
            return self.reject_unreadable(subscription, now, self.position());
        };
        let since = self.numbering.borrow().confirmed_at();
        self.numbering.borrow_mut().accept_snapshot(now, upto);
        // Hosts that are known to be withdrawn stay so, as the list may belong to another numbering. `closed_cleanly`
        // keeps the missed period from casting doubt on copies: the snapshot itself tells how far back its purges
        // reach, and copies are purged below if that is not far enough.
        let missed = since.map(|_| MissedPeriod {
            since,
            closed_cleanly: true,
        });
        router.replace_list(upto, list, missed);
        if snapshot.may_miss_purges {
            count(Counter::copies_doubted);
            router.purge_all_copies(now);
        }
        subscription.snapshot_applied();
        apply_group_purges(router, now, group_purges);
        apply_object_purges(router, subscription, now, &snapshot.purges);
    }

    /// Reports a purge of the object, if there is an unreported one, before a request for the object starts.
    pub(in crate::routing) fn report_purge_for_request(&self, router: &Router, object: ObjectId) {
        if let Some(subscription) = &self.subscription {
            report_purge(router, subscription, router.clock.now(), object);
        }
    }

    /// Called when the coordinator's own watch has caught up. Purges all copies if unsettled purges may be missing that
    /// the coordinator announced before this process started.
    pub(super) fn purge_if_earlier_purges_unknown(&self, router: &Router) {
        let Some(subscription) = &self.subscription else {
            return;
        };
        let now = router.clock.now();
        if subscription.note_coordinator_caught_up(now) {
            count(Counter::copies_doubted);
            router.purge_all_copies(now);
        }
    }
}

/// Reports purges of groups to the decision engine. They count from now, since the snapshot that holds them may be
/// older.
fn apply_group_purges(router: &Router, now: Time, purges: Vec<PositionedEvent>) {
    for PositionedEvent { event, .. } in purges {
        if let Event::Purged { object, group, .. } = event {
            router.report(Input::Purged {
                object,
                group,
                made: now,
            });
        }
    }
}

/// Records purges of single objects. Those of objects with open requests are reported to the decision engine at once,
/// the others when their object is requested.
fn apply_object_purges(
    router: &Router,
    subscription: &EventSubscription,
    now: Time,
    purges: &[Fingerprint],
) {
    if subscription.purges.add(now, purges) {
        count(Counter::copies_doubted);
        router.purge_all_copies(now);
    }
    for object in router.requests.objects() {
        report_purge(router, subscription, now, object);
    }
}

/// Reports the purge of an object to the decision engine, if there is one that was not reported yet.
fn report_purge(router: &Router, subscription: &EventSubscription, now: Time, object: ObjectId) {
    if let Some(made) = subscription.purges.take_unreported(now, object) {
        router.report(Input::Purged {
            object: Some(object),
            group: GroupId(0),
            made,
        });
    }
}
