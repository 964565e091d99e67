//! Pauses between the calls that an instance makes by itself. Nobody counts how many call; each draws its pauses from
//! a range that depends on its last one (decorrelated jitter), so that those that failed together do not come back
//! together, and those that fail for long come seldom.

use flaxdeck::words::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The next pause is drawn from the least one up to so many times the last one.
const GROWS: f64 = 3.0;

/// With somebody else to hear it from, a call that failed may wait so many times as long.
const CALM: f64 = 10.0;
/// And the first call waits for a draw from this range, so that those who pass on what they hear are answered first:
/// the least is a connection, a report and an answer, the rest a spread that leaves all of it within half a second.
pub const FIRST: [Span; 2] = [Span::from_ms(150), Span::from_ms(450)];

/// One called party's pauses.
pub struct Pace {
    chance: Pcg64Mcg,
    least: Span,
    most: Span,
    last: Span,
    up_since: Option<Time>,
}

impl Pace {
    /// Pauses between `least` and `most`. Each instance and each called party needs a seed of its own.
    pub fn new(seed: u64, least: Span, most: Span) -> Pace {
        let most = if most < least { least } else { most };
        Pace { chance: Pcg64Mcg::seed_from_u64(seed), least, most, last: least, up_since: None }
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
    pub fn hurry(&mut self) {
        self.last = self.least;
    }

    /// A call failed, or what it began is over: how long to wait before the next. One that lasted for as long as the
    /// longest pause begins anew; one that breaks at once is as good as none. Calm is who hears the same from others.
    pub fn pause(&mut self, now: Time, calm: bool) -> Span {
        if self.up_since.take().is_some_and(|since| now.since(since) >= self.most) {
            self.last = self.least;
        }
        let most = if calm { self.most * CALM } else { self.most };
        let (least, most) = (self.least.ms(), (self.last.ms() * GROWS).min(most.ms()));
        let drawn = Span::of_ms(if most > least { self.chance.random_range(least..=most) } else { least });
        self.last = drawn;
        drawn
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: f64) -> Time {
        Time::at_ms(1_000.0 + ms)
    }

    const LEAST: Span = Span::from_ms(100);
    const MOST: Span = Span::from_ms(1_000);

    #[test]
    fn instances_that_failed_together_do_not_call_together() {
        // A thousand that lost the coordinator in one moment: how many call in the worst 20 ms of the next seconds.
        let mut calls = vec![0u32; 500];
        for seed in 0..1_000 {
            let (mut pace, mut now) = (Pace::new(seed, LEAST, MOST), 0.0);
            while now < 9_000.0 {
                now += pace.pause(at(now), false).ms();
                calls[(now / 20.0) as usize] += 1;
            }
        }
        // In step they would be 1,000 at once, over and over.
        let most = calls.iter().max().unwrap();
        assert!(*most < 150, "{most} of 1,000 within 20 ms");
        // Once they have failed for a while they come seldom: about twice a second each.
        let late: u32 = calls[200..450].iter().sum();
        assert!((5_000..15_000).contains(&late), "{late} in 5 s");
    }

    #[test]
    fn who_hears_the_same_from_others_calls_seldom_until_that_ends() {
        let (mut pace, mut now) = (Pace::new(5, LEAST, MOST), at(0.0));
        let longest = (0..30).map(|_| pace.pause(now, true)).max().unwrap();
        assert!(longest > MOST && longest <= MOST * CALM, "{longest:?}");
        pace.hurry();
        now = now + longest;
        assert!(pace.pause(now, false) <= LEAST * GROWS);
        let firsts: Vec<Span> = (0..200).map(|seed| Pace::new(seed, LEAST, MOST).first()).collect();
        assert!(firsts.iter().all(|first| (FIRST[0]..=FIRST[1]).contains(first)));
        // Spread: in step they would be 200 within any 30 ms.
        for from in (150..420).step_by(10) {
            let within = |first: &&Span| (f64::from(from)..f64::from(from) + 30.0).contains(&first.ms());
            let count = firsts.iter().filter(within).count();
            assert!(count < 40, "{count} within 30 ms from {from}");
        }
    }

    #[test]
    fn pauses_stay_within_their_bounds_and_begin_anew_after_a_call_that_lasted() {
        let mut pace = Pace::new(3, LEAST, MOST);
        let mut now = at(0.0);
        for _ in 0..1_000 {
            let pause = pace.pause(now, false);
            assert!(pause >= LEAST && pause <= MOST);
            now = now + pause;
        }
        pace.answered(now);
        let short = pace.pause(now + LEAST, false);
        assert!(short >= LEAST, "one that breaks at once changes nothing");
        pace.answered(now);
        let first = pace.pause(now + MOST, false);
        assert!(first <= LEAST * GROWS, "{first:?}");
    }
}
