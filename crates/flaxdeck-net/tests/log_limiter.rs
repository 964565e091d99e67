//! The limit on the lines of one kind in the log.

use std::time::Duration;

use flaxdeck_net::log_limiter::{INTERVAL, LogLimiter, MAX_LINES};
use flaxdeck_net::metrics;
use tokio::time::Instant;

fn suppressed() -> u64 {
    let mut counters = metrics::reader()
        .snapshot()
        .filter(|(name, _)| *name == "log_lines_suppressed")
        .map(|(_, value)| value)
        .collect::<Vec<u64>>();
    counters.pop().unwrap_or(0)
}

fn admitted(limiter: &LogLimiter, lines: u32, at: Instant) -> usize {
    (0..lines).filter(|_| limiter.admits_at(at)).count()
}

// Guards against a log that grows as fast as the other side of a connection likes.
#[test]
fn lines_beyond_the_limit_of_an_interval_are_counted_and_not_logged() {
    let limiter = LogLimiter::default();
    let start = Instant::now();
    assert_eq!(admitted(&limiter, 1000, start), MAX_LINES as usize);
    let almost = start + INTERVAL - Duration::from_millis(1);
    assert_eq!(admitted(&limiter, 1000, almost), 0);
    assert_eq!(suppressed(), u64::from(2000 - MAX_LINES));
}

#[test]
fn lines_are_logged_again_in_the_next_interval() {
    let limiter = LogLimiter::default();
    let start = Instant::now();
    admitted(&limiter, 1000, start);
    assert_eq!(
        admitted(&limiter, 1000, start + INTERVAL),
        MAX_LINES as usize
    );
}

#[test]
fn few_lines_are_all_logged() {
    let limiter = LogLimiter::default();
    let start = Instant::now();
    for line in 0..100 {
        assert!(limiter.admits_at(start + line * Duration::from_secs(1)));
    }
}
