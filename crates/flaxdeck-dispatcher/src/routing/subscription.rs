//! Events by a subscription: one planner tells them in batches, in which purges of single objects are fingerprints, and
//! the coordinator itself is asked only where no planner delivers. What is applied is decided in
//! `flaxdeck_distribution`; here it is told to the decision engine, purges only for objects that are asked for.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use flaxdeck::polled::Input;
use flaxdeck::{GroupId, ObjectId, Span, Time};
use flaxdeck_channel::messages::FromForwarder;
use flaxdeck_channel::watch::Event;
use flaxdeck_distribution::messages::{Delivery, FullEvent};
use flaxdeck_distribution::{Applied, Cadence, Fingerprint, PlannerNumber, PurgeIndex, Subscriber};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{MissedPeriod, Numbering};
use flaxdeck_wire::frames;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::guides::Guides;
use super::{InForce, Router};

/// Between lines in the log about deliveries that are refused.
const REFUSALS_TOLD_EVERY: Span = Span::from_ms(1_000);

/// What the operator's file says of events by a subscription.
#[derive(Clone, Copy, Debug)]
pub struct Digests {
    pub cadence: Cadence,
    /// Between reports to planners while there is nothing urgent to tell.
    pub report_idle_every: Span,
}

/// The events that a forwarder subscribes to.
pub struct EventSubscription {
    subscriber: RefCell<Subscriber>,
    numbering: Rc<RefCell<Numbering>>,
    purges: RefCell<PurgeIndex>,
    /// Objects whose purge the decision engine has been told, with when it counts as made.
    purges_told: RefCell<BTreeMap<ObjectId, Time>>,
    /// When copies were last doubted because purges had to be dropped.
    dropped_told: Cell<Option<Time>>,
    settles: Span,
    started: Time,
    /// All purges that may not have settled are known here: those from before this process started too.
    knows_unsettled: Cell<bool>,
    coordinator_wanted: Cell<bool>,
    coordinator_change: Notify,
    /// Something may be due sooner than was known.
    due_changed: Notify,
    refusals_told: Cell<Option<Time>>,
}

impl EventSubscription {
    /// Of a forwarder that has just started, with so many planners, which it orders by that preference.
    pub fn start(
        now: Time,
        planners: u32,
        preference: u64,
        digests: Digests,
        settles: Span,
        numbering: Rc<RefCell<Numbering>>,
    ) -> EventSubscription {
        let subscriber = Subscriber::start(now, planners, preference, digests.cadence, settles);
        EventSubscription {
            subscriber: RefCell::new(subscriber),
            numbering,
            purges: RefCell::new(PurgeIndex::new(settles)),
            purges_told: RefCell::default(),
            dropped_told: Cell::new(None),
            settles,
            started: now,
            knows_unsettled: Cell::new(false),
            coordinator_wanted: Cell::new(false),
            coordinator_change: Notify::new(),
            due_changed: Notify::new(),
            refusals_told: Cell::new(None),
        }
    }

    /// Whether events have to come from the coordinator itself.
    pub fn wants_coordinator(&self) -> bool {
        self.coordinator_wanted.get()
    }

    /// Waits until that may have changed.
    pub async fn coordinator_change(&self) {
        self.coordinator_change.notified().await;
    }

    /// When, on this clock, all was last known here that the coordinator had.
    pub fn vouched(&self) -> Option<Time> {
        self.subscriber.borrow().confirmed_at()
    }

    /// The planner that tells the events, if one does.
    pub fn followed(&self) -> Option<PlannerNumber> {
        self.subscriber.borrow().followed()
    }

    /// What is counters of deliveries, in words for the log.
    pub fn line(&self) -> String {
        let subscriber = self.subscriber.borrow();
        let unsettled = self.purges.borrow().len();
        format!(
            "followed={:?} unsettled={unsettled} {:?}",
            subscriber.followed(),
            subscriber.counters
        )
    }

    // The coordinator's own watch moves the numbering on without a word to the subscriber.
    fn catch_up_with_numbering(&self, now: Time) {
        let last = self.numbering.borrow().last();
        if self.knows_unsettled.get() && last != self.subscriber.borrow().position() {
            self.subscriber.borrow_mut().set_position(now, last);
        }
    }

    fn should_tell_refusal(&self, now: Time) -> bool {
        let tells = self
            .refusals_told
            .get()
            .is_none_or(|told| now.since(told) >= REFUSALS_TOLD_EVERY);
        if tells {
            self.refusals_told.set(Some(now));
        }
        tells
    }
}

fn read_all(
    events: &[FullEvent],
    names: &flaxdeck_terms::Names,
) -> Option<Vec<(EventPosition, Event)>> {
    let read = |event: &FullEvent| Some((event.position, frames::read(&event.frame, names).ok()??));
    events.iter().map(read).collect()
}

impl Router {
    pub(super) fn subscription(&self) -> Option<Rc<EventSubscription>> {
        self.guides
            .borrow()
            .as_ref()
            .and_then(|guides| guides.subscription.clone())
    }

    /// A conversation with a planner has begun, or has ended.
    pub(super) fn planner_connected(&self, guides: &Guides, at: usize, connected: bool) {
        let Some(subscription) = &guides.subscription else {
            return;
        };
        let (now, planner) = (self.clock.now(), PlannerNumber(at as u32));
        subscription.catch_up_with_numbering(now);
        {
            let mut subscriber = subscription.subscriber.borrow_mut();
            if connected {
                subscriber.connected(now, planner)
            } else {
                subscriber.disconnected(now, planner)
            }
        }
        self.subscribe(guides, subscription);
    }

    /// Says to planners what is wanted of them, and to the watch whether the coordinator is needed.
    fn subscribe(&self, guides: &Guides, subscription: &EventSubscription) {
        let now = self.clock.now();
        subscription.catch_up_with_numbering(now);
        let actions = subscription.subscriber.borrow_mut().actions(now);
        for (planner, wanted) in actions {
            if let Some(Some(speaker)) = guides.speakers.borrow_mut().get_mut(planner.0 as usize) {
                speaker.send(&FromForwarder::Subscribe(wanted));
            }
        }
        guides.follows(subscription.followed());
        let needed = subscription.subscriber.borrow().needs_coordinator(now);
        if subscription.coordinator_wanted.replace(needed) != needed {
            let word = if needed {
                "no planner delivers, the coordinator is asked"
            } else {
                "planners deliver"
            };
            log::info!("events: {word}");
            subscription.coordinator_change.notify_one();
        }
        subscription.due_changed.notify_one();
    }

    /// Goes on with what falls due by itself.
    pub(super) async fn keep_subscribed(self: Rc<Router>, guides: Rc<Guides>) {
        let Some(subscription) = guides.subscription.clone() else {
            return;
        };
        loop {
            let due = subscription
                .subscriber
                .borrow()
                .next_change(self.clock.now());
            let due = due.map(|due| self.clock.instant(due));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.subscribe(&guides, &subscription);
                }
                () = subscription.due_changed.notified() => {}
            }
        }
    }

    /// A planner has told of events.
    pub(super) fn delivered(&self, guides: &Guides, at: usize, delivery: Delivery) {
        let Some(subscription) = guides.subscription.clone() else {
            return;
        };
        let now = self.clock.now();
        if !subscription.numbering.borrow().trusts_peers(now) {
            return;
        }
        subscription.catch_up_with_numbering(now);
        let before = subscription.numbering.borrow().last();
        let planner = PlannerNumber(at as u32);
        let applied = subscription
            .subscriber
            .borrow_mut()
            .receive(now, planner, delivery);
        match applied {
            Ok(Applied::Nothing) => {}
            Ok(Applied::Events {
                purges,
                events,
                last: upto,
            }) => {
                self.apply_batch(&subscription, before, upto, &purges, &events);
            }
            Ok(Applied::Snapshot {
                list,
                purges,
                group_purges,
                position: upto,
                may_miss_purges: copies_in_doubt,
            }) => {
                let list = FullEvent {
                    position: upto,
                    frame: list,
                };
                self.apply_snapshot(
                    &subscription,
                    &list,
                    &purges,
                    &group_purges,
                    copies_in_doubt,
                );
            }
            Err(why) => {
                count(Counter::deliveries_refused);
                if subscription.should_tell_refusal(now) {
                    log::warn!("a delivery of planner {at} is refused: {why:?}");
                }
            }
        }
        subscription
            .vouched()
            .into_iter()
            .for_each(|vouched| self.events_known_at(guides, vouched));
        self.subscribe(guides, &subscription);
    }

    fn apply_batch(
        &self,
        subscription: &EventSubscription,
        before: EventPosition,
        upto: EventPosition,
        purges: &[Fingerprint],
        events: &[FullEvent],
    ) {
        let now = self.clock.now();
        let Some(events) = read_all(events, &self.names) else {
            return self.unreadable(subscription, now, before);
        };
        let whole_at = subscription.vouched();
        if !subscription
            .numbering
            .borrow_mut()
            .accept_batch(now, before, upto, whole_at)
        {
            return subscription
                .subscriber
                .borrow_mut()
                .set_position(now, before);
        }
        if before == upto {
            return;
        }
        for (mark, event) in events {
            count(Counter::events_relayed);
            self.told_by_others(mark, event);
        }
        self.purged(subscription, now, purges);
        self.in_force(InForce::Events {
            after: before.number,
            upto,
        });
    }

    fn apply_snapshot(
        &self,
        subscription: &EventSubscription,
        list: &FullEvent,
        purges: &[Fingerprint],
        group_purges: &[FullEvent],
        copies_in_doubt: bool,
    ) {
        let (now, upto) = (self.clock.now(), list.position);
        let before = subscription.numbering.borrow().last();
        let whole = frames::read(&list.frame, &self.names)
            .ok()
            .flatten()
            .filter(Event::is_whole_list);
        let (Some(whole), Some(groups)) = (whole, read_all(group_purges, &self.names)) else {
            return self.unreadable(subscription, now, before);
        };
        let since = subscription.numbering.borrow().confirmed_at();
        subscription
            .numbering
            .borrow_mut()
            .accept_snapshot(now, upto);
        // Hosts that are known to be withdrawn stay so, as the list may be of another numbering. Copies are doubted
        // below, as the snapshot says itself how far back its purges reach.
        let doubt = since.map(|_| MissedPeriod {
            since,
            closed_cleanly: true,
        });
        self.told_anew(upto, whole, doubt);
        if copies_in_doubt {
            count(Counter::copies_doubted);
            self.doubt_copies(now);
        }
        subscription.knows_unsettled.set(true);
        subscription.coordinator_change.notify_one();
        for (_, event) in groups {
            if let Event::Purged { object, group, .. } = event {
                self.report(Input::Purged {
                    object,
                    group,
                    made: now,
                });
            }
        }
        self.purged(subscription, now, purges);
    }

    /// Nothing of a delivery is applied that holds what can't be read.
    fn unreadable(&self, subscription: &EventSubscription, now: Time, before: EventPosition) {
        count(Counter::events_unreadable);
        subscription
            .subscriber
            .borrow_mut()
            .set_position(now, before);
        if subscription.should_tell_refusal(now) {
            log::warn!("a planner passed on an event that can't be read");
        }
    }

    /// No copy from before now is handed out until purges have settled.
    fn doubt_copies(&self, now: Time) {
        self.report(Input::Purged {
            object: None,
            group: GroupId::ALL,
            made: now,
        });
    }

    /// Objects were purged: those that are asked for right now are told of at once, the others once they are.
    fn purged(&self, subscription: &EventSubscription, now: Time, purges: &[Fingerprint]) {
        subscription.purges.borrow_mut().record(now, purges);
        let dropped = subscription.purges.borrow().incomplete_before(now);
        if dropped.is_some() && subscription.dropped_told.replace(dropped) != dropped {
            count(Counter::copies_doubted);
            self.doubt_copies(now);
        }
        let open: Vec<ObjectId> = self
            .table
            .borrow()
            .values()
            .map(|entry| entry.object)
            .collect();
        open.into_iter()
            .for_each(|object| self.tell_purge(subscription, now, object));
    }

    /// A request for the object begins.
    pub(super) fn asked_for(&self, object: ObjectId) {
        if let Some(subscription) = self.subscription() {
            self.tell_purge(&subscription, self.clock.now(), object);
        }
    }

    fn tell_purge(&self, subscription: &EventSubscription, now: Time, object: ObjectId) {
        let Some(made) = subscription.purges.borrow_mut().purged_at(now, object) else {
            return;
        };
        let mut told = subscription.purges_told.borrow_mut();
        if told.get(&object) == Some(&made) {
            return;
        }
        told.retain(|_, made| now.since(*made) < subscription.settles * 2.0);
        told.insert(object, made);
        drop(told);
        self.report(Input::Purged {
            object: Some(object),
            group: GroupId(0),
            made,
        });
    }

    /// The coordinator itself brought what is current. Purges that it told others before this process started, and that
    /// have not settled, are known to nobody here: unlike a planner it does not tell them again.
    pub(super) fn current_by_coordinator(&self) {
        let Some(subscription) = self.subscription() else {
            return;
        };
        if subscription.knows_unsettled.replace(true) {
            return;
        }
        let now = self.clock.now();
        if now.since(subscription.started) < subscription.settles {
            count(Counter::copies_doubted);
            self.doubt_copies(now);
        }
    }
}
