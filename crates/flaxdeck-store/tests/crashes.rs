//! What a store gives back after crashes at every operation, cuts at every byte, flipped bits and failing disks: some
//! state that it was told, no older than what it said was kept, and never anything else.

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

/// The states told one after another are counts: a snapshot holds one, each record the next.
fn state(disk: &mut FaultyDisk) -> Option<u64> {
    let found = inspect(disk);
    let number = |bytes: &Vec<u8>| u64::from_be_bytes(bytes[..8].try_into().unwrap());
    let mut last = number(found.snapshot.as_ref()?);
    for record in &found.records {
        assert_eq!(
            number(record),
            last + 1,
            "a record is never missed before one that is given"
        );
        last += 1;
    }
    Some(last)
}

fn body(n: u64) -> Vec<u8> {
    [n.to_be_bytes().to_vec(), vec![7; n as usize % 40]].concat()
}

/// Tells states from 1 up, a snapshot at each fifth; gives the last one that was said to be kept.
fn run(store: &mut Store<FaultyDisk>, from: u64, count: u64) -> u64 {
    let mut kept = from;
    for n in from + 1..=from + count {
        let told = if n % 5 == 0 {
            store.snapshot(&body(n))
        } else {
            store.record(&body(n))
        };
        match told {
            Ok(()) => kept = n,
            Err(_) => break,
        }
    }
    kept
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn after_a_crash_at_any_operation_what_was_kept_is_there(
        before in 4usize..90, torn in any::<bool>(), seed in any::<u64>()
    ) {
        let fault = if torn { DiskFault::Torn { at: before } } else { DiskFault::Crash { before } };
        let disk = FaultyDisk::with_fault(fault);
        let Ok(mut store) = Store::begin(disk, "f1", &body(0)) else { return Ok(()) };
        let kept = run(&mut store, 0, 40);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut found = store.into_disk().after_crash(|| rng.random());
        let state = state(&mut found).expect("a store that has begun is never lost whole");
        // One more than what was said to be kept may have come through.
        prop_assert!((kept..=kept + 1).contains(&state), "{state} found, {kept} kept");
        // And it goes on from there, a generation later.
        let mut again = Store::begin(found, "f1", &body(state)).unwrap();
        prop_assert_eq!(again.generation(), 2);
        prop_assert_eq!(run(&mut again, state, 7), state + 7);
    }

    #[test]
    fn a_cut_or_a_flipped_bit_is_told_with_its_place_and_nothing_is_made_up(
        flip in any::<bool>(), at in 0.0f64..1.0, bit in 0u8..8, log in any::<bool>()
    ) {
        let mut store = Store::begin(FaultyDisk::default(), "f1", &body(0)).unwrap();
        run(&mut store, 0, 9);
        let mut disk = store.into_disk();
        let bytes = disk.bytes_of(if log { "log" } else { "snapshot" }).unwrap();
        let place = (bytes.len() as f64 * at) as usize;
        if flip { bytes[place] ^= 1 << bit } else { bytes.truncate(place) }
        let found = inspect(&mut disk);
        if log {
            prop_assert!((5..=9).contains(&state(&mut disk).unwrap()));
            let told = found.damage.map_or(place, |damage| damage.offset);
            prop_assert!(told <= place, "told at {told}, is at {place}");
        } else {
            prop_assert_eq!(found.snapshot, None);
            prop_assert!(found.damage.is_some_and(|damage| damage.file == "snapshot"));
        }
    }
}

#[test]
fn a_log_cut_at_every_byte_is_read_up_to_there() {
    let mut store = Store::begin(FaultyDisk::default(), "f1", &body(0)).unwrap();
    run(&mut store, 0, 4);
    let disk = store.into_disk();
    let whole = disk.clone().bytes_of("log").unwrap().clone();
    let mut last = 0;
    for cut in 0..=whole.len() {
        let mut disk = disk.clone();
        disk.bytes_of("log").unwrap().truncate(cut);
        let found = state(&mut disk).unwrap();
        assert!(found >= last && found <= 4, "cut at {cut}");
        last = found;
    }
    assert_eq!(last, 4);
}

#[test]
fn a_sync_that_failed_is_never_taken_back_by_a_later_one() {
    for at in 0..60 {
        let disk = FaultyDisk::with_fault(DiskFault::SyncFails { at });
        let Ok(mut store) = Store::begin(disk, "f1", &body(0)) else {
            continue;
        };
        let kept = run(&mut store, 0, 12);
        if kept < 12 {
            assert!(store.failure().is_some());
            assert!(
                store.record(&body(kept + 1)).is_err(),
                "nothing is kept from then on"
            );
        }
        let mut found = store.into_disk().after_crash(|| 0.0);
        assert!(state(&mut found).unwrap() >= kept, "sync {at}");
    }
}

#[test]
fn a_full_disk_leaves_what_was_there() {
    for from in 0..60 {
        let disk = FaultyDisk::with_fault(DiskFault::Full { from });
        let Ok(mut store) = Store::begin(disk, "f1", &body(0)) else {
            continue;
        };
        let kept = run(&mut store, 0, 12);
        let failure = store.failure().map(ToString::to_string);
        assert!(
            kept == 12 || failure.is_some_and(|text| text.starts_with("it can't be written: "))
        );
        assert!(state(&mut store.into_disk()).unwrap() >= kept);
    }
}

#[test]
fn another_instances_store_is_refused_by_name_and_left_alone() {
    let mut store = Store::begin(FaultyDisk::default(), "f1", &body(0)).unwrap();
    run(&mut store, 0, 3);
    let disk = store.into_disk();
    let refused = Store::begin(disk.clone(), "f2", &body(0)).err().unwrap();
    assert!(
        refused.to_string().contains("the store of f1, not of f2"),
        "{refused:?}"
    );
    assert_eq!(state(&mut disk.clone()), Some(3));
}

#[test]
fn one_put_back_from_earlier_is_an_earlier_state_and_nothing_else() {
    let mut store = Store::begin(FaultyDisk::default(), "f1", &body(0)).unwrap();
    run(&mut store, 0, 3);
    let yesterday = store.into_disk();
    let mut store = Store::begin(yesterday.clone(), "f1", &body(3)).unwrap();
    run(&mut store, 3, 20);
    let mut mixed = store.into_disk();
    // The log of today behind the snapshot of yesterday, as a careless copy would leave it.
    *mixed.bytes_of("snapshot").unwrap() = yesterday.clone().bytes_of("snapshot").unwrap().clone();
    let found = inspect(&mut mixed);
    assert_eq!(found.records.len(), 0);
    assert_eq!(found.damage.unwrap().reason, "it follows another snapshot");
}

/// The far end of the test below: writes states without end, and says each that is kept.
#[test]
#[ignore = "started by the test below"]
fn writes_until_it_is_killed() {
    let folder = PathBuf::from(std::env::var("FLAXDECK_STORE_FOLDER").unwrap());
    let disk = Folder::open(&folder).unwrap();
    let mut store = Store::begin(disk, "f1", &body(0)).unwrap();
    for n in 1..1_000_000 {
        let told = if n % 5 == 0 {
            store.snapshot(&body(n))
        } else {
            store.record(&body(n))
        };
        told.unwrap();
        println!("kept {n}");
    }
}

#[test]
fn a_process_killed_at_random_moments_leaves_what_it_said_was_kept() {
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
        let said = child.wait_with_output().unwrap();
        let said = String::from_utf8_lossy(&said.stdout);
        let kept = said
            .lines()
            .filter_map(|line| line.rsplit_once("kept ")?.1.parse::<u64>().ok())
            .max();
        let found = inspect(&mut Folder::open(&folder).unwrap());
        let number = |bytes: &Vec<u8>| u64::from_be_bytes(bytes[..8].try_into().unwrap());
        let last = found.records.last().or(found.snapshot.as_ref()).map(number);
        assert!(
            last >= kept,
            "round {round}: {last:?} found, {kept:?} said to be kept"
        );
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
