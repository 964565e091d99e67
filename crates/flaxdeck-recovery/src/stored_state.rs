//! The state that an instance stores for its next start: a snapshot of the full state, and changes to it.
//!
//! The encoding is `postcard`, which identifies fields and variants by position: their set and their order are part of
//! the stored format.

use std::collections::BTreeMap;

use flaxdeck::{GroupId, SourceMeasurements, Span, Time};
use serde::{Deserialize, Serialize};

use crate::numbering::EventPosition;

/// Maximum number of stored purges: ten times the number that arrives within a usual settle time. Beyond it, the oldest
/// are merged into one purge of all older copies.
pub const MAX_PURGES: usize = 32_768;
/// Number of entries by which one merge shortens the list of purges.
const MERGE_BATCH_SIZE: usize = MAX_PURGES / 16;
/// How long purges are stored beyond their settle time, as the clocks of hosts differ.
const SETTLE_MARGIN: Span = Span::from_ms(500);

/// A point in time as the machine's uptime, which changes of the wall clock do not affect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Uptime {
    /// Boot id, which changes with each boot; zero if it can't be read.
    pub boot: u64,
    /// Milliseconds since boot.
    pub ms: u64,
}

impl Uptime {
    /// Returns the time since `earlier`. None if that was in another boot, if the boot id is unknown, or if `earlier`
    /// is later.
    pub fn since(self, earlier: Uptime) -> Option<Span> {
        let is_same_boot = self.boot != 0 && self.boot == earlier.boot;
        (is_same_boot && self.ms >= earlier.ms).then(|| Span::from_ms(self.ms - earlier.ms))
    }
}

/// An entry of the endpoint list in its stored form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEndpoint {
    /// Name of the host.
    pub host: String,
    /// Address that the host listens on.
    pub address: std::net::SocketAddr,
    /// Weight of the host in rendezvous hashing.
    pub weight: f64,
    /// Zone of the host, as an index into the platform's list of zones; absent for an origin.
    pub zone: Option<u32>,
    /// Cell of the host.
    pub cell: u64,
    /// Role of the host, as encoded in the coordinator's frames.
    pub role: u8,
    /// Health of the host, as encoded in the coordinator's frames.
    pub health: u8,
    /// Start of the host in milliseconds of Unix time; zero if it is long past.
    pub started: u64,
}

/// Measured performance of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredMeasurements {
    /// Milliseconds to the first byte of a fill.
    pub latency: Option<f64>,
    /// Bandwidth in KB per millisecond.
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

/// Observations of a cache host. Ages are in milliseconds, relative to [`StoredState::written`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRating {
    /// Name of the host.
    pub host: String,
    /// Start of the host in milliseconds of Unix time; zero if it is long past.
    pub started: u64,
    /// This instance's own measurements of the host.
    pub measurements: StoredMeasurements,
    /// Age of the measurements.
    pub measured_ago_ms: Option<u64>,
    /// Age of the last success.
    pub last_success_ago_ms: Option<u64>,
    /// Age of the last failure.
    pub last_failure_ago_ms: Option<u64>,
}

/// A purge in its stored form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPurge {
    /// The purged object; absent if a whole group was purged.
    pub object: Option<u64>,
    /// The purged group if `object` is absent; [`GroupId::ALL`] stands for all groups.
    pub group: u64,
    /// Time of the purge, in milliseconds of Unix time by the coordinator's clock.
    pub made: u64,
}

/// The full state that an instance stores.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredState {
    /// When the state was written.
    pub written: Uptime,
    /// The last applied event.
    pub last_event: EventPosition,
    /// The full endpoint list as of `last_event`.
    pub endpoints: Vec<StoredEndpoint>,
    /// The purges that may be unsettled.
    pub purges: Vec<StoredPurge>,
    /// Ratings of cache hosts.
    pub ratings: Vec<StoredRating>,
    /// Time until which quota that this instance lent may be outstanding; absent if it was never permitted to lend.
    pub lent_until: Option<Uptime>,
}

/// A change to the stored state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StateChange {
    /// An event with changed endpoints.
    Endpoints(EventPosition, Vec<StoredEndpoint>),
    /// An event with the full endpoint list, which replaces the stored one.
    FullList(EventPosition, Vec<StoredEndpoint>),
    /// An event with a purge.
    Purged(EventPosition, StoredPurge),
    /// The instance may lend quota until this time, but not beyond it.
    LendingPermit(Uptime),
}

/// Why bytes can't be decoded as stored state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// The bytes are not in the format that this version writes.
    #[error("stored state is not in this version's format: {0}")]
    Malformed(#[from] postcard::Error),
    /// Extra bytes follow the encoded value.
    #[error("{0} unexpected bytes follow the stored state")]
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

/// Encodes a full state or a change to one.
pub fn encode(state: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(state).unwrap_or_default() // serialization into memory does not fail
}

impl StoredState {
    /// Decodes a full state and applies the changes recorded after it.
    ///
    /// # Errors
    ///
    /// Returns the [`StateError`] of the snapshot or of the first record that can't be decoded.
    pub fn read(snapshot: &[u8], records: &[Vec<u8>]) -> Result<StoredState, StateError> {
        let mut state: StoredState = decode(snapshot)?;
        for record in records {
            state.apply(decode(record)?);
        }
        Ok(state)
    }

    /// Applies a change to this state.
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

    /// Removes purges that have settled, for which all hosts have dropped the affected copies. `now` is the wall clock
    /// of this machine. The age of a purge is measured from the earlier of `now` and the latest purge, as either clock
    /// may be ahead.
    pub fn forget_settled(&mut self, now: Time, settle_time: Span) {
        let latest = self.purges.iter().map(|purge| purge.made).max();
        let reference = latest.unwrap_or(0).min(now.ms() as u64);
        let stored_for = (settle_time + SETTLE_MARGIN).ms().ceil() as u64;
        self.purges
            .retain(|purge| purge.made.saturating_add(stored_for) >= reference);
    }

    /// Merges the oldest purges into one purge of all copies older than the latest of them, which covers each of them.
    fn merge_oldest_purges(&mut self) {
        self.purges.sort_by_key(|purge| purge.made);
        let oldest = self.purges.drain(..=MERGE_BATCH_SIZE);
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
