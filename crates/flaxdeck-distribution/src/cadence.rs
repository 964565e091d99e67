//! How often a planner speaks to its subscribers, and what follows from that for when it counts as silent.

use flaxdeck::Span;

/// How many batches a planner may miss before another is asked, and the least time that this takes.
const MISSED_BATCHES: f64 = 2.0;
const MIN_SILENT_AT: Span = Span::from_ms(400);
/// Batches between two heartbeats, and the longest time between them.
const HEARTBEAT_BATCHES: f64 = 2.0;
const MAX_HEARTBEAT: Span = Span::from_ms(1_000);

/// The spans of the conversation about events, the same at planners and forwarders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cadence {
    /// Between two batches of purges.
    pub batch_every: Span,
    /// Changes of hosts and purges of groups wait no longer than this; also the least time between two messages.
    pub urgent_after: Span,
    /// Between two messages where nothing has happened.
    pub heartbeat: Span,
}

impl Default for Cadence {
    fn default() -> Cadence {
        Cadence {
            batch_every: Span::from_ms(500),
            urgent_after: Span::from_ms(100),
            heartbeat: Span::from_ms(1_000),
        }
    }
}

impl Cadence {
    /// Of a planner that tells batches so often. Heartbeats follow them up to a second, so that with frequent batches a
    /// planner that hangs is left sooner.
    pub fn of_batches(batch_every: Span) -> Cadence {
        let heartbeat = (batch_every * HEARTBEAT_BATCHES).min(MAX_HEARTBEAT);
        Cadence {
            batch_every,
            heartbeat,
            ..Cadence::default()
        }
    }

    /// A planner that has told nothing useful for so long is left for another.
    pub fn silent_after(self) -> Span {
        (self.batch_every * MISSED_BATCHES)
            .max(self.heartbeat * 1.5)
            .max(MIN_SILENT_AT)
    }
}
