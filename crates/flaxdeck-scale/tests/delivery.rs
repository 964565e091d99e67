//! The delivery checker over log entries: delays, and events lost, duplicated, out of order or replaced.

use flaxdeck_scale::delivery::{DeliveryChecker, DeliveryOutcome, PublishedEvent};
use flaxdeck_scale::in_force_log::LogEntry;

/// Returns events 1 to 10, one a millisecond; the hash of each equals its number.
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

/// Checks the entries of one forwarder over events 3 to 10. The forwarder starts with a full list up to event 1.
fn outcome_of(entries: &[LogEntry], killed: bool) -> DeliveryOutcome {
    let events = events();
    let mut checker = DeliveryChecker::new(&events, 2_500, 11_000);
    checker.add(&entry(None, 1, 1_100));
    entries.iter().for_each(|entry| checker.add(entry));
    if killed {
        checker.mark_killed(0..8);
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
fn single_and_batched_events_are_counted_with_their_delays() {
    let singly: Vec<LogEntry> = (2..=10)
        .map(|upto| entry(Some(upto - 1), upto, 1_000 * u64::from(upto) + 300))
        .collect();
    let outcome = outcome_of(&singly, false);
    assert_eq!(counts(&outcome), [8, 0, 0, 0, 0, 0]);
    assert_eq!((outcome.delays.len(), outcome.delays.max()), (8, 300));
    let batches = [entry(Some(1), 6, 6_200), entry(Some(6), 10, 10_200)];
    let outcome = outcome_of(&batches, false);
    assert_eq!(counts(&outcome), [8, 0, 0, 0, 0, 0]);
    // Event 3, the oldest in the window, came into force in a batch that ends with event 6, three milliseconds younger.
    assert_eq!((outcome.delays.len(), outcome.delays.min()), (8, 200));
    assert!(
        outcome.delays.equivalent(outcome.delays.max(), 3_200),
        "{}",
        outcome.delays.max()
    );
}

#[test]
fn gaps_and_missing_last_events_are_lost() {
    let outcome = outcome_of(&[entry(Some(1), 4, 4_100), entry(Some(6), 8, 8_100)], false);
    assert_eq!(
        counts(&outcome),
        [8, 4, 0, 0, 0, 0],
        "events 5, 6, 9 and 10 are lost"
    );
    let outcome = outcome_of(&[], false);
    assert_eq!(counts(&outcome), [8, 8, 0, 0, 0, 0]);
}

#[test]
fn repeated_events_are_doubled_and_late_events_are_out_of_order() {
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
fn a_full_list_replaces_the_events_that_it_covers() {
    let entries = [
        entry(Some(1), 4, 4_100),
        entry(None, 8, 8_100),
        entry(Some(8), 10, 10_100),
    ];
    assert_eq!(counts(&outcome_of(&entries, false)), [8, 0, 0, 0, 4, 0]);
}

#[test]
fn events_after_a_deliberate_kill_are_not_lost() {
    let outcome = outcome_of(&[entry(Some(1), 6, 6_100)], true);
    assert_eq!(counts(&outcome), [4, 0, 0, 0, 0, 0]);
    let outcome = outcome_of(&[entry(Some(1), 3, 3_100), entry(Some(4), 6, 6_100)], true);
    assert_eq!(
        counts(&outcome),
        [4, 1, 0, 0, 0, 0],
        "a gap before the kill is lost"
    );
}

#[test]
fn a_restarted_numbering_is_distinguished_by_the_hashes() {
    let mut events = events();
    events.extend((1..=4).map(|number| PublishedEvent {
        number,
        hash: 100 + number,
        at_us: 11_000 + 1_000 * number,
    }));
    let mut checker = DeliveryChecker::new(&events, 0, 20_000);
    let mut add_entry = |after, upto, hash, at_us| {
        checker.add(&LogEntry {
            forwarder: 7,
            after,
            upto,
            hash,
            at_us,
        })
    };
    add_entry(None, 1, 1, 1_000);
    add_entry(Some(1), 10, 10, 10_100);
    add_entry(None, 1, 101, 12_500);
    add_entry(Some(1), 4, 104, 15_200);
    add_entry(Some(4), 5, 999, 15_300);
    let outcome = checker.outcome();
    assert_eq!(
        counts(&outcome),
        [14, 0, 0, 0, 1, 1],
        "the full list after the restart replaces its own event; event 5 with hash 999 is unknown"
    );
}
