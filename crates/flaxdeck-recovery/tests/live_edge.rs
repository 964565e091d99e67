//! A backlog of events is distinguished from live events by its rate.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::LiveEdge;

fn at(ms: f64) -> Time {
    Time::at_ms(50_000.0 + ms)
}

/// Plays events that happen every 3 ms. The stream starts when `backlog` of them have happened, and delivers past
/// events `pace` times as fast as they happened. Returns when the stream was detected as live, in ms after it started,
/// and by how many ms the last event was late then.
fn detect_live(backlog: u64, pace: f64, clock_offset: Span) -> Option<(f64, f64)> {
    let mut edge = LiveEdge::default();
    let interval = 3.0;
    let starts_at = backlog as f64 * interval;
    for n in 0..20_000u64 {
        let happened = n as f64 * interval;
        let arrived = happened.max(starts_at + happened / pace);
        if edge.record_event(at(arrived), at(happened) + clock_offset) {
            return Some((arrived - starts_at, arrived - happened));
        }
    }
    None
}

#[test]
fn a_stream_without_a_pause_is_live_within_a_second() {
    let (after, behind) = detect_live(0, 20.0, Span::ZERO).unwrap();
    assert!(
        after <= 310.0 && behind < 1.0,
        "live after {after} ms, {behind} ms behind"
    );
}

#[test]
fn a_backlog_is_not_mistaken_for_live_events() {
    for (backlog, pace) in [(1_000, 20.0), (10_000, 20.0), (10_000, 3.0), (3_000, 1.8)] {
        let (after, behind) = detect_live(backlog, pace, Span::ZERO).unwrap();
        let catch_up_time = backlog as f64 * 3.0 / (pace - 1.0);
        assert!(
            after >= catch_up_time * 0.9 && behind < 150.0,
            "backlog of {backlog} at pace {pace}: live after {after} ms, {behind} ms behind; it takes {catch_up_time} ms"
        );
    }
}

#[test]
fn a_coordinator_clock_far_ahead_does_not_prevent_detection() {
    assert!(detect_live(1_000, 20.0, Span::from_ms(3_600_000)).is_some());
}
