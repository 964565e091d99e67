//! The watch's protocol without its connection: frames, timeouts and the time in, actions out.
//!
//! The coordinator is asked for the events from some number on. It sends those it has, one a frame, then each as it
//! happens, and an empty frame each second. What follows what, and whether the numbering is still the one known here, is
//! decided in [`flaxdeck_recovery::numbering`].

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use flaxdeck::{Span, Time};
use flaxdeck_recovery::numbering::{EventAction, MissedPeriod, Numbering, ReconnectReason};
use flaxdeck_recovery::{EventPosition, LiveEdge, ReconnectBackoff};
use flaxdeck_wire::Malformed;
use flaxdeck_wire::frames::{Event, Frame};
use thiserror::Error;

/// A frame comes each second; two missing are a dead connection. What a coordinator that stopped would have announced
/// counts as announced after 4 s, so the rest is for the new connection.
const SILENT_AFTER: Span = Span::from_ms(2200);
/// The first pause between two connections: short, since what is announced counts as announced while none is up.
const MIN_BACKOFF: Span = Span::from_ms(100);
/// The longest: the watch is back within a second of the coordinator, with a far trip and a busy machine's delay for the
/// rest.
const MAX_BACKOFF: Span = Span::from_ms(900);
/// Added to the time of a timeout, so that it has come when the timer ends.
const TIMER_MARGIN: Span = Span::from_ms(1);

/// What the coordinator says.
#[derive(Debug)]
pub enum WatchEvent {
    /// Nothing new, but it is there.
    Heartbeat,
    /// An event that follows.
    Event {
        /// Its place among the coordinator's events.
        position: EventPosition,
        /// The frame that it came in, for who passes it on.
        frame: Bytes,
        /// The event itself.
        event: Event,
    },
    /// A full list in place of all that was known.
    Relisted {
        /// The last event that is part of it.
        position: EventPosition,
        /// The list.
        list: Event,
        /// What may have been announced to nobody here, if anything was known before.
        missed: Option<MissedPeriod>,
    },
}

/// What is to be done next.
#[derive(Debug)]
pub enum Action {
    /// Go on reading.
    Continue,
    /// Give this to whoever follows the watch.
    Emit(WatchEvent),
    /// End the connection, which [`WatchProtocol::disconnected`] has been told already, and open another.
    Reconnect(Disconnect),
}

/// Why a connection is of no more use.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Disconnect {
    /// The coordinator has no event where the last one known here should be.
    #[error("the coordinator has nothing where it was asked: {0:?}")]
    NothingThere(EventAction),
    /// An event that can't follow what is known.
    #[error("event {number} does not follow what is known: {why:?}, asking again")]
    DoesNotFollow {
        /// The number that it bears.
        number: u64,
        /// What is wrong with it.
        why: ReconnectReason,
    },
    /// It has ended, or a frame on it comes too slowly.
    #[error("the coordinator's connection has ended")]
    Ended,
    /// Nothing has come for too long.
    #[error("the coordinator's connection has ended")]
    Silent,
    /// Bytes that are not of the protocol.
    #[error("the coordinator's connection is closed: {0}")]
    Malformed(Malformed),
}

impl Disconnect {
    /// Whether a pause comes before the next connection. The coordinator has answered where an event does not follow,
    /// and the next connection asks for all, which ends that at once.
    pub fn pauses(&self) -> bool {
        match self {
            Disconnect::DoesNotFollow { why, .. } => *why == ReconnectReason::NoList,
            Disconnect::NothingThere(_)
            | Disconnect::Ended
            | Disconnect::Silent
            | Disconnect::Malformed(_) => true,
        }
    }

    fn is_by_silence(&self) -> bool {
        *self == Disconnect::Silent
    }
}

/// What it means if nothing comes until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeout {
    /// All that was on its way has come.
    Current,
    /// What had to come at once is not there.
    NothingThere,
    /// The connection is dead.
    Silent,
}

/// How long to wait for the rest of a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadLimit {
    /// Until when.
    pub until: Time,
    /// What it means if nothing comes until then.
    pub timeout: Timeout,
}

/// The state of the watch. It does not know its connection: the caller tells it of one that is up, of each frame and of
/// each timeout, and does what it answers.
pub struct WatchProtocol {
    /// Others may bring events as well, and move it on.
    numbering: Rc<RefCell<Numbering>>,
    backoff: ReconnectBackoff,
    /// When the connection came up, last had a whole frame, or began one.
    last_received_at: Time,
    /// All has come that the coordinator had when the connection came up.
    is_current: bool,
    /// Tells that where events come without a pause.
    live_edge: LiveEdge,
}

impl WatchProtocol {
    /// A watch that has no connection yet. The seed spreads the connections of many.
    pub fn new(numbering: Numbering, seed: u64, now: Time) -> WatchProtocol {
        WatchProtocol {
            numbering: Rc::new(RefCell::new(numbering)),
            backoff: ReconnectBackoff::new(seed, MIN_BACKOFF, MAX_BACKOFF),
            last_received_at: now,
            is_current: false,
            live_edge: LiveEdge::default(),
        }
    }

    /// What is known of the numbering, to be moved on when others bring events.
    pub fn numbering(&self) -> Rc<RefCell<Numbering>> {
        self.numbering.clone()
    }

    /// Whether all has come that the coordinator had when the connection came up.
    pub fn is_current(&self) -> bool {
        self.is_current
    }

    /// The pause before the first connection, where others may bring the same sooner.
    pub fn first_pause(&mut self) -> Span {
        self.backoff.initial_delay()
    }

    /// The pause before the next connection; a calm one has time.
    pub fn next_pause(&mut self, now: Time, calm: bool) -> Span {
        self.backoff.pause(now, calm)
    }

    /// A pause was ended before its time. All that expedite at once still draw a pause each, which this gives.
    pub fn expedite(&mut self, now: Time) -> Span {
        self.backoff.expedite();
        self.backoff.pause(now, false)
    }

    /// A connection is up; gives the number from which events are to be asked for on it.
    pub fn connected(&mut self, now: Time) -> u64 {
        self.last_received_at = now;
        self.is_current = false;
        self.live_edge = LiveEdge::default();
        self.numbering.borrow_mut().connection_opened(now)
    }

    /// The connection has ended, or there is none; `by_silence` if the coordinator may only be hanging.
    pub fn disconnected(&mut self, by_silence: bool) {
        self.is_current = false;
        self.live_edge = LiveEdge::default();
        self.numbering.borrow_mut().connection_closed(by_silence);
    }

    /// The connection is of no more use for that reason.
    pub fn disconnect(&mut self, reason: Disconnect) -> Action {
        self.disconnected(reason.is_by_silence());
        Action::Reconnect(reason)
    }

    /// A whole frame has come.
    pub fn frame(&mut self, now: Time, frame: Frame) -> Action {
        self.last_received_at = now;
        match frame.event {
            None => self.heartbeat(now),
            Some(event) => self.event(now, frame.number, frame.bytes, event),
        }
    }

    fn heartbeat(&mut self, now: Time) -> Action {
        let next = self.numbering.borrow_mut().receive_heartbeat(now);
        if next != EventAction::Skip {
            return self.disconnect(Disconnect::NothingThere(next));
        }
        self.backoff.answered(now);
        self.is_current = true;
        Action::Emit(WatchEvent::Heartbeat)
    }

    fn event(&mut self, now: Time, number: u64, bytes: Bytes, event: Event) -> Action {
        self.note_live_edge(now, &event);
        let position = EventPosition {
            number,
            hash: event.hash(),
        };
        let next = self
            .numbering
            .borrow_mut()
            .receive(now, position, event.is_full_list());
        match next {
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
                Action::Emit(WatchEvent::Relisted {
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

    /// Notes that events come as they happen, where they come without a pause.
    fn note_live_edge(&mut self, now: Time, event: &Event) {
        let Event::Purged { made, .. } = event else {
            return;
        };
        let is_live =
            self.live_edge.record_event(now, *made) && self.numbering.borrow().is_proven();
        self.is_current |= is_live;
    }

    /// How long to wait for the rest of a frame. All that was on its way has come once nothing more does for a moment;
    /// what has to come at once and does not is not there.
    pub fn read_limit(&self) -> ReadLimit {
        let numbering = self.numbering.borrow();
        let current_at = numbering.current_at().filter(|_| !self.is_current);
        let proven_by = numbering.proof_due();
        match (current_at, proven_by) {
            (Some(at), proven_by) if proven_by.is_none_or(|by| at <= by) => ReadLimit {
                until: at + TIMER_MARGIN,
                timeout: Timeout::Current,
            },
            (_, Some(by)) => ReadLimit {
                until: by + TIMER_MARGIN,
                timeout: Timeout::NothingThere,
            },
            (_, None) => ReadLimit {
                until: self.silent_at(),
                timeout: Timeout::Silent,
            },
        }
    }

    fn silent_at(&self) -> Time {
        self.last_received_at + SILENT_AFTER
    }

    /// Bytes have come, the first of a frame or more of one. Guards against a frame that comes byte by byte and never
    /// ends.
    pub fn bytes_read(&mut self, now: Time, begins_frame: bool) -> Action {
        if begins_frame {
            self.last_received_at = now;
        } else if now >= self.silent_at() {
            return self.disconnect(Disconnect::Ended);
        }
        Action::Continue
    }

    /// Nothing has come until the limit.
    pub fn timed_out(&mut self, now: Time, timeout: Timeout) -> Action {
        match timeout {
            Timeout::Current => {
                self.is_current = self.numbering.borrow().is_current(now);
                if !self.is_current {
                    return Action::Continue;
                }
                self.backoff.answered(now);
                Action::Emit(WatchEvent::Heartbeat)
            }
            Timeout::NothingThere => {
                let next = self.numbering.borrow_mut().proof_overdue(now);
                self.disconnect(Disconnect::NothingThere(next))
            }
            Timeout::Silent => self.disconnect(Disconnect::Silent),
        }
    }
}
