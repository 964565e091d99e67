//! The estimate of the offset between the local clock and the coordinator's.

use flaxdeck::Time;
use flaxdeck_recovery::clocks::{ClockOffset, MAX_PURGE_DELAY, MAX_START_DELAY, OFFSET_SAMPLES};

fn at(ms: f64) -> Time {
    Time::at_ms(100_000_000.0 + ms)
}

#[test]
fn agreeing_clocks_need_no_offset() {
    let mut clocks = ClockOffset::default();
    assert!(!clocks.record_event(at(400.0), at(0.0), MAX_PURGE_DELAY));
    assert!(
        !clocks.record_event(at(400.0), at(800.0), MAX_PURGE_DELAY),
        "400 ms early: within the tolerance for a coordinator's clock that is ahead"
    );
    assert!(
        !clocks.record_event(at(5_000.0), at(0.0), MAX_START_DELAY),
        "5 s late: within the lag of a host registry"
    );
    assert_eq!(clocks.to_local(at(7.0)), at(7.0));
}

#[test]
fn an_offset_of_an_hour_is_detected_by_the_first_purge_and_kept() {
    for hour in [3_600_000.0, -3_600_000.0] {
        let mut clocks = ClockOffset::default();
        assert!(clocks.record_event(at(hour + 300.0), at(0.0), MAX_PURGE_DELAY));
        assert!(
            !clocks.record_event(at(hour + 10_040.0), at(10_000.0), MAX_PURGE_DELAY),
            "a shorter delay lowers the minimum by less than the tolerance"
        );
        assert!(
            !clocks.record_event(at(hour + 20_900.0), at(20_000.0), MAX_PURGE_DELAY),
            "a longer delay does not raise the minimum"
        );
        assert!(!clocks.record_event(at(hour + 35_000.0), at(30_000.0), MAX_START_DELAY));
        let started = clocks.to_local(at(30_000.0));
        let error = started.since(at(hour + 30_000.0)).ms();
        assert!(
            (0.0..=300.0).contains(&error),
            "the translated start is {error} ms late, expected 0 to 300 ms"
        );
        assert_eq!(clocks.to_coordinator(started), at(30_000.0));
    }
}

#[test]
fn a_delayed_event_is_corrected_by_the_next_in_time() {
    let mut clocks = ClockOffset::default();
    assert!(clocks.record_event(at(9_000.0), at(0.0), MAX_PURGE_DELAY));
    assert_eq!(clocks.ahead_ms(), 9_000.0);
    assert!(clocks.record_event(at(10_100.0), at(10_000.0), MAX_PURGE_DELAY));
    assert_eq!(clocks.ahead_ms(), 0.0);
}

#[test]
fn the_offset_follows_a_clock_that_is_set() {
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
fn extreme_times_saturate() {
    let mut clocks = ClockOffset::default();
    assert!(clocks.record_event(at(0.0), Time::NEVER, MAX_PURGE_DELAY));
    assert_eq!(
        clocks.to_local(at(0.0)),
        Time::default(),
        "saturates at the limits of Time"
    );
    for _ in 0..OFFSET_SAMPLES {
        clocks.record_event(Time::NEVER, at(0.0), MAX_PURGE_DELAY);
    }
    assert_eq!(clocks.to_local(Time::NEVER), Time::NEVER);
}
