//! Applies the coordinator's events, whether they come from the coordinator itself or from a planner: each is recorded,
//! stored and reported to the decision engine; then the event listener is notified that it is in force.

use flaxdeck::polled::Input;
use flaxdeck::{Endpoint, GroupId, ListKind, Time};
use flaxdeck_channel::watch::Event;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::numbering::MissedPeriod;
use flaxdeck_recovery::{EventPosition, unconfirmed};
use flaxdeck_wire::frames::AddressedEndpoint;

use super::Router;

/// A notification to an [`EventListener`]: the events that have come into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppliedEvents {
    /// All events with consecutive numbers, from `after` (exclusive) to `upto` (inclusive).
    Range {
        /// The number of the event before the first one.
        after: u64,
        /// The position of the last one.
        upto: EventPosition,
    },
    /// A full endpoint list that replaced everything known before.
    FullList {
        /// The position of the last event that the list includes.
        upto: EventPosition,
    },
}

/// A callback that runs synchronously each time events have come into force.
pub type EventListener = Box<dyn Fn(AppliedEvents)>;

impl Router {
    /// Applies the coordinator's next event and notifies the listener.
    pub(crate) fn apply_event(&self, position: EventPosition, event: Event) {
        self.record_and_apply(position, event);
        self.notify_listener(AppliedEvents::Range {
            after: position.number.saturating_sub(1),
            upto: position,
        });
    }

    /// Applies an event without notifying the listener. For the events of a planner's batch, which come into force
    /// together: the caller has to notify the listener once for all of them.
    pub(super) fn record_and_apply(&self, position: EventPosition, event: Event) {
        if let Some(client) = self.control_client.get() {
            client.record_event(position, &event);
        }
        self.apply(event);
    }

    /// Sets the listener, which is notified of all events from now on, and first of `known`, the position reached so
    /// far. To be called once.
    pub(crate) fn set_listener(&self, listener: EventListener, known: Option<EventPosition>) {
        if let Some(upto) = known {
            listener(AppliedEvents::FullList { upto });
        }
        *self.event_listener.borrow_mut() = Some(listener);
    }

    /// Notifies the listener, if there is one, of events that have come into force.
    pub(super) fn notify_listener(&self, applied: AppliedEvents) {
        if let Some(listener) = &*self.event_listener.borrow() {
            listener(applied);
        }
    }

    fn apply(&self, event: Event) {
        match event {
            Event::Hosts(list_kind, endpoints) => self.apply_endpoints(list_kind, endpoints),
            Event::Purged {
                object,
                group,
                made,
            } => {
                log::debug!("told: a purge of {object:?} in {group:?}");
                self.report(Input::Purged {
                    object,
                    group,
                    made: self.effective_purge_time(made),
                });
            }
        }
    }

    fn apply_endpoints(&self, list_kind: ListKind, endpoints: Vec<AddressedEndpoint>) {
        // A full list is too long to be logged, and the first one is applied before the process listens.
        if list_kind == ListKind::Delta {
            for endpoint in &endpoints {
                let listed = &endpoint.listed;
                log::debug!("told: {} {:?}", listed.host.0, listed.health);
            }
        }
        self.host_connections.update_hosts(list_kind, &endpoints);
        let listed = endpoints
            .into_iter()
            .map(|endpoint| endpoint.listed)
            .collect();
        self.report_endpoints(list_kind, listed);
    }

    /// Reports endpoints to the decision engine, with their start times converted to the local clock.
    pub(super) fn report_endpoints(&self, list_kind: ListKind, mut endpoints: Vec<Endpoint>) {
        if let Some(client) = self.control_client.get() {
            client.endpoints_to_local(&mut endpoints);
        }
        self.report(Input::EndpointList(list_kind, endpoints));
    }

    /// Returns the time from which a purge counts. Guards against a local clock that runs ahead, by which a purge would
    /// seem older than it is: a forwarder takes the time at which a live event arrives. That may ask hosts for younger
    /// copies than necessary, but never allows older ones.
    fn effective_purge_time(&self, made: Time) -> Time {
        let is_live = self
            .control_client
            .get()
            .is_some_and(|client| client.is_live());
        if is_live { self.clock.now() } else { made }
    }

    /// Purges all objects as of `made`: copies from before that time are not served until the purge has settled.
    pub(super) fn purge_all_copies(&self, made: Time) {
        self.report(Input::Purged {
            object: None,
            group: GroupId::ALL,
            made,
        });
    }

    /// Applies a full list that replaces everything known, because the coordinator's numbering does not continue the
    /// known one. Nothing confirms what happened in the missed period, if there is one: endpoints that were known to be
    /// withdrawn stay withdrawn, and copies that a missed purge may concern are not served. Does nothing without a
    /// control client: without planners, the watch trusts the coordinator's numbers and returns no such list.
    pub(super) fn replace_list(
        &self,
        position: EventPosition,
        event: Event,
        missed: Option<MissedPeriod>,
    ) {
        let (Some(client), Event::Hosts(list_kind, mut endpoints)) =
            (self.control_client.get(), event)
        else {
            return;
        };
        let now = self.clock.now();
        let withheld = client.replace_endpoints(now, &mut endpoints, missed.is_some());
        let copies_valid_from =
            missed.and_then(|missed| unconfirmed::copies_from(now, missed, self.purge_settles));
        if missed.is_some() {
            log_replaced_list(position, withheld, copies_valid_from);
        }
        let event = Event::Hosts(list_kind, endpoints);
        client.store_event(position, &event);
        self.apply(event);
        if let Some(valid_from) = copies_valid_from {
            self.purge_all_copies(valid_from);
        }
        self.notify_listener(AppliedEvents::FullList { upto: position });
    }
}

fn log_replaced_list(position: EventPosition, withheld: usize, copies_valid_from: Option<Time>) {
    for _ in 0..withheld {
        count(Counter::hosts_doubted);
    }
    let copies = copies_valid_from.map_or("are not doubted".into(), |from| {
        format!("from before {:.0} ms are doubted", from.ms())
    });
    log::error!(
        "the coordinator's numbering is another, event {}: its list is taken anew, {withheld} hosts stay withdrawn in \
         doubt, copies {copies}",
        position.number,
    );
}
