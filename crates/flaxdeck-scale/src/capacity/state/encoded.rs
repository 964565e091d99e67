//! Sizes of stored entries in bytes, measured by encoding sample entries while the page is computed.

use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::stored_state::{
    self, StateChange, StoredEndpoint, StoredPurge, StoredState,
};

/// A number as large as real hashes and event numbers, so that its encoding is as long as theirs.
const SAMPLE_NUMBER: u64 = u64::MAX / 3;
/// A present-day Unix time in milliseconds, so that its encoding has a realistic length.
const SAMPLE_TIME_MS: u64 = 1_900_000_000_000;

fn sample_endpoint() -> StoredEndpoint {
    StoredEndpoint {
        host: "s-00000000".into(),
        address: ([10, 0, 0, 1], 7_000).into(),
        weight: 1.0,
        zone: Some(0),
        cell: 0,
        role: 0,
        health: 0,
        started: SAMPLE_TIME_MS,
    }
}

fn sample_purge() -> StoredPurge {
    StoredPurge {
        object: Some(SAMPLE_NUMBER),
        group: 0,
        made: SAMPLE_TIME_MS,
    }
}

fn encoded(state: &impl serde::Serialize) -> f64 {
    stored_state::encode(state).len() as f64
}

/// Returns the bytes of one endpoint of the endpoint list.
pub(super) fn bytes_per_host() -> f64 {
    encoded(&StoredState {
        endpoints: vec![sample_endpoint()],
        ..StoredState::default()
    }) - encoded(&StoredState::default())
}

/// Returns the bytes of one purge.
pub(super) fn bytes_per_purge() -> f64 {
    encoded(&StoredState {
        purges: vec![sample_purge()],
        ..StoredState::default()
    }) - encoded(&StoredState::default())
}

/// Returns the bytes of a log record of one purge.
pub(super) fn bytes_per_log_record() -> f64 {
    encoded(&StateChange::Purged(
        EventPosition {
            number: SAMPLE_NUMBER,
            hash: SAMPLE_NUMBER,
        },
        sample_purge(),
    ))
}
