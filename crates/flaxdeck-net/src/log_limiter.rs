//! Limits how many lines of one kind are logged, where the other side of a connection decides how often they are due.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::metrics::{Counter, count};

/// The most lines of one kind that are logged within [`INTERVAL`].
pub const MAX_LINES: u32 = 20;
/// The interval in which lines are counted.
pub const INTERVAL: Duration = Duration::from_secs(10);

/// Counts the lines of one kind. Lines beyond the limit are counted as suppressed and not logged.
#[derive(Default)]
pub struct LogLimiter {
    /// When the current interval began; none before the first line.
    interval_start: Cell<Option<Instant>>,
    /// The lines in the current interval.
    lines: Cell<u32>,
}

impl LogLimiter {
    /// Whether a line that is due now is to be logged.
    pub fn admits(&self) -> bool {
        self.admits_at(Instant::now())
    }

    /// Whether a line that is due at `now` is to be logged.
    pub fn admits_at(&self, now: Instant) -> bool {
        let start = self.interval_start.get();
        if start.is_none_or(|start| now.duration_since(start) >= INTERVAL) {
            self.interval_start.set(Some(now));
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES {
            count(Counter::log_lines_suppressed);
            return false;
        }
        self.lines.set(self.lines.get() + 1);
        true
    }
}
