//! The state of the stand-in coordinator: hosts, buffered frames, and the status that connections watch.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use flaxdeck_terms::Names;
use flaxdeck_terms::fields::Fields;
use flaxdeck_wire::frames;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::delivery::PublishedEvent;
use crate::error::RunError;
use crate::hosts::Host;
use crate::messages::CoordinatorOrders;
use crate::monotonic;

/// Maximum number of buffered frames; a client that needs earlier ones gets the full list.
const MAX_FRAMES: usize = 1 << 16;
/// Size at which a batch of frames for one connection ends, in bytes.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Offset of the kind in a frame, after its length and number.
const KIND_OFFSET: usize = 12;

/// The kinds of frames, with their numbers on the wire.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FrameKind {
    Heartbeat = 0,
    FullList = 1,
    HostChange = 2,
    Purge = 3,
}

/// Encodes a frame: its length, number, kind and payload.
pub(super) fn frame(number: u64, kind: FrameKind, payload: &[u8]) -> Bytes {
    let length = (size_of::<u64>() + size_of::<u8>() + payload.len()) as u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind as u8);
    frame.extend(payload);
    frame.into()
}

/// The status that connections watch; it changes with each event and with orders to be silent or to restart.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Status {
    /// The number of starts so far; connections to an earlier incarnation are closed.
    pub(super) incarnation: u32,
    /// The number of the last event.
    pub(super) last: u64,
    /// Whether it sends nothing, neither events nor heartbeats, while its connections stay open.
    pub(super) silent: bool,
}

/// Encoded frames to be sent to one connection.
pub(super) struct Batch {
    pub(super) bytes: Vec<u8>,
    pub(super) frames: usize,
    /// The number of the last frame.
    pub(super) last: u64,
}

/// The state of the stand-in coordinator.
pub(super) struct State {
    hosts: Vec<Host>,
    /// The number of hosts, at the beginning of `hosts`, that never change.
    unchanging: usize,
    names: Names,
    /// The names of zones in the settings.
    zones: Vec<String>,
    /// The names of host kinds in the settings.
    kinds: Vec<String>,
    /// The number of the first buffered frame.
    first: u64,
    frames: VecDeque<Bytes>,
    /// All events since the start of the process, over all incarnations.
    published: Vec<PublishedEvent>,
    status: watch::Sender<Status>,
}

impl State {
    /// Creates the state with the endpoint list of the orders as event 1.
    pub(super) fn new(orders: &CoordinatorOrders) -> Result<State, RunError> {
        let fields = Fields::of(&orders.settings, "settings").map_err(RunError::settings)?;
        let (_, names) = flaxdeck_terms::read(&fields).map_err(RunError::settings)?;
        let mut state = State {
            hosts: orders.hosts.clone(),
            unchanging: orders.unchanging,
            names,
            zones: fields.texts("zones").map_err(RunError::settings)?,
            kinds: fields.texts("kinds").map_err(RunError::settings)?,
            first: 1,
            frames: VecDeque::new(),
            published: Vec::new(),
            status: watch::Sender::new(Status::default()),
        };
        state.restart();
        Ok(state)
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Status> {
        self.status.subscribe()
    }

    /// Returns all events since the start of the process, in all numberings.
    pub(super) fn published(&self) -> &[PublishedEvent] {
        &self.published
    }

    /// Returns the number of the last event.
    pub(super) fn last(&self) -> u64 {
        self.first + self.frames.len() as u64 - 1
    }

    /// Returns the indices of the hosts that may change; never an empty range, so that one can be drawn.
    pub(super) fn changing_hosts(&self) -> Range<usize> {
        self.unchanging..self.hosts.len().max(self.unchanging + 1)
    }

    pub(super) fn set_silent(&self, silent: bool) {
        self.status.send_modify(|status| status.silent = silent);
    }

    /// Starts a new incarnation with the current list as event 1; existing connections are closed.
    pub(super) fn restart(&mut self) {
        self.frames.clear();
        self.first = 1;
        let list = self.full_list();
        self.publish(FrameKind::FullList, &list);
        self.status.send_modify(|status| status.incarnation += 1);
    }

    fn listed(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.is_listed())
    }

    fn full_list(&self) -> Vec<u8> {
        self.listed().flat_map(Host::to_bytes).collect()
    }

    fn publish(&mut self, kind: FrameKind, payload: &[u8]) {
        let number = self.first + self.frames.len() as u64;
        let frame = frame(number, kind, payload);
        let event = frames::read(&frame, &self.names).ok().flatten();
        self.published.push(PublishedEvent {
            number,
            hash: event.map_or(0, |event| event.hash()),
            at_us: monotonic::now_us(),
        });
        self.frames.push_back(frame);
        if self.frames.len() > MAX_FRAMES {
            self.frames.pop_front();
            self.first += 1;
        }
        self.status.send_modify(|status| status.last = number);
    }

    /// Publishes a purge of all copies of an object that were made before now.
    pub(super) fn purge(&mut self, object: u64) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = unix.unwrap_or_default().as_millis() as u64;
        let payload = [object.to_be_bytes(), unix_ms.to_be_bytes()].concat();
        self.publish(FrameKind::Purge, &payload);
    }

    /// Toggles a host between in service and draining, and publishes the change.
    pub(super) fn change_host(&mut self, index: usize) {
        let Some(host) = self.hosts.get_mut(index) else {
            return;
        };
        host.state = u8::from(host.state == 0);
        let entry = host.to_bytes();
        self.publish(FrameKind::HostChange, &entry);
    }

    /// Returns the frames after a number, up to a size limit; the current full list if these frames are not buffered or
    /// the number is unknown.
    pub(super) fn batch_after(&self, after: u64) -> Batch {
        let last = self.last();
        if after > last || after + 1 < self.first {
            let list = frame(last, FrameKind::FullList, &self.full_list());
            return Batch {
                bytes: list.to_vec(),
                frames: 1,
                last,
            };
        }
        let mut batch = Batch {
            bytes: Vec::new(),
            frames: 0,
            last: after,
        };
        for frame in self.frames.range((after + 1 - self.first) as usize..) {
            batch.bytes.extend_from_slice(frame);
            batch.frames += 1;
            batch.last += 1;
            if batch.bytes.len() >= MAX_BATCH_BYTES {
                break;
            }
        }
        batch
    }

    /// Returns the known events of a configuration written now: the full list, and the last event separately, which
    /// identifies the numbering.
    pub(super) fn known_events(&self) -> Value {
        let rows: Vec<Value> = self.listed().map(|host| self.list_row(host)).collect();
        let last = self.last();
        let index = last.saturating_sub(1).max(1);
        let endpoints = json!({"seq": 1, "whole": true, "hosts": rows});
        let mut updates = vec![json!({"index": index, "endpoints": endpoints})];
        if let Some(frame) = self.frames.back() {
            updates.extend(self.event_as_json(frame, last));
        }
        json!({"index": last, "updates": updates})
    }

    fn list_row(&self, host: &Host) -> Value {
        host.list_row(&self.zones, &self.kinds)
    }

    /// Converts a purge or a host change to its form in a configuration; `None` for a full list.
    fn event_as_json(&self, frame: &Bytes, number: u64) -> Option<Value> {
        let payload = &frame[KIND_OFFSET + 1..];
        let kind = frame[KIND_OFFSET];
        if kind == FrameKind::Purge as u8 {
            let object = format!("{:016x}", big_endian(&payload[..8]));
            let purge = json!({"ref": object, "unix_ms": big_endian(&payload[8..16])});
            Some(json!({"index": number, "evict": purge}))
        } else if kind == FrameKind::HostChange as u8 {
            let id = big_endian(&payload[..4]) as u32;
            let host = self.hosts.iter().find(|host| host.id == id)?;
            let change = json!({"seq": 1, "whole": false, "hosts": [self.list_row(host)]});
            Some(json!({"index": number, "endpoints": change}))
        } else {
            None
        }
    }
}

fn big_endian(bytes: &[u8]) -> u64 {
    let shift = |word, byte: &u8| word << 8 | u64::from(*byte);
    bytes.iter().fold(0, shift)
}
