//! Conversations over connections: with the coordinator, and between forwarders and planners.
//!
//! | module | entry point |
//! | --- | --- |
//! | [`watch`] | [`Watch::next`](watch::Watch::next): the coordinator's next event, over connections that are opened again as they end |
//! | [`connection`] | [`connect`](connection::connect) for a forwarder, [`accept`](connection::accept) for a planner: each gives a [`Sender`](connection::Sender) and a [`Receiver`](connection::Receiver) |
//! | [`messages`] | what the two sides send |
//! | [`authenticated`] | the bytes of that: a greeting, then frames with a counter and a keyed hash |
//! | [`message_kind`] | which counters of traffic a message belongs to |
//!
//! [`authenticated`] and [`watch::protocol`] are pure: bytes, events and the time in, messages and actions out. Sockets
//! are read and written in [`connection`] and in [`watch::Watch`] alone, on one thread. Nothing here starts a task:
//! whoever holds a [`Watch`](watch::Watch) or a [`Receiver`](connection::Receiver) polls it, and dropping it ends the
//! connection.
//!
//! Frames between two instances that share a key:
//!
//! ```
//! use bytes::BytesMut;
//! use flaxdeck_channel::authenticated::{Greeting, Key, Role};
//! use flaxdeck_wire::Parsed;
//!
//! let key = Key::from_hex(&"5c".repeat(32)).expect("64 hex digits");
//! let forwarder = Greeting::new(Role::Forwarder, [1; 16]);
//! let planner = Greeting::new(Role::Planner, [2; 16]);
//! let (mut signer, _) = forwarder.keys(&planner, &key);
//! let (_, mut verifier) = planner.keys(&forwarder, &key);
//!
//! let frame = signer.sign(&"a report").expect("it fits in a frame");
//! let read = verifier.verify::<String>(&mut BytesMut::from(&frame[..]));
//! assert_eq!(read, Ok(Parsed::Complete("a report".to_owned())));
//! ```

pub mod authenticated;
pub mod connection;
pub mod message_kind;
pub mod messages;
pub mod watch;
