//! The events that the coordinator publishes.

use flaxdeck_invariants::{RecordEntry, RecordedEvent};
use serde_json::{Value, json};

use super::World;
use crate::coordinator::{self, FrameKind};
use crate::state::{ListedHealth, Numbered, State};

impl World {
    /// Replaces the coordinator's events by a single one with this number: the current full list.
    pub(super) fn publish_full_list(&self, number: u64) {
        let mut state = self.shared.lock();
        let list = coordinator::full_list(&self.shared, &state);
        let rows: Vec<Value> = state
            .hosts
            .iter()
            .map(|(id, host)| self.shared.list_row(id, host))
            .collect();
        let endpoints = json!({"seq": number, "whole": true, "hosts": rows});
        let event = json!({"index": number, "endpoints": endpoints});
        let frame = coordinator::frame(number, FrameKind::FullList, &list);
        state.last_event = number;
        state.events = vec![Numbered {
            number,
            content: event,
        }];
        state.frames = vec![Numbered {
            number,
            content: frame,
        }];
        state.lists = vec![Numbered {
            number,
            content: list,
        }];
    }

    /// Appends an event and stores the full list as it is after it.
    fn publish(&self, state: &mut State, kind: FrameKind, payload: &[u8], mut event: Value) {
        state.last_event += 1;
        let number = state.last_event;
        event["index"] = number.into();
        let frame = coordinator::frame(number, kind, payload);
        let list = coordinator::full_list(&self.shared, state);
        state.events.push(Numbered {
            number,
            content: event,
        });
        state.frames.push(Numbered {
            number,
            content: frame,
        });
        state.lists.push(Numbered {
            number,
            content: list,
        });
    }

    /// Publishes a host's current state and adds `recorded` to the record.
    pub(super) fn publish_host(&self, id: &str, recorded: RecordedEvent) {
        let at_ms = self.now();
        {
            let mut state = self.shared.lock();
            let Some(host) = state.hosts.get(id) else {
                return;
            };
            let entry = coordinator::list_entry(&self.shared, id, host);
            let row = self.shared.list_row(id, host);
            let number = state.last_event + 1;
            let event = json!({"endpoints": {"seq": number, "whole": false, "hosts": [row]}});
            self.publish(&mut state, FrameKind::HostChange, &entry, event);
            state.record.push(RecordEntry {
                at_ms,
                event: recorded,
            });
        }
        self.shared.changed.notify_waiters();
    }

    fn set_health(&self, id: &str, health: ListedHealth) {
        if let Some(host) = self.shared.lock().hosts.get_mut(id) {
            host.health = health;
        }
    }

    /// Publishes that a host drains.
    pub fn drain_host(&self, id: &str) {
        self.set_health(id, ListedHealth::Draining);
        let host = id.to_owned();
        self.publish_host(id, RecordedEvent::HostWithdrawn { host });
    }

    /// Publishes that a host is in service.
    pub fn announce_host(&self, id: &str) {
        self.set_health(id, ListedHealth::InService);
        let host = id.to_owned();
        self.publish_host(id, RecordedEvent::HostAnnounced { host });
    }

    /// Publishes a purge of an object: copies made before now may no longer be served.
    pub fn purge(&self, object: &str) {
        let now_ms = self.now();
        let unix_ms = self.shared.unix_ms(now_ms);
        let number = u64::from_str_radix(object, 16).unwrap_or(0);
        {
            let mut state = self.shared.lock();
            let payload = [number.to_be_bytes(), unix_ms.to_be_bytes()].concat();
            let event = json!({"evict": {"ref": object, "unix_ms": unix_ms}});
            self.publish(&mut state, FrameKind::Purge, &payload, event);
            record_purge(&mut state, object, now_ms);
        }
        self.shared.changed.notify_waiters();
    }

    /// Records a purge of an object that a coordinator from outside this world has published.
    pub fn record_purge(&self, object: &str) {
        let now_ms = self.now();
        record_purge(&mut self.shared.lock(), object, now_ms);
    }
}

fn record_purge(state: &mut State, object: &str, at_ms: f64) {
    state.purged_ms.insert(object.to_owned(), at_ms);
    let object = object.to_owned();
    state.record.push(RecordEntry {
        at_ms,
        event: RecordedEvent::ObjectPurged { object },
    });
}
