//! Whether a stream of events has come to what happens now.
//!
//! An instance that starts, or comes back, is first told what happened before, without a mark where that ends. Where
//! events are rare a pause tells; where hundreds come in a second there is none. But a backlog comes faster than it
//! happened: once the coordinator's time, as its events tell it, passes no faster than the local time, they are told as
//! they happen. No clock is compared with another's.

use flaxdeck::{Span, Time};

/// Over how long the two are compared: many events of a busy stream, and longer than one network trip.
const COMPARED_OVER: Span = Span::from_ms(300);
/// How much faster the coordinator's time may pass: events come in clusters.
const MAX_PACE: f64 = 1.5;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Reference {
    /// When the event arrived, by the local clock.
    arrived: Time,
    /// When it happened, by the coordinator's clock.
    happened: Time,
}

/// Compares how fast the coordinator's time and the local time pass, on one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LiveEdge {
    reference: Option<Reference>,
}

impl LiveEdge {
    /// An event has come that happened at that time by the coordinator's clock. True if events come as they happen.
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
        if local < COMPARED_OVER {
            return false;
        }
        self.reference = Some(next);
        happened.since(reference.happened) <= local * MAX_PACE
    }
}
