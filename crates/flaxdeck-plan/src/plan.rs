//! The contents of a plan file.

use std::net::SocketAddr;

/// Maximum number of planners in a file: each forwarder reports to all of them.
pub const MAX_PLANNERS: usize = 8;

/// One planner of the file. Every forwarder identifies it by its index in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Planner {
    /// The name, unique in the file.
    pub name: String,
    /// The address on which it listens for forwarders.
    pub listen: SocketAddr,
}

/// What a forwarder does when neither the coordinator nor a planner has confirmed its endpoint list for a while;
/// `blind` in the file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WithoutContact {
    /// Rejects every request that is not in flight yet, with a retry-after.
    RejectAfter {
        /// Milliseconds since the last confirmation.
        ms: f64,
    },
    /// Continues with the last endpoint list.
    GoOn,
}

/// How the coordinator's events reach forwarders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDelivery {
    /// Each event separately, from the coordinator and from every planner.
    EachEvent,
    /// In batches with purge digests, from one planner with another one as standby; from the coordinator while no
    /// planner is available.
    Digest {
        /// Milliseconds between two batches.
        batch_ms: u32,
    },
}

/// The format of the program's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    Text,
    /// Lines of JSON.
    Json,
}

/// The settings of a plan file; what a file leaves out has its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Path of the file with the shared key, 64 hex digits; relative to the plan's folder.
    pub key_file: String,
    /// The planners, in the same order in every instance's file.
    pub planners: Vec<Planner>,
    /// The fraction of each warming host's capacity that planners grant in addition to what forwarders lend, 0 to 0.9.
    pub reserve: f64,
    /// How long a grant may be used, in milliseconds; `granted-ms` in the file.
    pub grant_ms: u32,
    /// Maximum fraction by which an instance's clock may run fast or slow, 0 to 0.2.
    pub drift: f64,
    /// Whether a forwarder has a slot, and with it a quota of its own; `seated` in the file.
    pub has_slot: bool,
    /// Milliseconds between two reports of a forwarder.
    pub report_every_ms: u32,
    /// Milliseconds between two reports while there is nothing urgent to report; equal to `report_every_ms` unless the
    /// file sets it.
    pub report_idle_ms: u32,
    /// How the coordinator's events reach forwarders.
    pub events: EventDelivery,
    /// What a forwarder does while nobody confirms its endpoint list.
    pub without_contact: WithoutContact,
    /// The format of the program's log.
    pub log_format: LogFormat,
    /// The folder in which a forwarder stores its state, relative to the plan's folder; `None` if it stores nothing.
    pub state_folder: Option<String>,
    /// The log filter in the syntax of `tracing`: `info` or `info,flaxdeck_dispatcher=debug`.
    pub log_levels: String,
}

impl Default for Plan {
    /// Returns the defaults; the key file and the planners have none and are empty.
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
