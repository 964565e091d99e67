//! The intervals between a planner's messages to its subscribers, and the silence after which it counts as lost.

use flaxdeck::Span;

/// Batch intervals without a delivery before the forwarder switches to another planner.
const MISSED_BATCHES: f64 = 2.0;
/// Heartbeat intervals without a delivery before the forwarder switches to another planner.
const MISSED_HEARTBEATS: f64 = 1.5;
/// The shortest silence after which a planner counts as lost.
const MIN_SILENCE_TIMEOUT: Span = Span::from_ms(400);
/// Batch intervals between two heartbeats.
const HEARTBEAT_BATCHES: f64 = 2.0;
/// The longest time between two heartbeats.
const MAX_HEARTBEAT_INTERVAL: Span = Span::from_ms(1_000);

/// The timing of event delivery; planners and forwarders use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cadence {
    /// Time between two batches of purges.
    pub batch_interval: Span,
    /// The maximum delay of host changes and group purges; also the minimum time between two messages.
    pub urgent_delay: Span,
    /// Time between two messages while there are no events.
    pub heartbeat_interval: Span,
}

impl Default for Cadence {
    fn default() -> Cadence {
        Cadence {
            batch_interval: Span::from_ms(500),
            urgent_delay: Span::from_ms(100),
            heartbeat_interval: Span::from_ms(1_000),
        }
    }
}

impl Cadence {
    /// Returns the timing for this batch interval. The heartbeat interval follows it up to one second, so that with
    /// frequent batches a planner that hangs is detected sooner.
    pub fn with_batch_interval(batch_interval: Span) -> Cadence {
        Cadence {
            batch_interval,
            heartbeat_interval: (batch_interval * HEARTBEAT_BATCHES).min(MAX_HEARTBEAT_INTERVAL),
            ..Cadence::default()
        }
    }

    /// Returns the time without a useful delivery after which a forwarder switches to another planner.
    pub fn silence_timeout(self) -> Span {
        (self.batch_interval * MISSED_BATCHES)
            .max(self.heartbeat_interval * MISSED_HEARTBEATS)
            .max(MIN_SILENCE_TIMEOUT)
    }

    /// Returns how late an event may arrive if the planner that delivers it hangs: the silence after which a forwarder
    /// switches, and the other planner's next batch.
    pub fn max_failover_delay(self) -> Span {
        self.silence_timeout() + self.batch_interval
    }
}
