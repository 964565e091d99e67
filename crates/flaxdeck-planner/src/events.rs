//! The coordinator's events as subscribers get them: the list of hosts as it stands, who is connected, and the
//! publisher that decides who is told what and when.

use std::collections::BTreeMap;
use std::rc::Rc;

use flaxdeck::{Health, HostId, ListKind, Time};
use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::publisher::{Counters, PublisherSize};
use flaxdeck_distribution::{Cadence, Content, Fingerprint, Publisher, Retention, SubscriberId};
use flaxdeck_recovery::EventPosition;
use flaxdeck_terms::Names;
use flaxdeck_wire::frames::{AddressedEndpoint, Event, whole_list};

/// What a planner knows of the coordinator's events, and who follows them here.
pub struct Events {
    publisher: Publisher,
    hosts: BTreeMap<HostId, AddressedEndpoint>,
    names: Rc<Names>,
}

impl Events {
    /// A planner that has just started and has heard nothing of the coordinator.
    pub fn start(now: Time, cadence: Cadence, names: Rc<Names>) -> Events {
        let publisher = Publisher::start(now, cadence, Retention::default(), EventPosition::NONE);
        Events {
            publisher,
            hosts: BTreeMap::new(),
            names,
        }
    }

    /// All that is known here ends with that event, and nothing that was told before leads to it.
    pub fn begins_at(&mut self, now: Time, mark: EventPosition) {
        self.publisher.restart_numbering(now, mark);
    }

    /// Takes in what an event says of hosts.
    pub fn list(&mut self, event: &Event) {
        let Event::Hosts(list_kind, endpoints) = event else {
            return;
        };
        if *list_kind == ListKind::Full {
            self.hosts.clear();
        }
        for endpoint in endpoints {
            let host = endpoint.listed.host.clone();
            match endpoint.listed.health {
                Health::Removed => drop(self.hosts.remove(&host)),
                Health::InService | Health::Draining => {
                    drop(self.hosts.insert(host, endpoint.clone()))
                }
            }
        }
    }

    /// The coordinator has told an event, which came in that frame.
    pub fn told(&mut self, now: Time, mark: EventPosition, frame: &[u8], event: &Event) {
        let content = match event {
            Event::Purged {
                object: Some(object),
                ..
            } => Content::ObjectPurge(Fingerprint::of(*object)),
            Event::Purged { object: None, .. } => Content::GroupPurge(frame.to_vec()),
            Event::Hosts(..) => Content::HostChange(frame.to_vec()),
        };
        self.list(event);
        self.publisher.append_event(now, mark, content);
    }

    /// The coordinator was heard; `current` if all is known here that it had to tell.
    pub fn coordinator_heard(&mut self, now: Time, current: bool) {
        self.publisher.coordinator_heard(now, current);
    }

    /// A forwarder asks for events, or for no more of them.
    pub fn subscribe(&mut self, now: Time, id: SubscriberId, subscription: Subscription) {
        self.publisher.subscribe(now, id, subscription);
    }

    /// A forwarder's conversation has ended.
    pub fn leave(&mut self, id: SubscriberId) {
        self.publisher.unsubscribe(id);
    }

    /// Who is to be told something now.
    pub fn due(&mut self, now: Time) -> Vec<SubscriberId> {
        self.publisher.due(now)
    }

    /// When somebody is due next.
    pub fn next_due(&self) -> Option<Time> {
        self.publisher.next_due()
    }

    /// What a subscriber is told now; its position moves by it.
    pub fn delivery(&mut self, now: Time, id: SubscriberId) -> Option<Delivery> {
        let Events {
            publisher,
            hosts,
            names,
        } = self;
        publisher.update_for(now, id, &mut |number| {
            whole_list(number, hosts.values(), names).unwrap_or_else(|| {
                tracing::error!(
                    "the list of hosts has no form as a frame: no snapshot can be taken in"
                );
                Vec::new()
            })
        })
    }

    /// Subscribers, events kept and their bytes, and what was counters since the start.
    pub fn load(&self) -> (PublisherSize, Counters) {
        (self.publisher.size(), self.publisher.counters)
    }
}
