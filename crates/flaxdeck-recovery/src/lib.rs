//! What an instance that comes back may believe, and how it comes back without a stampede: facts and the time go in,
//! decisions come out; no I/O, no clock. The reasons are in `docs/coming-back.md`.
//!
//! - [`numbering`]: whether the coordinator still speaks the numbering that is known here, and what follows if not.
//! - [`live_edge`]: whether events come as they happen, or what happened before is still being told.
//! - [`unconfirmed`]: which lines of a list that came instead of what followed may be used.
//! - [`restored_state`]: what of stored state may be believed, item by item.
//! - [`clocks`]: what told Unix times mean by a clock of one's own that may be wrong.
//! - [`reconnect_backoff`]: pauses between the calls that instances make by themselves, out of step with each other.
//! - [`startup`]: how far an instance has come back, and whether it takes clients yet.

pub mod clocks;
pub mod live_edge;
pub mod numbering;
pub mod reconnect_backoff;
pub mod restored_state;
pub mod startup;
pub mod unconfirmed;

pub use live_edge::LiveEdge;
pub use numbering::EventPosition;
pub use reconnect_backoff::ReconnectBackoff;
