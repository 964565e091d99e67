//! The coordinator's events as subscribers get them: the list of hosts as it stands, who is connected, and the
//! publisher that decides who is sent what and when.

use std::collections::BTreeMap;
use std::rc::Rc;

use flaxdeck::{Health, HostId, ListKind, Time};
use flaxdeck_channel::watch::Event;
use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::publisher::Counters;
use flaxdeck_distribution::{Cadence, Content, Fingerprint, Publisher, Retention, SubscriberId};
use flaxdeck_recovery::EventPosition;
use flaxdeck_terms::Names;
use flaxdeck_wire::frames::{AddressedEndpoint, write_full_list};

/// How much a planner holds of the coordinator's events.
pub(crate) struct Load {
    /// Forwarders that subscribe.
    pub(crate) subscribers: usize,
    /// Events that are held for them.
    pub(crate) events: usize,
    /// The bytes of those.
    pub(crate) bytes: usize,
    /// What was counted since the start.
    pub(crate) counters: Counters,
}

/// Owns what a planner knows of the coordinator's events, and which subscriber has which of them.
pub(crate) struct Events {
    publisher: Publisher,
    hosts: BTreeMap<HostId, AddressedEndpoint>,
    names: Rc<Names>,
}

impl Events {
    /// A planner that has just started and has heard nothing of the coordinator.
    pub(crate) fn start(now: Time, cadence: Cadence, names: Rc<Names>) -> Events {
        let publisher = Publisher::start(now, cadence, Retention::default(), EventPosition::NONE);
        Events {
            publisher,
            hosts: BTreeMap::new(),
            names,
        }
    }

    /// All that is known here ends with that event, and nothing that was told before leads to it.
    pub(crate) fn begins_at(&mut self, now: Time, position: EventPosition) {
        self.publisher.restart_numbering(now, position);
    }

    /// Takes in what an event says of hosts.
    pub(crate) fn list(&mut self, event: &Event) {
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

    /// The coordinator has announced an event, which came in that frame.
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
        self.list(event);
        self.publisher.append_event(now, position, content);
    }

    /// The coordinator was heard; `current` if all is known here that it had to tell.
    pub(crate) fn coordinator_alive(&mut self, now: Time, current: bool) {
        self.publisher.coordinator_heard(now, current);
    }

    /// A forwarder asks for events, or for no more of them.
    pub(crate) fn subscribe(&mut self, now: Time, id: SubscriberId, subscription: Subscription) {
        self.publisher.subscribe(now, id, subscription);
    }

    /// A forwarder's conversation has ended.
    pub(crate) fn leave(&mut self, id: SubscriberId) {
        self.publisher.unsubscribe(id);
    }

    /// Who is to be sent something now.
    pub(crate) fn due(&mut self, now: Time) -> Vec<SubscriberId> {
        self.publisher.due(now)
    }

    /// When somebody is due next.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.publisher.next_due()
    }

    /// What a subscriber is sent now; its position moves by it.
    pub(crate) fn delivery(&mut self, now: Time, id: SubscriberId) -> Option<Delivery> {
        let Events {
            publisher,
            hosts,
            names,
        } = self;
        publisher.update_for(now, id, &mut |number| {
            write_full_list(number, hosts.values(), names).unwrap_or_else(|| {
                tracing::error!(
                    "the list of hosts has no form as a frame: no snapshot can be taken in"
                );
                Vec::new()
            })
        })
    }

    /// How much is held now, and the counters since the start.
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
