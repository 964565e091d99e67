//! How often a planner speaks to its subscribers, and after what silence it counts as lost.

use flaxdeck::Span;

/// How many batches a planner may miss before another one is asked.
const MISSED_BATCHES: f64 = 2.0;
/// How many heartbeats it may miss.
const MISSED_HEARTBEATS: f64 = 1.5;
/// The shortest silence after which a planner counts as lost.
const MIN_SILENCE_TIMEOUT: Span = Span::from_ms(400);
/// Batches between two heartbeats.
const HEARTBEAT_BATCHES: f64 = 2.0;
/// The longest time between two heartbeats.
const MAX_HEARTBEAT_INTERVAL: Span = Span::from_ms(1_000);

/// The spans of the conversation about events, the same at planners and forwarders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cadence {
    /// Between two batches of purges.
    pub batch_interval: Span,
    /// How long changes of hosts and purges of groups wait at most; also the least time between two messages.
    pub urgent_delay: Span,
    /// Between two messages where nothing has happened.
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
    /// The cadence of a planner that sends batches so often. Heartbeats follow them up to a second, so that with frequent
    /// batches a planner that hangs is left sooner.
    pub fn with_batch_interval(batch_interval: Span) -> Cadence {
        Cadence {
            batch_interval,
            heartbeat_interval: (batch_interval * HEARTBEAT_BATCHES).min(MAX_HEARTBEAT_INTERVAL),
            ..Cadence::default()
        }
    }

    /// A planner that has delivered nothing useful for so long is left for another.
    pub fn silence_timeout(self) -> Span {
        (self.batch_interval * MISSED_BATCHES)
            .max(self.heartbeat_interval * MISSED_HEARTBEATS)
            .max(MIN_SILENCE_TIMEOUT)
    }
}
