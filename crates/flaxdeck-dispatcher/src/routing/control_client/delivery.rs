//! Deliveries of the planner that is followed: applied as one, or not at all. Purges of single objects go to the
//! decision engine only for objects that are asked for.

use std::rc::Rc;

use flaxdeck::polled::Input;
use flaxdeck::{GroupId, ObjectId, Time};
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

/// Renews the subscription when something falls due by itself, until the client is stopped.
pub(super) async fn renew_subscription(client: Rc<ControlClient>, router: Rc<Router>) {
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

/// An event that was read, and its place among the coordinator's.
struct PositionedEvent {
    position: EventPosition,
    event: Event,
}

/// Reads all events; none if one of them can't be read.
fn read_all(events: &[FullEvent], names: &Names) -> Option<Vec<PositionedEvent>> {
    let read = |event: &FullEvent| {
        Some(PositionedEvent {
            position: event.position,
            event: frames::read(&event.frame, names).ok()??,
        })
    };
    events.iter().map(read).collect()
}

/// All that follows one position, up to another.
struct Batch {
    after: EventPosition,
    upto: EventPosition,
    purges: Vec<Fingerprint>,
    events: Vec<FullEvent>,
}

/// The state at a position, in place of what was known.
struct Snapshot {
    position: EventPosition,
    /// The frame with the full list.
    list: Vec<u8>,
    purges: Vec<Fingerprint>,
    group_purges: Vec<FullEvent>,
    /// Purges may have been missed.
    copies_in_doubt: bool,
}

impl ControlClient {
    /// A connection to a planner is up.
    pub(super) fn planner_connected(&self, router: &Router, planner: PlannerId) {
        if let Some(subscription) = &self.subscription {
            let now = router.clock.now();
            subscription.catch_up(now, self.position());
            subscription.connected(now, planner);
            self.update_subscription(router, subscription);
        }
    }

    /// A connection to a planner has ended.
    pub(super) fn planner_disconnected(&self, router: &Router, planner: PlannerId) {
        if let Some(subscription) = &self.subscription {
            let now = router.clock.now();
            subscription.catch_up(now, self.position());
            subscription.disconnected(now, planner);
            self.update_subscription(router, subscription);
        }
    }

    /// Says to planners what is wanted of them, and to the watch whether the coordinator is needed.
    fn update_subscription(&self, router: &Router, subscription: &EventSubscription) {
        let now = router.clock.now();
        subscription.catch_up(now, self.position());
        for change in subscription.changes(now) {
            self.planners.send(
                change.planner,
                &FromForwarder::Subscribe(change.subscription),
            );
        }
        self.session.subscribed_to(subscription.followed());
        if let Some(needed) = subscription.update_coordinator_need(now) {
            let source = if needed {
                "no planner delivers, the coordinator is asked"
            } else {
                "planners deliver"
            };
            log::info!("events: {source}");
        }
        subscription.changed();
    }

    /// A planner has delivered events.
    pub(super) fn apply_delivery(&self, router: &Router, planner: PlannerId, delivery: Delivery) {
        let Some(subscription) = &self.subscription else {
            return;
        };
        let now = router.clock.now();
        if !self.numbering.borrow().trusts_peers(now) {
            return;
        }
        let after = self.position();
        subscription.catch_up(now, after);
        match subscription.delivered(now, planner, delivery) {
            Ok(applied) => self.apply(router, subscription, after, applied),
            Err(why) => {
                count(Counter::deliveries_refused);
                if subscription.should_log_refusal(now) {
                    log::warn!("a delivery of planner {} is refused: {why:?}", planner.0);
                }
            }
        }
        if let Some(current_at) = subscription.current_at() {
            self.events_known_at(router, current_at);
        }
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
                may_miss_purges: copies_in_doubt,
            } => {
                let snapshot = Snapshot {
                    position: upto,
                    list,
                    purges,
                    group_purges,
                    copies_in_doubt,
                };
                self.apply_snapshot(router, subscription, &snapshot);
            }
        }
    }

    fn apply_batch(&self, router: &Router, subscription: &EventSubscription, batch: &Batch) {
        let (now, after, upto) = (router.clock.now(), batch.after, batch.upto);
        let Some(events) = read_all(&batch.events, &router.names) else {
            return reject_unreadable(subscription, now, after);
        };
        let current_at = subscription.current_at();
        let follows = self
            .numbering
            .borrow_mut()
            .accept_batch(now, after, upto, current_at);
        if !follows {
            return subscription.reset_position(now, after);
        }
        if after == upto {
            return;
        }
        for PositionedEvent { position, event } in events {
            count(Counter::events_relayed);
            router.apply_event_from_planner(position, event);
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
        let group_purges = read_all(&snapshot.group_purges, &router.names);
        let (Some(list), Some(group_purges)) = (list, group_purges) else {
            return reject_unreadable(subscription, now, self.position());
        };
        let since = self.numbering.borrow().confirmed_at();
        self.numbering.borrow_mut().accept_snapshot(now, upto);
        // Hosts that are known to be withdrawn stay so, as the list may be of another numbering. Copies are doubted
        // below, as the snapshot says itself how far back its purges reach.
        let missed = since.map(|_| MissedPeriod {
            since,
            closed_cleanly: true,
        });
        router.adopt_list(upto, list, missed);
        if snapshot.copies_in_doubt {
            count(Counter::copies_doubted);
            router.purge_all_copies(now);
        }
        subscription.snapshot_applied();
        apply_group_purges(router, now, group_purges);
        apply_object_purges(router, subscription, now, &snapshot.purges);
    }

    /// A request for the object begins: its purge, if there is one, counts before that.
    pub(in crate::routing) fn report_purge_for_request(&self, router: &Router, object: ObjectId) {
        if let Some(subscription) = &self.subscription {
            report_purge(router, subscription, router.clock.now(), object);
        }
    }

    /// The coordinator itself brought what is current. Purges that it announced before this process started, and that
    /// have not settled, are known to nobody here.
    pub(super) fn current_by_coordinator(&self, router: &Router) {
        let Some(subscription) = &self.subscription else {
            return;
        };
        let now = router.clock.now();
        if subscription.current_by_coordinator(now) {
            count(Counter::copies_doubted);
            router.purge_all_copies(now);
        }
    }
}

/// Nothing of a delivery is applied that holds what can't be read.
fn reject_unreadable(subscription: &EventSubscription, now: Time, position: EventPosition) {
    count(Counter::events_unreadable);
    subscription.reset_position(now, position);
    if subscription.should_log_refusal(now) {
        log::warn!("a planner passed on an event that can't be read");
    }
}

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

/// Objects were purged: those that are asked for right now are reported at once, the others once they are.
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

fn report_purge(router: &Router, subscription: &EventSubscription, now: Time, object: ObjectId) {
    if let Some(made) = subscription.purges.take_unreported(now, object) {
        router.report(Input::Purged {
            object: Some(object),
            group: GroupId(0),
            made,
        });
    }
}
