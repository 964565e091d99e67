//! The state folder of a forwarder as revision 45b174f wrote it: a snapshot, and a log with every kind of record. The
//! current code has to read it, also if the log ends in the middle of a record, and has to write the same bytes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::{Path, PathBuf};

use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::stored_state::{
    StateChange, StoredEndpoint, StoredMeasurements, StoredPurge, StoredRating, StoredState,
    Uptime, encode,
};
use flaxdeck_store::{Folder, Store, inspect};

const INSTANCE: &str = "forwarder-at-127.0.0.1:7400";

fn recorded(folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(folder)
}

fn position(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: 0x7f3a_9c21_e0b4_d655 ^ number,
    }
}

fn endpoint(host: &str, role: u8) -> StoredEndpoint {
    StoredEndpoint {
        host: host.into(),
        address: "127.1.0.9:5050".parse().expect("the address is valid"),
        weight: 1.5,
        zone: Some(2),
        cell: 7,
        role,
        health: 0,
        started: 1_764_576_000_123,
    }
}

fn purge(object: Option<u64>) -> StoredPurge {
    StoredPurge {
        object,
        group: 17,
        made: 1_764_576_000_480,
    }
}

fn snapshot() -> StoredState {
    StoredState {
        written: Uptime {
            boot: 0xb007,
            ms: 123_456,
        },
        last_event: position(40),
        endpoints: vec![endpoint("s-00000001", 0), endpoint("s-00000002", 1)],
        purges: vec![purge(Some(0x7f3a_9c21_e0b4_d655))],
        ratings: vec![StoredRating {
            host: "s-00000002".into(),
            started: 1_764_576_000_123,
            measurements: StoredMeasurements {
                latency: Some(12.5),
                bandwidth: Some(0.25),
            },
            measured_ago_ms: Some(1_500),
            last_success_ago_ms: Some(20),
            last_failure_ago_ms: None,
        }],
        lent_until: Some(Uptime {
            boot: 0xb007,
            ms: 130_000,
        }),
    }
}

fn records() -> Vec<StateChange> {
    vec![
        StateChange::Endpoints(position(41), vec![endpoint("s-00000003", 2)]),
        StateChange::Purged(position(42), purge(None)),
        StateChange::LendingPermit(Uptime {
            boot: 0xb007,
            ms: 140_000,
        }),
        StateChange::FullList(position(43), vec![endpoint("s-00000004", 0)]),
    ]
}

/// Returns the state after the snapshot and the first `count` records.
fn state_after(count: usize) -> StoredState {
    let mut state = snapshot();
    for record in records().into_iter().take(count) {
        state.apply(record);
    }
    state
}

fn read(folder: &str) -> (flaxdeck_store::StoreContents, StoredState) {
    let mut disk = Folder::open(&recorded(folder)).expect("the recorded folder can be opened");
    let contents = inspect(&mut disk);
    let snapshot = contents
        .snapshot
        .as_ref()
        .expect("the folder has a valid snapshot");
    let state = StoredState::read(snapshot, &contents.records)
        .expect("the snapshot and the records can be decoded");
    (contents, state)
}

#[test]
fn a_recorded_state_folder_is_read_completely() {
    let (contents, state) = read("state");
    assert_eq!(contents.damage, None);
    assert_eq!((contents.generation, &contents.instance[..]), (1, INSTANCE));
    assert_eq!(contents.records.len(), 4);
    assert_eq!(state, state_after(4));
    assert_eq!(state.last_event, position(43));
    assert_eq!(state.endpoints, [endpoint("s-00000004", 0)]);
}

#[test]
fn a_log_that_ends_in_the_middle_of_a_record_is_read_up_to_it() {
    let (contents, state) = read("state-cut");
    let damage = contents.damage.expect("the cut is reported as damage");
    assert_eq!((damage.file, damage.reason), ("log", "truncated record"));
    assert_eq!(contents.records.len(), 3);
    assert_eq!(state, state_after(3));
}

#[test]
fn the_same_state_is_written_with_the_same_bytes() {
    let folder = std::env::temp_dir().join(format!("flaxdeck-recorded-{}", std::process::id()));
    let disk = Folder::open(&folder).expect("a new folder can be opened");
    let mut store =
        Store::begin(disk, INSTANCE, &encode(&snapshot())).expect("a new store can be created");
    for record in records() {
        store
            .record(&encode(&record))
            .expect("the record can be written");
    }
    let written = ["snapshot", "log"].map(|file| std::fs::read(folder.join(file)).expect(file));
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
    let expected =
        ["snapshot", "log"].map(|file| std::fs::read(recorded("state").join(file)).expect(file));
    assert!(
        written == expected,
        "the state is written with other bytes than those recorded"
    );
}
