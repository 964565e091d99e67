//! Whether the coordinator still speaks the numbering that is known, case by case.

use flaxdeck::Time;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{EventAction, MissedPeriod, Numbering, ReconnectReason};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

fn position(number: u64, hash: u64) -> EventPosition {
    EventPosition { number, hash }
}

/// Known up to 20 and proven.
fn known() -> Numbering {
    let mut numbering = Numbering::new(position(20, 7));
    assert_eq!(numbering.connection_opened(at(0)), 19);
    assert_eq!(
        numbering.receive(at(1), position(20, 7), false),
        EventAction::Skip
    );
    numbering
}

#[test]
fn the_last_event_again_proves_the_numbering_at_once() {
    let mut numbering = known();
    assert!(!numbering.is_current(at(1)) && numbering.is_current(at(40)));
    assert_eq!(
        numbering.receive(at(50), position(21, 8), false),
        EventAction::Apply
    );
    assert!(!numbering.is_current(at(51)), "more may be on its way");
    assert_eq!(
        numbering.receive(at(52), position(23, 8), false),
        EventAction::Reconnect(ReconnectReason::Gap)
    );
    assert_eq!(numbering.connection_opened(at(60)), 20);
}

#[test]
fn a_coordinator_that_numbers_from_one_again_is_noticed_before_it_has_come_as_far() {
    let mut numbering = known();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    let missed = MissedPeriod {
        since: Some(at(1)),
        closed_cleanly: true,
    };
    assert_eq!(
        numbering.receive(at(101), position(1, 9), true),
        EventAction::Replace(Some(missed))
    );
    assert_eq!(
        numbering.receive(at(102), position(2, 9), false),
        EventAction::Apply
    );
}

#[test]
fn one_that_has_come_further_than_before_is_noticed_by_the_other_event() {
    let mut numbering = known();
    numbering.connection_closed(true);
    numbering.connection_opened(at(100));
    assert_eq!(
        numbering.receive(at(101), position(20, 8), false),
        EventAction::Reconnect(ReconnectReason::OtherEvent)
    );
    assert_eq!(numbering.connection_opened(at(102)), 0, "the whole of it");
    let missed = MissedPeriod {
        since: Some(at(1)),
        closed_cleanly: false,
    };
    assert_eq!(
        numbering.receive(at(103), position(1, 8), true),
        EventAction::Replace(Some(missed))
    );
    assert_eq!(numbering.last(), position(1, 8));
}

#[test]
fn one_that_says_nothing_of_a_number_it_does_not_know_is_asked_for_all() {
    let mut numbering = known();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    assert_eq!(
        numbering.receive_heartbeat(at(1_100)),
        EventAction::Reconnect(ReconnectReason::Nothing)
    );
    assert_eq!(numbering.connection_opened(at(1_200)), 0);
}

#[test]
fn one_that_jumps_far_ahead_gives_its_list_or_is_asked_for_it() {
    let mut numbering = known();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    assert!(matches!(
        numbering.receive(at(101), position(900, 1), true),
        EventAction::Replace(Some(_))
    ));
    let mut numbering = known();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    assert_eq!(
        numbering.receive(at(101), position(900, 1), false),
        EventAction::Reconnect(ReconnectReason::Gap)
    );
    assert_eq!(numbering.connection_opened(at(102)), 0);
}

#[test]
fn what_a_planner_brings_counts_only_if_it_follows_in_this_numbering() {
    let mut numbering = known();
    assert!(
        !numbering.accept_relayed(at(2), position(20, 6), position(21, 1)),
        "another numbering's"
    );
    assert!(
        !numbering.accept_relayed(at(2), position(19, 1), position(20, 7)),
        "known"
    );
    assert!(numbering.accept_relayed(at(2), position(20, 7), position(21, 1)));
    assert_eq!(
        numbering.receive(at(9), position(21, 1), false),
        EventAction::Skip
    );
    assert_eq!(numbering.proof_due(), None, "the link has brought it too");
    assert_eq!(
        numbering.receive(at(9), position(22, 1), false),
        EventAction::Apply
    );
    // What it does not bring in its turn it may not know.
    assert!(numbering.accept_relayed(at(10), position(22, 1), position(23, 1)));
    assert_eq!(numbering.proof_due(), Some(at(510)));
    assert_eq!(
        numbering.proof_overdue(at(510)),
        EventAction::Reconnect(ReconnectReason::Nothing)
    );
    assert_eq!(numbering.connection_opened(at(520)), 22);
}

#[test]
fn what_planners_brought_of_a_history_before_a_restore_is_contradicted_by_the_coordinator() {
    // Put back to 20, which all share; a planner that has not noticed brings the old 21 and 22.
    let mut numbering = known();
    assert!(numbering.accept_relayed(at(10), position(20, 7), position(21, 1)));
    assert!(numbering.accept_relayed(at(10), position(21, 1), position(22, 2)));
    assert_eq!(
        numbering.receive(at(20), position(21, 1), false),
        EventAction::Skip
    );
    assert_eq!(
        numbering.receive(at(20), position(22, 9), false),
        EventAction::Reconnect(ReconnectReason::OtherEvent)
    );
    assert_eq!(numbering.connection_opened(at(30)), 0);
    assert!(matches!(
        numbering.receive(at(31), position(1, 5), true),
        EventAction::Replace(Some(_))
    ));
    (2..=20).for_each(|n| {
        assert_eq!(
            numbering.receive(at(31), position(n, 7), false),
            EventAction::Apply
        )
    });
    assert!(
        !numbering.accept_relayed(at(40), position(20, 7), position(21, 1)),
        "not from them again for a while"
    );
    assert_eq!(
        numbering.receive(at(41), position(21, 8), false),
        EventAction::Apply
    );
}

#[test]
fn what_peers_brought_or_was_stored_may_have_missed_events_when_the_numbering_is_another() {
    let mut numbering = Numbering::new(position(1, 3));
    assert!(numbering.accept_relayed(at(5), position(1, 3), position(2, 3)));
    numbering.connection_opened(at(9));
    assert!(matches!(
        numbering.receive(at(10), position(1, 4), true),
        EventAction::Replace(Some(_))
    ));
    let mut numbering = Numbering::new(position(1, 3));
    numbering.restore(at(5), position(9, 3));
    numbering.connection_opened(at(9));
    assert!(matches!(
        numbering.receive(at(10), position(1, 4), true),
        EventAction::Replace(Some(_))
    ));
}

#[test]
fn a_files_numbering_that_turns_out_another_has_missed_nothing() {
    let mut numbering = Numbering::new(position(1, 3));
    numbering.connection_opened(at(0));
    assert_eq!(
        numbering.receive(at(1), position(1, 4), true),
        EventAction::Replace(None)
    );
}

/// Events that others bring, one each 3 ms from number 21 on; gives when the last of them came.
fn brought(numbering: &mut Numbering, from: u64, events: u64) -> u64 {
    let hash = |number: u64| if number == 20 { 7 } else { number * 31 };
    for number in 20..20 + events {
        let ms = from + (number - 19) * 3;
        assert!(numbering.accept_relayed(
            at(ms),
            position(number, hash(number)),
            position(number + 1, hash(number + 1))
        ));
    }
    from + events * 3
}

#[test]
fn a_link_overtaken_by_a_second_of_events_at_their_highest_rate_still_proves_the_numbering() {
    let mut numbering = known();
    numbering.connection_closed(false);
    assert_eq!(numbering.connection_opened(at(100)), 19);
    let now = brought(&mut numbering, 100, 330);
    assert_eq!(
        numbering.receive(at(now), position(20, 7), false),
        EventAction::Skip,
        "what it was asked for"
    );
    assert!(numbering.is_proven());
    assert_eq!(
        numbering.receive(at(now), position(21, 21 * 31), false),
        EventAction::Skip
    );
    assert_eq!(
        numbering.receive(at(now), position(22, 1), false),
        EventAction::Reconnect(ReconnectReason::OtherEvent)
    );
}

#[test]
fn what_is_remembered_of_events_is_bounded_by_time_and_by_count() {
    let mut numbering = known();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    let now = brought(&mut numbering, 100, 2_000);
    let first = numbering.receive(at(now), position(20, 7), false);
    assert_eq!(
        first,
        EventAction::Reconnect(ReconnectReason::Gap),
        "longer ago than a link may take: all is asked for"
    );

    let mut numbering = known();
    let most = flaxdeck_recovery::numbering::MAX_RECENT_EVENTS as u64;
    for number in 20..20 + 2 * most {
        numbering.receive(at(1), position(number + 1, 5), false);
    }
    assert_eq!(
        numbering.receive(at(1), position(20 + 2 * most - 100, 6), false),
        EventAction::Reconnect(ReconnectReason::OtherEvent)
    );
}

#[test]
fn a_coordinator_that_hangs_is_not_taken_for_one_with_another_numbering() {
    let mut numbering = known();
    numbering.connection_closed(true);
    // It takes connections and says nothing, on one after the other.
    for ms in [2_300, 4_600] {
        assert_eq!(numbering.connection_opened(at(ms)), 19);
        assert_eq!(numbering.proof_due(), None);
        numbering.connection_closed(true);
    }
    assert_eq!(numbering.connection_opened(at(7_000)), 19);
    assert_eq!(
        numbering.receive(at(7_100), position(20, 7), false),
        EventAction::Skip
    );
    assert!(numbering.is_proven());
    assert_eq!(
        numbering.receive(at(7_100), position(21, 8), false),
        EventAction::Apply
    );
}

#[test]
fn one_that_hung_and_has_lost_its_numbering_says_so_by_its_empty_frame() {
    let mut numbering = known();
    numbering.connection_closed(true);
    numbering.connection_opened(at(2_300));
    assert_eq!(
        numbering.receive_heartbeat(at(3_000)),
        EventAction::Reconnect(ReconnectReason::Nothing)
    );
    assert_eq!(numbering.connection_opened(at(3_010)), 0);
    assert!(matches!(
        numbering.receive(at(3_020), position(1, 9), true),
        EventAction::Replace(Some(_))
    ));
}

#[test]
fn after_a_link_that_was_closed_a_silent_one_is_soon_taken_for_another_numbering() {
    let mut numbering = known();
    numbering.connection_closed(true);
    numbering.connection_opened(at(2_300));
    numbering.connection_closed(false);
    assert_eq!(numbering.connection_opened(at(2_400)), 19);
    assert_eq!(numbering.proof_due(), Some(at(2_900)));
    assert_eq!(
        numbering.proof_overdue(at(2_900)),
        EventAction::Reconnect(ReconnectReason::Nothing)
    );
    assert_eq!(numbering.connection_opened(at(2_910)), 0);
}
