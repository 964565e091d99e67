//! What an instance stores to come back with: a full state, and changes to it.
//!
//! The bytes are `postcard`, which encodes fields and variants by position: both and their order are part of the format.

use std::collections::BTreeMap;

use flaxdeck::{GroupId, SourceMeasurements, Span, Time};
use serde::{Deserialize, Serialize};

use crate::numbering::EventPosition;

/// Purges stored at most: ten times what comes in within a usual time to settle. Beyond it the oldest are merged into one
/// purge of all copies from before them.
pub const MAX_PURGES: usize = 32_768;
/// How many are merged at once.
const MERGED_AT_ONCE: usize = MAX_PURGES / 16;
/// Beyond the time to settle purges are stored for so long: for clocks of hosts that run apart.
const SETTLE_MARGIN: Span = Span::from_ms(500);

/// A moment by the machine's own count since it booted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Uptime {
    /// A number that is new with each boot; zero where none can be read.
    pub boot: u64,
    /// Milliseconds since the boot.
    pub ms: u64,
}

impl Uptime {
    /// How long ago that was; none if it was under another boot or none can be told.
    pub fn since(self, earlier: Uptime) -> Option<Span> {
        let is_same_boot = self.boot != 0 && self.boot == earlier.boot;
        (is_same_boot && self.ms >= earlier.ms).then(|| Span::from_ms(self.ms - earlier.ms))
    }
}

/// A listed endpoint as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEndpoint {
    /// The host's name.
    pub host: String,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Its weight in the hash.
    pub weight: f64,
    /// Its zone, by its place in the platform's list; absent for an origin.
    pub zone: Option<u32>,
    /// Its cell.
    pub cell: u64,
    /// Its role, by the number that the coordinator's frames use.
    pub role: u8,
    /// Its health, by the number that the coordinator's frames use.
    pub health: u8,
    /// Its start in milliseconds of Unix time; zero if that is long past.
    pub started: u64,
}

/// Measured performance of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredMeasurements {
    /// Milliseconds to a fill's first byte.
    pub latency: Option<f64>,
    /// KB per millisecond.
    pub bandwidth: Option<f64>,
}

impl From<SourceMeasurements> for StoredMeasurements {
    fn from(measured: SourceMeasurements) -> StoredMeasurements {
        StoredMeasurements {
            latency: measured.latency,
            bandwidth: measured.bandwidth,
        }
    }
}

impl From<StoredMeasurements> for SourceMeasurements {
    fn from(stored: StoredMeasurements) -> SourceMeasurements {
        SourceMeasurements {
            latency: stored.latency,
            bandwidth: stored.bandwidth,
        }
    }
}

/// What was observed of a host. Ages are in milliseconds, from when it was written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRating {
    /// The host's name.
    pub host: String,
    /// Its start in milliseconds of Unix time; zero if that is long past.
    pub started: u64,
    /// The own measurements.
    pub measurements: StoredMeasurements,
    /// Age of the measurements.
    pub measured_ago_ms: Option<u64>,
    /// Age of the last success.
    pub last_success_ago_ms: Option<u64>,
    /// Age of the last failure.
    pub last_failure_ago_ms: Option<u64>,
}

/// A purge as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPurge {
    /// The object; absent if a whole group was purged.
    pub object: Option<u64>,
    /// The group.
    pub group: u64,
    /// When it was made, in milliseconds of Unix time by the coordinator's clock.
    pub made: u64,
}

/// All that an instance stores.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredState {
    /// When it was written.
    pub written: Uptime,
    /// The last event applied.
    pub last_event: EventPosition,
    /// All endpoints as of that event.
    pub endpoints: Vec<StoredEndpoint>,
    /// The purges that may not have settled.
    pub purges: Vec<StoredPurge>,
    /// What was observed of hosts.
    pub ratings: Vec<StoredRating>,
    /// Nothing that was lent is outstanding after that; absent if nothing ever was lent.
    pub lent_until: Option<Uptime>,
}

/// A change to a stored state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StateChange {
    /// An event told these endpoints.
    Endpoints(EventPosition, Vec<StoredEndpoint>),
    /// An event told all endpoints, in place of those before.
    FullList(EventPosition, Vec<StoredEndpoint>),
    /// An event told a purge.
    Purged(EventPosition, StoredPurge),
    /// Lending is permitted until then.
    LendingPermit(Uptime),
}

/// Why bytes are no stored state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// They are not what this version writes.
    #[error("the bytes are not of this version's form")]
    Malformed(#[from] postcard::Error),
    /// More follows than was written.
    #[error("{0} bytes follow the end")]
    TrailingBytes(usize),
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, StateError> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(StateError::TrailingBytes(rest.len()))
    }
}

/// The bytes of a full state, or of a change to one.
pub fn encode(state: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(state).unwrap_or_default() // into memory: never fails
}

impl StoredState {
    /// A full state and the changes after it, as a store gives them back.
    ///
    /// # Errors
    ///
    /// [`StateError`] of the first of them that can't be read.
    pub fn read(snapshot: &[u8], records: &[Vec<u8>]) -> Result<StoredState, StateError> {
        let mut state: StoredState = decode(snapshot)?;
        for record in records {
            state.apply(decode(record)?);
        }
        Ok(state)
    }

    /// Applies a change.
    pub fn apply(&mut self, change: StateChange) {
        match change {
            StateChange::Endpoints(position, endpoints) => {
                self.last_event = position;
                self.update_endpoints(endpoints);
            }
            StateChange::FullList(position, endpoints) => {
                self.last_event = position;
                self.endpoints = endpoints;
            }
            StateChange::Purged(position, purge) => {
                self.last_event = position;
                self.purges.push(purge);
                if self.purges.len() > MAX_PURGES {
                    self.merge_oldest_purges();
                }
            }
            StateChange::LendingPermit(until) => self.lent_until = Some(until),
        }
    }

    fn update_endpoints(&mut self, changed: Vec<StoredEndpoint>) {
        let by_host: BTreeMap<String, StoredEndpoint> = std::mem::take(&mut self.endpoints)
            .into_iter()
            .chain(changed)
            .map(|endpoint| (endpoint.host.clone(), endpoint))
            .collect();
        self.endpoints = by_host.into_values().collect();
    }

    /// Forgets purges that have settled: hosts have dropped what they concern. `now` is this machine's wall clock; the
    /// time counts from the earlier of that and the latest purge, as either clock may be ahead.
    pub fn forget_settled(&mut self, now: Time, settles: Span) {
        let latest = self.purges.iter().map(|purge| purge.made).max();
        let from = latest.unwrap_or(0).min(now.ms() as u64);
        let stored_for = (settles + SETTLE_MARGIN).ms().ceil() as u64;
        self.purges
            .retain(|purge| purge.made.saturating_add(stored_for) >= from);
    }

    /// The oldest purges become one of all copies from before the latest of them, which asks for no less.
    fn merge_oldest_purges(&mut self) {
        self.purges.sort_by_key(|purge| purge.made);
        let oldest = self.purges.drain(..=MERGED_AT_ONCE);
        let Some(made) = oldest.map(|purge| purge.made).max() else {
            return;
        };
        let merged = StoredPurge {
            object: None,
            group: GroupId::ALL.0,
            made,
        };
        self.purges.insert(0, merged);
    }
}
