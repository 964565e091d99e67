//! Bytes of entries as they are written to a file: encoded when the page is computed.

use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::stored_state::{
    self, StateChange, StoredEndpoint, StoredPurge, StoredState,
};

/// Numbers as large as those of real events, whose encoding is as long as theirs.
const LARGE: u64 = u64::MAX / 3;
/// Milliseconds of Unix time of these years.
const SOME_TIME: u64 = 1_900_000_000_000;

fn some_line() -> StoredEndpoint {
    StoredEndpoint {
        host: "s-00000000".into(),
        address: ([10, 0, 0, 1], 7_000).into(),
        weight: 1.0,
        zone: Some(0),
        cell: 0,
        role: 0,
        health: 0,
        started: SOME_TIME,
    }
}

fn some_purge() -> StoredPurge {
    StoredPurge {
        object: Some(LARGE),
        group: 0,
        made: SOME_TIME,
    }
}

fn encoded(state: &impl serde::Serialize) -> f64 {
    stored_state::encode(state).len() as f64
}

/// Bytes of a host of the list.
pub(super) fn per_host() -> f64 {
    encoded(&StoredState {
        endpoints: vec![some_line()],
        ..StoredState::default()
    }) - encoded(&StoredState::default())
}

/// Bytes of a purge.
pub(super) fn per_purge() -> f64 {
    encoded(&StoredState {
        purges: vec![some_purge()],
        ..StoredState::default()
    }) - encoded(&StoredState::default())
}

/// Bytes of a purge as a record of the log.
pub(super) fn per_record() -> f64 {
    encoded(&StateChange::Purged(
        EventPosition {
            number: LARGE,
            hash: LARGE,
        },
        some_purge(),
    ))
}
