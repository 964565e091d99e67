//! The record: the observed events and their times.

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FinalAnswer {
    /// With the requested object, or with success for a write.
    Served,
    /// Rejected for lack of capacity or time, without any effect.
    Rejected,
    /// Failed after it was tried; a write may have taken effect.
    Failed,
}

/// An event observed by a client, a host or the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedEvent {
    /// A client sent a request and waits for its answer until the deadline.
    RequestSent {
        /// The request's id, unique to this try.
        request: String,
        /// The time at which the client stops waiting, in milliseconds.
        deadline_ms: f64,
    },
    /// A client got a final answer.
    Answered {
        /// The request's id.
        request: String,
        /// How it was answered.
        answer: FinalAnswer,
    },
    /// A client gave up on a request or lost its connection, so that it can get no answer.
    ClientLeft {
        /// The request's id.
        request: String,
    },
    /// New work arrived at a host: a request, or a fill from it.
    WorkArrived {
        /// The host's id.
        host: String,
    },
    /// An effect that must not happen twice was applied.
    EffectApplied {
        /// The identity of the effect, such as its idempotency key.
        effect: String,
    },
    /// The coordinator published that a host drains or was removed.
    HostWithdrawn {
        /// The host's id.
        host: String,
    },
    /// The coordinator published that a host is in service.
    HostAnnounced {
        /// The host's id.
        host: String,
    },
    /// A host started cold, with an empty cache.
    HostStarted {
        /// The host's id.
        host: String,
    },
    /// Work was requested from a host.
    WorkRequested {
        /// The host's id.
        host: String,
        /// The time that it takes one slot of a warm host, in milliseconds.
        cost_ms: f64,
    },
    /// An object was purged: all copies made earlier are out of date.
    ObjectPurged {
        /// The object's id.
        object: String,
    },
    /// A copy was served to a client.
    CopyServed {
        /// The object's id.
        object: String,
        /// The time at which the client's request was sent, in milliseconds.
        sent_ms: f64,
        /// The time at which the copy was made, in milliseconds.
        made_ms: f64,
    },
}

/// One entry of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordEntry {
    /// The time at which the event was observed, in milliseconds.
    pub at_ms: f64,
    /// The event.
    pub event: RecordedEvent,
}
