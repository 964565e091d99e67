//! Pauses between the connection attempts that an instance makes by itself.
//!
//! Nobody counts how many instances connect; each draws its pauses from a range that depends on its last one
//! (decorrelated jitter), so that those that failed together do not come back together, and those that fail for long try
//! seldom.

use flaxdeck::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The next pause is drawn from the least one up to so many times the last one.
pub const GROWTH: f64 = 3.0;
/// Where peers bring the same events, the longest pause is so many times as long.
pub const RELAXED_FACTOR: f64 = 10.0;
/// The least pause before the first attempt where peers bring the same events and may be heard sooner: a connection, a
/// report and an answer.
pub const MIN_INITIAL_DELAY: Span = Span::from_ms(150);
/// The longest such pause: it spreads the attempts so that peers are answered first, and leaves all of it within half a
/// second.
pub const MAX_INITIAL_DELAY: Span = Span::from_ms(450);

/// The pauses between attempts to reach one party.
pub struct ReconnectBackoff {
    random: Pcg64Mcg,
    least: Span,
    most: Span,
    last: Span,
    connected_since: Option<Time>,
}

impl ReconnectBackoff {
    /// Pauses between `least` and `most`. Each instance and each party needs a seed of its own.
    pub fn new(seed: u64, least: Span, most: Span) -> ReconnectBackoff {
        ReconnectBackoff {
            random: Pcg64Mcg::seed_from_u64(seed),
            least,
            most: most.max(least),
            last: least,
            connected_since: None,
        }
    }

    /// An attempt was answered.
    pub fn answered(&mut self, now: Time) {
        self.connected_since.get_or_insert(now);
    }

    /// The pause before the first attempt, where peers bring the same events and may be heard sooner.
    pub fn initial_delay(&mut self) -> Span {
        let range = MIN_INITIAL_DELAY.ms()..=MAX_INITIAL_DELAY.ms();
        Span::of_ms(self.random.random_range(range))
    }

    /// It has become urgent: the next pause is as after a first failure, and drawn as ever.
    pub fn expedite(&mut self) {
        self.last = self.least;
    }

    /// An attempt failed, or its connection has ended: how long to wait before the next. A connection that lasted for as
    /// long as the longest pause begins anew; one that breaks at once is as good as none. `is_relaxed` if peers bring
    /// the same events.
    pub fn pause(&mut self, now: Time, is_relaxed: bool) -> Span {
        let lasted = self
            .connected_since
            .take()
            .is_some_and(|since| now.since(since) >= self.most);
        if lasted {
            self.last = self.least;
        }
        let longest = if is_relaxed {
            self.most * RELAXED_FACTOR
        } else {
            self.most
        };
        let least = self.least.ms();
        let most = (self.last.ms() * GROWTH).min(longest.ms());
        let drawn = if most > least {
            self.random.random_range(least..=most)
        } else {
            least
        };
        self.last = Span::of_ms(drawn);
        self.last
    }
}
