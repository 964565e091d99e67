//! Which state a restarted instance may rely on, and how a whole fleet restarts without overloading any component.
//!
//! All modules are pure state machines: they take inputs and the current time and return decisions, without I/O and
//! without reading a clock. `docs/coming-back.md` gives the reasons.
//!
//! - [`numbering`]: detects whether the coordinator still uses the known numbering, and recovers if it does not.
//! - [`live_edge`]: tells events that happen now from a backlog that is still being sent.
//! - [`unconfirmed`]: decides which endpoints may be used from a full list that replaced the expected events.
//! - [`stored_state`]: defines what an instance stores, and the encoding.
//! - [`restored_state`]: decides which items of the stored state are still valid.
//! - [`clocks`]: translates the coordinator's times to a local clock that may be wrong.
//! - [`reconnect_backoff`]: spreads connection attempts so that instances do not retry in step.
//! - [`startup`]: tracks the startup phase and when the instance accepts clients.
//!
//! A connection that proves the numbering and then receives the next event:
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
//! assert_eq!(numbering.connection_opened(now), 40, "requests the last known event again");
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
