//! Clients' requests, their classes, and the final answers that a dispatcher gives itself.

use crate::{ClassId, GroupId, HostId, ObjectId, RequestId, Span, Time};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// It may run any number of times.
    Idempotent,
    /// Hosts deduplicate it: those that know of its first run drop its repeats.
    Deduplicated {
        /// The hosts that know of the first run.
        scope: Scope,
        /// The deduplication window: how long after the first attempt the hosts remember it.
        remembered: Span,
    },
    /// It may be sent again only if it is certain that it has not run.
    AtMostOnce,
}

/// Which hosts drop repeats of a request that one of them has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All hosts.
    All,
    /// The hosts of the same location.
    Zone,
    /// The hosts of the same cell.
    Cell,
}

/// The parameters of a class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The latency objective of an answer of size zero.
    pub objective: Span,
    /// The multiple of the request's transfer time that is added to the objective.
    pub stretch: f64,
    /// Whether its requests may run more than once.
    pub repeats: Repeats,
    /// Whether its requests run at the origin and are never cached, as writes do.
    pub goes_through: bool,
    /// Whether its objects are cached in parts.
    pub parted: bool,
    /// How long a copy is fresh; `None` if it stays fresh until it is purged.
    pub fresh: Option<Span>,
    /// How much older than its fresh time a copy may be where no fresh one is available. Such an answer counts for a
    /// part of its priority weight.
    pub stale_grace: Span,
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
    /// The part of the object; caches keep each part separately.
    pub part: u64,
    /// The group that the object is purged with.
    pub group: GroupId,
    /// The size of the answer in KB, if the client states it. It is a claim until an answer was measured.
    pub size_kb: Option<f64>,
    /// When the client stops waiting for this request.
    pub deadline: Time,
    /// Whether the client has marked it as a retry of an earlier request.
    pub is_retry: bool,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PossibleRun {
    /// When the attempt was sent.
    pub sent: Time,
    /// The host that may have run it.
    pub host: HostId,
}

/// A final answer that the dispatcher gives itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    /// The request has had no effect, or a retry would not take effect a second time.
    Rejected {
        /// The request.
        request: RequestId,
        /// The time after which the client may retry, if there is one.
        retry_after: Option<Span>,
    },
    /// The request may have had an effect.
    Failed {
        /// The request.
        request: RequestId,
    },
}
