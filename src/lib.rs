//! flaxdeck: decides which cache gets a request, which source fills a miss, and when a request is given up.
//!
//! [`decision::DecisionEngine`] makes all decisions of one dispatcher; [`polled::PolledEngine`] wraps it for callers
//! that run each request in a task of its own. Their input and output types are re-exported at the root of the crate.

mod attempt;
mod coordinator_knowledge;
pub mod decision;
mod decisions;
mod deployment;
mod endpoint;
pub mod hash;
mod id;
mod peers;
pub mod polled;
mod request;
pub mod run_history;
mod time;

pub use attempt::{Attempt, AttemptEnded, AttemptOutcome, Cancel, Clearance, FillOutcome};
pub use coordinator_knowledge::{CaughtUpAt, CompleteAsOf, CoordinatorKnowledge};
pub use decisions::Decisions;
pub use deployment::DeploymentTerms;
pub use endpoint::{Endpoint, Health, ListKind, LoadReport, Role};
pub use id::{
    AttemptIndex, CellId, ClassId, ClientRequestId, GroupId, HostId, ObjectId, RequestId, ZoneId,
};
pub use peers::{Observation, PeerHint, PeerHints, SourceMeasurements, WarmupQuota, WarmupUsage};
pub use request::{Final, PossibleRun, Repeats, Request, RequestClass, Scope};
pub use time::{Sampled, Span, Time};
