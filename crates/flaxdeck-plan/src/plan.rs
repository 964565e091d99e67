//! What a plan file says.

use std::net::SocketAddr;

/// How many planners one file may name: each forwarder reports to all of them.
pub const MAX_PLANNERS: usize = 8;

/// One planner of the file. Its place in the list is its number at every forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct Planner {
    /// Its name, unique in the file.
    pub name: String,
    /// Where it listens and forwarders connect.
    pub listen: SocketAddr,
}

/// What a forwarder does once nobody has confirmed its list of hosts for long; `blind` in the file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WithoutContact {
    /// Every request that is not in flight is rejected, with a time to come back.
    RejectAfter {
        /// After so many milliseconds.
        ms: f64,
    },
    /// It goes on with the last list.
    GoOn,
}

/// How the coordinator's events reach forwarders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDelivery {
    /// Each event by itself, from the coordinator and from every planner.
    EachEvent,
    /// Batches with purge digests from one planner, another ready to step in; from the coordinator while there is none.
    Digest {
        /// Milliseconds between two batches.
        batch_ms: u32,
    },
}

/// The format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    Text,
    /// Lines of JSON.
    Json,
}

/// What the file says, with the defaults where it says nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// A file with the shared key, 64 hex digits; relative to the plan's own place.
    pub key_file: String,
    /// The planners, in the same order in every instance's file.
    pub planners: Vec<Planner>,
    /// The part of each warming host that planners have to grant by themselves, 0 to 1.
    pub reserve: f64,
    /// How long a grant may be used, in milliseconds.
    pub grant_ms: u32,
    /// The part by which a clock may run fast or slow, 0 to 1.
    pub drift: f64,
    /// Whether a forwarder has a slot, and with it a share of its own; `seated` in the file.
    pub has_slot: bool,
    /// Milliseconds between reports.
    pub report_every_ms: u32,
    /// Between reports while there is nothing urgent to tell; as long as `report_every_ms` unless the file says so.
    pub report_idle_ms: u32,
    /// How the coordinator's events reach forwarders.
    pub events: EventDelivery,
    /// What a forwarder does without contact.
    pub without_contact: WithoutContact,
    /// The format of the log.
    pub log_format: LogFormat,
    /// The folder in which a forwarder stores its state, relative to the plan's own place; none if it stores nothing.
    pub state_folder: Option<String>,
    /// In the words of `tracing`: `info` or `info,flaxdeck_dispatcher=debug`.
    pub log_levels: String,
}

impl Default for Plan {
    /// What holds where a file says nothing; the key file and the planners have no default.
    fn default() -> Plan {
        Plan {
            key_file: String::new(),
            planners: Vec::new(),
            reserve: 0.0,
            grant_ms: 1_200,
            drift: 0.01,
            has_slot: true,
            report_every_ms: 200,
            report_idle_ms: 200,
            events: EventDelivery::EachEvent,
            without_contact: WithoutContact::RejectAfter { ms: 2_500.0 },
            state_folder: None,
            log_format: LogFormat::Text,
            log_levels: "info".into(),
        }
    }
}
