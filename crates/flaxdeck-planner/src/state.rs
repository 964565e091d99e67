//! The state that the planner's tasks share. Each cell is borrowed within one call, never across an await.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::Bytes;
use flaxdeck::{Health, ListKind, Time};
use flaxdeck_channel::connection::Sender;
use flaxdeck_channel::messages::FromPlanner;
use flaxdeck_channel::watch::{Event, Watch};
use flaxdeck_control::messages::{Epoch, RelayedEvent, Report};
use flaxdeck_control::planner::Planner;
use flaxdeck_distribution::SubscriberId;
use flaxdeck_distribution::messages::Subscription;
use flaxdeck_net::clock::Clock;
use flaxdeck_net::log_limiter::LogLimiter;
use flaxdeck_recovery::EventPosition;
use flaxdeck_wire::frames::AddressedEndpoint;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::events::Events;

/// The sending half of a forwarder's connection. The session shares it with [`State`], through which other tasks send,
/// until the connection ends.
pub(crate) type SharedSender = Rc<RefCell<Sender>>;

/// Number of a connection, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionNumber(u64);

impl ConnectionNumber {
    fn subscriber_id(self) -> SubscriberId {
        SubscriberId(self.0)
    }
}

/// The connection of a forwarder that has sent a report.
struct ConnectedForwarder {
    connection: ConnectionNumber,
    sender: SharedSender,
}

/// Owns the planner's state. It is not persisted.
pub(crate) struct State {
    pub(crate) clock: Clock,
    planner: RefCell<Planner>,
    forwarders: RefCell<BTreeMap<Epoch, ConnectedForwarder>>,
    events: RefCell<Events>,
    subscribers: RefCell<BTreeMap<SubscriberId, SharedSender>>,
    /// Notified when a subscriber may be due earlier than scheduled.
    schedule_changed: Notify,
    next_connection_number: Cell<u64>,
    /// Number of refused peers, for the log.
    refused: Cell<u64>,
    /// Limits the lines about refused peers, of which strangers can cause any number.
    pub(crate) refusal_log: LogLimiter,
    /// Limits the lines about ended sessions, of which strangers can cause any number.
    pub(crate) session_log: LogLimiter,
}

impl State {
    /// Creates the state of a planner that has just started.
    pub(crate) fn new(clock: Clock, planner: Planner, events: Events) -> State {
        State {
            clock,
            planner: RefCell::new(planner),
            forwarders: RefCell::default(),
            events: RefCell::new(events),
            subscribers: RefCell::default(),
            schedule_changed: Notify::new(),
            next_connection_number: Cell::new(0),
            refused: Cell::new(0),
            refusal_log: LogLimiter::default(),
            session_log: LogLimiter::default(),
        }
    }

    /// Restarts the event logs at that position: at the start, and when the coordinator uses another numbering.
    pub(crate) fn restart_log_at(&self, position: EventPosition) {
        self.planner.borrow_mut().restart_log_at(position);
        self.events
            .borrow_mut()
            .restart_log_at(self.clock.now(), position);
    }

    /// Updates the hosts from an event without appending it to the logs. Used for the events of the configuration, and
    /// for the full list of another numbering.
    pub(crate) fn apply_list(&self, event: Event) {
        self.events.borrow_mut().update_hosts(&event);
        self.apply_hosts(event);
    }

    /// Applies an event that follows the last one. Returns it in the form in which guidance relays it.
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

    /// Updates the planner's hosts and their start times; ignores a purge.
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
            let is_listed = listed.health != Health::Removed;
            planner.update_host(now, &listed.host.0, is_listed.then_some(started));
        }
    }

    /// Records what is known of the coordinator's events after the watch has reported something, and relays an event to
    /// the connected forwarders.
    pub(crate) fn coordinator_heard(&self, event: Option<RelayedEvent>, watch: &Watch) {
        let now = self.clock.now();
        let knowledge = watch.knowledge(&self.clock);
        let has_event = event.is_some();
        self.planner
            .borrow_mut()
            .coordinator_heard(now, event, knowledge);
        self.events.borrow_mut().coordinator_heard(now, knowledge);
        if has_event {
            self.push_guidance();
        }
        self.schedule_changed.notify_one();
    }

    /// Sends new events to all connected forwarders that lack them, so that none has to wait for the answer to its next
    /// report to learn that a host drains. A forwarder that reads too slowly is skipped.
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

    /// Returns the number of a new connection.
    pub(crate) fn next_connection_number(&self) -> ConnectionNumber {
        let number = self.next_connection_number.get();
        self.next_connection_number.set(number + 1);
        ConnectionNumber(number)
    }

    /// Handles a forwarder's report: guidance is sent on that connection from now on. The report is ignored and not
    /// answered if the forwarder reads too slowly.
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

    /// Starts, changes or ends a forwarder's subscription.
    pub(crate) fn subscribe(
        &self,
        connection: ConnectionNumber,
        sender: &SharedSender,
        subscription: Subscription,
    ) {
        let id = connection.subscriber_id();
        self.subscribers.borrow_mut().insert(id, sender.clone());
        self.events
            .borrow_mut()
            .subscribe(self.clock.now(), id, subscription);
        self.schedule_changed.notify_one();
    }

    /// Removes a connection that has ended. A later connection of the same forwarder is kept.
    pub(crate) fn disconnected(&self, connection: ConnectionNumber) {
        self.forwarders
            .borrow_mut()
            .retain(|_, forwarder| forwarder.connection != connection);
        let id = connection.subscriber_id();
        self.subscribers.borrow_mut().remove(&id);
        self.events.borrow_mut().unsubscribe(id);
    }

    /// Counts a refused peer and returns how many there have been.
    pub(crate) fn count_refused(&self) -> u64 {
        self.refused.set(self.refused.get() + 1);
        self.refused.get()
    }

    /// Returns when the next subscriber is due; none if no subscriber is waiting.
    pub(crate) fn next_delivery(&self) -> Option<Instant> {
        let next = self.events.borrow().next_due();
        next.map(|at| self.clock.instant(at))
    }

    /// Waits until a subscriber may be due earlier than [`State::next_delivery`] said.
    pub(crate) async fn schedule_changed(&self) {
        self.schedule_changed.notified().await;
    }

    /// Sends events to all subscribers that are due. One that reads too slowly is skipped and gets more events at once
    /// later.
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

    /// Logs the sizes of the planner's state and its counters.
    pub(crate) fn log_status(&self) {
        let planner = self.planner.borrow();
        let planner_load = planner.load(self.clock.now());
        tracing::info!(
            forwarders = planner_load.forwarders,
            lives = planner_load.pools,
            lent = planner_load.held,
            out = planner_load.reserved,
            refused = self.refused.get(),
            counters = ?planner.counters,
            "counted"
        );
        let events_load = self.events.borrow().load();
        tracing::info!(
            subscribers = events_load.subscribers,
            kept = events_load.events,
            bytes = events_load.bytes,
            counters = ?events_load.counters,
            "events"
        );
    }
}

/// Removes the planner's hosts that a full list does not name.
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
