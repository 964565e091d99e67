//! Which items of the stored state are restored, and how changes and purges are stored.

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

fn endpoint(host: &str, started: u64) -> StoredEndpoint {
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

fn stored_state(ago: u64) -> StoredState {
    StoredState {
        written: Uptime {
            boot: 7,
            ms: 100_000 - ago,
        },
        last_event: EventPosition { number: 9, hash: 5 },
        endpoints: vec![endpoint("a", 0), endpoint("b", 500)],
        purges: vec![StoredPurge {
            object: Some(1),
            group: 0,
            made: 1,
        }],
        ratings: vec![rating("a", 0), rating("b", 400), rating("gone", 0)],
        lent_until: None,
    }
}

fn rated_hosts(restored: &RestoredState) -> Vec<&str> {
    restored
        .ratings
        .iter()
        .map(|rating| &*rating.host)
        .collect()
}

#[test]
fn ratings_apply_only_to_the_same_start_of_a_host() {
    let restored = validate(stored_state(2_000), NOW);
    assert_eq!(
        rated_hosts(&restored),
        ["a"],
        "b has restarted and the third host is no longer listed"
    );
    assert_eq!(restored.ratings[0].last_success_ago_ms, Some(3_000));
    assert_eq!(
        restored.last_event,
        Some(EventPosition { number: 9, hash: 5 })
    );
}

#[test]
fn ratings_beyond_their_lifetime_are_dropped() {
    let restored = validate(stored_state(30_000), NOW);
    assert_eq!(
        (
            restored.ratings[0].last_success_ago_ms,
            restored.ratings[0].measured_ago_ms
        ),
        (None, Some(31_000))
    );
    assert_eq!(validate(stored_state(90_000), NOW).ratings, []);
}

#[test]
fn after_a_reboot_or_without_a_boot_id_no_age_is_known() {
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
            ..stored_state(10)
        },
        now,
    );
    assert_eq!((restored.ratings.len(), restored.startup_wait), (0, None));
    assert_eq!(
        (restored.endpoints.len(), restored.purges.len()),
        (2, 1),
        "endpoints and purges are restored without a known age"
    );
    // The same holds where the boot id can't be read.
    let now = CurrentFacts {
        uptime: Uptime::default(),
        ..NOW
    };
    assert_eq!(
        validate(
            StoredState {
                written: Uptime::default(),
                ..stored_state(10)
            },
            now
        )
        .startup_wait,
        None
    );
}

#[test]
fn own_quotas_wait_for_outstanding_leases_but_no_longer_than_without_stored_state() {
    let waits = |ms| {
        validate(
            StoredState {
                lent_until: ms,
                ..stored_state(100)
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
fn a_configuration_with_a_later_event_overrides_stored_endpoints() {
    let now = CurrentFacts {
        configured_event: EventPosition {
            number: 10,
            hash: 2,
        },
        ..NOW
    };
    let restored = validate(stored_state(100), now);
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
fn encoded_state_round_trips_and_malformed_bytes_are_rejected() {
    let (state, change) = (
        stored_state(3),
        StateChange::LendingPermit(Uptime { boot: 7, ms: 9 }),
    );
    let read = StoredState::read(&encode(&state), &[encode(&change)]).unwrap();
    assert_eq!(
        read,
        StoredState {
            lent_until: Some(Uptime { boot: 7, ms: 9 }),
            ..state.clone()
        }
    );
    assert!(StoredState::read(&encode(&state), &[vec![9, 9, 9]]).is_err());
    assert!(StoredState::read(&[encode(&state), vec![0]].concat(), &[]).is_err());
}

#[test]
fn changes_are_applied_in_order() {
    let mut state = stored_state(0);
    let position = |number| EventPosition { number, hash: 1 };
    state.apply(StateChange::Endpoints(
        position(10),
        vec![
            StoredEndpoint {
                health: 1,
                ..endpoint("a", 0)
            },
            endpoint("c", 0),
        ],
    ));
    state.apply(StateChange::Purged(
        position(11),
        StoredPurge {
            object: None,
            group: 3,
            made: 2,
        },
    ));
    assert_eq!(
        (
            state.last_event,
            state.endpoints.len(),
            state.endpoints[0].health,
            state.purges.len()
        ),
        (position(11), 3, 1, 2)
    );
    state.apply(StateChange::FullList(position(1), vec![endpoint("d", 0)]));
    state.apply(StateChange::LendingPermit(Uptime { boot: 7, ms: 9 }));
    assert_eq!(
        (
            state.last_event,
            state.endpoints.len(),
            state.lent_until.map(|at| at.ms)
        ),
        (position(1), 1, Some(9))
    );
}

const SETTLE_TIME: Span = Span::from_ms(6_800);

fn purge_change(object: u64, made: u64) -> StateChange {
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

/// Returns the earliest time that a copy of the object may be from: that of the latest stored purge that applies to it,
/// or 0 if none does.
fn oldest_allowed_copy(state: &StoredState, object: u64) -> u64 {
    let applies = |purge: &&StoredPurge| {
        purge
            .object
            .map_or(purge.group == u64::MAX, |of| of == object)
    };
    state
        .purges
        .iter()
        .filter(applies)
        .map(|purge| purge.made)
        .max()
        .unwrap_or(0)
}

#[test]
fn purges_are_stored_until_settled_at_any_rate() {
    for per_s in [1, 330, 3_300] {
        let mut state = StoredState::default();
        let last = 30 * per_s;
        for number in 0..=last {
            state.apply(purge_change(number, 1_000 + number * 1_000 / per_s));
            if number % 500 == 0 {
                state.forget_settled(Time::at_ms(1e9), SETTLE_TIME);
            }
        }
        state.forget_settled(Time::at_ms(1e9), SETTLE_TIME);
        let latest = 1_000 + last * 1_000 / per_s;
        for number in 0..=last {
            let made = 1_000 + number * 1_000 / per_s;
            let unsettled = made + 6_800 >= latest;
            assert!(
                !unsettled || oldest_allowed_copy(&state, number) == made,
                "purge {number} of {last} has not settled and is missing"
            );
        }
        let within = per_s * 75 / 10 + 1;
        assert!(
            state.purges.len() as u64 <= within,
            "{} purges stored at {per_s} a second, expected at most {within}",
            state.purges.len()
        );
    }
}

#[test]
fn purges_beyond_the_limit_are_merged_without_losing_any() {
    let mut state = StoredState::default();
    let count = 3 * MAX_PURGES as u64 + 1_000;
    for number in 0..count {
        state.apply(purge_change(number, 1_000 + number));
        assert!(state.purges.len() <= MAX_PURGES);
    }
    let sample = (0..count).step_by(97);
    assert!(
        sample
            .clone()
            .all(|number| oldest_allowed_copy(&state, number) >= 1_000 + number),
        "no purge is lost by merging"
    );
    assert_eq!(
        oldest_allowed_copy(&state, count - 1),
        1_000 + count - 1,
        "the latest purges are not merged"
    );
    assert!(
        oldest_allowed_copy(&state, count) < 1_000 + count,
        "the merged purge does not apply to later copies"
    );
    let (snapshot, records) = (
        encode(&state),
        vec![encode(&purge_change(count, 1_000 + count))],
    );
    let read = StoredState::read(&snapshot, &records).unwrap();
    assert_eq!(
        (read.purges.len(), oldest_allowed_copy(&read, count)),
        (state.purges.len() + 1, 1_000 + count)
    );
}

#[test]
fn a_purge_timestamp_from_a_clock_ahead_does_not_expire_others() {
    let hour = 3_600_000;
    let mut state = StoredState::default();
    for purge in [
        purge_change(1, 1_000_000),
        purge_change(2, 1_000_000 + hour),
    ] {
        state.apply(purge);
    }
    state.forget_settled(Time::at_ms(1_002_000.0), SETTLE_TIME);
    assert_eq!(
        state.purges.len(),
        2,
        "the first purge is 2 s old by this machine's clock, within the settle time"
    );
    state.forget_settled(Time::at_ms(1_010_000.0), SETTLE_TIME);
    assert_eq!((state.purges.len(), oldest_allowed_copy(&state, 1)), (1, 0));
    // If this machine's clock is ahead, ages are measured from the latest purge.
    let mut state = StoredState::default();
    for purge in [purge_change(1, 1_000_000), purge_change(2, 1_002_000)] {
        state.apply(purge);
    }
    state.forget_settled(Time::at_ms(9e9), SETTLE_TIME);
    assert_eq!(state.purges.len(), 2);
}
