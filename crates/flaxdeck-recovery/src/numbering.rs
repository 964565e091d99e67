//! Detects whether the coordinator's events still follow the known ones.
//!
//! The number of an event does not identify it: a coordinator that restarted, or was restored from a backup, reuses
//! numbers for other events. So each connection requests the events from the last known one on, and the first event
//! received has to match that one in number and hash, which proves the numbering. The coordinator sends it at once, so
//! an instance that starts has caught up long before the coordinator's next heartbeat. Only that heartbeat shows that
//! no event is missing.

mod action;
mod connection;
mod peers;
mod progress;
mod recent_events;

use flaxdeck::{CompleteAsOf, Span, Time};

pub use action::{EventAction, EventPosition, Heartbeat, MissedPeriod, ReconnectReason};
use connection::{AwaitedEvents, Connection};
pub use recent_events::MAX_RECENT_EVENTS;
use recent_events::RecentEvents;

/// Time within which the coordinator has to send the last known event. It sends it at once if it has it, so if nothing
/// comes within the time of a slow round trip and a preceding burst, the coordinator lacks the event; its heartbeat
/// would show that only a second later. The same limit applies to events that peers relayed first, as a working
/// connection delivers them too.
const PROOF_TIMEOUT: Span = Span::from_ms(500);

/// How long relayed events are rejected after the coordinator contradicted them. Peers follow the previous numbering
/// until they notice the change themselves: within this time their own connection times out or proves the new
/// numbering.
const PEER_DISTRUST_PERIOD: Span = Span::from_ms(2_500);

/// State of the coordinator's numbering as known to this instance.
pub struct Numbering {
    last: EventPosition,
    connection: Option<Connection>,
    /// The next connection requests all events, beginning with a full list.
    requests_all: bool,
    /// When this instance last received an event or a heartbeat of the numbering. None if it never did in this run, so
    /// that its state is only that of the configuration.
    confirmed_at: Option<Time>,
    /// As of when a heartbeat of this run has shown that all events are known.
    complete_as_of: Option<CompleteAsOf>,
    /// The last proven connection had brought all events that there were by a heartbeat, and neither timed out nor was
    /// paused on this side.
    closed_cleanly: bool,
    /// The last connection timed out or was paused: until a frame arrives, the coordinator may be hung rather than
    /// restarted.
    may_be_hung: bool,
    /// A number always identifies the same event, as the platform's documentation says, so that no proof is needed.
    trusts_numbers: bool,
    recent: RecentEvents,
    peers_distrusted_until: Time,
    awaited: Option<AwaitedEvents>,
}

impl Numbering {
    /// Creates a numbering that each connection has to prove, with `last` as the last known event.
    pub fn new(last: EventPosition) -> Numbering {
        Numbering {
            last,
            connection: None,
            requests_all: false,
            confirmed_at: None,
            complete_as_of: None,
            closed_cleanly: false,
            may_be_hung: false,
            trusts_numbers: false,
            recent: RecentEvents::containing(last),
            peers_distrusted_until: Time::default(),
            awaited: None,
        }
    }

    /// Creates a numbering that takes a number to identify the same event for ever, and applies any event numbered
    /// above the last one.
    pub fn with_trusted_numbers(last: EventPosition) -> Numbering {
        Numbering {
            trusts_numbers: true,
            ..Numbering::new(last)
        }
    }

    /// Continues from stored state, whose last event is later than that of the configuration. The next connection has
    /// to prove it too; if the coordinator uses another numbering, events count as missed from now on.
    pub fn restore(&mut self, now: Time, last: EventPosition) {
        *self = Numbering {
            trusts_numbers: self.trusts_numbers,
            confirmed_at: Some(now),
            ..Numbering::new(last)
        };
    }

    /// Returns the position of the last known event.
    pub fn last(&self) -> EventPosition {
        self.last
    }

    /// Returns when this instance last received an event or a heartbeat of the numbering; none if it never did in this
    /// run.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Records that a connection was opened. Returns the number after which to request events.
    pub fn connection_opened(&mut self, now: Time) -> u64 {
        let requested_after = if self.trusts_numbers {
            self.last.number
        } else if self.requests_all {
            0
        } else {
            self.last.number.saturating_sub(1)
        };
        self.connection = Some(Connection {
            requested_after,
            is_proven: self.trusts_numbers,
            last_received: now,
            is_new: true,
            is_live: false,
        });
        self.awaited = None;
        requested_after
    }

    /// Records that the connection has ended. `is_incomplete` is true if the coordinator may have had more events to
    /// send: the connection timed out, or this side paused it while planners relay all events.
    pub fn connection_closed(&mut self, is_incomplete: bool) {
        self.may_be_hung = is_incomplete;
        if let Some(connection) = self.connection.take()
            && connection.is_proven
        {
            self.closed_cleanly = connection.is_live && !is_incomplete;
        }
    }

    /// Handles an event received on the connection. `is_full_list` is true if it holds the full endpoint list.
    pub fn receive(
        &mut self,
        now: Time,
        position: EventPosition,
        is_full_list: bool,
    ) -> EventAction {
        let Some(connection) = &mut self.connection else {
            return EventAction::Skip;
        };
        connection.last_received = now;
        self.may_be_hung = false;
        let action = if connection.is_proven {
            self.receive_on_proven(now, position)
        } else {
            self.receive_first(now, position, is_full_list)
        };
        match action {
            EventAction::Apply => self.apply(now, position),
            EventAction::Replace(missed) => {
                if missed.is_some() {
                    // Peers follow the previous numbering until they notice the change too.
                    self.peers_distrusted_until = now + PEER_DISTRUST_PERIOD;
                }
                self.recent.clear();
                self.apply(now, position);
            }
            EventAction::Reconnect(_) => self.connection = None,
            EventAction::Skip => {}
        }
        if self.is_proven() {
            self.confirmed_at = Some(now);
        }
        action
    }

    fn apply(&mut self, now: Time, position: EventPosition) {
        self.recent.record(now, self.last.number, position);
        self.last = position;
    }

    fn receive_on_proven(&mut self, now: Time, position: EventPosition) -> EventAction {
        if position.number <= self.last.number {
            return self.receive_known(now, position);
        }
        let Some(connection) = &mut self.connection else {
            return EventAction::Skip;
        };
        let follows = position.number == self.last.number + 1;
        // Missing numbers before the first event are no gap if all events were requested or numbers are trusted: then
        // the coordinator has no earlier event to send.
        let may_skip_numbers =
            connection.is_new && (self.trusts_numbers || connection.requested_after == 0);
        if !follows && !may_skip_numbers {
            self.requests_all = connection.is_new;
            return EventAction::Reconnect(ReconnectReason::Gap);
        }
        connection.is_new = false;
        EventAction::Apply
    }

    /// Handles an event whose number is already known. Either a peer relayed the event first, or it relayed another
    /// event of that number from before the coordinator was restored from a backup.
    fn receive_known(&mut self, now: Time, position: EventPosition) -> EventAction {
        if !self.trusts_numbers && self.recent.differs(position) == Some(true) {
            self.requests_all = true;
            self.peers_distrusted_until = now + PEER_DISTRUST_PERIOD;
            return EventAction::Reconnect(ReconnectReason::OtherEvent);
        }
        if self
            .awaited
            .is_some_and(|awaited| position.number >= awaited.first)
        {
            let is_last = position.number == self.last.number;
            self.awaited = if is_last {
                None
            } else {
                Some(AwaitedEvents::after(position, now))
            };
        }
        EventAction::Skip
    }

    /// Handles the first event of a connection. It proves the numbering, or replaces it, or makes the next connection
    /// request all events.
    fn receive_first(
        &mut self,
        now: Time,
        position: EventPosition,
        is_full_list: bool,
    ) -> EventAction {
        let requested_after = self
            .connection
            .as_ref()
            .map_or(0, |connection| connection.requested_after);
        let requested_tail = requested_after > 0;
        // Peers may have relayed more events since the connection was opened. The requested event still proves the
        // numbering, and the connection then has to deliver the relayed events too.
        let is_overtaken =
            position.number < self.last.number && self.recent.differs(position) == Some(false);
        if is_overtaken && !is_full_list && requested_tail {
            self.prove();
            self.awaited = Some(AwaitedEvents::after(position, now));
            return EventAction::Skip;
        }
        if position == self.last && (is_full_list || requested_tail) {
            self.prove();
            return EventAction::Skip;
        }
        if is_full_list {
            self.prove();
            return EventAction::Replace(self.missed_period());
        }
        if !requested_tail {
            return EventAction::Reconnect(ReconnectReason::NoList);
        }
        self.requests_all = true;
        EventAction::Reconnect(if position.number == self.last.number {
            ReconnectReason::OtherEvent
        } else {
            ReconnectReason::Gap
        })
    }

    /// Returns the period in which events may have been missed; none if only the configuration is known.
    fn missed_period(&self) -> Option<MissedPeriod> {
        self.confirmed_at.map(|since| MissedPeriod {
            since: Some(since),
            closed_cleanly: self.closed_cleanly,
        })
    }

    fn prove(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.is_proven = true;
        }
        self.requests_all = false;
    }

    /// Returns when the coordinator counts as lacking the requested event, or the events that peers relayed, if it has
    /// not sent them by then. None if nothing is awaited, and none for an unproven connection after one that timed out
    /// or was paused: a hung coordinator accepts connections and sends nothing, so only its heartbeat shows that it
    /// lacks the event.
    pub fn proof_due(&self) -> Option<Time> {
        let connection = self.connection.as_ref()?;
        let since = if connection.is_proven {
            self.awaited.map(|awaited| awaited.since)
        } else {
            (!self.may_be_hung).then_some(connection.last_received)
        };
        since.map(|since| since + PROOF_TIMEOUT)
    }

    /// Handles that the time of [`Numbering::proof_due`] has passed.
    pub fn proof_overdue(&mut self) -> EventAction {
        if self.is_proven() {
            // The coordinator may be slow or gone. The next connection requests the last event, and so shows whether
            // the coordinator has it.
            self.connection = None;
            return EventAction::Reconnect(ReconnectReason::Nothing);
        }
        self.last_event_missing()
    }

    /// Closes a connection on which the coordinator lacks the last known event.
    fn last_event_missing(&mut self) -> EventAction {
        // If this connection already requested all events, the coordinator has no list yet. Reconnecting without a
        // pause would not help then.
        self.may_be_hung = false;
        self.requests_all = true;
        self.connection = None;
        EventAction::Reconnect(ReconnectReason::Nothing)
    }

    /// Handles an event from a reloaded configuration, and returns whether to apply it. A numbering that has to be
    /// proven accepts none, as the file may have been written under another numbering.
    pub fn accept_configured(&mut self, position: EventPosition) -> bool {
        let accepted = self.trusts_numbers && position.number > self.last.number;
        if accepted {
            self.last = position;
        }
        accepted
    }

    /// Returns whether the current connection has proven that the coordinator uses the known numbering.
    pub fn is_proven(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.is_proven)
    }
}
