//! What told Unix times mean by a clock of one's own that may be wrong.

use flaxdeck::Time;
use flaxdeck_recovery::clocks::{Clocks, PURGE_LATE, START_LATE, WINDOW};

fn at(ms: f64) -> Time {
    Time::at_ms(100_000_000.0 + ms)
}

#[test]
fn clocks_that_agree_change_nothing() {
    let mut clocks = Clocks::default();
    assert!(!clocks.heard(at(400.0), at(0.0), PURGE_LATE));
    assert!(
        !clocks.heard(at(400.0), at(800.0), PURGE_LATE),
        "a little early: the coordinator's may be ahead"
    );
    assert!(
        !clocks.heard(at(5_000.0), at(0.0), START_LATE),
        "the register may be late"
    );
    assert_eq!(clocks.own(at(7.0)), at(7.0));
}

#[test]
fn a_clock_an_hour_ahead_or_behind_is_known_by_the_first_purge_and_stays_known() {
    for hour in [3_600_000.0, -3_600_000.0] {
        let mut clocks = Clocks::default();
        assert!(clocks.heard(at(hour + 300.0), at(0.0), PURGE_LATE));
        assert!(
            !clocks.heard(at(hour + 10_040.0), at(10_000.0), PURGE_LATE),
            "about as long a way"
        );
        assert!(
            !clocks.heard(at(hour + 20_900.0), at(20_000.0), PURGE_LATE),
            "a longer way tells nothing"
        );
        assert!(!clocks.heard(at(hour + 35_000.0), at(30_000.0), START_LATE));
        let started = clocks.own(at(30_000.0));
        let error = started.since(at(hour + 30_000.0)).ms();
        assert!(
            (0.0..=300.0).contains(&error),
            "younger than it is, by a short way: {error}"
        );
        assert_eq!(clocks.told(started), at(30_000.0));
    }
}

#[test]
fn one_event_that_was_held_up_is_forgotten_with_the_next_that_fits() {
    let mut clocks = Clocks::default();
    assert!(clocks.heard(at(9_000.0), at(0.0), PURGE_LATE));
    assert_eq!(clocks.ahead_ms(), 9_000.0);
    assert!(clocks.heard(at(10_100.0), at(10_000.0), PURGE_LATE));
    assert_eq!(clocks.ahead_ms(), 0.0);
}

#[test]
fn a_clock_that_is_set_again_is_followed() {
    let mut clocks = Clocks::default();
    let hour = 3_600_000.0;
    (0..20).for_each(|n| _ = clocks.heard(at(f64::from(n)), at(f64::from(n) + hour), PURGE_LATE));
    assert_eq!(clocks.ahead_ms(), -hour);
    (0..WINDOW).for_each(|_| _ = clocks.heard(at(2.0 * hour), at(hour), PURGE_LATE));
    assert_eq!(clocks.ahead_ms(), hour);
}

#[test]
fn no_time_is_too_far_off() {
    let mut clocks = Clocks::default();
    assert!(clocks.heard(at(0.0), Time::NEVER, PURGE_LATE));
    assert_eq!(
        clocks.own(at(0.0)),
        Time::default(),
        "held at the ends of what a time can be"
    );
    (0..WINDOW).for_each(|_| _ = clocks.heard(Time::NEVER, at(0.0), PURGE_LATE));
    assert_eq!(clocks.own(Time::NEVER), Time::NEVER);
}
