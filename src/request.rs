//! Requests of clients, their classes, and the answers that a dispatcher gives by itself.

use crate::{ClassId, GroupId, ObjectId, RequestId, Span, Time};

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// It may run any number of times.
    Idempotent,
    /// Hosts that know of its first run drop its repeats.
    Deduplicated {
        /// The hosts that know of it.
        scope: Scope,
        /// How long after the first attempt they do.
        remembered: Span,
    },
    /// It must not run again unless it is certain that it has not run.
    AtMostOnce,
}

/// Which hosts drop repeats of a request that one of them has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All hosts.
    All,
    /// The hosts of its location.
    Zone,
    /// The hosts of its cell.
    Cell,
}

/// What is known of a class before its first request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The time in which an answer without any content is due.
    pub objective: Span,
    /// The objective grows by this multiple of the request's sending time.
    pub stretch: f64,
    /// Whether its requests may run again.
    pub repeats: Repeats,
    /// Its requests run at the origin and are never cached.
    pub goes_through: bool,
    /// Its objects are cached in parts.
    pub parted: bool,
    /// How long a copy is fresh; none if it is until it is purged.
    pub fresh: Option<Span>,
    /// How much older than that a copy may be where nothing fresh is to be had, at a part of its priority weight.
    pub older: Span,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The object that it is for.
    pub object: ObjectId,
    /// The part of the object, which caches keep by itself.
    pub part: u64,
    /// The group that the object is purged with.
    pub group: GroupId,
    /// The size of the answer in KB, if that is told.
    pub size_kb: Option<f64>,
    /// When the client stops waiting for this request.
    pub deadline: Time,
    /// The client says that this is a retry of its own.
    pub again: bool,
}

/// A final answer that the dispatcher gives itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    /// It has had no effect, or a retry has no second one.
    Rejected {
        /// The request.
        request: RequestId,
        /// The time after which the client may retry, if one is named.
        retry_after: Option<Span>,
    },
    /// It may have had an effect.
    Failed {
        /// The request.
        request: RequestId,
    },
}
