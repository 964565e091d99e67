//! A planner's memory of seats: what an earlier run may have lent, and whose word is taken.

use flaxdeck::{Span, Time};
use flaxdeck_control::Pledges;
use flaxdeck_control::messages::{Epoch, SeatId};
use flaxdeck_control::seats::Seats;

fn at(ms: u64) -> Time {
    Time::at_ms(10_000.0 + ms as f64)
}

fn seats() -> (Seats, Span) {
    let pledges = Pledges::of(Span::from_ms(2_000), Span::from_ms(1_200), 10);
    let seats = Seats::new(at(0), pledges);
    let lasts = seats.lasts;
    assert!(lasts > pledges.forwarder_waits());
    (seats, lasts)
}

const SEAT: SeatId = SeatId(5);

#[test]
fn a_planner_that_has_just_started_can_not_tell() {
    let (mut seats, lasts) = seats();
    assert!(seats.met(at(10), SEAT, Epoch(1)));
    assert_eq!(seats.owes(at(10), SEAT), None);
    assert_eq!(seats.owes(at(0) + lasts, SEAT), Some(Span::ZERO));
    assert_eq!(
        seats.owes(at(0) + lasts, SeatId(6)),
        None,
        "nobody has reported from there"
    );
}

#[test]
fn what_an_earlier_run_lent_is_out_for_as_long_as_it_may_be() {
    let (mut seats, lasts) = seats();
    seats.met(at(9_000), SEAT, Epoch(1));
    seats.lent(at(9_000), SEAT);
    seats.met(at(10_000), SEAT, Epoch(2));
    assert_eq!(
        seats.owes(at(10_000), SEAT),
        Some(lasts.less(Span::from_ms(1_000)))
    );
    assert_eq!(seats.owes(at(9_000) + lasts, SEAT), Some(Span::ZERO));
}

#[test]
fn a_run_that_a_later_one_has_followed_is_not_heard_any_more() {
    let (mut seats, lasts) = seats();
    assert!(seats.met(at(0), SEAT, Epoch(9)));
    // Its clock was set back: the number tells nothing.
    assert!(seats.met(at(100), SEAT, Epoch(3)));
    assert!(!seats.met(at(200), SEAT, Epoch(9)));
    assert!(
        !seats.met(at(200), SeatId(0), Epoch(9)),
        "whatever seat it tells"
    );
    assert!(seats.met(at(300), SEAT, Epoch(3)));
    assert!(
        seats.met(at(100) + lasts, SEAT, Epoch(4)),
        "and it is remembered for as long as it could lend"
    );
}
