//! Connections to the coordinator, and authenticated connections between forwarders and planners.
//!
//! | module | entry point |
//! | --- | --- |
//! | [`watch`] | [`Watch::next`](watch::Watch::next): the coordinator's next event; connections that end are opened again |
//! | [`connection`] | [`connect`](connection::connect) for a forwarder, [`accept`](connection::accept) for a planner: each gives a [`Sender`](connection::Sender) and a [`Receiver`](connection::Receiver) |
//! | [`messages`] | [`FromForwarder`](messages::FromForwarder), [`FromPlanner`](messages::FromPlanner): the messages between the two |
//! | [`authenticated`] | the wire format of these connections: a greeting, then frames with a counter and a keyed hash |
//! | [`message_kind`] | which traffic counters a message belongs to |
//!
//! [`authenticated`] and [`watch::protocol`] do no I/O: they turn bytes, events and the current time into messages and
//! actions. Only [`connection`] and [`watch::Watch`] use sockets, on one thread. This crate starts no tasks: the owner
//! of a [`Watch`](watch::Watch) or a [`Receiver`](connection::Receiver) has to poll it. Dropping a watch, or both halves
//! of a connection, closes the socket.
//!
//! Example: a frame between two instances that share a key.
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
//! let frame = signer.sign(&"a report").expect("the message fits in a frame");
//! let read = verifier.verify::<String>(&mut BytesMut::from(&frame[..]));
//! assert_eq!(read, Ok(Parsed::Complete("a report".to_owned())));
//! ```

pub mod authenticated;
pub mod connection;
pub mod message_kind;
pub mod messages;
pub mod watch;
