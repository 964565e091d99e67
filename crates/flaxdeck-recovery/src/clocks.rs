//! Translates the coordinator's times to a local clock that may be wrong.
//!
//! The coordinator announces starts of hosts and purges in Unix time. Their age determines how warm a host is and how
//! old a copy may be. A local clock that runs ahead makes both look too old: a warming host counts as warm, and a
//! recent purge as settled long ago.
//!
//! A live event, the next one on a connection that has caught up, has just happened. The difference between its arrival
//! by the local clock and its timestamp is the event's delay plus the offset between the clocks. As the delay is never
//! negative, the minimum difference over several events is the best estimate of the offset. The rules, in order:
//!
//! 1. A difference within the usual delay means that the clocks agree, whatever the previous estimate was.
//! 2. Otherwise the offset is the minimum over the last [`OFFSET_SAMPLES`] events. Older samples are dropped, so the
//!    estimate follows a clock that is set, on either side, after as many events.
//!
//! An offset below [`MAX_PURGE_DELAY`] can't be detected this way.

use std::collections::VecDeque;

use flaxdeck::{Endpoint, Observation, Span, Time};

/// Maximum delay of a purge event when both clocks are right: the transfer to the coordinator and from there.
pub const MAX_PURGE_DELAY: Span = Span::from_ms(1_000);
/// Maximum delay of the event that announces a host's start: host registries lag by some seconds.
pub const MAX_START_DELAY: Span = Span::from_ms(6_000);
/// Number of events over which the minimum is taken: a single event may be delayed for long, but hardly all of them.
pub const OFFSET_SAMPLES: usize = 8;
/// How far the coordinator's clock may be ahead of the local one while the two count as agreeing.
const CLOCK_TOLERANCE: Span = Span::from_ms(500);

/// Estimates the offset between the local clock and the coordinator's.
#[derive(Clone, Debug, Default)]
pub struct ClockOffset {
    /// Milliseconds by which the local clock is ahead; negative if it is behind.
    ahead_ms: f64,
    /// The differences of the last events since the clocks last agreed; at most [`OFFSET_SAMPLES`].
    samples: VecDeque<f64>,
}

impl ClockOffset {
    /// Returns the milliseconds by which the local clock is ahead; negative if it is behind.
    pub fn ahead_ms(&self) -> f64 {
        self.ahead_ms
    }

    /// Records a live event that happened at `happened` by the coordinator's clock and that usually takes at most
    /// `max_delay` to arrive. Returns whether the estimated offset has changed.
    pub fn record_event(&mut self, now: Time, happened: Time, max_delay: Span) -> bool {
        let before = self.ahead_ms;
        let ahead = now.since(happened).ms() - happened.since(now).ms();
        if (-CLOCK_TOLERANCE.ms()..=max_delay.ms()).contains(&ahead) {
            self.samples.clear();
            self.ahead_ms = 0.0;
        } else {
            self.samples.push_back(ahead);
            if self.samples.len() > OFFSET_SAMPLES {
                self.samples.pop_front();
            }
            let least = self.samples.iter().copied().fold(f64::INFINITY, f64::min);
            // Small changes are ignored, so that translated starts of hosts do not vary with the delays of single
            // events.
            if (least - self.ahead_ms).abs() > CLOCK_TOLERANCE.ms() {
                self.ahead_ms = least;
            }
        }
        before != self.ahead_ms
    }

    /// Translates a time of the coordinator's clock to the local clock.
    pub fn to_local(&self, time: Time) -> Time {
        Time::at_ms(time.ms() + self.ahead_ms)
    }

    /// Translates a time of the local clock to the coordinator's clock.
    pub fn to_coordinator(&self, time: Time) -> Time {
        Time::at_ms(time.ms() - self.ahead_ms)
    }

    /// Translates the starts of listed endpoints to the local clock.
    pub fn endpoints_to_local(&self, endpoints: &mut [Endpoint]) {
        for endpoint in endpoints {
            endpoint.started = endpoint.started.map(|started| self.to_local(started));
        }
    }

    /// Translates the starts of observed hosts to the coordinator's clock, by which other instances identify the
    /// incarnation of a host.
    pub fn observations_to_coordinator(&self, observations: &mut [Observation]) {
        for observation in observations {
            let started = observation.started;
            observation.started = started.map(|started| self.to_coordinator(started));
        }
    }
}
