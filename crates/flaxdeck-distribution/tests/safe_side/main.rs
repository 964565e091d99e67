//! Digests may only err on the safe side: every copy that a forwarder serves with purge digests it would also have
//! served with the events in full. Random schedules run the real state machines in virtual time: one forwarder, two
//! planners and a coordinator that emits purges and host changes, loses its numbering or is restored from a backup.
//! Messages are lost, delayed, duplicated and reordered, connections are cut, planners are partitioned from the
//! coordinator, behind and restarted, and the forwarder is restarted.
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

use forwarder::Mutation;
use proptest::prelude::{ProptestConfig, prop_assert, proptest};
use world::{Schedule, Tally, run_schedule, schedules};

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn copies_served_with_digests_are_valid_by_the_full_events(schedule in schedules()) {
        let tally = run_schedule(&schedule, Mutation::None);
        prop_assert!(tally.is_ok(), "{}", tally.unwrap_err());
    }
}

fn faulty_schedule(seed: u64) -> Schedule {
    Schedule {
        seed,
        loss: 0.1,
        delay: 0.05,
        duplication: 0.05,
        disconnects: 0.0005,
        restarts: 0.0005,
        partitions: 0.0005,
        renumberings: 0.0005,
        restores: false,
        keep_for: 15_000,
        max_bytes: 1 << 24,
    }
}

#[test]
fn faulty_schedules_exercise_batches_snapshots_and_rejections() {
    let mut all = Tally::default();
    for seed in 0..20 {
        let tally = run_schedule(&faulty_schedule(seed), Mutation::None).unwrap();
        all.batches += tally.batches;
        all.snapshots += tally.snapshots;
        all.incomplete_snapshots += tally.incomplete_snapshots;
        all.rejected += tally.rejected;
        all.duplicates += tally.duplicates;
        all.coordinator_updates += tally.coordinator_updates;
        all.needlessly_rejected += tally.needlessly_rejected;
        all.copies_checked += tally.copies_checked;
    }
    println!("totals of 20 schedules of 30 s: {all:?}");
    assert!(
        all.batches > 500
            && all.snapshots > 20
            && all.incomplete_snapshots > 10
            && all.rejected > 20
            && all.coordinator_updates > 50
    );
}

#[test]
fn a_schedule_without_faults_never_needs_the_coordinator() {
    let faultless = Schedule {
        loss: 0.0,
        delay: 0.0,
        duplication: 0.0,
        disconnects: 0.0,
        restarts: 0.0,
        ..faulty_schedule(1)
    };
    let faultless = Schedule {
        partitions: 0.0,
        renumberings: 0.0,
        ..faultless
    };
    let tally = run_schedule(&faultless, Mutation::None).unwrap();
    println!("without faults: {tally:?}");
    assert!(tally.batches > 50 && tally.coordinator_updates == 0);
}

#[test]
fn each_mutation_of_the_forwarder_is_detected() {
    let mutations = [
        Mutation::MissedPurgesIgnored,
        Mutation::PurgeForgotten,
        Mutation::ListIgnored,
        Mutation::SettledTooSoon,
    ];
    for mutation in mutations {
        let found = (0..40).find_map(|seed| {
            run_schedule(&faulty_schedule(seed), mutation)
                .err()
                .map(|violation| (seed, violation))
        });
        println!("{mutation:?}: {found:?}");
        assert!(
            found.is_some(),
            "{mutation:?} was not detected in 40 schedules"
        );
    }
}
