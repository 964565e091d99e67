//! What times of the coordinator mean by a local clock that may be wrong.
//!
//! Starts of hosts and purges are told in Unix time, and how warm a host is and how old a copy may be depend on their
//! age. A local clock that runs ahead makes both older than they are: a host that still warms up passes for warm, and a
//! purge for one that has settled long ago.
//!
//! What the coordinator tells as the next event on a current connection has just happened. So the time between the two,
//! by the local clock, is the event's delay plus the offset of the clocks. The delay is never negative, so the least of
//! them is the best estimate. The rules, in order:
//!
//! 1. A time that fits says that the clocks agree, whatever was thought before.
//! 2. Else they are apart by the least that the last [`OFFSET_SAMPLES`] events say. More are not kept, so a clock that is
//!    set again, here or there, is followed after as many.
//!
//! Clocks that are apart by less than [`MAX_PURGE_DELAY`] are not told apart by this.

use std::collections::VecDeque;

use flaxdeck::{Endpoint, Observation, Span, Time};

/// How late a purge may come where both clocks are right: its way to the coordinator and from there.
pub const MAX_PURGE_DELAY: Span = Span::from_ms(1_000);
/// How late the start of a host may be told: registers of hosts run some seconds behind.
pub const MAX_START_DELAY: Span = Span::from_ms(6_000);
/// How many events are compared: one alone may have been delayed for long, all of them hardly.
pub const OFFSET_SAMPLES: usize = 8;
/// How far ahead of the local clock the coordinator's may be where both are right.
const MAX_EARLY: Span = Span::from_ms(500);

/// The offset between the local clock and the coordinator's.
#[derive(Clone, Debug, Default)]
pub struct ClockOffset {
    /// By how much the local clock is ahead, in milliseconds; below zero if it is behind.
    ahead_ms: f64,
    /// The same as each of the last events tells it that did not fit.
    samples: VecDeque<f64>,
}

impl ClockOffset {
    /// By how much the local clock is ahead, in milliseconds; below zero if it is behind.
    pub fn ahead_ms(&self) -> f64 {
        self.ahead_ms
    }

    /// A live event has told of something that happened at that time, and comes at most `max_delay` late. Gives whether
    /// the offset turns out to be another than was known.
    pub fn record_event(&mut self, now: Time, happened: Time, max_delay: Span) -> bool {
        let before = self.ahead_ms;
        let ahead = now.since(happened).ms() - happened.since(now).ms();
        if (-MAX_EARLY.ms()..=max_delay.ms()).contains(&ahead) {
            self.samples.clear();
            self.ahead_ms = 0.0;
        } else {
            self.samples.push_back(ahead);
            if self.samples.len() > OFFSET_SAMPLES {
                self.samples.pop_front();
            }
            let least = self.samples.iter().copied().fold(f64::INFINITY, f64::min);
            // Guards against hosts' starts moving to and fro with the delays of single events.
            if (least - self.ahead_ms).abs() > MAX_EARLY.ms() {
                self.ahead_ms = least;
            }
        }
        before != self.ahead_ms
    }

    /// A time of the coordinator by the local clock.
    pub fn to_local(&self, time: Time) -> Time {
        Time::at_ms(time.ms() + self.ahead_ms)
    }

    /// A local time by the coordinator's clock.
    pub fn to_coordinator(&self, time: Time) -> Time {
        Time::at_ms(time.ms() - self.ahead_ms)
    }

    /// Puts the starts of listed endpoints by the local clock.
    pub fn localize_endpoints(&self, endpoints: &mut [Endpoint]) {
        for endpoint in endpoints {
            endpoint.started = endpoint.started.map(|started| self.to_local(started));
        }
    }

    /// Puts the starts of observed hosts by the coordinator's clock: those name a host's incarnation to others.
    pub fn delocalize_observations(&self, observations: &mut [Observation]) {
        for observation in observations {
            let started = observation.started;
            observation.started = started.map(|started| self.to_coordinator(started));
        }
    }
}
