//! The coordinator's events for subscribers: the current hosts, from which snapshots are made, and the publisher, which
//! decides what each subscriber is sent and when.

use std::collections::BTreeMap;
use std::rc::Rc;

use flaxdeck::{CoordinatorKnowledge, Health, HostId, ListKind, Time};
use flaxdeck_channel::watch::Event;
use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::publisher::Counters;
use flaxdeck_distribution::{Cadence, Content, Fingerprint, Publisher, Retention, SubscriberId};
use flaxdeck_recovery::EventPosition;
use flaxdeck_terms::Names;
use flaxdeck_wire::frames::{AddressedEndpoint, write_full_list};

/// Size of the planner's event log, and its counters.
pub(crate) struct Load {
    /// Forwarders that subscribe.
    pub(crate) subscribers: usize,
    /// Events in the log.
    pub(crate) events: usize,
    /// Bytes of these events.
    pub(crate) bytes: usize,
    /// Counts since the start.
    pub(crate) counters: Counters,
}

/// Owns the coordinator's events that the planner knows, and the position of each subscriber.
pub(crate) struct Events {
    publisher: Publisher,
    hosts: BTreeMap<HostId, AddressedEndpoint>,
    names: Rc<Names>,
}

impl Events {
    /// Creates the events of a planner that has just started and has received nothing from the coordinator.
    pub(crate) fn start(now: Time, cadence: Cadence, names: Rc<Names>) -> Events {
        let publisher = Publisher::start(now, cadence, Retention::default(), EventPosition::NONE);
        Events {
            publisher,
            hosts: BTreeMap::new(),
            names,
        }
    }

    /// Restarts the event log at that position. Earlier events do not lead to it, so subscribers that are at one of
    /// them have to be sent a snapshot.
    pub(crate) fn restart_log_at(&mut self, now: Time, position: EventPosition) {
        self.publisher.restart_numbering(now, position);
    }

    /// Updates the hosts from an event with a full list or a delta; ignores a purge.
    pub(crate) fn update_hosts(&mut self, event: &Event) {
        let Event::Hosts(list_kind, endpoints) = event else {
            return;
        };
        if *list_kind == ListKind::Full {
            self.hosts.clear();
        }
        for endpoint in endpoints {
            let host = endpoint.listed.host.clone();
            match endpoint.listed.health {
                Health::Removed => {
                    self.hosts.remove(&host);
                }
                Health::InService | Health::Draining => {
                    self.hosts.insert(host, endpoint.clone());
                }
            }
        }
    }

    /// Applies an event of the coordinator and appends it to the log. `frame` is the frame that it was received in.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        position: EventPosition,
        frame: &[u8],
        event: &Event,
    ) {
        let content = match event {
            Event::Purged {
                object: Some(object),
                ..
            } => Content::ObjectPurge(Fingerprint::of(*object)),
            Event::Purged { object: None, .. } => Content::GroupPurge(frame.to_vec()),
            Event::Hosts(..) => Content::HostChange(frame.to_vec()),
        };
        self.update_hosts(event);
        self.publisher.append_event(now, position, content);
    }

    /// Records what is known of the coordinator's events.
    pub(crate) fn coordinator_heard(&mut self, now: Time, knowledge: CoordinatorKnowledge) {
        self.publisher.coordinator_heard(now, knowledge);
    }

    /// Starts, changes or ends a forwarder's subscription.
    pub(crate) fn subscribe(&mut self, now: Time, id: SubscriberId, subscription: Subscription) {
        self.publisher.subscribe(now, id, subscription);
    }

    /// Removes a subscriber whose connection has ended.
    pub(crate) fn unsubscribe(&mut self, id: SubscriberId) {
        self.publisher.unsubscribe(id);
    }

    /// Returns the subscribers that have to be sent something now.
    pub(crate) fn due(&mut self, now: Time) -> Vec<SubscriberId> {
        self.publisher.due(now)
    }

    /// Returns when the next subscriber is due; none if no subscriber is waiting.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.publisher.next_due()
    }

    /// Returns what a subscriber is sent now, and advances its position accordingly.
    pub(crate) fn delivery(&mut self, now: Time, id: SubscriberId) -> Option<Delivery> {
        let Events {
            publisher,
            hosts,
            names,
        } = self;
        publisher.update_for(now, id, &mut |number| {
            write_full_list(number, hosts.values(), names).unwrap_or_else(|| {
                tracing::error!(
                    number,
                    hosts = hosts.len(),
                    "the full list does not fit in a frame or cannot be encoded: subscribers cannot apply the snapshot"
                );
                Vec::new()
            })
        })
    }

    /// Returns the size of the event log and the counters since the start.
    pub(crate) fn load(&self) -> Load {
        let size = self.publisher.size();
        Load {
            subscribers: size.subscribers,
            events: size.log.events,
            bytes: size.log.bytes,
            counters: self.publisher.counters,
        }
    }
}
