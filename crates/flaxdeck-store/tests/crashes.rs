//! What a store returns after crashes at any operation, truncation at any byte, flipped bits and disk errors: a state
//! that was written to it, no older than the last one that it acknowledged, and never anything else.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use flaxdeck_store::faulty::{DiskFault, FaultyDisk};
use flaxdeck_store::{Folder, Store, inspect};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Returns the number of the last state on the disk. States are numbered: a snapshot holds one number, and each record
/// the next one.
fn last_state(disk: &mut FaultyDisk) -> Option<u64> {
    let found = inspect(disk);
    let number = |bytes: &Vec<u8>| u64::from_be_bytes(bytes[..8].try_into().unwrap());
    let mut last = number(found.snapshot.as_ref()?);
    for record in &found.records {
        assert_eq!(
            number(record),
            last + 1,
            "a record is missing before this one"
        );
        last += 1;
    }
    Some(last)
}

fn body(n: u64) -> Vec<u8> {
    [n.to_be_bytes().to_vec(), vec![7; n as usize % 40]].concat()
}

/// Writes `count` states after number `from`, every fifth as a snapshot. Returns the last one that was acknowledged.
fn write_states(store: &mut Store<FaultyDisk>, from: u64, count: u64) -> u64 {
    let mut acknowledged = from;
    for n in from + 1..=from + count {
        let result = if n % 5 == 0 {
            store.snapshot(&body(n))
        } else {
            store.record(&body(n))
        };
        match result {
            Ok(()) => acknowledged = n,
            Err(_) => break,
        }
    }
    acknowledged
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn acknowledged_writes_survive_a_crash_at_any_operation(
        before in 4usize..90, torn in any::<bool>(), seed in any::<u64>()
    ) {
        let fault = if torn { DiskFault::Torn { at: before } } else { DiskFault::Crash { before } };
        let disk = FaultyDisk::with_fault(fault);
        let Ok(mut store) = Store::begin(disk, "f1", &body(0)) else { return Ok(()) };
        let acknowledged = write_states(&mut store, 0, 40);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut found = store.into_disk().after_crash(|| rng.random());
        let state = last_state(&mut found).expect("the first snapshot survives once begin has returned");
        // The write that the crash interrupted may have reached the disk.
        prop_assert!((acknowledged..=acknowledged + 1).contains(&state), "{state} found, {acknowledged} acknowledged");
        // The next run continues from that state, one generation later.
        let mut reopened = Store::begin(found, "f1", &body(state)).unwrap();
        prop_assert_eq!(reopened.generation(), 2);
        prop_assert_eq!(write_states(&mut reopened, state, 7), state + 7);
    }

    #[test]
    fn truncation_or_a_flipped_bit_is_reported_at_or_before_its_offset(
        flip in any::<bool>(), at in 0.0f64..1.0, bit in 0u8..8, log in any::<bool>()
    ) {
        let mut store = Store::begin(FaultyDisk::default(), "f1", &body(0)).unwrap();
        write_states(&mut store, 0, 9);
        let mut disk = store.into_disk();
        let bytes = disk.bytes_mut(if log { "log" } else { "snapshot" }).unwrap();
        let offset = (bytes.len() as f64 * at) as usize;
        if flip { bytes[offset] ^= 1 << bit } else { bytes.truncate(offset) }
        let found = inspect(&mut disk);
        if log {
            prop_assert!((5..=9).contains(&last_state(&mut disk).unwrap()));
            let reported = found.damage.map_or(offset, |damage| damage.offset);
            prop_assert!(reported <= offset, "reported at byte {reported}, damaged at byte {offset}");
        } else {
            prop_assert_eq!(found.snapshot, None);
            prop_assert!(found.damage.is_some_and(|damage| damage.file == "snapshot"));
        }
    }
}

#[test]
fn a_log_truncated_at_any_byte_is_read_up_to_the_last_complete_record() {
    let mut store = Store::begin(FaultyDisk::default(), "f1", &body(0)).unwrap();
    write_states(&mut store, 0, 4);
    let disk = store.into_disk();
    let log = disk.clone().bytes_mut("log").unwrap().clone();
    let mut last = 0;
    for length in 0..=log.len() {
        let mut disk = disk.clone();
        disk.bytes_mut("log").unwrap().truncate(length);
        let found = last_state(&mut disk).unwrap();
        assert!(
            found >= last && found <= 4,
            "log truncated to {length} bytes"
        );
        last = found;
    }
    assert_eq!(last, 4);
}

#[test]
fn a_failed_sync_stops_all_later_writes() {
    for at in 0..60 {
        let disk = FaultyDisk::with_fault(DiskFault::SyncFails { at });
        let Ok(mut store) = Store::begin(disk, "f1", &body(0)) else {
            continue;
        };
        let acknowledged = write_states(&mut store, 0, 12);
        if acknowledged < 12 {
            assert!(store.failure().is_some());
            assert!(
                store.record(&body(acknowledged + 1)).is_err(),
                "a write was accepted after a failed sync"
            );
        }
        let mut found = store.into_disk().after_crash(|| 0.0);
        assert!(last_state(&mut found).unwrap() >= acknowledged, "sync {at}");
    }
}

#[test]
fn acknowledged_writes_survive_a_full_disk() {
    for from in 0..60 {
        let disk = FaultyDisk::with_fault(DiskFault::Full { from });
        let Ok(mut store) = Store::begin(disk, "f1", &body(0)) else {
            continue;
        };
        let acknowledged = write_states(&mut store, 0, 12);
        let failure = store.failure().map(ToString::to_string);
        assert!(
            acknowledged == 12
                || failure.is_some_and(|text| text.starts_with("write to the store failed: "))
        );
        assert!(last_state(&mut store.into_disk()).unwrap() >= acknowledged);
    }
}

#[test]
fn the_store_of_another_instance_is_rejected_and_left_unchanged() {
    let mut store = Store::begin(FaultyDisk::default(), "f1", &body(0)).unwrap();
    write_states(&mut store, 0, 3);
    let disk = store.into_disk();
    let error = Store::begin(disk.clone(), "f2", &body(0)).err().unwrap();
    assert!(
        error
            .to_string()
            .contains("the store belongs to instance f1, not to f2"),
        "{error:?}"
    );
    assert_eq!(last_state(&mut disk.clone()), Some(3));
}

#[test]
fn a_log_is_not_applied_to_a_snapshot_restored_from_a_backup() {
    let mut store = Store::begin(FaultyDisk::default(), "f1", &body(0)).unwrap();
    write_states(&mut store, 0, 3);
    let backup = store.into_disk();
    let mut store = Store::begin(backup.clone(), "f1", &body(3)).unwrap();
    write_states(&mut store, 3, 20);
    let mut mixed = store.into_disk();
    // The current log beside the snapshot of the backup, as restoring only one of the two files leaves it.
    *mixed.bytes_mut("snapshot").unwrap() = backup.clone().bytes_mut("snapshot").unwrap().clone();
    let found = inspect(&mut mixed);
    assert_eq!(found.records.len(), 0);
    assert_eq!(
        found.damage.unwrap().reason,
        "the log belongs to another snapshot"
    );
}

/// The child process of the test below: writes states until it is killed, and prints each that was acknowledged.
#[test]
#[ignore = "started by the test below"]
fn writes_until_it_is_killed() {
    let folder = PathBuf::from(std::env::var("FLAXDECK_STORE_FOLDER").unwrap());
    let disk = Folder::open(&folder).unwrap();
    let mut store = Store::begin(disk, "f1", &body(0)).unwrap();
    for n in 1..1_000_000 {
        let result = if n % 5 == 0 {
            store.snapshot(&body(n))
        } else {
            store.record(&body(n))
        };
        result.unwrap();
        println!("acknowledged {n}");
    }
}

#[test]
fn acknowledged_writes_survive_killing_the_process_at_a_random_time() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for round in 0..40 {
        let folder =
            std::env::temp_dir().join(format!("flaxdeck-store-{}-{round}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args([
                "--ignored",
                "--exact",
                "writes_until_it_is_killed",
                "--nocapture",
            ])
            .env("FLAXDECK_STORE_FOLDER", &folder)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        std::thread::sleep(Duration::from_millis(rng.random_range(15..60)));
        child.kill().unwrap();
        let output = child.wait_with_output().unwrap();
        let printed = String::from_utf8_lossy(&output.stdout);
        let acknowledged = printed
            .lines()
            .filter_map(|line| line.rsplit_once("acknowledged ")?.1.parse::<u64>().ok())
            .max();
        let found = inspect(&mut Folder::open(&folder).unwrap());
        let number = |bytes: &Vec<u8>| u64::from_be_bytes(bytes[..8].try_into().unwrap());
        let last = found.records.last().or(found.snapshot.as_ref()).map(number);
        assert!(
            last >= acknowledged,
            "round {round}: {last:?} found, {acknowledged:?} acknowledged"
        );
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
