//! The record: what somebody saw, and when.

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FinalAnswer {
    /// With what it asked for.
    Served,
    /// Refused at once, for want of capacity or time.
    Rejected,
    /// Tried and not achieved.
    Failed,
}

/// One thing that somebody saw.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedEvent {
    /// A client sent a request, and waits for its answer until the deadline.
    RequestSent {
        /// The request's id, of this one try.
        request: String,
        /// When the client stops waiting, in milliseconds.
        deadline_ms: f64,
    },
    /// A client got a final answer.
    Answered {
        /// The request's id.
        request: String,
        /// How it was answered.
        answer: FinalAnswer,
    },
    /// The client gave up or lost its connection, and says so.
    ClientLeft {
        /// The request's id.
        request: String,
    },
    /// New work arrived at a host, for itself or as the source of a fill.
    WorkArrived {
        /// The host's id.
        host: String,
    },
    /// An effect that must not happen twice was carried out.
    EffectApplied {
        /// What names the effect, such as its idempotency key.
        effect: String,
    },
    /// The coordinator announced that a host drains or is gone.
    HostWithdrawn {
        /// The host's id.
        host: String,
    },
    /// The coordinator announced that a host is in service.
    HostAnnounced {
        /// The host's id.
        host: String,
    },
    /// A host started, with a cold cache.
    HostStarted {
        /// The host's id.
        host: String,
    },
    /// A host was asked for work.
    WorkRequested {
        /// The host's id.
        host: String,
        /// Milliseconds of one place at full pace.
        cost_ms: f64,
    },
    /// All copies of an object were declared out of date.
    ObjectPurged {
        /// The object's id.
        object: String,
    },
    /// A copy was handed to a client.
    CopyServed {
        /// The object's id.
        object: String,
        /// When the client's request was sent, in milliseconds.
        sent_ms: f64,
        /// When the copy was made, in milliseconds.
        made_ms: f64,
    },
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordEntry {
    /// When it was seen, in milliseconds.
    pub at_ms: f64,
    /// What was seen.
    pub event: RecordedEvent,
}
