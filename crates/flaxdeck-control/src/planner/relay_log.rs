//! The coordinator's events that a planner keeps to relay them to forwarders.

use std::collections::VecDeque;

use flaxdeck_recovery::EventPosition;

use super::MAX_EVENT_BYTES;
use crate::messages::{MAX_EVENTS, RelayedEvent};

/// The most events that are kept to be relayed.
pub const MAX_RELAYED_EVENTS: usize = 4_096;

/// The latest events in order.
#[derive(Default)]
pub(super) struct RelayLog {
    /// The event before the first one kept.
    base: EventPosition,
    events: VecDeque<RelayedEvent>,
}

impl RelayLog {
    /// A log in which nothing follows that event yet.
    pub(super) fn starting_at(base: EventPosition) -> RelayLog {
        RelayLog {
            base,
            events: VecDeque::new(),
        }
    }

    /// Keeps an event that comes after the last one.
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

    /// The last event known.
    pub(super) fn last(&self) -> EventPosition {
        self.events.back().map_or(self.base, |event| event.position)
    }

    /// The index of what follows that event; none if it is of another numbering, or before what is kept.
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

    /// Whether something is kept that follows that event.
    pub(super) fn has_events_after(&self, position: EventPosition) -> bool {
        self.index_after(position)
            .is_some_and(|index| index < self.events.len())
    }

    /// The events that follow that one, as many as one guidance may hold.
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
