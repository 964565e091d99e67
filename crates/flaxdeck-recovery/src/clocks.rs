//! What times told in Unix time mean by a clock of one's own that may be wrong. Hosts' starts and purges are told so,
//! and how cold a host is and how old a copy may be hang on their age. A clock that runs ahead makes both older than they
//! are: a cold host passes for warm, and a purge for one that has settled long ago.
//!
//! What the coordinator tells as the next event of a link that is current has just happened. So the time between the
//! two, by the own clock, is the event's way plus what the clocks are apart; the way is never negative, so the least of
//! them is the best that is known. The rules, in order:
//!
//! 1. A time that fits says that the clocks agree, whatever was thought before.
//! 2. Else they are apart by the least that was seen since.
//!
//! Clocks that are apart by less than [`PURGE_LATE`] are not told apart by this.

use flaxdeck::words::{Listed, Sight, Span, Time};

/// How late a purge may come by a clock that is right: its way to the coordinator and from there.
pub const PURGE_LATE: Span = Span::from_ms(1_000);
/// How late the start of a host may be told: registers of hosts run some seconds behind.
pub const START_LATE: Span = Span::from_ms(6_000);
/// How far ahead of the own clock the coordinator's may be where both are right.
pub const EARLY: Span = Span::from_ms(500);

/// By how much the own clock differs from the coordinator's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Apart {
    #[default]
    Agrees,
    /// The own clock is ahead.
    Ahead(Span),
    Behind(Span),
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Clocks {
    apart: Apart,
}

impl Clocks {
    pub fn apart(&self) -> Apart {
        self.apart
    }

    /// A live event has told of something that happened at that time, and comes so late at most. Gives whether the
    /// clocks turn out to be apart by something else than was known.
    pub fn heard(&mut self, now: Time, told: Time, late: Span) -> bool {
        let (ahead, behind) = (now.since(told), told.since(now));
        let before = self.apart;
        let fits = ahead <= late && behind <= EARLY;
        self.apart = match self.apart {
            _ if fits => Apart::Agrees,
            Apart::Ahead(least) if ahead >= least => Apart::Ahead(least),
            Apart::Behind(least) if ahead > Span::ZERO || behind <= least => Apart::Behind(least),
            _ if behind > Span::ZERO => Apart::Behind(behind),
            _ => Apart::Ahead(ahead),
        };
        before != self.apart
    }

    /// A told time by the own clock.
    pub fn own(&self, told: Time) -> Time {
        match self.apart {
            Apart::Agrees => told,
            Apart::Ahead(by) => told + by,
            Apart::Behind(by) => told - by,
        }
    }

    /// A time by the own clock as it was told.
    pub fn told(&self, own: Time) -> Time {
        match self.apart {
            Apart::Agrees => own,
            Apart::Ahead(by) => own - by,
            Apart::Behind(by) => own + by,
        }
    }

    /// Lines of the list by the own clock.
    pub fn lines(&self, lines: &mut [Listed]) {
        lines.iter_mut().for_each(|line| line.started = line.started.map(|told| self.own(told)));
    }

    /// What was seen of hosts, with their starts as they were told: those name a host's life to others.
    pub fn sights(&self, sights: &mut [Sight]) {
        sights.iter_mut().for_each(|sight| sight.started = sight.started.map(|own| self.told(own)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Time = Time::NEVER;

    fn at(ms: f64) -> Time {
        Time::at_ms(100_000_000.0 + ms)
    }

    #[test]
    fn clocks_that_agree_change_nothing() {
        let mut clocks = Clocks::default();
        assert!(!clocks.heard(at(400.0), at(0.0), PURGE_LATE));
        assert!(
            !clocks.heard(at(400.0), at(800.0), PURGE_LATE),
            "a little early: the coordinator's may be ahead"
        );
        assert!(!clocks.heard(at(5_000.0), at(0.0), START_LATE), "the register may be late");
        assert_eq!(clocks.own(at(7.0)), at(7.0));
    }

    #[test]
    fn a_clock_an_hour_ahead_or_behind_is_known_by_the_first_purge_and_better_by_a_quicker_one() {
        for hour in [3_600_000.0, -3_600_000.0] {
            let mut clocks = Clocks::default();
            assert!(clocks.heard(at(hour + 300.0), at(0.0), PURGE_LATE));
            assert!(clocks.heard(at(hour + 10_040.0), at(10_000.0), PURGE_LATE), "its way was shorter");
            assert!(
                !clocks.heard(at(hour + 20_200.0), at(20_000.0), PURGE_LATE),
                "a longer way tells nothing"
            );
            assert!(!clocks.heard(at(hour + 35_000.0), at(30_000.0), START_LATE));
            let started = clocks.own(at(30_000.0));
            let error = started.since(at(hour + 30_000.0)).ms();
            assert!((0.0..=40.0).contains(&error), "younger than it is, by the shortest way: {error}");
            assert_eq!(clocks.told(started), at(30_000.0));
        }
    }

    #[test]
    fn one_event_that_was_held_up_is_forgotten_with_the_next_that_fits() {
        let mut clocks = Clocks::default();
        assert!(clocks.heard(at(9_000.0), at(0.0), PURGE_LATE));
        assert!(matches!(clocks.apart(), Apart::Ahead(_)));
        assert!(clocks.heard(at(10_100.0), at(10_000.0), PURGE_LATE));
        assert_eq!(clocks.apart(), Apart::Agrees);
    }

    #[test]
    fn no_time_is_too_far_off() {
        let mut clocks = Clocks::default();
        assert!(clocks.heard(at(0.0), NOW, PURGE_LATE));
        assert!(clocks.own(NOW) <= NOW);
        clocks.heard(NOW, at(0.0), PURGE_LATE);
        clocks.own(NOW);
    }
}
