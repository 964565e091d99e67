//! What the checker makes of notes: delays, and events lost, doubled, out of order or replaced.

use flaxdeck_scale::delivery::{DeliveryChecker, DeliveryOutcome, PublishedEvent};
use flaxdeck_scale::in_force_log::LogEntry;

/// Events 1 to 10, each a millisecond after the one before; the number is its own hash.
fn events() -> Vec<PublishedEvent> {
    (1..=10)
        .map(|number| PublishedEvent {
            number,
            hash: number,
            at_us: 1_000 * number,
        })
        .collect()
}

fn entry(after: Option<u32>, upto: u32, at_us: u64) -> LogEntry {
    LogEntry {
        forwarder: 7,
        after,
        upto,
        hash: upto,
        at_us,
    }
}

/// Judges notes of one forwarder over events 3 to 10; what it knew at first was event 1.
fn outcome_of(entries: &[LogEntry], killed: bool) -> DeliveryOutcome {
    let events = events();
    let mut checker = DeliveryChecker::new(&events, 2_500, 11_000);
    checker.add(&entry(None, 1, 1_100));
    entries.iter().for_each(|entry| checker.add(entry));
    if killed {
        checker.killed(0..8);
    }
    checker.outcome()
}

fn counts(outcome: &DeliveryOutcome) -> [u64; 6] {
    let DeliveryOutcome {
        expected,
        lost,
        doubled,
        out_of_order,
        replaced,
        unknown,
        ..
    } = outcome;
    [
        *expected,
        *lost,
        *doubled,
        *out_of_order,
        *replaced,
        *unknown,
    ]
}

#[test]
fn events_that_come_one_by_one_or_in_batches_are_all_counted_with_their_delays() {
    let singly: Vec<LogEntry> = (2..=10)
        .map(|upto| entry(Some(upto - 1), upto, 1_000 * u64::from(upto) + 300))
        .collect();
    let outcome = outcome_of(&singly, false);
    assert_eq!(counts(&outcome), [8, 0, 0, 0, 0, 0]);
    assert_eq!((outcome.delays.len(), outcome.delays.max()), (8, 300));
    let batches = [entry(Some(1), 6, 6_200), entry(Some(6), 10, 10_200)];
    let outcome = outcome_of(&batches, false);
    assert_eq!(counts(&outcome), [8, 0, 0, 0, 0, 0]);
    // The oldest of the first batch that belongs to the window waited for three others.
    assert_eq!((outcome.delays.len(), outcome.delays.min()), (8, 200));
    assert!(
        outcome.delays.equivalent(outcome.delays.max(), 3_200),
        "{}",
        outcome.delays.max()
    );
}

#[test]
fn a_gap_and_a_missing_end_are_lost() {
    let outcome = outcome_of(&[entry(Some(1), 4, 4_100), entry(Some(6), 8, 8_100)], false);
    assert_eq!(counts(&outcome), [8, 4, 0, 0, 0, 0], "5, 6, 9 and 10");
    let outcome = outcome_of(&[], false);
    assert_eq!(counts(&outcome), [8, 8, 0, 0, 0, 0]);
}

#[test]
fn one_that_comes_again_is_doubled_and_one_that_comes_late_is_out_of_order() {
    let entries = [
        entry(Some(1), 4, 4_100),
        entry(Some(5), 10, 10_100),
        entry(Some(4), 5, 10_200),
    ];
    assert_eq!(counts(&outcome_of(&entries, false)), [8, 0, 0, 1, 0, 0]);
    let entries = [entry(Some(1), 10, 10_100), entry(Some(8), 10, 10_200)];
    assert_eq!(counts(&outcome_of(&entries, false)), [8, 0, 2, 0, 0, 0]);
}

#[test]
fn a_whole_list_in_place_of_events_replaces_them() {
    let entries = [
        entry(Some(1), 4, 4_100),
        entry(None, 8, 8_100),
        entry(Some(8), 10, 10_100),
    ];
    assert_eq!(counts(&outcome_of(&entries, false)), [8, 0, 0, 0, 4, 0]);
}

#[test]
fn what_follows_a_kill_is_nobodys_loss() {
    let outcome = outcome_of(&[entry(Some(1), 6, 6_100)], true);
    assert_eq!(counts(&outcome), [4, 0, 0, 0, 0, 0]);
    let outcome = outcome_of(&[entry(Some(1), 3, 3_100), entry(Some(4), 6, 6_100)], true);
    assert_eq!(counts(&outcome), [4, 1, 0, 0, 0, 0], "a gap before it is");
}

#[test]
fn a_numbering_that_begins_anew_is_told_apart_by_the_hashes() {
    let mut events = events();
    events.extend((1..=4).map(|number| PublishedEvent {
        number,
        hash: 100 + number,
        at_us: 11_000 + 1_000 * number,
    }));
    let mut checker = DeliveryChecker::new(&events, 0, 20_000);
    let mut take = |after, upto, hash, at_us| {
        checker.add(&LogEntry {
            forwarder: 7,
            after,
            upto,
            hash,
            at_us,
        })
    };
    take(None, 1, 1, 1_000);
    take(Some(1), 10, 10, 10_100);
    take(None, 1, 101, 12_500);
    take(Some(1), 4, 104, 15_200);
    take(Some(4), 5, 999, 15_300);
    let outcome = checker.outcome();
    assert_eq!(
        counts(&outcome),
        [14, 0, 0, 0, 1, 1],
        "the list replaced itself, 5 was never event"
    );
}
