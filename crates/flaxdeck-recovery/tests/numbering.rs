//! Whether the coordinator still speaks the numbering that is known, case by case.

use flaxdeck::Time;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{MissedPeriod, Next, Numbering, Why};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

fn mark(number: u64, hash: u64) -> EventPosition {
    EventPosition { number, hash }
}

/// Known up to 20 and proven.
fn known() -> Numbering {
    let mut numbering = Numbering::new(mark(20, 7));
    assert_eq!(numbering.ask(at(0)), 19);
    assert_eq!(numbering.heard(at(1), mark(20, 7), false), Next::Skip);
    numbering
}

#[test]
fn the_last_event_again_proves_the_numbering_at_once() {
    let mut numbering = known();
    assert!(!numbering.current(at(1)) && numbering.current(at(40)));
    assert_eq!(numbering.heard(at(50), mark(21, 8), false), Next::Apply);
    assert!(!numbering.current(at(51)), "more may be on its way");
    assert_eq!(
        numbering.heard(at(52), mark(23, 8), false),
        Next::AskAgain(Why::Gap)
    );
    assert_eq!(numbering.ask(at(60)), 20);
}

#[test]
fn a_coordinator_that_numbers_from_one_again_is_noticed_before_it_has_come_as_far() {
    let mut numbering = known();
    numbering.ended(false);
    numbering.ask(at(100));
    let doubt = MissedPeriod {
        since: Some(at(1)),
        heard_to_the_end: true,
    };
    assert_eq!(
        numbering.heard(at(101), mark(1, 9), true),
        Next::Adopt(Some(doubt))
    );
    assert_eq!(numbering.heard(at(102), mark(2, 9), false), Next::Apply);
}

#[test]
fn one_that_has_come_further_than_before_is_noticed_by_the_other_event() {
    let mut numbering = known();
    numbering.ended(true);
    numbering.ask(at(100));
    assert_eq!(
        numbering.heard(at(101), mark(20, 8), false),
        Next::AskAgain(Why::OtherEvent)
    );
    assert_eq!(numbering.ask(at(102)), 0, "the whole of it");
    let doubt = MissedPeriod {
        since: Some(at(1)),
        heard_to_the_end: false,
    };
    assert_eq!(
        numbering.heard(at(103), mark(1, 8), true),
        Next::Adopt(Some(doubt))
    );
    assert_eq!(numbering.last(), mark(1, 8));
}

#[test]
fn one_that_says_nothing_of_a_number_it_does_not_know_is_asked_for_all() {
    let mut numbering = known();
    numbering.ended(false);
    numbering.ask(at(100));
    assert_eq!(numbering.alive(at(1_100)), Next::AskAgain(Why::Nothing));
    assert_eq!(numbering.ask(at(1_200)), 0);
}

#[test]
fn one_that_jumps_far_ahead_gives_its_list_or_is_asked_for_it() {
    let mut numbering = known();
    numbering.ended(false);
    numbering.ask(at(100));
    assert!(matches!(
        numbering.heard(at(101), mark(900, 1), true),
        Next::Adopt(Some(_))
    ));
    let mut numbering = known();
    numbering.ended(false);
    numbering.ask(at(100));
    assert_eq!(
        numbering.heard(at(101), mark(900, 1), false),
        Next::AskAgain(Why::Gap)
    );
    assert_eq!(numbering.ask(at(102)), 0);
}

#[test]
fn what_a_planner_brings_counts_only_if_it_follows_in_this_numbering() {
    let mut numbering = known();
    assert!(
        !numbering.relayed(at(2), mark(20, 6), mark(21, 1)),
        "another numbering's"
    );
    assert!(!numbering.relayed(at(2), mark(19, 1), mark(20, 7)), "known");
    assert!(numbering.relayed(at(2), mark(20, 7), mark(21, 1)));
    assert_eq!(numbering.heard(at(9), mark(21, 1), false), Next::Skip);
    assert_eq!(numbering.proves_by(), None, "the link has brought it too");
    assert_eq!(numbering.heard(at(9), mark(22, 1), false), Next::Apply);
    // What it does not bring in its turn it may not know.
    assert!(numbering.relayed(at(10), mark(22, 1), mark(23, 1)));
    assert_eq!(numbering.proves_by(), Some(at(510)));
    assert_eq!(numbering.overdue(at(510)), Next::AskAgain(Why::Nothing));
    assert_eq!(numbering.ask(at(520)), 22);
}

#[test]
fn what_planners_brought_of_a_history_that_was_put_back_is_contradicted_by_the_coordinator() {
    // Put back to 20, which all share; a planner that has not noticed brings the old 21 and 22.
    let mut numbering = known();
    assert!(numbering.relayed(at(10), mark(20, 7), mark(21, 1)));
    assert!(numbering.relayed(at(10), mark(21, 1), mark(22, 2)));
    assert_eq!(numbering.heard(at(20), mark(21, 1), false), Next::Skip);
    assert_eq!(
        numbering.heard(at(20), mark(22, 9), false),
        Next::AskAgain(Why::OtherEvent)
    );
    assert_eq!(numbering.ask(at(30)), 0);
    assert!(matches!(
        numbering.heard(at(31), mark(1, 5), true),
        Next::Adopt(Some(_))
    ));
    (2..=20).for_each(|n| assert_eq!(numbering.heard(at(31), mark(n, 7), false), Next::Apply));
    assert!(
        !numbering.relayed(at(40), mark(20, 7), mark(21, 1)),
        "not from them again for a while"
    );
    assert_eq!(numbering.heard(at(41), mark(21, 8), false), Next::Apply);
}

#[test]
fn what_was_heard_of_others_or_kept_is_in_doubt_as_well_when_the_numbering_is_another() {
    let mut numbering = Numbering::new(mark(1, 3));
    assert!(numbering.relayed(at(5), mark(1, 3), mark(2, 3)));
    numbering.ask(at(9));
    assert!(matches!(
        numbering.heard(at(10), mark(1, 4), true),
        Next::Adopt(Some(_))
    ));
    let mut numbering = Numbering::new(mark(1, 3));
    numbering.begin_at(at(5), mark(9, 3));
    numbering.ask(at(9));
    assert!(matches!(
        numbering.heard(at(10), mark(1, 4), true),
        Next::Adopt(Some(_))
    ));
}

#[test]
fn a_files_numbering_that_turns_out_another_is_no_doubt_of_ours() {
    let mut numbering = Numbering::new(mark(1, 3));
    numbering.ask(at(0));
    assert_eq!(numbering.heard(at(1), mark(1, 4), true), Next::Adopt(None));
}

/// Events that others bring, one each 3 ms from number 21 on; gives when the last of them came.
fn brought(numbering: &mut Numbering, from: u64, events: u64) -> u64 {
    let hash = |number: u64| if number == 20 { 7 } else { number * 31 };
    for number in 20..20 + events {
        let ms = from + (number - 19) * 3;
        assert!(numbering.relayed(
            at(ms),
            mark(number, hash(number)),
            mark(number + 1, hash(number + 1))
        ));
    }
    from + events * 3
}

#[test]
fn a_link_overtaken_by_a_second_of_events_at_their_highest_rate_still_proves_the_numbering() {
    let mut numbering = known();
    numbering.ended(false);
    assert_eq!(numbering.ask(at(100)), 19);
    let now = brought(&mut numbering, 100, 330);
    assert_eq!(
        numbering.heard(at(now), mark(20, 7), false),
        Next::Skip,
        "what it was asked for"
    );
    assert!(numbering.is_proven());
    assert_eq!(
        numbering.heard(at(now), mark(21, 21 * 31), false),
        Next::Skip
    );
    assert_eq!(
        numbering.heard(at(now), mark(22, 1), false),
        Next::AskAgain(Why::OtherEvent)
    );
}

#[test]
fn what_is_remembered_of_events_is_bounded_by_time_and_by_count() {
    let mut numbering = known();
    numbering.ended(false);
    numbering.ask(at(100));
    let now = brought(&mut numbering, 100, 2_000);
    let first = numbering.heard(at(now), mark(20, 7), false);
    assert_eq!(
        first,
        Next::AskAgain(Why::Gap),
        "longer ago than a link may take: all is asked for"
    );

    let mut numbering = known();
    let most = flaxdeck_recovery::numbering::MAX_REMEMBERED as u64;
    for number in 20..20 + 2 * most {
        numbering.heard(at(1), mark(number + 1, 5), false);
    }
    assert_eq!(
        numbering.heard(at(1), mark(20 + 2 * most - 100, 6), false),
        Next::AskAgain(Why::OtherEvent)
    );
}

#[test]
fn a_coordinator_that_hangs_is_not_taken_for_one_with_another_numbering() {
    let mut numbering = known();
    numbering.ended(true);
    // It takes connections and says nothing, on one after the other.
    for ms in [2_300, 4_600] {
        assert_eq!(numbering.ask(at(ms)), 19);
        assert_eq!(numbering.proves_by(), None);
        numbering.ended(true);
    }
    assert_eq!(numbering.ask(at(7_000)), 19);
    assert_eq!(numbering.heard(at(7_100), mark(20, 7), false), Next::Skip);
    assert!(numbering.is_proven());
    assert_eq!(numbering.heard(at(7_100), mark(21, 8), false), Next::Apply);
}

#[test]
fn one_that_hung_and_has_lost_its_numbering_says_so_by_its_empty_frame() {
    let mut numbering = known();
    numbering.ended(true);
    numbering.ask(at(2_300));
    assert_eq!(numbering.alive(at(3_000)), Next::AskAgain(Why::Nothing));
    assert_eq!(numbering.ask(at(3_010)), 0);
    assert!(matches!(
        numbering.heard(at(3_020), mark(1, 9), true),
        Next::Adopt(Some(_))
    ));
}

#[test]
fn after_a_link_that_was_closed_a_silent_one_is_soon_taken_for_another_numbering() {
    let mut numbering = known();
    numbering.ended(true);
    numbering.ask(at(2_300));
    numbering.ended(false);
    assert_eq!(numbering.ask(at(2_400)), 19);
    assert_eq!(numbering.proves_by(), Some(at(2_900)));
    assert_eq!(numbering.overdue(at(2_900)), Next::AskAgain(Why::Nothing));
    assert_eq!(numbering.ask(at(2_910)), 0);
}
