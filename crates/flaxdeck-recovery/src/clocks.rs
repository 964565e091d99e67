//! What times told in Unix time mean by a clock of one's own that may be wrong. Hosts' starts and purges are told so,
//! and how cold a host is and how old a copy may be hang on their age. A clock that runs ahead makes both older than they
//! are: a cold host passes for warm, and a purge for one that has settled long ago.
//!
//! What the coordinator tells as the next event of a link that is current has just happened. So the time between the
//! two, by the own clock, is the event's way plus what the clocks are apart; the way is never negative, so the least of
//! them is the best that is known. The rules, in order:
//!
//! 1. A time that fits says that the clocks agree, whatever was thought before.
//! 2. Else they are apart by the least that the last [`WINDOW`] events say. More are not kept, so a clock that is set
//!    again, here or there, is followed after as many.
//!
//! Clocks that are apart by less than [`PURGE_LATE`] are not told apart by this.

use std::collections::VecDeque;

use flaxdeck::{Endpoint, Observation, Span, Time};

/// How late a purge may come by a clock that is right: its way to the coordinator and from there.
pub const PURGE_LATE: Span = Span::from_ms(1_000);
/// How late the start of a host may be told: registers of hosts run some seconds behind.
pub const START_LATE: Span = Span::from_ms(6_000);
/// Events that are weighed: one alone may have been held up for long, all of them hardly.
pub const WINDOW: usize = 8;
/// How far ahead of the own clock the coordinator's may be where both are right.
pub const EARLY: Span = Span::from_ms(500);

#[derive(Clone, Debug, Default)]
pub struct Clocks {
    /// By how much the own clock is ahead, in milliseconds; below zero if it is behind.
    ahead: f64,
    /// The same as each of the last events tells it that did not fit.
    last: VecDeque<f64>,
}

impl Clocks {
    pub fn ahead_ms(&self) -> f64 {
        self.ahead
    }

    /// A live event has told of something that happened at that time, and comes so late at most. Gives whether the
    /// clocks turn out to be apart by something else than was known.
    pub fn heard(&mut self, now: Time, told: Time, late: Span) -> bool {
        let (before, ahead) = (self.ahead, now.since(told).ms() - told.since(now).ms());
        if (-EARLY.ms()..=late.ms()).contains(&ahead) {
            self.last.clear();
            self.ahead = 0.0;
        } else {
            self.last.push_back(ahead);
            self.last.drain(..self.last.len().saturating_sub(WINDOW));
            let least = self.last.iter().copied().fold(f64::INFINITY, f64::min);
            // Guards against hosts' starts moving to and fro with the ways of single events.
            self.ahead = if (least - self.ahead).abs() > EARLY.ms() {
                least
            } else {
                self.ahead
            };
        }
        before != self.ahead
    }

    /// A told time by the own clock.
    pub fn own(&self, told: Time) -> Time {
        Time::at_ms(told.ms() + self.ahead)
    }

    /// A time by the own clock as it was told.
    pub fn told(&self, own: Time) -> Time {
        Time::at_ms(own.ms() - self.ahead)
    }

    /// Lines of the list by the own clock.
    pub fn lines(&self, lines: &mut [Endpoint]) {
        lines
            .iter_mut()
            .for_each(|line| line.started = line.started.map(|told| self.own(told)));
    }

    /// What was seen of hosts, with their starts as they were told: those name a host's life to others.
    pub fn observations(&self, observations: &mut [Observation]) {
        observations.iter_mut().for_each(|observation| {
            observation.started = observation.started.map(|own| self.told(own))
        });
    }
}
