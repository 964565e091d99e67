//! What the planner's tasks share. Each cell is borrowed within one call, never across an await.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::Bytes;
use flaxdeck::{Health, ListKind, Time};
use flaxdeck_channel::connection::Sender;
use flaxdeck_channel::messages::FromPlanner;
use flaxdeck_channel::watch::Event;
use flaxdeck_control::messages::{Epoch, RelayedEvent, Report};
use flaxdeck_control::planner::Planner;
use flaxdeck_distribution::SubscriberId;
use flaxdeck_distribution::messages::Subscription;
use flaxdeck_net::clock::Clock;
use flaxdeck_recovery::EventPosition;
use flaxdeck_wire::frames::AddressedEndpoint;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::events::Events;

/// The sending half of a forwarder's connection. Its session owns it; others send by it while the session lasts.
pub(crate) type SharedSender = Rc<RefCell<Sender>>;

/// The number of a connection, which no other of this process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionNumber(u64);

impl ConnectionNumber {
    fn subscriber(self) -> SubscriberId {
        SubscriberId(self.0)
    }
}

/// A forwarder that has sent a report.
struct ConnectedForwarder {
    connection: ConnectionNumber,
    sender: SharedSender,
}

/// Owns the planner's state. Nothing of it survives a restart.
pub(crate) struct State {
    pub(crate) clock: Clock,
    planner: RefCell<Planner>,
    forwarders: RefCell<BTreeMap<Epoch, ConnectedForwarder>>,
    events: RefCell<Events>,
    subscribers: RefCell<BTreeMap<SubscriberId, SharedSender>>,
    /// Some subscriber may be due sooner than was known.
    schedule_changed: Notify,
    next_connection: Cell<u64>,
    /// Peers that were refused, for the log.
    refused: Cell<u64>,
}

impl State {
    /// Of a planner that has just started.
    pub(crate) fn new(clock: Clock, planner: Planner, events: Events) -> State {
        State {
            clock,
            planner: RefCell::new(planner),
            forwarders: RefCell::default(),
            events: RefCell::new(events),
            subscribers: RefCell::default(),
            schedule_changed: Notify::new(),
            next_connection: Cell::new(0),
            refused: Cell::new(0),
        }
    }

    /// All that is known here of the coordinator's events ends with that one.
    pub(crate) fn restart_log_at(&self, position: EventPosition) {
        self.planner.borrow_mut().restart_log_at(position);
        self.events
            .borrow_mut()
            .begins_at(self.clock.now(), position);
    }

    /// Takes in what an event outside the numbering says of hosts.
    pub(crate) fn apply_list(&self, event: Event) {
        self.events.borrow_mut().list(&event);
        self.apply_hosts(event);
    }

    /// Applies an event that follows, and gives it as it is passed on in guidance.
    pub(crate) fn apply_event(
        &self,
        position: EventPosition,
        frame: &Bytes,
        event: Event,
    ) -> RelayedEvent {
        let now = self.clock.now();
        self.events.borrow_mut().apply(now, position, frame, &event);
        self.apply_hosts(event);
        RelayedEvent {
            position,
            frame: frame.to_vec(),
        }
    }

    /// Tells the planner of hosts: which there are, and since when each has run.
    fn apply_hosts(&self, event: Event) {
        let Event::Hosts(list_kind, endpoints) = event else {
            return;
        };
        let now = self.clock.now();
        let mut planner = self.planner.borrow_mut();
        if list_kind == ListKind::Full {
            remove_unlisted(&mut planner, now, &endpoints);
        }
        for endpoint in &endpoints {
            let listed = &endpoint.listed;
            let started = listed.started.map_or(0, |at| at.ms() as u64);
            let is_there = listed.health != Health::Removed;
            planner.update_host(now, &listed.host.0, is_there.then_some(started));
        }
    }

    /// The coordinator was heard, with an event or without; `current` if all is known here that it had to say.
    pub(crate) fn coordinator_alive(&self, event: Option<RelayedEvent>, current: bool) {
        let now = self.clock.now();
        let is_new = event.is_some();
        self.planner
            .borrow_mut()
            .coordinator_heard(now, event, current);
        self.events.borrow_mut().coordinator_alive(now, current);
        if is_new {
            self.push_guidance();
        }
        self.schedule_changed.notify_one();
    }

    /// Sends what has just come to all forwarders: nobody waits for its next report to learn of a drain.
    fn push_guidance(&self) {
        for (epoch, forwarder) in self.forwarders.borrow().iter() {
            let mut sender = forwarder.sender.borrow_mut();
            if !sender.may_send() {
                continue;
            }
            let guidance = self
                .planner
                .borrow_mut()
                .unsolicited_guidance(self.clock.now(), *epoch);
            if let Some(guidance) = guidance {
                sender.send(&FromPlanner::Guidance(guidance));
            }
        }
    }

    /// A connection was greeted.
    pub(crate) fn next_connection(&self) -> ConnectionNumber {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        ConnectionNumber(number)
    }

    /// A forwarder has sent a report on that connection: guidance goes there from now on, and it is answered unless it
    /// does not read what it was sent.
    pub(crate) fn apply_report(
        &self,
        connection: ConnectionNumber,
        sender: &SharedSender,
        report: &Report,
    ) {
        let from = report.envelope.from;
        self.set_forwarder(from, connection, sender);
        if !sender.borrow().may_send() {
            return;
        }
        let answer = self
            .planner
            .borrow_mut()
            .handle_report(self.clock.now(), report);
        match answer {
            Ok(guidance) => sender.borrow_mut().send(&FromPlanner::Guidance(guidance)),
            Err(why) => tracing::warn!(forwarder = from.0, ?why, "a report is refused"),
        }
    }

    fn set_forwarder(&self, from: Epoch, connection: ConnectionNumber, sender: &SharedSender) {
        let mut forwarders = self.forwarders.borrow_mut();
        let is_known = forwarders
            .get(&from)
            .is_some_and(|known| known.connection == connection);
        if !is_known {
            let forwarder = ConnectedForwarder {
                connection,
                sender: sender.clone(),
            };
            forwarders.insert(from, forwarder);
        }
    }

    /// A forwarder asks for events, or for no more of them.
    pub(crate) fn subscribe(
        &self,
        connection: ConnectionNumber,
        sender: &SharedSender,
        subscription: Subscription,
    ) {
        let id = connection.subscriber();
        self.subscribers.borrow_mut().insert(id, sender.clone());
        self.events
            .borrow_mut()
            .subscribe(self.clock.now(), id, subscription);
        self.schedule_changed.notify_one();
    }

    /// A connection has ended. A later one of the same forwarder is not touched.
    pub(crate) fn disconnected(&self, connection: ConnectionNumber) {
        self.forwarders
            .borrow_mut()
            .retain(|_, forwarder| forwarder.connection != connection);
        let id = connection.subscriber();
        self.subscribers.borrow_mut().remove(&id);
        self.events.borrow_mut().leave(id);
    }

    /// A peer was refused; gives how many that are.
    pub(crate) fn count_refused(&self) -> u64 {
        self.refused.set(self.refused.get() + 1);
        self.refused.get()
    }

    /// When some subscriber is due next.
    pub(crate) fn next_delivery(&self) -> Option<Instant> {
        let next = self.events.borrow().next_due();
        next.map(|at| self.clock.instant(at))
    }

    /// Waits until a subscriber may be due sooner than was known.
    pub(crate) async fn schedule_changed(&self) {
        self.schedule_changed.notified().await;
    }

    /// Sends events to all subscribers that are due; who reads slowly is sent more at once later.
    pub(crate) fn deliver(&self) {
        let now = self.clock.now();
        let due = self.events.borrow_mut().due(now);
        for id in due {
            let Some(sender) = self.subscribers.borrow().get(&id).cloned() else {
                continue;
            };
            if !sender.borrow().may_send() {
                continue;
            }
            let delivery = self.events.borrow_mut().delivery(now, id);
            if let Some(delivery) = delivery {
                sender.borrow_mut().send(&FromPlanner::Delivery(delivery));
            }
        }
    }

    /// Writes what the planner knows, and its counters, to the log.
    pub(crate) fn log_status(&self) {
        let planner = self.planner.borrow();
        let leases = planner.load(self.clock.now());
        tracing::info!(
            forwarders = leases.forwarders,
            lives = leases.pools,
            lent = leases.held,
            out = leases.reserved,
            refused = self.refused.get(),
            counters = ?planner.counters,
            "counted"
        );
        let load = self.events.borrow().load();
        tracing::info!(
            subscribers = load.subscribers,
            kept = load.events,
            bytes = load.bytes,
            counters = ?load.counters,
            "events"
        );
    }
}

/// A full list names all hosts: the others are gone.
fn remove_unlisted(planner: &mut Planner, now: Time, endpoints: &[AddressedEndpoint]) {
    let listed: BTreeSet<&str> = endpoints
        .iter()
        .map(|endpoint| &*endpoint.listed.host.0)
        .collect();
    let unlisted: Vec<String> = planner
        .hosts()
        .filter(|host| !listed.contains(host.as_str()))
        .cloned()
        .collect();
    for host in unlisted {
        planner.update_host(now, &host, None);
    }
}
