//! Whether the coordinator's events still follow what is known.
//!
//! The coordinator's events are numbered, and a number alone says little: a coordinator that restarted, or was restored
//! from a backup, gives the same numbers to other events. So each connection asks from one before the last event that is
//! known, and what comes first has to be that event, to the hash. It comes at once, which also tells an instance that
//! starts that it is current, long before the coordinator's next empty frame.

mod action;
mod connection;
mod peers;
mod recent_events;

use flaxdeck::{Span, Time};

pub use action::{EventAction, EventPosition, MissedPeriod, ReconnectReason};
use connection::{AwaitedEvents, Connection};
pub use recent_events::MAX_REMEMBERED;
use recent_events::RecentEvents;

/// With nothing more for so long after the last event, all that the coordinator has is taken to have come. Its protocol
/// has no end mark but the empty frame a second later; a burst that stalls for longer than this counts as two.
const SETTLED_AFTER: Span = Span::from_ms(30);

/// The last event known is sent at once if it is there at all: with nothing after a slow round trip and a burst before
/// it, the coordinator lacks it, and would say so only by its empty frame a second later. The same holds for events that
/// peers brought first: on a working connection they come as well.
const PROOF_TIMEOUT: Span = Span::from_ms(500);

/// How long nothing is taken from peers after the coordinator contradicted what they brought. They follow what was, until
/// they find out themselves: their own connection is silent or proven anew within that time.
const PEERS_DISTRUSTED_FOR: Span = Span::from_ms(2_500);

/// What is known of the coordinator's numbering.
pub struct Numbering {
    last: EventPosition,
    connection: Option<Connection>,
    /// The next connection asks for everything.
    asks_for_all: bool,
    /// When all events were last known, in this run: before that, what is known is a file's.
    confirmed_at: Option<Time>,
    /// The last proven connection was closed by the other side, not for its silence.
    closed_cleanly: bool,
    /// The last connection was closed for its silence: until something comes, the coordinator may only be hanging.
    may_hang: bool,
    /// A number always means the same event, as the platform's page has it: nothing needs to be proven.
    trusts_numbers: bool,
    recent: RecentEvents,
    peers_distrusted_until: Time,
    awaited: Option<AwaitedEvents>,
}

impl Numbering {
    /// A numbering that each connection has to prove.
    pub fn new(last: EventPosition) -> Numbering {
        Numbering {
            last,
            connection: None,
            asks_for_all: false,
            confirmed_at: None,
            closed_cleanly: false,
            may_hang: false,
            trusts_numbers: false,
            recent: RecentEvents::starting_with(last),
            peers_distrusted_until: Time::default(),
            awaited: None,
        }
    }

    /// A numbering that takes each number for the same event for ever, and applies what is above the last.
    pub fn with_trusted_numbers(last: EventPosition) -> Numbering {
        Numbering {
            trusts_numbers: true,
            ..Numbering::new(last)
        }
    }

    /// Stored state reaches further than what the instance was started with. It has to be proven all the same.
    pub fn restore(&mut self, now: Time, last: EventPosition) {
        *self = Numbering {
            trusts_numbers: self.trusts_numbers,
            confirmed_at: Some(now),
            ..Numbering::new(last)
        };
    }

    /// The last event known.
    pub fn last(&self) -> EventPosition {
        self.last
    }

    /// When all events were last known; none if they never were in this run.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// A connection was opened; gives the number to ask after.
    pub fn connection_opened(&mut self, now: Time) -> u64 {
        let asked = if self.trusts_numbers {
            self.last.number
        } else if self.asks_for_all {
            0
        } else {
            self.last.number.saturating_sub(1)
        };
        self.connection = Some(Connection {
            asked,
            is_proven: self.trusts_numbers,
            last_heard: now,
            is_new: true,
        });
        self.awaited = None;
        asked
    }

    /// The connection was closed, by the other side or for its silence.
    pub fn connection_closed(&mut self, for_silence: bool) {
        self.may_hang = for_silence;
        if self
            .connection
            .take()
            .is_some_and(|connection| connection.is_proven)
        {
            self.closed_cleanly = !for_silence;
        }
    }

    /// An event has come on the connection; `is_full_list` if it tells all endpoints.
    pub fn receive(
        &mut self,
        now: Time,
        position: EventPosition,
        is_full_list: bool,
    ) -> EventAction {
        let Some(connection) = &mut self.connection else {
            return EventAction::Skip;
        };
        connection.last_heard = now;
        self.may_hang = false;
        let action = if connection.is_proven {
            self.receive_on_proven(now, position)
        } else {
            self.receive_first(now, position, is_full_list)
        };
        match action {
            EventAction::Apply => self.apply(now, position),
            EventAction::Replace(missed) => {
                if missed.is_some() {
                    // Peers follow what was until they find out as well.
                    self.peers_distrusted_until = now + PEERS_DISTRUSTED_FOR;
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
        self.recent.applied(now, self.last.number, position);
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
        // A gap right after asking is all that the coordinator has, if it was asked for all or is trusted.
        let is_all = connection.is_new && (self.trusts_numbers || connection.asked == 0);
        if !follows && !is_all {
            self.asks_for_all = connection.is_new;
            return EventAction::Reconnect(ReconnectReason::Gap);
        }
        connection.is_new = false;
        EventAction::Apply
    }

    /// A number that is known already: a peer brought the event first, or brought what was meant to follow before the
    /// coordinator was restored from a backup.
    fn receive_known(&mut self, now: Time, position: EventPosition) -> EventAction {
        if !self.trusts_numbers && self.recent.is_other(position) == Some(true) {
            self.asks_for_all = true;
            self.peers_distrusted_until = now + PEERS_DISTRUSTED_FOR;
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

    /// The first event of a connection proves the numbering, replaces it, or makes that all is asked for.
    fn receive_first(
        &mut self,
        now: Time,
        position: EventPosition,
        is_full_list: bool,
    ) -> EventAction {
        let asked = self
            .connection
            .as_ref()
            .map_or(0, |connection| connection.asked);
        let asked_for_some = asked > 0;
        // Peers may have brought more since the connection was opened. What it asked for proves the numbering all the
        // same, and what they brought beyond has to come on the connection in its turn.
        let is_overtaken =
            position.number < self.last.number && self.recent.is_other(position) == Some(false);
        if is_overtaken && !is_full_list && asked_for_some {
            self.prove();
            self.awaited = Some(AwaitedEvents::after(position, now));
            return EventAction::Skip;
        }
        if position == self.last && (is_full_list || asked_for_some) {
            self.prove();
            return EventAction::Skip;
        }
        if is_full_list {
            self.prove();
            return EventAction::Replace(self.missed_period());
        }
        if !asked_for_some {
            return EventAction::Reconnect(ReconnectReason::NoList);
        }
        self.asks_for_all = true;
        EventAction::Reconnect(if position.number == self.last.number {
            ReconnectReason::OtherEvent
        } else {
            ReconnectReason::Gap
        })
    }

    /// The time in which events may have been missed, if more than a file is known.
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
        self.asks_for_all = false;
    }

    /// When a connection that has brought nothing by then lacks what was asked for, or what peers have brought. After a
    /// connection that fell silent there is no such time: a coordinator that hangs accepts connections too, and brings
    /// nothing on any. There its empty frame has to say so.
    pub fn proof_due(&self) -> Option<Time> {
        let connection = self.connection.as_ref()?;
        let since = if connection.is_proven {
            self.awaited.map(|awaited| awaited.since)
        } else {
            (!self.may_hang).then_some(connection.last_heard)
        };
        since.map(|since| since + PROOF_TIMEOUT)
    }

    /// That time has come.
    pub fn proof_overdue(&mut self, now: Time) -> EventAction {
        if self.is_proven() {
            // It may only be slow, or dead: asked anew, it shows whether it knows that event.
            self.connection = None;
            return EventAction::Reconnect(ReconnectReason::Nothing);
        }
        self.receive_heartbeat(now)
    }

    /// An empty frame has come. On a connection that has proven nothing it says that the coordinator lacks the last event
    /// known: the connection has to be closed.
    pub fn receive_heartbeat(&mut self, now: Time) -> EventAction {
        let Some(connection) = &mut self.connection else {
            return EventAction::Skip;
        };
        connection.last_heard = now;
        self.may_hang = false;
        if connection.is_proven {
            self.confirmed_at = Some(now);
            return EventAction::Skip;
        }
        // Asked for everything and given nothing, it has no list yet; asking again soon would not help either.
        self.asks_for_all = true;
        self.connection = None;
        EventAction::Reconnect(ReconnectReason::Nothing)
    }

    /// A later configuration tells an event: whether it is to be applied. A numbering that has to be proven takes none,
    /// as the file may have been written under another.
    pub fn accept_configured(&mut self, position: EventPosition) -> bool {
        let accepted = self.trusts_numbers && position.number > self.last.number;
        if accepted {
            self.last = position;
        }
        accepted
    }

    /// Whether the connection has proven that its numbers mean here what they mean there.
    pub fn is_proven(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.is_proven)
    }

    /// Whether all that the coordinator has told has come, as far as can be seen.
    pub fn is_current(&self, now: Time) -> bool {
        self.connection.as_ref().is_some_and(|connection| {
            connection.is_proven && now.since(connection.last_heard) >= SETTLED_AFTER
        })
    }

    /// When that will be if nothing more comes; none on a connection that has proven nothing.
    pub fn current_at(&self) -> Option<Time> {
        self.connection
            .as_ref()
            .filter(|connection| connection.is_proven)
            .map(|connection| connection.last_heard + SETTLED_AFTER)
    }
}
