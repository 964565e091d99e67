//! What of stored state may be restored, item by item.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::restored_state::{CurrentFacts, RestoredState, validate};
use flaxdeck_recovery::stored_state::{
    MAX_PURGES, StateChange, StoredEndpoint, StoredMeasurements, StoredPurge, StoredRating,
    StoredState, Uptime, encode,
};

const NOW: CurrentFacts = CurrentFacts {
    uptime: Uptime {
        boot: 7,
        ms: 100_000,
    },
    configured_event: EventPosition { number: 1, hash: 1 },
    startup_wait: Span::from_ms(5_000),
};

fn line(host: &str, started: u64) -> StoredEndpoint {
    let address = "127.0.0.1:1".parse().unwrap();
    StoredEndpoint {
        host: host.into(),
        address,
        weight: 1.0,
        zone: None,
        cell: 0,
        role: 0,
        health: 0,
        started,
    }
}

fn rating(host: &str, started: u64) -> StoredRating {
    StoredRating {
        host: host.into(),
        started,
        measurements: StoredMeasurements {
            latency: Some(3.0),
            bandwidth: None,
        },
        measured_ago_ms: Some(1_000),
        last_success_ago_ms: Some(1_000),
        last_failure_ago_ms: None,
    }
}

fn stored(ago: u64) -> StoredState {
    StoredState {
        written: Uptime {
            boot: 7,
            ms: 100_000 - ago,
        },
        last_event: EventPosition { number: 9, hash: 5 },
        endpoints: vec![line("a", 0), line("b", 500)],
        purges: vec![StoredPurge {
            object: Some(1),
            group: 0,
            made: 1,
        }],
        ratings: vec![rating("a", 0), rating("b", 400), rating("gone", 0)],
        lent_until: None,
    }
}

fn hosts(restored: &RestoredState) -> Vec<&str> {
    restored
        .ratings
        .iter()
        .map(|rating| &*rating.host)
        .collect()
}

#[test]
fn what_was_seen_of_a_host_counts_for_that_start_of_it_alone() {
    let restored = validate(stored(2_000), NOW);
    assert_eq!(
        hosts(&restored),
        ["a"],
        "b has restarted, one is listed no more"
    );
    assert_eq!(restored.ratings[0].last_success_ago_ms, Some(3_000));
    assert_eq!(
        restored.last_event,
        Some(EventPosition { number: 9, hash: 5 })
    );
}

#[test]
fn what_is_old_is_not_used() {
    let restored = validate(stored(30_000), NOW);
    assert_eq!(
        (
            restored.ratings[0].last_success_ago_ms,
            restored.ratings[0].measured_ago_ms
        ),
        (None, Some(31_000))
    );
    assert_eq!(validate(stored(90_000), NOW).ratings, []);
}

#[test]
fn after_a_boot_no_clock_tells_any_age() {
    let now = CurrentFacts {
        uptime: Uptime {
            boot: 8,
            ms: 100_000,
        },
        ..NOW
    };
    let restored = validate(
        StoredState {
            lent_until: Some(Uptime { boot: 7, ms: 1 }),
            ..stored(10)
        },
        now,
    );
    assert_eq!((restored.ratings.len(), restored.startup_wait), (0, None));
    assert_eq!(
        (restored.endpoints.len(), restored.purges.len()),
        (2, 1),
        "facts need no clock"
    );
    // Nor where none can be read.
    let now = CurrentFacts {
        uptime: Uptime::default(),
        ..NOW
    };
    assert_eq!(
        validate(
            StoredState {
                written: Uptime::default(),
                ..stored(10)
            },
            now
        )
        .startup_wait,
        None
    );
}

#[test]
fn own_shares_wait_for_what_may_be_outstanding_and_never_longer_than_without_a_store() {
    let waits = |ms| {
        validate(
            StoredState {
                lent_until: ms,
                ..stored(100)
            },
            NOW,
        )
        .startup_wait
    };
    let at = |ms| Some(Uptime { boot: 7, ms });
    assert_eq!(waits(None), Some(Span::ZERO));
    assert_eq!(waits(at(99_000)), Some(Span::ZERO));
    assert_eq!(waits(at(102_000)), Some(Span::from_ms(2_000)));
    assert_eq!(waits(at(900_000)), Some(Span::from_ms(5_000)));
    assert_eq!(waits(Some(Uptime { boot: 6, ms: 1 })), None);
}

#[test]
fn a_configuration_of_a_later_event_outweighs_the_store() {
    let now = CurrentFacts {
        configured_event: EventPosition {
            number: 10,
            hash: 2,
        },
        ..NOW
    };
    let restored = validate(stored(100), now);
    assert_eq!(
        (
            restored.last_event,
            restored.endpoints.len(),
            restored.purges.len()
        ),
        (None, 0, 1)
    );
    assert!(
        restored
            .verdicts
            .iter()
            .any(|verdict| verdict.item == "hosts" && !verdict.is_valid)
    );
}

#[test]
fn what_was_written_is_read_and_other_bytes_are_not() {
    let (all, later) = (
        stored(3),
        StateChange::LendingPermit(Uptime { boot: 7, ms: 9 }),
    );
    let read = StoredState::read(&encode(&all), &[encode(&later)]).unwrap();
    assert_eq!(
        read,
        StoredState {
            lent_until: Some(Uptime { boot: 7, ms: 9 }),
            ..all.clone()
        }
    );
    assert!(StoredState::read(&encode(&all), &[vec![9, 9, 9]]).is_err());
    assert!(StoredState::read(&[encode(&all), vec![0]].concat(), &[]).is_err());
}

#[test]
fn what_came_later_is_added_in_its_order() {
    let mut all = stored(0);
    let position = |number| EventPosition { number, hash: 1 };
    all.apply(StateChange::Endpoints(
        position(10),
        vec![
            StoredEndpoint {
                health: 1,
                ..line("a", 0)
            },
            line("c", 0),
        ],
    ));
    all.apply(StateChange::Purged(
        position(11),
        StoredPurge {
            object: None,
            group: 3,
            made: 2,
        },
    ));
    assert_eq!(
        (
            all.last_event,
            all.endpoints.len(),
            all.endpoints[0].health,
            all.purges.len()
        ),
        (position(11), 3, 1, 2)
    );
    all.apply(StateChange::FullList(position(1), vec![line("d", 0)]));
    all.apply(StateChange::LendingPermit(Uptime { boot: 7, ms: 9 }));
    assert_eq!(
        (
            all.last_event,
            all.endpoints.len(),
            all.lent_until.map(|at| at.ms)
        ),
        (position(1), 1, Some(9))
    );
}

const SETTLES: Span = Span::from_ms(6_800);

fn purged(object: u64, made: u64) -> StateChange {
    StateChange::Purged(
        EventPosition {
            number: object,
            hash: object,
        },
        StoredPurge {
            object: Some(object),
            group: 0,
            made,
        },
    )
}

/// From when on a copy of the object has to be by what is kept; 0 if any will do.
fn copies_from(state: &StoredState, object: u64) -> u64 {
    let concerns = |purge: &&StoredPurge| {
        purge
            .object
            .map_or(purge.group == u64::MAX, |of| of == object)
    };
    state
        .purges
        .iter()
        .filter(concerns)
        .map(|purge| purge.made)
        .max()
        .unwrap_or(0)
}

#[test]
fn purges_are_stored_until_they_have_settled_at_any_rate() {
    for per_s in [1, 330, 3_300] {
        let mut state = StoredState::default();
        let last = 30 * per_s;
        for number in 0..=last {
            state.apply(purged(number, 1_000 + number * 1_000 / per_s));
            if number % 500 == 0 {
                state.forget_settled(Time::at_ms(1e9), SETTLES);
            }
        }
        state.forget_settled(Time::at_ms(1e9), SETTLES);
        let latest = 1_000 + last * 1_000 / per_s;
        for number in 0..=last {
            let made = 1_000 + number * 1_000 / per_s;
            let unsettled = made + 6_800 >= latest;
            assert!(
                !unsettled || copies_from(&state, number) == made,
                "{number} of {last}"
            );
        }
        let within = per_s * 75 / 10 + 1;
        assert!(
            state.purges.len() as u64 <= within,
            "{} kept at {per_s} a second",
            state.purges.len()
        );
    }
}

#[test]
fn purges_beyond_the_bound_are_merged_into_one_that_asks_for_no_less() {
    let mut state = StoredState::default();
    let count = 3 * MAX_PURGES as u64 + 1_000;
    for number in 0..count {
        state.apply(purged(number, 1_000 + number));
        assert!(state.purges.len() <= MAX_PURGES);
    }
    let sample = (0..count).step_by(97);
    assert!(
        sample
            .clone()
            .all(|number| copies_from(&state, number) >= 1_000 + number),
        "none is forgotten"
    );
    assert_eq!(
        copies_from(&state, count - 1),
        1_000 + count - 1,
        "the latest are kept one by one"
    );
    assert!(
        copies_from(&state, count) < 1_000 + count,
        "copies from later are not concerned"
    );
    let (snapshot, records) = (encode(&state), vec![encode(&purged(count, 1_000 + count))]);
    let read = StoredState::read(&snapshot, &records).unwrap();
    assert_eq!(
        (read.purges.len(), copies_from(&read, count)),
        (state.purges.len() + 1, 1_000 + count)
    );
}

#[test]
fn a_purge_made_by_a_clock_that_is_ahead_has_no_other_forgotten() {
    let hour = 3_600_000;
    let mut state = StoredState::default();
    for purge in [purged(1, 1_000_000), purged(2, 1_000_000 + hour)] {
        state.apply(purge);
    }
    state.forget_settled(Time::at_ms(1_002_000.0), SETTLES);
    assert_eq!(
        state.purges.len(),
        2,
        "made 2 s ago by this machine's clock"
    );
    state.forget_settled(Time::at_ms(1_010_000.0), SETTLES);
    assert_eq!((state.purges.len(), copies_from(&state, 1)), (1, 0));
    // This machine's own clock may be ahead as well: then the latest purge counts.
    let mut state = StoredState::default();
    for purge in [purged(1, 1_000_000), purged(2, 1_002_000)] {
        state.apply(purge);
    }
    state.forget_settled(Time::at_ms(9e9), SETTLES);
    assert_eq!(state.purges.len(), 2);
}
