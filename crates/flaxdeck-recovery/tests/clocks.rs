//! What told Unix times mean by a clock of one's own that may be wrong.

use flaxdeck::Time;
use flaxdeck_recovery::clocks::{ClockOffset, MAX_PURGE_DELAY, MAX_START_DELAY, OFFSET_SAMPLES};

fn at(ms: f64) -> Time {
    Time::at_ms(100_000_000.0 + ms)
}

#[test]
fn clocks_that_agree_change_nothing() {
    let mut clocks = ClockOffset::default();
    assert!(!clocks.record_event(at(400.0), at(0.0), MAX_PURGE_DELAY));
    assert!(
        !clocks.record_event(at(400.0), at(800.0), MAX_PURGE_DELAY),
        "a little early: the coordinator's may be ahead"
    );
    assert!(
        !clocks.record_event(at(5_000.0), at(0.0), MAX_START_DELAY),
        "the register may be late"
    );
    assert_eq!(clocks.to_local(at(7.0)), at(7.0));
}

#[test]
fn a_clock_an_hour_ahead_or_behind_is_known_by_the_first_purge_and_stays_known() {
    for hour in [3_600_000.0, -3_600_000.0] {
        let mut clocks = ClockOffset::default();
        assert!(clocks.record_event(at(hour + 300.0), at(0.0), MAX_PURGE_DELAY));
        assert!(
            !clocks.record_event(at(hour + 10_040.0), at(10_000.0), MAX_PURGE_DELAY),
            "about as long a way"
        );
        assert!(
            !clocks.record_event(at(hour + 20_900.0), at(20_000.0), MAX_PURGE_DELAY),
            "a longer way tells nothing"
        );
        assert!(!clocks.record_event(at(hour + 35_000.0), at(30_000.0), MAX_START_DELAY));
        let started = clocks.to_local(at(30_000.0));
        let error = started.since(at(hour + 30_000.0)).ms();
        assert!(
            (0.0..=300.0).contains(&error),
            "younger than it is, by a short way: {error}"
        );
        assert_eq!(clocks.to_coordinator(started), at(30_000.0));
    }
}

#[test]
fn one_event_that_was_held_up_is_forgotten_with_the_next_that_fits() {
    let mut clocks = ClockOffset::default();
    assert!(clocks.record_event(at(9_000.0), at(0.0), MAX_PURGE_DELAY));
    assert_eq!(clocks.ahead_ms(), 9_000.0);
    assert!(clocks.record_event(at(10_100.0), at(10_000.0), MAX_PURGE_DELAY));
    assert_eq!(clocks.ahead_ms(), 0.0);
}

#[test]
fn a_clock_that_is_set_again_is_followed() {
    let mut clocks = ClockOffset::default();
    let hour = 3_600_000.0;
    for n in 0..20 {
        clocks.record_event(at(f64::from(n)), at(f64::from(n) + hour), MAX_PURGE_DELAY);
    }
    assert_eq!(clocks.ahead_ms(), -hour);
    for _ in 0..OFFSET_SAMPLES {
        clocks.record_event(at(2.0 * hour), at(hour), MAX_PURGE_DELAY);
    }
    assert_eq!(clocks.ahead_ms(), hour);
}

#[test]
fn no_time_is_too_far_off() {
    let mut clocks = ClockOffset::default();
    assert!(clocks.record_event(at(0.0), Time::NEVER, MAX_PURGE_DELAY));
    assert_eq!(
        clocks.to_local(at(0.0)),
        Time::default(),
        "held at the ends of what a time can be"
    );
    for _ in 0..OFFSET_SAMPLES {
        clocks.record_event(Time::NEVER, at(0.0), MAX_PURGE_DELAY);
    }
    assert_eq!(clocks.to_local(Time::NEVER), Time::NEVER);
}
