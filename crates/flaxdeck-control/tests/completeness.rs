//! How long a forwarder relies on its endpoint list: by as of when it knows all events of the coordinator, whoever says
//! that it has caught up.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod common;

use common::{at, complete, options, planner, round_trip};
use flaxdeck::{CaughtUpAt, CompleteAsOf, CoordinatorKnowledge, Span, Time};
use flaxdeck_control::forwarder::{ForwarderSession, Freshness};
use flaxdeck_control::messages::Epoch;

const LIST_LIFETIME_MS: u64 = 8_000;

/// A forwarder that knew all events at its start.
fn forwarder() -> ForwarderSession {
    forwarder_with_epoch(10)
}

fn forwarder_with_epoch(epoch: u64) -> ForwarderSession {
    let mut forwarder = ForwarderSession::start(at(0), Epoch(epoch), options(), 1);
    forwarder.limit_list_lifetime(Span::from_ms(LIST_LIFETIME_MS));
    forwarder.note_complete(CompleteAsOf::by_configuration(at(0)));
    forwarder
}

/// What a planner knows that has seen a pause in a backlog, and whose last heartbeat was that long ago.
fn caught_up(complete_as_of: Option<Time>) -> CoordinatorKnowledge {
    CoordinatorKnowledge {
        is_caught_up: true,
        complete_as_of: complete_as_of.map(CompleteAsOf::by_heartbeat),
    }
}

// Guards against a planner that confirms the lists of its forwarders after a pause in a slow backlog.
#[test]
fn a_planner_that_has_only_caught_up_does_not_renew_an_expired_list() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut forwarder = forwarder();
    planner.coordinator_heard(at(0), None, complete(at(0)));
    for ms in [9_000, 9_500, 10_000] {
        planner.coordinator_heard(at(ms), None, caught_up(Some(at(0))));
        round_trip(at(ms), &mut forwarder, &mut planner, &[]);
        forwarder.note_caught_up(CaughtUpAt::new(at(ms)));
        assert_eq!(forwarder.freshness(at(ms)), Freshness::Unconfirmed);
        assert!(!forwarder.hints(at(ms)).list_trusted);
    }
    planner.coordinator_heard(at(10_500), None, complete(at(10_450)));
    round_trip(at(10_600), &mut forwarder, &mut planner, &[]);
    assert_eq!(forwarder.freshness(at(10_600)), Freshness::Guided);
}

// Guards against a planner that restarts in an outage and confirms the lists of its forwarders before it was told all.
#[test]
fn a_planner_without_a_heartbeat_since_its_start_renews_no_list() {
    let mut planner = planner(at(9_000), 1, 0.0);
    let mut forwarder = forwarder();
    planner.coordinator_heard(at(9_000), None, caught_up(None));
    round_trip(at(9_010), &mut forwarder, &mut planner, &[]);
    assert!(forwarder.has_contact(), "the planner has caught up");
    assert_eq!(forwarder.freshness(at(9_010)), Freshness::Unconfirmed);
}

#[test]
fn a_planner_without_a_heartbeat_confirms_contact_only_while_it_hears_the_coordinator() {
    let mut planner = planner(at(0), 1, 0.0);
    planner.coordinator_heard(at(0), None, caught_up(None));
    let mut first = forwarder();
    round_trip(at(2_100), &mut first, &mut planner, &[]);
    assert_eq!(first.freshness(at(2_100)), Freshness::Guided);
    let mut second = forwarder_with_epoch(11);
    round_trip(at(2_300), &mut second, &mut planner, &[]);
    assert_eq!(second.freshness(at(2_300)), Freshness::Unconfirmed);
}

// Guards against a list that outlasts its time by the age of the planner's heartbeat.
#[test]
fn the_age_of_a_planners_heartbeat_counts_in_full() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut forwarder = forwarder();
    planner.coordinator_heard(at(1_000), None, complete(at(1_000)));
    round_trip(at(3_000), &mut forwarder, &mut planner, &[]);
    let expires_ms = 1_000 + LIST_LIFETIME_MS;
    forwarder.note_caught_up(CaughtUpAt::new(at(expires_ms)));
    assert_ne!(
        forwarder.freshness(at(expires_ms - 1)),
        Freshness::Unconfirmed
    );
    assert_eq!(
        forwarder.next_change(at(expires_ms - 1)),
        Some(at(expires_ms))
    );
    assert_eq!(forwarder.freshness(at(expires_ms)), Freshness::Unconfirmed);
}

#[test]
fn a_list_of_unknown_age_is_not_relied_on() {
    let mut forwarder = forwarder();
    forwarder.forget_completeness();
    forwarder.note_caught_up(CaughtUpAt::new(at(10)));
    assert_eq!(forwarder.freshness(at(10)), Freshness::Unconfirmed);
    forwarder.note_complete(CompleteAsOf::by_heartbeat(at(900)));
    assert_eq!(forwarder.freshness(at(910)), Freshness::Standalone);
}
