//! Whether a stream of events has come to what happens now. An instance that starts, or comes back, is first told what
//! happened before, without a mark where that ends. Where events are rare a pause tells; where hundreds come a second
//! there is none. But what happened before comes faster than it happened: once the coordinator's time, as its events
//! tell it, passes no faster than the time here, they are told as they happen. No clock is compared with another's.

use flaxdeck::{Span, Time};

/// Over how long the two are compared: many events of a busy stream, and longer than one network trip.
const COMPARED_OVER: Span = Span::from_ms(300);
/// How much faster the coordinator's time may pass: events come in clusters.
const MAX_FASTER_AT: f64 = 1.5;

/// Compares how fast the coordinator's time and the time here pass, on one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LiveEdge {
    /// An event's arrival here, and when it happened by the coordinator's clock.
    since: Option<(Time, Time)>,
}

impl LiveEdge {
    /// An event has come that happened at `made` by the coordinator's clock. True if events come as they happen.
    pub fn told(&mut self, now: Time, made: Time) -> bool {
        let Some((arrived, happened)) = self.since else {
            self.since = Some((now, made));
            return false;
        };
        let here = now.since(arrived);
        if here < COMPARED_OVER {
            return false;
        }
        self.since = Some((now, made));
        made.since(happened) <= here * MAX_FASTER_AT
    }
}
