//! Pauses between the calls that an instance makes by itself. Nobody counts how many call; each draws its pauses from
//! a range that depends on its last one (decorrelated jitter), so that those that failed together do not come back
//! together, and those that fail for long come seldom.

use flaxdeck::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The next pause is drawn from the least one up to so many times the last one.
pub const GROWS: f64 = 3.0;

/// With somebody else to hear it from, a call that failed may wait so many times as long.
pub const CALM: f64 = 10.0;
/// And the first call waits for a draw from this range, so that those who pass on what they hear are answered first:
/// the least is a connection, a report and an answer, the rest a spread that leaves all of it within half a second.
pub const FIRST: [Span; 2] = [Span::from_ms(150), Span::from_ms(450)];

/// One called party's pauses.
pub struct ReconnectBackoff {
    chance: Pcg64Mcg,
    least: Span,
    most: Span,
    last: Span,
    up_since: Option<Time>,
}

impl ReconnectBackoff {
    /// Pauses between `least` and `most`. Each instance and each called party needs a seed of its own.
    pub fn new(seed: u64, least: Span, most: Span) -> ReconnectBackoff {
        let most = if most < least { least } else { most };
        ReconnectBackoff {
            chance: Pcg64Mcg::seed_from_u64(seed),
            least,
            most,
            last: least,
            up_since: None,
        }
    }

    /// A call was answered.
    pub fn answered(&mut self, now: Time) {
        self.up_since.get_or_insert(now);
    }

    /// Before the first call, where others tell the same and may be heard sooner.
    pub fn first(&mut self) -> Span {
        Span::of_ms(self.chance.random_range(FIRST[0].ms()..=FIRST[1].ms()))
    }

    /// It has become urgent: the next pause is as after a first failure, and drawn as ever.
    pub fn expedite(&mut self) {
        self.last = self.least;
    }

    /// A call failed, or what it began is over: how long to wait before the next. One that lasted for as long as the
    /// longest pause begins anew; one that breaks at once is as good as none. Calm is who hears the same from others.
    pub fn pause(&mut self, now: Time, calm: bool) -> Span {
        if self
            .up_since
            .take()
            .is_some_and(|since| now.since(since) >= self.most)
        {
            self.last = self.least;
        }
        let most = if calm { self.most * CALM } else { self.most };
        let (least, most) = (self.least.ms(), (self.last.ms() * GROWS).min(most.ms()));
        let drawn = Span::of_ms(if most > least {
            self.chance.random_range(least..=most)
        } else {
            least
        });
        self.last = drawn;
        drawn
    }
}
