//! Clients and hosts spoken to over connections: `session` and `pool` join the parsers and writers of
//! `flaxdeck-wire` to connections; `flaxdeck-channel` does the same for the coordinator and the planners.

pub mod pool;
pub mod session;
