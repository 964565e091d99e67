//! The protocols of clients and hosts: applies the parsers and encoders of `flaxdeck-wire` to the connections of
//! `flaxdeck-net`. `flaxdeck-channel` does the same for the coordinator and the planners.
//!
//! | module | owns | at its end |
//! | --- | --- | --- |
//! | [`client_connection`] | one client's connection | writes the queued answers, then half-closes |
//! | [`host_connections`] | the idle connections to hosts | closes them, as no request is open on an idle one |
//! | [`attempt`] | a host connection while its attempt is in flight | sends a cancellation if the request was written |

pub(crate) mod attempt;
pub(crate) mod client_answers;
pub(crate) mod client_connection;
mod host_connection;
pub(crate) mod host_connections;
mod incoming_message;
mod message_read;
mod open_requests;
mod time_limit;
