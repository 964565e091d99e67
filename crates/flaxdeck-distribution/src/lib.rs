//! Distribution of the coordinator's numbered events to every forwarder, each through one planner.
//!
//! State machines without I/O, clocks or tasks: they take messages and the current time, and return messages and the
//! times at which they are due. `docs/distribution.md` gives the reasons and the figures.
//!
//! - [`messages`]: the messages about events between a forwarder and a planner.
//! - [`fingerprint`] and [`digest`]: short hashes of purged objects and their encoding.
//! - [`cadence`]: the intervals between a planner's messages, and the silence after which it counts as lost.
//! - [`event_log`]: the recent events of the coordinator that a planner retains.
//! - [`publisher`]: the planner's side: which subscriber is sent what, and when.
//! - [`subscriber`]: the forwarder's side: which planner it follows, and which deliveries it applies.
//! - [`purge_index`]: the purges that a forwarder has to apply until the cache hosts have dropped the copies
//!   themselves.
//!
//! Positions in the coordinator's numbering are [`flaxdeck_recovery::EventPosition`]s: an event's number and a hash of
//! its content, so that events of two numberings with the same number are distinguished.
//!
//! A subscriber that receives a batch:
//!
//! ```
//! use flaxdeck::{ObjectId, Span, Time};
//! use flaxdeck_distribution::{
//!     Applied, Cadence, Content, Fingerprint, PlannerNumber, Publisher, Retention, Subscriber,
//!     SubscriberId,
//! };
//! use flaxdeck_recovery::EventPosition;
//!
//! # fn main() -> Result<(), flaxdeck_distribution::DeliveryError> {
//! let now = Time::at_ms(1_000_000.0);
//! let position = |number| EventPosition { number, hash: number };
//! let mut publisher =
//!     Publisher::start(now, Cadence::default(), Retention::default(), position(7));
//! let mut subscriber =
//!     Subscriber::start(now, 1, 0, Cadence::default(), Span::from_ms(6_000));
//! subscriber.set_position(now, position(7));
//!
//! let purge = Content::ObjectPurge(Fingerprint::of(ObjectId(42)));
//! publisher.append_event(now, position(8), purge);
//! subscriber.connected(now, PlannerNumber(0));
//! for (_planner, subscription) in subscriber.actions(now) {
//!     publisher.subscribe(now, SubscriberId(1), subscription);
//! }
//! for id in publisher.due(now) {
//!     let Some(delivery) = publisher.update_for(now, id, &mut |_number| Vec::new()) else {
//!         continue;
//!     };
//!     let applied = subscriber.receive(now, PlannerNumber(0), delivery)?;
//!     assert!(matches!(applied, Applied::Events { purges, .. } if purges.len() == 1));
//! }
//! assert_eq!(subscriber.position(), position(8));
//! # Ok(())
//! # }
//! ```

pub mod cadence;
pub mod digest;
pub mod event_log;
pub mod fingerprint;
pub mod messages;
pub mod publisher;
pub mod purge_index;
pub mod subscriber;

pub use cadence::Cadence;
pub use digest::InvalidDigest;
pub use event_log::{Content, EventLog, PositionError, Retention};
pub use fingerprint::Fingerprint;
pub use publisher::{Publisher, SubscriberId};
pub use purge_index::PurgeIndex;
pub use subscriber::{Applied, DeliveryError, InvalidDelivery, PlannerNumber, Subscriber};
