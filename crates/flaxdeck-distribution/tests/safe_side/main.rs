//! Safe side only: whatever a forwarder would hand out with the digests it would also have handed out with the events in
//! full. Random schedules of the real machines in virtual time: one forwarder, two planners and a coordinator that gives
//! out purges and changes of hosts, loses its numbering or is restored from a backup; messages lost, late, duplicated and out of order,
//! connections cut, planners deaf, behind and restarted, the forwarder restarted.
//!
//! The oracle has every event in full and applies it at the moment at which the forwarder's position passes it.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod coordinator;
mod forwarder;
mod planner;
mod world;

use forwarder::Broken;
use proptest::prelude::{ProptestConfig, prop_assert, proptest};
use world::{Schedule, Tally, run, schedules};

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_the_digests_hand_out_the_events_in_full_would_have(schedule in schedules()) {
        let tally = run(&schedule, Broken::Nothing);
        prop_assert!(tally.is_ok(), "{}", tally.unwrap_err());
    }
}

fn ordinary(seed: u64) -> Schedule {
    Schedule {
        seed,
        lost: 0.1,
        late: 0.05,
        doubled: 0.05,
        cuts: 0.0005,
        restarts: 0.0005,
        deaf: 0.0005,
        renumberings: 0.0005,
        restores: false,
        keep_for: 15_000,
        bytes_most: 1 << 24,
    }
}

#[test]
fn schedules_are_not_empty() {
    let mut all = Tally::default();
    for seed in 0..20 {
        let tally = run(&ordinary(seed), Broken::Nothing).unwrap();
        all.batches += tally.batches;
        all.snapshots += tally.snapshots;
        all.incomplete_snapshots += tally.incomplete_snapshots;
        all.refused += tally.refused;
        all.duplicates += tally.duplicates;
        all.fed += tally.fed;
        all.refused_more += tally.refused_more;
        all.looked_at += tally.looked_at;
    }
    println!("in 20 schedules of 30 s: {all:?}");
    assert!(
        all.batches > 500
            && all.snapshots > 20
            && all.incomplete_snapshots > 10
            && all.refused > 20
            && all.fed > 50
    );
}

#[test]
fn without_faults_the_digests_refuse_little_more() {
    let quiet = Schedule {
        lost: 0.0,
        late: 0.0,
        doubled: 0.0,
        cuts: 0.0,
        restarts: 0.0,
        ..ordinary(1)
    };
    let quiet = Schedule {
        deaf: 0.0,
        renumberings: 0.0,
        ..quiet
    };
    let tally = run(&quiet, Broken::Nothing).unwrap();
    println!("without faults: {tally:?}");
    assert!(tally.batches > 50 && tally.fed == 0);
}

#[test]
fn each_way_to_break_the_forwarder_is_found() {
    let ways = [
        Broken::MissedPurgesIgnored,
        Broken::PurgeForgotten,
        Broken::ListIgnored,
        Broken::SettledTooSoon,
    ];
    for broken in ways {
        let found =
            (0..40).find_map(|seed| run(&ordinary(seed), broken).err().map(|what| (seed, what)));
        println!("{broken:?}: {found:?}");
        assert!(found.is_some(), "{broken:?}");
    }
}
