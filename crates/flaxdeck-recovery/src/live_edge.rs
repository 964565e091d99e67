//! Detects when a stream of events seems to have caught up with the present.
//!
//! An instance that starts or reconnects first receives a backlog of past events, and the protocol marks its end only by
//! the next heartbeat. Where events are rare, a pause suggests the end; at hundreds of events a second there is no pause.
//! But a backlog usually arrives faster than its events happened: once the timestamps of the events advance no faster
//! than the local time, the stream seems live. That is a guess, as a coordinator may send a backlog slowly. Only rates
//! are compared, so an offset between the two clocks does not matter.

use flaxdeck::{Span, Time};

/// Minimum period over which the rates are compared: it holds many events of a busy stream and exceeds one network
/// trip.
const COMPARISON_WINDOW: Span = Span::from_ms(300);
/// Maximum rate of the coordinator's time relative to local time in a live stream: above 1, as events come in clusters.
const MAX_PACE: f64 = 1.5;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Reference {
    /// Arrival of the event, by the local clock.
    arrived: Time,
    /// Time of the event, by the coordinator's clock.
    happened: Time,
}

/// Compares the rates of the coordinator's time and the local time on one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LiveEdge {
    reference: Option<Reference>,
}

impl LiveEdge {
    /// Records an event that arrived at `now` and happened at `happened` by the coordinator's clock. Returns whether
    /// the stream seems live.
    pub fn record_event(&mut self, now: Time, happened: Time) -> bool {
        let next = Reference {
            arrived: now,
            happened,
        };
        let Some(reference) = self.reference else {
            self.reference = Some(next);
            return false;
        };
        let local = now.since(reference.arrived);
        if local < COMPARISON_WINDOW {
            return false;
        }
        self.reference = Some(next);
        happened.since(reference.happened) <= local * MAX_PACE
    }
}
