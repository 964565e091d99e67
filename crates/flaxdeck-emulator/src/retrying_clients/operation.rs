//! Operations of retrying clients: their progress, when their next request is due, and why a retry is needed.

/// One operation of a client: a read of an object or a write, with all its tries.
pub(super) struct Operation {
    pub(super) object: String,
    pub(super) write: bool,
    /// When its first request was about to be sent; `None` before that.
    pub(super) started_ms: Option<f64>,
    pub(super) tries: u32,
    pub(super) connection_broke: bool,
    /// When the last request was sent.
    pub(super) sent_ms: f64,
}

impl Operation {
    pub(super) fn started_ms(&self) -> f64 {
        self.started_ms.unwrap_or(self.sent_ms)
    }
}

/// When an operation's next request is due. The number makes keys with the same time distinct.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueTime {
    pub(super) at_us: u64,
    pub(super) number: u32,
}

impl DueTime {
    pub(super) fn new(at_ms: f64, number: u32) -> DueTime {
        let at_us = (at_ms * 1000.0) as u64;
        DueTime { at_us, number }
    }

    pub(super) fn at_ms(self) -> f64 {
        self.at_us as f64 / 1000.0
    }
}

/// Why an operation needs a retry.
pub(super) enum RetryCause {
    /// The dispatcher rejected the request, with a retry-after if it gave one.
    Rejected { retry_after_ms: Option<f64> },
    /// The connection broke, or no dispatcher was reachable.
    Disconnected,
}
