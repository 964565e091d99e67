//! A forwarder's state folder as revision 45b174f wrote it: a snapshot, and a log with every kind of record. Today's
//! code has to read it, also where the log ends in the middle of a record, and to write the same bytes.

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

fn mark(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: 0x7f3a_9c21_e0b4_d655 ^ number,
    }
}

fn line(host: &str, role: u8) -> StoredEndpoint {
    StoredEndpoint {
        host: host.into(),
        address: "127.1.0.9:5050".parse().expect("an address"),
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
        last_event: mark(40),
        endpoints: vec![line("s-00000001", 0), line("s-00000002", 1)],
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
        StateChange::Endpoints(mark(41), vec![line("s-00000003", 2)]),
        StateChange::Purged(mark(42), purge(None)),
        StateChange::LendingPermit(Uptime {
            boot: 0xb007,
            ms: 140_000,
        }),
        StateChange::FullList(mark(43), vec![line("s-00000004", 0)]),
    ]
}

/// What a reader makes of the snapshot and the first records after it.
fn state_after(count: usize) -> StoredState {
    let mut state = snapshot();
    for record in records().into_iter().take(count) {
        state.apply(record);
    }
    state
}

fn read(folder: &str) -> (flaxdeck_store::StoreContents, StoredState) {
    let mut disk = Folder::open(&recorded(folder)).expect("a recorded folder");
    let found = inspect(&mut disk);
    let body = found.snapshot.as_ref().expect("a snapshot");
    let kept = StoredState::read(body, &found.records).expect("records of this version");
    (found, kept)
}

#[test]
fn a_recorded_state_folder_is_read_completely() {
    let (found, kept) = read("state");
    assert_eq!(found.damage, None);
    assert_eq!((found.generation, &found.instance[..]), (1, INSTANCE));
    assert_eq!(found.records.len(), 4);
    assert_eq!(kept, state_after(4));
    assert_eq!(kept.last_event, mark(43));
    assert_eq!(kept.endpoints, [line("s-00000004", 0)]);
}

#[test]
fn a_log_that_ends_in_the_middle_of_a_record_is_read_up_to_it() {
    let (found, kept) = read("state-cut");
    let damage = found.damage.expect("the log is cut");
    assert_eq!((damage.file, damage.reason), ("log", "truncated record"));
    assert_eq!(found.records.len(), 3);
    assert_eq!(kept, state_after(3));
}

#[test]
fn the_same_state_is_written_with_the_same_bytes() {
    let folder = std::env::temp_dir().join(format!("flaxdeck-recorded-{}", std::process::id()));
    let disk = Folder::open(&folder).expect("a folder");
    let mut store = Store::begin(disk, INSTANCE, &encode(&snapshot())).expect("a new store");
    for record in records() {
        store.record(&encode(&record)).expect("it is written");
    }
    let written = ["snapshot", "log"].map(|file| std::fs::read(folder.join(file)).expect(file));
    std::fs::remove_dir_all(&folder).expect("the folder goes");
    let wanted =
        ["snapshot", "log"].map(|file| std::fs::read(recorded("state").join(file)).expect(file));
    assert!(written == wanted, "the state is written otherwise");
}
