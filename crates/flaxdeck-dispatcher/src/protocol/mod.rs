//! Clients and hosts spoken to over connections: the parsers and writers of `flaxdeck-wire` joined to the connections of
//! `flaxdeck-net`. `flaxdeck-channel` does the same for the coordinator and the planners.
//!
//! | module | owns | owes at its end |
//! | --- | --- | --- |
//! | [`client_connection`] | one client's connection | what is queued for the client, then a half-close |
//! | [`host_connections`] | all connections to hosts | nothing: what is open on one is its attempt's |
//! | [`attempt`] | a connection while an attempt is out | a cancellation, if the request was written |

pub(crate) mod attempt;
pub(crate) mod client_answers;
pub(crate) mod client_connection;
mod host_connection;
pub(crate) mod host_connections;
mod message_read;
