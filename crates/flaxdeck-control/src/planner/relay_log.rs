//! Log of the coordinator's events that a planner relays to forwarders.

use std::collections::VecDeque;

use flaxdeck_recovery::EventPosition;

use super::MAX_EVENT_BYTES;
use crate::messages::{MAX_EVENTS, RelayedEvent};

/// Maximum number of events kept for relaying.
pub const MAX_RELAYED_EVENTS: usize = 4_096;

/// The latest events, in order.
#[derive(Default)]
pub(super) struct RelayLog {
    /// Position of the event before the first one in the log.
    base: EventPosition,
    events: VecDeque<RelayedEvent>,
}

impl RelayLog {
    /// Creates an empty log that starts after the event at `base`.
    pub(super) fn starting_at(base: EventPosition) -> RelayLog {
        RelayLog {
            base,
            events: VecDeque::new(),
        }
    }

    /// Appends an event, unless its number is not higher than that of the last one. The oldest event is dropped if the
    /// log is full.
    pub(super) fn append(&mut self, event: RelayedEvent) {
        if event.position.number <= self.last().number {
            return;
        }
        self.events.push_back(event);
        if self.events.len() > MAX_RELAYED_EVENTS
            && let Some(dropped) = self.events.pop_front()
        {
            self.base = dropped.position;
        }
    }

    /// Returns the position of the last known event.
    pub(super) fn last(&self) -> EventPosition {
        self.events.back().map_or(self.base, |event| event.position)
    }

    /// Returns the index of the first event after `position`; `None` if the position is of another numbering or is no
    /// longer in the log.
    fn index_after(&self, position: EventPosition) -> Option<usize> {
        if position == self.base {
            return Some(0);
        }
        let index = self
            .events
            .partition_point(|event| event.position.number < position.number);
        let found = self.events.get(index)?;
        (found.position == position).then_some(index + 1)
    }

    /// Returns whether the log has events after `position`.
    pub(super) fn has_events_after(&self, position: EventPosition) -> bool {
        self.index_after(position)
            .is_some_and(|index| index < self.events.len())
    }

    /// Returns the events after `position`, limited to what one guidance may hold.
    pub(super) fn events_after(&self, position: EventPosition) -> Vec<RelayedEvent> {
        let Some(index) = self.index_after(position) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let fits = |event: &&RelayedEvent| {
            bytes += event.frame.len();
            bytes <= MAX_EVENT_BYTES
        };
        self.events
            .iter()
            .skip(index)
            .take(MAX_EVENTS)
            .take_while(fits)
            .cloned()
            .collect()
    }
}
