//! The history of requests that may have run: what is remembered, for how long, and what may displace it.

mod fake;

use fake::{host, terms};
use flaxdeck::run_history::{ClientUse, MAX_AGE, MIN_AGE, RunHistory};
use flaxdeck::{ClassId, ClientRequestId, PossibleRun, Span, Time};

/// The classes of [`terms`].
const IDEMPOTENT: ClassId = ClassId(0);
const AT_MOST_ONCE: ClassId = ClassId(1);
const DEDUPLICATED: ClassId = ClassId(2);

const CAPACITY: usize = 100;

fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0) + Span::from_ms(ms)
}

fn run_at(sent: Time) -> PossibleRun {
    PossibleRun {
        sent,
        host: host("o"),
    }
}

/// Whether a request of a new client is admitted.
fn has_room_for(history: &mut RunHistory, now: Time, class: ClassId) -> bool {
    history.admit(now, class, &mut ClientUse::default())
}

/// Records runs of new requests at `sent`, each of another client, until the history is full.
fn fill(history: &mut RunHistory, sent: Time) {
    let mut number = 1_000_000;
    while has_room_for(history, sent, AT_MOST_ONCE) {
        number += 1;
        history.record(AT_MOST_ONCE, ClientRequestId(number), run_at(sent));
    }
}

/// Records runs of new requests of one client at `sent` until it is refused; returns how many there were.
fn flood(history: &mut RunHistory, sent: Time, client: &mut ClientUse) -> usize {
    let before = history.len();
    while history.admit(sent, AT_MOST_ONCE, client) {
        let number = 2_000_000 + history.len() as u64;
        history.record(AT_MOST_ONCE, ClientRequestId(number), run_at(sent));
    }
    history.len() - before
}

// Guards against ids that are forgotten with the request: the next request with the same id ran a second time.
#[test]
fn a_run_is_remembered_unless_its_class_is_idempotent() {
    let mut history = RunHistory::new(&terms(), CAPACITY);
    let classes = [IDEMPOTENT, AT_MOST_ONCE, DEDUPLICATED];
    for (number, class) in classes.into_iter().enumerate() {
        history.record(class, ClientRequestId(number as u64), run_at(at(0)));
    }
    let run = |class, number| history.earlier_run(at(5000), class, ClientRequestId(number));
    for class in classes {
        assert_eq!(run(class, 0), None);
    }
    for class in [AT_MOST_ONCE, DEDUPLICATED] {
        assert_eq!(run(class, 1), Some(run_at(at(0))));
        assert_eq!(run(class, 2), Some(run_at(at(0))));
    }
    assert_eq!(run(IDEMPOTENT, 1), None, "it may run again");
}

#[test]
fn the_first_run_of_an_id_is_the_one_that_counts() {
    let mut history = RunHistory::new(&terms(), CAPACITY);
    history.record(DEDUPLICATED, ClientRequestId(1), run_at(at(0)));
    history.record(DEDUPLICATED, ClientRequestId(1), run_at(at(900)));
    let earlier = history.earlier_run(at(1000), DEDUPLICATED, ClientRequestId(1));
    assert_eq!(earlier, Some(run_at(at(0))));
    assert_eq!(history.len(), 1);
}

// Guards against a flood of new ids that pushes out one that has run.
#[test]
fn a_full_history_takes_no_new_request_rather_than_forget_a_recent_run() {
    let mut history = RunHistory::new(&terms(), CAPACITY);
    history.record(AT_MOST_ONCE, ClientRequestId(1), run_at(at(0)));
    fill(&mut history, at(10));
    let almost = at(0) + MIN_AGE - Span::from_ms(1);
    assert!(!has_room_for(&mut history, almost, AT_MOST_ONCE));
    assert!(!has_room_for(&mut history, almost, DEDUPLICATED));
    assert!(has_room_for(&mut history, almost, IDEMPOTENT));
    assert!(
        history
            .earlier_run(almost, AT_MOST_ONCE, ClientRequestId(1))
            .is_some()
    );
    assert_eq!(history.len(), CAPACITY);
}

#[test]
fn a_full_history_drops_the_oldest_runs_that_are_old_enough() {
    let mut history = RunHistory::new(&terms(), CAPACITY);
    history.record(AT_MOST_ONCE, ClientRequestId(1), run_at(at(0)));
    fill(&mut history, at(10));
    assert!(has_room_for(&mut history, at(0) + MIN_AGE, AT_MOST_ONCE));
    assert_eq!(history.len(), CAPACITY - 1);
    let now = at(0) + MIN_AGE;
    assert_eq!(
        history.earlier_run(now, AT_MOST_ONCE, ClientRequestId(1)),
        None
    );
}

// Guards against one client that sends at full speed until the requests of others are rejected.
#[test]
fn a_client_that_floods_leaves_half_of_the_history_to_others() {
    let mut history = RunHistory::new(&terms(), CAPACITY);
    let mut flooder = ClientUse::default();
    assert_eq!(flood(&mut history, at(0), &mut flooder), CAPACITY / 2);
    assert!(!history.admit(at(10), AT_MOST_ONCE, &mut flooder));
    assert!(!history.admit(at(10), DEDUPLICATED, &mut flooder));
    assert!(history.admit(at(10), IDEMPOTENT, &mut flooder));
    let mut other = ClientUse::default();
    let share = flood(&mut history, at(10), &mut other);
    assert!((1..CAPACITY / 8).contains(&share), "{share}");
    assert!(has_room_for(&mut history, at(10), AT_MOST_ONCE));
    let later = at(20) + MIN_AGE;
    assert!(
        history.admit(later, AT_MOST_ONCE, &mut flooder),
        "its share is new"
    );
}

// Guards against memory that grows for as long as the process runs.
#[test]
fn runs_are_forgotten_in_time() {
    let mut history = RunHistory::new(&terms(), CAPACITY);
    history.record(AT_MOST_ONCE, ClientRequestId(1), run_at(at(0)));
    let almost = at(0) + MAX_AGE - Span::from_ms(1);
    assert!(has_room_for(&mut history, almost, AT_MOST_ONCE));
    assert!(
        history
            .earlier_run(almost, AT_MOST_ONCE, ClientRequestId(1))
            .is_some()
    );
    assert!(has_room_for(&mut history, at(0) + MAX_AGE, AT_MOST_ONCE));
    assert!(history.is_empty());
}

#[test]
fn a_smaller_capacity_applies_to_the_next_request() {
    let mut history = RunHistory::new(&terms(), CAPACITY);
    fill(&mut history, at(0));
    history.resize(CAPACITY / 2);
    assert!(!has_room_for(&mut history, at(10), AT_MOST_ONCE));
    assert!(has_room_for(&mut history, at(0) + MIN_AGE, AT_MOST_ONCE));
    assert!(history.len() < CAPACITY / 2);
}
