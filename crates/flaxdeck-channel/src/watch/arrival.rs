//! When the frames that are read had arrived.
//!
//! A process that was stopped, or was short of a core, reads frames long after they have arrived. So a frame counts as
//! of a time at which it certainly had not arrived yet: everything that had arrived by then was read before it.

use flaxdeck::{Span, Time};

/// How often an idle connection is found to be empty. A frame's time is at most this much too early.
pub const IDLE_CHECK_INTERVAL: Span = Span::from_ms(100);

/// Bytes that were read at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadBytes {
    /// The first of them begins a frame.
    pub begins_frame: bool,
    /// Nothing more had arrived by the time of the read.
    pub emptied_socket: bool,
}

/// Tracks when the bytes of one connection arrived at the earliest.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalTimes {
    /// Everything that had arrived by then has been read.
    emptied_at: Time,
    /// The bytes of the last read arrived after this.
    last_read_after: Time,
    /// The first byte of the frame that is being received arrived after this.
    frame_after: Time,
}

impl ArrivalTimes {
    /// Begins with a connection that was opened at `now`, on which nothing has arrived.
    pub(super) fn new(now: Time) -> ArrivalTimes {
        ArrivalTimes {
            emptied_at: now,
            last_read_after: now,
            frame_after: now,
        }
    }

    /// Returns when an idle connection has to be checked next.
    pub(super) fn next_idle_check(&self) -> Time {
        self.emptied_at + IDLE_CHECK_INTERVAL
    }

    /// Notes that nothing had arrived by that time that was not read.
    pub(super) fn note_idle(&mut self, at: Time) {
        self.emptied_at = self.emptied_at.max(at);
    }

    /// Notes a read.
    pub(super) fn note_read(&mut self, now: Time, read: ReadBytes) {
        self.last_read_after = self.emptied_at;
        if read.emptied_socket {
            self.emptied_at = now;
        }
        if read.begins_frame {
            self.frame_after = self.last_read_after;
        }
    }

    /// Returns the time after which the frame that has just been completed began to arrive. The next one begins with
    /// the bytes of the last read, if some are left, or with those of the next.
    pub(super) fn complete_frame(&mut self) -> Time {
        std::mem::replace(&mut self.frame_after, self.last_read_after)
    }
}
