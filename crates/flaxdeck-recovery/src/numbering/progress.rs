//! How much of the coordinator's events is known: what heartbeats show, and what a pause suggests.

use flaxdeck::{CompleteAsOf, Span, Time};

use super::{EventAction, Heartbeat, Numbering};

/// Time without further events after which the instance counts as caught up. That is a guess, as a burst may stall for
/// longer: only a heartbeat shows that the instance is complete.
const CAUGHT_UP_AFTER_IDLE: Span = Span::from_ms(30);

impl Numbering {
    /// Returns as of when a heartbeat of this run has shown that all events are known.
    pub fn complete_as_of(&self) -> Option<CompleteAsOf> {
        self.complete_as_of
    }

    /// Handles a heartbeat, which is an empty frame. On a proven connection it shows that all events are known, unless
    /// it names a later one. On an unproven connection it means that the coordinator lacks the last known event, and
    /// the connection has to be closed.
    pub fn receive_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> EventAction {
        let Some(connection) = &mut self.connection else {
            return EventAction::Skip;
        };
        connection.last_received = now;
        if !connection.is_proven {
            return self.last_event_missing();
        }
        self.may_be_hung = false;
        self.confirmed_at = Some(now);
        if heartbeat.number <= self.last.number {
            connection.is_live = true;
            let as_of = CompleteAsOf::by_heartbeat(heartbeat.sent);
            self.complete_as_of = self.complete_as_of.max(Some(as_of));
        }
        EventAction::Skip
    }

    /// Returns whether a heartbeat on the current connection has shown that all events were known, so that later ones
    /// arrive as they happen.
    pub fn is_live(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.is_live)
    }

    /// Returns whether no further event seems to be on its way: the connection is proven and has been idle for long
    /// enough. This is a guess.
    pub fn is_caught_up(&self, now: Time) -> bool {
        self.connection.as_ref().is_some_and(|connection| {
            connection.is_proven && now.since(connection.last_received) >= CAUGHT_UP_AFTER_IDLE
        })
    }

    /// Returns when [`Numbering::is_caught_up`] becomes true if nothing more is received; none on an unproven
    /// connection.
    pub fn caught_up_at(&self) -> Option<Time> {
        self.connection
            .as_ref()
            .filter(|connection| connection.is_proven)
            .map(|connection| connection.last_received + CAUGHT_UP_AFTER_IDLE)
    }
}
