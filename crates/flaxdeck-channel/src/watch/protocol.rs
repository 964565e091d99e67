//! The state machine of the watch, without I/O: frames, timeouts and the current time in, actions out.
//!
//! The watch requests the events after a number. The coordinator sends those that it has, one in each frame, then each
//! new event as it happens, and a heartbeat, which is an empty frame, every second.
//! [`flaxdeck_recovery::numbering`] decides whether an event follows the known ones, and whether the coordinator still
//! uses the known numbering.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use flaxdeck::{CompleteAsOf, Span, Time};
use flaxdeck_recovery::numbering::{
    EventAction, Heartbeat, MissedPeriod, Numbering, ReconnectReason,
};
use flaxdeck_recovery::{EventPosition, LiveEdge, ReconnectBackoff};
use flaxdeck_wire::Malformed;
use flaxdeck_wire::frames::{Event, Frame};
use thiserror::Error;

use super::arrival::{ArrivalTimes, ReadBytes};

/// Time without a frame after which the connection counts as dead: the coordinator sends one every second, so two are
/// missing. An event counts as announced after 4 s even if the coordinator has stopped, and the rest of that time is
/// needed to reconnect.
const SILENCE_TIMEOUT: Span = Span::from_ms(2200);
/// The interval at which the coordinator sends heartbeats.
const HEARTBEAT_INTERVAL: Span = Span::from_ms(1000);
/// How late a heartbeat may be on a busy machine.
const HEARTBEAT_DELAY: Span = Span::from_ms(100);
/// Shortest pause between two connections. It is short because events count as announced while no connection is open.
const MIN_BACKOFF: Span = Span::from_ms(100);
/// Longest pause between two connections: the watch is connected within 1 s after the coordinator is reachable again.
/// The remaining 100 ms are for a long round trip and the delay of a busy machine.
const MAX_BACKOFF: Span = Span::from_ms(900);
/// Added to each time limit, so that the limit has passed when the timer fires.
const TIMER_MARGIN: Span = Span::from_ms(1);

/// What the watch has received from the coordinator.
#[derive(Debug)]
pub enum WatchEvent {
    /// The coordinator says that it has nothing new.
    Heartbeat,
    /// No further event seems to be on its way, which is a guess.
    CaughtUp,
    /// An event that follows the last known one.
    Event {
        /// Position of the event in the coordinator's numbering.
        position: EventPosition,
        /// The frame that carried the event, for relaying it.
        frame: Bytes,
        /// The event itself.
        event: Event,
    },
    /// A full endpoint list that replaces all known state.
    FullList {
        /// Position of the event that holds the list.
        position: EventPosition,
        /// The event that holds the list.
        list: Event,
        /// Period in which events may have been missed; none if only the configuration was known.
        missed: Option<MissedPeriod>,
    },
}

/// What the caller has to do next.
#[derive(Debug)]
pub enum Action {
    /// Continue reading.
    Continue,
    /// Return this event to the caller of the watch.
    Emit(WatchEvent),
    /// Close the connection and open another. The protocol has already recorded the end of the connection.
    Reconnect(Disconnect),
}

/// Why a connection has to be closed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Disconnect {
    /// The coordinator does not have the requested event, or events that planners have relayed.
    #[error("the coordinator has nothing where it was asked: {0:?}")]
    EventMissing(EventAction),
    /// An event can't follow the known ones.
    #[error("event {number} does not follow what is known: {why:?}, asking again")]
    DoesNotFollow {
        /// The number of the event.
        number: u64,
        /// Why it can't follow.
        why: ReconnectReason,
    },
    /// The coordinator closed the connection, reading failed, or a frame was not complete within the time limit.
    #[error("the coordinator's connection has ended, or a frame took longer than {} ms", SILENCE_TIMEOUT.ms())]
    Ended,
    /// No bytes were received within the time limit.
    #[error("the coordinator has sent nothing for {} ms", SILENCE_TIMEOUT.ms())]
    Silent,
    /// A frame can't be parsed.
    #[error("the coordinator has sent an invalid frame: {0}")]
    Malformed(Malformed),
}

impl Disconnect {
    /// Returns whether to pause before the next connection. No pause is needed if an event does not follow: the
    /// coordinator answers, and the next connection requests all events, which resolves the mismatch. The exception is
    /// a coordinator that was asked for all events and did not begin with a full list.
    pub fn pauses(&self) -> bool {
        match self {
            Disconnect::DoesNotFollow { why, .. } => *why == ReconnectReason::NoList,
            Disconnect::EventMissing(_)
            | Disconnect::Ended
            | Disconnect::Silent
            | Disconnect::Malformed(_) => true,
        }
    }

    fn is_timeout(&self) -> bool {
        *self == Disconnect::Silent
    }
}

/// What it means if no bytes are received until a time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeout {
    /// No further event seems to be on its way.
    CaughtUp,
    /// The coordinator does not have an event that it would have sent by now.
    EventMissing,
    /// The connection is dead.
    Silent,
}

/// How long to wait for more bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadLimit {
    /// The time limit.
    pub until: Time,
    /// What it means if no bytes are received until then.
    pub timeout: Timeout,
}

/// State of the watch. It does no I/O: the caller reports connections, frames and timeouts, and performs the returned
/// actions.
pub struct WatchProtocol {
    /// Shared, as events that planners relay advance it too.
    numbering: Rc<RefCell<Numbering>>,
    backoff: ReconnectBackoff,
    /// When the connection was opened, the last complete frame was received, or the first bytes of a frame were.
    last_received_at: Time,
    /// When the connection was opened or the last complete frame was received.
    last_frame_at: Time,
    arrival: ArrivalTimes,
    /// No further event of those that the coordinator had when the connection was opened seems to be on its way.
    is_caught_up: bool,
    /// Detects that also where events arrive without a pause.
    live_edge: LiveEdge,
}

impl WatchProtocol {
    /// Creates the state of a watch without a connection. `seed` randomizes the pauses between connections, so that
    /// those of many instances are spread.
    pub fn new(numbering: Numbering, seed: u64, now: Time) -> WatchProtocol {
        WatchProtocol {
            numbering: Rc::new(RefCell::new(numbering)),
            backoff: ReconnectBackoff::new(seed, MIN_BACKOFF, MAX_BACKOFF),
            last_received_at: now,
            last_frame_at: now,
            arrival: ArrivalTimes::new(now),
            is_caught_up: false,
            live_edge: LiveEdge::default(),
        }
    }

    /// Returns the shared state of the numbering. Events that planners relay advance it too.
    pub fn numbering(&self) -> Rc<RefCell<Numbering>> {
        self.numbering.clone()
    }

    /// Returns whether no further event seems to be on its way of those that the coordinator had when the connection was
    /// opened. This is a guess, unless [`WatchProtocol::is_live`].
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns whether a heartbeat on this connection has shown that all events were known, so that later ones arrive
    /// as they happen.
    pub fn is_live(&self) -> bool {
        self.numbering.borrow().is_live()
    }

    /// Returns as of when a heartbeat has shown that all events are known.
    pub fn complete_as_of(&self) -> Option<CompleteAsOf> {
        self.numbering.borrow().complete_as_of()
    }

    /// Draws the delay of the first connection, for an instance whose planners may relay the same events sooner.
    pub fn initial_delay(&mut self) -> Span {
        self.backoff.initial_delay()
    }

    /// Returns the pause before the next connection. `is_relaxed` allows a longer one, as planners relay the events.
    pub fn next_pause(&mut self, now: Time, is_relaxed: bool) -> Span {
        self.backoff.pause(now, is_relaxed)
    }

    /// Records that a pause was cut short. Returns a short random pause to take instead, so that instances that are
    /// expedited together do not connect at the same moment.
    pub fn expedite(&mut self, now: Time) -> Span {
        self.backoff.expedite();
        self.backoff.pause(now, false)
    }

    /// Records that a connection was opened. Returns the number after which to request events.
    pub fn connected(&mut self, now: Time) -> u64 {
        self.last_received_at = now;
        self.last_frame_at = now;
        self.arrival = ArrivalTimes::new(now);
        self.is_caught_up = false;
        self.live_edge = LiveEdge::default();
        self.numbering.borrow_mut().connection_opened(now)
    }

    /// Records that the connection has ended, or that there is none. `is_incomplete` is true if the coordinator may
    /// have had more events to send: the connection timed out, or this side paused it while planners relay all events.
    pub fn disconnected(&mut self, is_incomplete: bool) {
        self.is_caught_up = false;
        self.live_edge = LiveEdge::default();
        self.numbering.borrow_mut().connection_closed(is_incomplete);
    }

    /// Records that the connection has to be closed for the given reason, and returns the action to do so.
    pub fn disconnect(&mut self, reason: Disconnect) -> Action {
        self.disconnected(reason.is_timeout());
        Action::Reconnect(reason)
    }

    /// Handles a complete frame.
    pub fn frame(&mut self, now: Time, frame: Frame) -> Action {
        let sent = self.earliest_send_time();
        self.last_received_at = now;
        self.last_frame_at = now;
        match frame.event {
            None => self.heartbeat(
                now,
                Heartbeat {
                    number: frame.number,
                    sent,
                },
            ),
            Some(event) => self.event(now, frame.number, frame.bytes, event),
        }
    }

    /// Returns when the frame that has just been completed was sent at the earliest, if it is a heartbeat: when it
    /// certainly had not arrived yet, and no later than the coordinator sends one after the last frame, as the network
    /// may have held it up.
    fn earliest_send_time(&mut self) -> Time {
        let due = self.last_frame_at + HEARTBEAT_INTERVAL + HEARTBEAT_DELAY;
        self.arrival.complete_frame().min(due)
    }

    fn heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> Action {
        let action = self
            .numbering
            .borrow_mut()
            .receive_heartbeat(now, heartbeat);
        if action != EventAction::Skip {
            return self.disconnect(Disconnect::EventMissing(action));
        }
        self.backoff.answered(now);
        self.is_caught_up |= self.is_live();
        Action::Emit(WatchEvent::Heartbeat)
    }

    fn event(&mut self, now: Time, number: u64, bytes: Bytes, event: Event) -> Action {
        self.update_live_edge(now, &event);
        let position = EventPosition {
            number,
            hash: event.hash(),
        };
        let action = self
            .numbering
            .borrow_mut()
            .receive(now, position, event.is_full_list());
        match action {
            EventAction::Skip => Action::Continue,
            EventAction::Apply => {
                self.backoff.answered(now);
                Action::Emit(WatchEvent::Event {
                    position,
                    frame: bytes,
                    event,
                })
            }
            EventAction::Replace(missed) => {
                self.backoff.answered(now);
                Action::Emit(WatchEvent::FullList {
                    position,
                    list: event,
                    missed,
                })
            }
            EventAction::Reconnect(why) => {
                self.disconnect(Disconnect::DoesNotFollow { number, why })
            }
        }
    }

    /// Marks the watch as caught up if events arrive as fast as they happen. Without this it would not be before the
    /// next pause between events.
    fn update_live_edge(&mut self, now: Time, event: &Event) {
        let Event::Purged { made, .. } = event else {
            return;
        };
        let is_live =
            self.live_edge.record_event(now, *made) && self.numbering.borrow().is_proven();
        self.is_caught_up |= is_live;
    }

    /// Returns how long to wait for more bytes, and what it means if none arrive. Until the watch has caught up, it does
    /// so by a short idle time. A known event that the coordinator has to send again, and
    /// does not send within a short time, is one that it does not have. Otherwise the limit is that of a dead
    /// connection.
    pub fn read_limit(&self) -> ReadLimit {
        let numbering = self.numbering.borrow();
        let caught_up_at = numbering.caught_up_at().filter(|_| !self.is_caught_up);
        let proof_due = numbering.proof_due();
        match (caught_up_at, proof_due) {
            (Some(at), proof_due) if proof_due.is_none_or(|due| at <= due) => ReadLimit {
                until: at + TIMER_MARGIN,
                timeout: Timeout::CaughtUp,
            },
            (_, Some(due)) => ReadLimit {
                until: due + TIMER_MARGIN,
                timeout: Timeout::EventMissing,
            },
            (_, None) => ReadLimit {
                until: self.silent_at(),
                timeout: Timeout::Silent,
            },
        }
    }

    fn silent_at(&self) -> Time {
        self.last_received_at + SILENCE_TIMEOUT
    }

    /// Returns when an idle connection has to be checked next.
    pub fn next_idle_check(&self) -> Time {
        self.arrival.next_idle_check()
    }

    /// Records that nothing had arrived by that time that was not read.
    pub fn idle_checked(&mut self, at: Time) {
        self.arrival.note_idle(at);
    }

    /// Records that bytes were read. Closes a connection on which a frame arrives so slowly that it is not complete
    /// within the time limit.
    pub fn bytes_read(&mut self, now: Time, read: ReadBytes) -> Action {
        self.arrival.note_read(now, read);
        if read.begins_frame {
            self.last_received_at = now;
        } else if now >= self.silent_at() {
            return self.disconnect(Disconnect::Ended);
        }
        Action::Continue
    }

    /// Handles that no bytes were received until the time of [`WatchProtocol::read_limit`].
    pub fn timed_out(&mut self, now: Time, timeout: Timeout) -> Action {
        match timeout {
            Timeout::CaughtUp => {
                self.is_caught_up = self.numbering.borrow().is_caught_up(now);
                if !self.is_caught_up {
                    return Action::Continue;
                }
                self.backoff.answered(now);
                Action::Emit(WatchEvent::CaughtUp)
            }
            Timeout::EventMissing => {
                let action = self.numbering.borrow_mut().proof_overdue();
                self.disconnect(Disconnect::EventMissing(action))
            }
            Timeout::Silent => self.disconnect(Disconnect::Silent),
        }
    }
}
