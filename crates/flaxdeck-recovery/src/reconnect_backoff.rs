//! Pauses between an instance's connection attempts.
//!
//! No component coordinates the reconnects of the fleet. Each instance draws its pauses from a range that grows with
//! its last pause (decorrelated jitter), so that instances that were disconnected together do not reconnect together,
//! and an instance whose attempts keep failing retries less often.

use flaxdeck::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Upper limit of the next pause, as a multiple of the last one.
pub const GROWTH_FACTOR: f64 = 3.0;
/// Factor on the maximum pause while peers relay the same events.
pub const RELAXED_FACTOR: f64 = 10.0;
/// Minimum pause before the first attempt where peers relay the same events: the time to connect to a peer, send a
/// report and receive the answer.
pub const MIN_INITIAL_DELAY: Span = Span::from_ms(150);
/// Maximum pause before the first attempt where peers relay the same events: spreads the attempts so that peers answer
/// first, and keeps the whole delay below half a second.
pub const MAX_INITIAL_DELAY: Span = Span::from_ms(450);

/// Draws the pauses between attempts to connect to one remote.
pub struct ReconnectBackoff {
    random: Pcg64Mcg,
    min_pause: Span,
    max_pause: Span,
    last_pause: Span,
    connected_since: Option<Time>,
}

impl ReconnectBackoff {
    /// Creates a backoff with pauses between `min_pause` and `max_pause`. Each instance needs a different seed for each
    /// remote, or the attempts run in step.
    pub fn new(seed: u64, min_pause: Span, max_pause: Span) -> ReconnectBackoff {
        ReconnectBackoff {
            random: Pcg64Mcg::seed_from_u64(seed),
            min_pause,
            max_pause: max_pause.max(min_pause),
            last_pause: min_pause,
            connected_since: None,
        }
    }

    /// Records that the remote answered on the current connection.
    pub fn answered(&mut self, now: Time) {
        self.connected_since.get_or_insert(now);
    }

    /// Draws the pause before the first attempt, for an instance whose peers relay the same events and may deliver them
    /// sooner.
    pub fn initial_delay(&mut self) -> Span {
        let range = MIN_INITIAL_DELAY.ms()..=MAX_INITIAL_DELAY.ms();
        Span::of_ms(self.random.random_range(range))
    }

    /// Resets the backoff because the connection has become urgent: the next pause is drawn as after a first failure,
    /// so it keeps its jitter.
    pub fn expedite(&mut self) {
        self.last_pause = self.min_pause;
    }

    /// Returns how long to wait before the next attempt after one failed or its connection ended. A connection that
    /// lasted at least the maximum pause resets the backoff; a shorter one counts as a failed attempt. `is_relaxed` is
    /// true while peers relay the same events.
    pub fn pause(&mut self, now: Time, is_relaxed: bool) -> Span {
        let lasted = self
            .connected_since
            .take()
            .is_some_and(|since| now.since(since) >= self.max_pause);
        if lasted {
            self.last_pause = self.min_pause;
        }
        let longest = if is_relaxed {
            self.max_pause * RELAXED_FACTOR
        } else {
            self.max_pause
        };
        let min_ms = self.min_pause.ms();
        let max_ms = (self.last_pause.ms() * GROWTH_FACTOR).min(longest.ms());
        let drawn_ms = if max_ms > min_ms {
            self.random.random_range(min_ms..=max_ms)
        } else {
            min_ms
        };
        self.last_pause = Span::of_ms(drawn_ms);
        self.last_pause
    }
}
