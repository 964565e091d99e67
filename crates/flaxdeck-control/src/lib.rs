//! State machines of the control plane: the decisions of forwarders and planners outside the decision engine.
//!
//! The package does no I/O, reads no clock and spawns no task: callers pass in messages and the current time, and get
//! back messages and decisions. `docs/forwarders-planners.md` explains the design.
//!
//! - [`forwarder`] and [`planner`]: the two sides of a session, which exchange [`messages`].
//! - [`quotas`]: a forwarder's quotas of warming hosts, of which it lends what it does not need and borrows what it
//!   lacks.
//! - [`quota_pool`]: the planner's side of the quotas: what forwarders lent to it, and to which forwarders it granted
//!   that.
//! - [`LeaseTerms`], [`LeaseSchedule`] and [`QuotaFraction`]: durations and amounts of leases.
//! - [`instance_slots`]: how long deposits of a restarted forwarder's earlier run may still be outstanding.
//! - [`membership`]: which planner holds an incarnation's leases, depending on which planners are live.
//! - [`ratings`]: combines all forwarders' samples of a host into one rating.
//!
//! A forwarder sends a report to a planner and applies the guidance that it gets back:
//!
//! ```
//! use flaxdeck::{Span, Time};
//! use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
//! use flaxdeck_control::membership::PlannerId;
//! use flaxdeck_control::messages::{Epoch, SlotId};
//! use flaxdeck_control::planner::Planner;
//! use flaxdeck_control::{LeaseTerms, QuotaFraction};
//! use flaxdeck_recovery::EventPosition;
//!
//! # fn main() -> Result<(), flaxdeck_control::MessageError> {
//! let now = Time::at_ms(1_000_000.0);
//! let lease_terms = LeaseTerms::new(Span::from_ms(3_000), Span::from_ms(1_200), 10);
//! let options = ForwarderOptions {
//!     lease_terms,
//!     reserve: 0.0,
//!     has_slot: true,
//!     slot: SlotId(7),
//!     unconfirmed_limit: Some(Span::from_ms(2_500)),
//! };
//! let mut planner = Planner::start(now, Epoch(1), lease_terms, QuotaFraction::NONE);
//! let mut forwarder = ForwarderSession::start(now, Epoch(2), options, 1);
//!
//! let report = forwarder.report(now, PlannerId(0), &[], EventPosition::NONE);
//! let guidance = planner.handle_report(now, &report)?;
//! let events = forwarder.apply_guidance(now, PlannerId(0), guidance, EventPosition::NONE)?;
//! assert!(events.is_empty());
//! # Ok(())
//! # }
//! ```

mod error;
pub mod forwarder;
pub mod instance_slots;
mod lease_schedule;
mod lease_terms;
pub mod membership;
pub mod messages;
pub mod planner;
mod quota_fraction;
pub mod quota_pool;
pub mod quotas;
pub mod ratings;

pub use error::{InvalidMessage, MessageError};
pub use lease_schedule::LeaseSchedule;
pub use lease_terms::LeaseTerms;
pub use quota_fraction::QuotaFraction;

use flaxdeck::Span;

/// The coordinator sends a message every second: a connection on which two of them are missing counts as lost.
const COORDINATOR_TIMEOUT: Span = Span::from_ms(2_200);
