//! Events of the coordinator, whoever brought them: each is recorded, stored and told to the decision engine, and then
//! whoever listens is notified that it is in force.

use flaxdeck::polled::Input;
use flaxdeck::{Endpoint, GroupId, ListKind, Time};
use flaxdeck_channel::watch::Event;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::numbering::MissedPeriod;
use flaxdeck_recovery::{EventPosition, unconfirmed};
use flaxdeck_wire::frames::AddressedEndpoint;

use super::Router;

/// Events that have come into force, as an [`EventListener`] is told of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppliedEvents {
    /// All events of a range.
    Range {
        /// The number before the first of them.
        after: u64,
        /// The last of them.
        upto: EventPosition,
    },
    /// A full list in place of all that was known.
    FullList {
        /// The last event that is part of it.
        upto: EventPosition,
    },
}

/// Called at once whenever events have come into force.
pub type EventListener = Box<dyn Fn(AppliedEvents)>;

impl Router {
    /// Applies an event of the coordinator that follows what is known.
    pub(crate) fn apply_event(&self, position: EventPosition, event: Event) {
        self.apply_event_from_planner(position, event);
        self.notify_listener(AppliedEvents::Range {
            after: position.number.saturating_sub(1),
            upto: position,
        });
    }

    /// The same for one of several that a planner delivered and that come into force together: the caller owes the
    /// listener a notification.
    pub(super) fn apply_event_from_planner(&self, position: EventPosition, event: Event) {
        if let Some(client) = self.control_client.get() {
            client.record_event(position, &event);
        }
        self.apply(event);
    }

    /// Has somebody notified of events that come into force from now on, and first of what is known. To be called once.
    pub(crate) fn set_listener(&self, listener: EventListener, known: Option<EventPosition>) {
        if let Some(upto) = known {
            listener(AppliedEvents::FullList { upto });
        }
        *self.event_listener.borrow_mut() = Some(listener);
    }

    /// Tells the listener what has come into force.
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
                    made: self.purged_at(made),
                });
            }
        }
    }

    fn apply_endpoints(&self, list_kind: ListKind, endpoints: Vec<AddressedEndpoint>) {
        // A full list is long, and the first comes before the process listens.
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

    /// Tells the decision engine of endpoints, with their starts by the own clock.
    pub(super) fn report_endpoints(&self, list_kind: ListKind, mut endpoints: Vec<Endpoint>) {
        if let Some(client) = self.control_client.get() {
            client.endpoints_by_own_clock(&mut endpoints);
        }
        self.report(Input::EndpointList(list_kind, endpoints));
    }

    /// When a purge counts as made. Guards against a clock that makes it older than it is: beside others it counts from
    /// when it was announced, which asks for younger copies than need be and never for older ones.
    fn purged_at(&self, made: Time) -> Time {
        let is_live = self
            .control_client
            .get()
            .is_some_and(|client| client.is_live());
        if is_live { self.clock.now() } else { made }
    }

    /// No copy from before that time is handed out until purges have settled.
    pub(super) fn purge_all_copies(&self, made: Time) {
        self.report(Input::Purged {
            object: None,
            group: GroupId::ALL,
            made,
        });
    }

    /// Applies a full list that came in place of what should have followed. What nobody can confirm about the missed
    /// period counts as in doubt: endpoints that were withdrawn stay so, and copies from before it are not handed out.
    pub(super) fn adopt_list(
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
        let copies =
            missed.and_then(|missed| unconfirmed::copies_from(now, missed, self.purge_settles));
        if missed.is_some() {
            log_adopted_list(position, withheld, copies);
        }
        let event = Event::Hosts(list_kind, endpoints);
        client.store_event(position, &event);
        self.apply(event);
        if let Some(made) = copies {
            self.purge_all_copies(made);
        }
        self.notify_listener(AppliedEvents::FullList { upto: position });
    }
}

fn log_adopted_list(position: EventPosition, withheld: usize, copies: Option<Time>) {
    for _ in 0..withheld {
        count(Counter::hosts_doubted);
    }
    let copies = copies.map_or("are not doubted".into(), |from| {
        format!("from before {:.0} are doubted", from.ms())
    });
    log::error!(
        "the coordinator's numbering is another, event {}: its list is taken anew, {withheld} hosts stay withdrawn in \
         doubt, copies {copies}",
        position.number,
    );
}
