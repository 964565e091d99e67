//! The control plane's state machines: what forwarders and planners decide beside the decision engine.
//!
//! No I/O, no clocks, no tasks: messages and the time go in, messages and decisions come out. `docs/forwarders-planners.md`
//! gives the reasons.
//!
//! - [`forwarder`] and [`planner`]: each side as a whole, speaking [`messages`].
//! - [`quotas`]: a forwarder's quota of warming hosts: it lends what it does not need and borrows what it does.
//! - [`quota_pool`]: the planner's side of that: what was lent to it, and to whom it is granted.
//! - [`LeaseTerms`], [`LeaseSchedule`] and [`QuotaFraction`]: the spans and amounts of leases.
//! - [`instance_slots`]: what the earlier run of a forwarder that returns may still have lent.
//! - [`membership`]: which planner holds an incarnation's leases, by who was heard.
//! - [`ratings`]: every forwarder's samples of a host combined into one rating.
//!
//! A forwarder that lends, and a planner that takes it in:
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
