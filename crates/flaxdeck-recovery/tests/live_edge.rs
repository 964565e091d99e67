//! What happened before is told apart from what happens now by how fast it comes.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::LiveEdge;

fn at(ms: f64) -> Time {
    Time::at_ms(50_000.0 + ms)
}

/// Events that happened every 3 ms; a backlog of so many comes at once, `pace` times as fast. Gives when the stream was
/// found to be live, and how far behind the last event of it then was.
fn found_live(backlog: u64, pace: f64, apart: Span) -> Option<(f64, f64)> {
    let mut edge = LiveEdge::default();
    let every = 3.0;
    let begins = backlog as f64 * every;
    for n in 0..20_000u64 {
        let made = n as f64 * every;
        let arrives = made.max(begins + made / pace);
        if edge.record_event(at(arrives), at(made) + apart) {
            return Some((arrives - begins, arrives - made));
        }
    }
    None
}

#[test]
fn a_stream_without_a_pause_is_live_within_a_second() {
    let (after, behind) = found_live(0, 20.0, Span::ZERO).unwrap();
    assert!(after <= 310.0 && behind < 1.0, "{after} {behind}");
}

#[test]
fn a_backlog_is_not_taken_for_what_happens_now() {
    for (backlog, pace) in [(1_000, 20.0), (10_000, 20.0), (10_000, 3.0), (3_000, 1.8)] {
        let (after, behind) = found_live(backlog, pace, Span::ZERO).unwrap();
        let takes = backlog as f64 * 3.0 / (pace - 1.0);
        assert!(
            after >= takes * 0.9 && behind < 150.0,
            "{backlog} at {pace}: {after} {behind}, takes {takes}"
        );
    }
}

#[test]
fn a_coordinator_whose_clock_is_far_ahead_is_followed_as_well() {
    assert!(found_live(1_000, 20.0, Span::from_ms(3_600_000)).is_some());
}
