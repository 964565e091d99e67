//! Requests of clients, their classes, and the answers that a dispatcher gives by itself.

use crate::{ClassId, GroupId, ObjectId, RequestId, Span, Time};

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Idempotent,
    /// Repeats are dropped by the hosts of the scope, for so long after the first attempt.
    Deduplicated {
        scope: Scope,
        remembered: Span,
    },
    AtMostOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

/// What is known of a class before its first request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub objective: Span,
    /// The objective grows by this multiple of the request's sending time.
    pub stretch: f64,
    pub repeats: Repeats,
    /// Runs at the origin and is never kept.
    pub goes_through: bool,
    pub parted: bool,
    /// How long a copy is fresh; none if it is until it is purged.
    pub fresh: Option<Span>,
    /// How much older than that a copy may be where nothing fresh is to be had, at a part of its worth.
    pub older: Span,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub object: ObjectId,
    pub part: u64,
    pub group: GroupId,
    pub size_kb: Option<f64>,
    /// When the client gives this try up.
    pub deadline: Time,
    /// The client says that it asks again.
    pub again: bool,
}

/// A final answer that the dispatcher gives itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Rejected {
        request: RequestId,
        retry_after: Option<Span>,
    },
    Failed {
        request: RequestId,
    },
}
