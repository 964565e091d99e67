//! What an instance that restarts may rely on, and how a whole fleet restarts without overloading anybody.
//!
//! Pure state machines: facts and the time go in, decisions come out; no I/O, no clock. `docs/coming-back.md` gives the
//! reasons.
//!
//! - [`numbering`]: whether the coordinator still uses the numbering that is known here, and what follows if not.
//! - [`live_edge`]: whether events come as they happen, or a backlog is still being told.
//! - [`unconfirmed`]: which endpoints of a list that replaced what should have followed may be used.
//! - [`stored_state`]: what an instance stores, and its bytes.
//! - [`restored_state`]: what of it is still valid, item by item.
//! - [`clocks`]: what times of the coordinator mean by a local clock that may be wrong.
//! - [`reconnect_backoff`]: pauses between connection attempts, out of step with other instances.
//! - [`startup`]: how far an instance has come back, and whether it takes clients yet.
//!
//! A connection that proves the numbering, and then brings an event that follows:
//!
//! ```
//! use flaxdeck::Time;
//! use flaxdeck_recovery::EventPosition;
//! use flaxdeck_recovery::numbering::{EventAction, Numbering};
//!
//! let now = Time::at_ms(1_000.0);
//! let position = |number| EventPosition { number, hash: 7 };
//! let mut numbering = Numbering::new(position(41));
//!
//! assert_eq!(numbering.connection_opened(now), 40, "the last known event is asked for again");
//! assert_eq!(numbering.receive(now, position(41), false), EventAction::Skip);
//! assert!(numbering.is_proven());
//! assert_eq!(numbering.receive(now, position(42), false), EventAction::Apply);
//! assert_eq!(numbering.last(), position(42));
//! ```

pub mod clocks;
pub mod live_edge;
pub mod numbering;
pub mod reconnect_backoff;
pub mod restored_state;
pub mod startup;
pub mod stored_state;
pub mod unconfirmed;

pub use live_edge::LiveEdge;
pub use numbering::EventPosition;
pub use reconnect_backoff::ReconnectBackoff;
