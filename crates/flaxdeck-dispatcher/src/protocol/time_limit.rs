//! A time limit that a client exceeds at one time, and that ends its connection at that time or later.

use flaxdeck_net::budget::Budget;
use tokio::time::{Instant, sleep_until};

/// A time limit of a client's connection. It does not end the connection while an answer is owed on it.
#[derive(Clone, Copy)]
pub(super) struct TimeLimit {
    /// When the limit is exceeded. From then on the client may hold no memory that others need.
    pub(super) exceeded_at: Instant,
    ends_at: Instant,
}

impl TimeLimit {
    /// Creates a limit that is exceeded at the given time, on a connection that owes an answer until `owed_until`.
    pub(super) fn new(exceeded_at: Instant, owed_until: Option<Instant>) -> TimeLimit {
        TimeLimit {
            exceeded_at,
            ends_at: owed_until.map_or(exceeded_at, |until| until.max(exceeded_at)),
        }
    }

    /// Waits until the limit is exceeded; does not return if it is exceeded already.
    pub(super) async fn exceeded(limit: Option<TimeLimit>) {
        match limit {
            Some(limit) if limit.exceeded_at > Instant::now() => {
                sleep_until(limit.exceeded_at).await;
            }
            _ => std::future::pending().await,
        }
    }

    /// Waits until the limit ends the connection; does not return without a limit.
    pub(super) async fn ends(limit: Option<TimeLimit>) {
        match limit {
            Some(limit) => sleep_until(limit.ends_at).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until the limit is exceeded and others need units of the budget; does not return without a limit.
    pub(super) async fn exceeded_and_wanted(limit: Option<TimeLimit>, budget: &Budget) {
        match limit {
            Some(limit) => {
                sleep_until(limit.exceeded_at).await;
                budget.wanted().await;
            }
            None => std::future::pending().await,
        }
    }
}
