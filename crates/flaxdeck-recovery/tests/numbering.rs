//! Whether the coordinator still uses the known numbering, case by case.

use flaxdeck::{CompleteAsOf, Time};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{
    EventAction, Heartbeat, MissedPeriod, Numbering, ReconnectReason,
};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

fn position(number: u64, hash: u64) -> EventPosition {
    EventPosition { number, hash }
}

fn heartbeat(number: u64, sent: u64) -> Heartbeat {
    Heartbeat {
        number,
        sent: at(sent),
    }
}

/// A numbering whose last known event is 20, proven by a connection at 1 ms.
fn proven_at_20() -> Numbering {
    let mut numbering = Numbering::new(position(20, 7));
    assert_eq!(numbering.connection_opened(at(0)), 19);
    assert_eq!(
        numbering.receive(at(1), position(20, 7), false),
        EventAction::Skip
    );
    numbering
}

#[test]
fn receiving_the_last_event_again_proves_the_numbering_at_once() {
    let mut numbering = proven_at_20();
    assert!(!numbering.is_caught_up(at(1)) && numbering.is_caught_up(at(40)));
    assert_eq!(
        numbering.receive(at(50), position(21, 8), false),
        EventAction::Apply
    );
    assert!(
        !numbering.is_caught_up(at(51)),
        "more events may be in flight"
    );
    assert_eq!(
        numbering.receive(at(52), position(23, 8), false),
        EventAction::Reconnect(ReconnectReason::Gap)
    );
    assert_eq!(numbering.connection_opened(at(60)), 20);
}

#[test]
fn a_restart_of_the_numbering_at_one_is_detected_at_once() {
    let mut numbering = proven_at_20();
    numbering.receive_heartbeat(at(50), heartbeat(20, 49));
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    let missed = MissedPeriod {
        since: Some(at(50)),
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

// Guards against purges of a backlog that are missed because an orderly end of the connection counts as its end.
#[test]
fn events_may_be_missed_if_the_connection_closes_before_a_heartbeat() {
    let mut numbering = proven_at_20();
    assert_eq!(
        numbering.receive(at(60), position(21, 8), false),
        EventAction::Apply
    );
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    let missed = MissedPeriod {
        since: Some(at(60)),
        closed_cleanly: false,
    };
    assert_eq!(
        numbering.receive(at(101), position(1, 9), true),
        EventAction::Replace(Some(missed))
    );
}

#[test]
fn only_a_heartbeat_that_names_no_later_event_shows_that_all_events_are_known() {
    let mut numbering = proven_at_20();
    assert_eq!(numbering.complete_as_of(), None);
    numbering.receive(at(60), position(21, 8), false);
    assert!(numbering.is_caught_up(at(100)) && !numbering.is_live());
    numbering.receive_heartbeat(at(200), heartbeat(22, 199));
    assert_eq!(numbering.complete_as_of(), None);
    numbering.receive(at(210), position(22, 8), false);
    numbering.receive_heartbeat(at(300), heartbeat(22, 299));
    let complete = Some(CompleteAsOf::by_heartbeat(at(299)));
    assert_eq!(numbering.complete_as_of(), complete);
    assert!(numbering.is_live());
    numbering.connection_closed(false);
    numbering.connection_opened(at(8_000));
    numbering.receive(at(8_001), position(22, 8), false);
    assert!(numbering.is_caught_up(at(8_100)) && !numbering.is_live());
    assert_eq!(numbering.complete_as_of(), complete);
}

#[test]
fn a_restarted_coordinator_past_the_last_number_is_detected_by_the_hash() {
    let mut numbering = proven_at_20();
    numbering.connection_closed(true);
    numbering.connection_opened(at(100));
    assert_eq!(
        numbering.receive(at(101), position(20, 8), false),
        EventAction::Reconnect(ReconnectReason::OtherEvent)
    );
    assert_eq!(
        numbering.connection_opened(at(102)),
        0,
        "requests all events"
    );
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
fn a_heartbeat_instead_of_the_last_event_leads_to_a_full_request() {
    let mut numbering = proven_at_20();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    assert_eq!(
        numbering.receive_heartbeat(at(1_100), heartbeat(20, 1_100)),
        EventAction::Reconnect(ReconnectReason::Nothing)
    );
    assert_eq!(numbering.connection_opened(at(1_200)), 0);
}

#[test]
fn a_jump_in_the_numbers_needs_a_full_list() {
    let mut numbering = proven_at_20();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    assert!(matches!(
        numbering.receive(at(101), position(900, 1), true),
        EventAction::Replace(Some(_))
    ));
    let mut numbering = proven_at_20();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    assert_eq!(
        numbering.receive(at(101), position(900, 1), false),
        EventAction::Reconnect(ReconnectReason::Gap)
    );
    assert_eq!(numbering.connection_opened(at(102)), 0);
}

#[test]
fn a_relayed_event_is_accepted_only_if_it_follows_in_this_numbering() {
    let mut numbering = proven_at_20();
    assert!(
        !numbering.accept_relayed(at(2), position(20, 6), position(21, 1)),
        "follows an event of another numbering"
    );
    assert!(
        !numbering.accept_relayed(at(2), position(19, 1), position(20, 7)),
        "event 20 is already known"
    );
    assert!(numbering.accept_relayed(at(2), position(20, 7), position(21, 1)));
    assert_eq!(
        numbering.receive(at(9), position(21, 1), false),
        EventAction::Skip
    );
    assert_eq!(
        numbering.proof_due(),
        None,
        "the connection has delivered the relayed event too"
    );
    assert_eq!(
        numbering.receive(at(9), position(22, 1), false),
        EventAction::Apply
    );
    // If the coordinator does not send a relayed event in time, it may lack it.
    assert!(numbering.accept_relayed(at(10), position(22, 1), position(23, 1)));
    assert_eq!(numbering.proof_due(), Some(at(510)));
    assert_eq!(
        numbering.proof_overdue(),
        EventAction::Reconnect(ReconnectReason::Nothing)
    );
    assert_eq!(numbering.connection_opened(at(520)), 22);
}

#[test]
fn relayed_events_from_before_a_restore_are_contradicted_by_the_coordinator() {
    // The coordinator was restored to event 20, which all share. A planner that has not noticed relays the old 21 and
    // 22.
    let mut numbering = proven_at_20();
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
        "relayed events are distrusted for some time"
    );
    assert_eq!(
        numbering.receive(at(41), position(21, 8), false),
        EventAction::Apply
    );
}

#[test]
fn relayed_or_stored_state_may_miss_events_under_a_new_numbering() {
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
fn configured_state_misses_no_events_under_a_new_numbering() {
    let mut numbering = Numbering::new(position(1, 3));
    numbering.connection_opened(at(0));
    assert_eq!(
        numbering.receive(at(1), position(1, 4), true),
        EventAction::Replace(None)
    );
}

/// Relays events to the numbering, one every 3 ms from number 21 on. Returns when the last of them arrived.
fn relay_events(numbering: &mut Numbering, from: u64, events: u64) -> u64 {
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
fn a_connection_overtaken_by_a_second_of_peak_rate_events_still_proves_the_numbering() {
    let mut numbering = proven_at_20();
    numbering.connection_closed(false);
    assert_eq!(numbering.connection_opened(at(100)), 19);
    let now = relay_events(&mut numbering, 100, 330);
    assert_eq!(
        numbering.receive(at(now), position(20, 7), false),
        EventAction::Skip,
        "the requested event proves the numbering"
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
fn recent_events_are_bounded_by_age_and_count() {
    let mut numbering = proven_at_20();
    numbering.connection_closed(false);
    numbering.connection_opened(at(100));
    let now = relay_events(&mut numbering, 100, 2_000);
    let first = numbering.receive(at(now), position(20, 7), false);
    assert_eq!(
        first,
        EventAction::Reconnect(ReconnectReason::Gap),
        "the requested event is older than the retention, so all events are requested"
    );

    let mut numbering = proven_at_20();
    let limit = flaxdeck_recovery::numbering::MAX_RECENT_EVENTS as u64;
    for number in 20..20 + 2 * limit {
        numbering.receive(at(1), position(number + 1, 5), false);
    }
    assert_eq!(
        numbering.receive(at(1), position(20 + 2 * limit - 100, 6), false),
        EventAction::Reconnect(ReconnectReason::OtherEvent)
    );
}

#[test]
fn a_hung_coordinator_is_not_mistaken_for_a_new_numbering() {
    let mut numbering = proven_at_20();
    numbering.connection_closed(true);
    // A hung coordinator accepts each connection and sends nothing on it.
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
fn a_coordinator_that_hung_and_lost_its_numbering_is_detected_by_its_heartbeat() {
    let mut numbering = proven_at_20();
    numbering.connection_closed(true);
    numbering.connection_opened(at(2_300));
    assert_eq!(
        numbering.receive_heartbeat(at(3_000), heartbeat(20, 3_000)),
        EventAction::Reconnect(ReconnectReason::Nothing)
    );
    assert_eq!(numbering.connection_opened(at(3_010)), 0);
    assert!(matches!(
        numbering.receive(at(3_020), position(1, 9), true),
        EventAction::Replace(Some(_))
    ));
}

#[test]
fn after_a_clean_close_a_silent_connection_soon_counts_as_a_new_numbering() {
    let mut numbering = proven_at_20();
    numbering.connection_closed(true);
    numbering.connection_opened(at(2_300));
    numbering.connection_closed(false);
    assert_eq!(numbering.connection_opened(at(2_400)), 19);
    assert_eq!(numbering.proof_due(), Some(at(2_900)));
    assert_eq!(
        numbering.proof_overdue(),
        EventAction::Reconnect(ReconnectReason::Nothing)
    );
    assert_eq!(numbering.connection_opened(at(2_910)), 0);
}
