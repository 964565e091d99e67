//! One clock: monotonic, tied to Unix time at start, so that times told from outside mean the same here.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flaxdeck::{Span, Time};
use tokio::time::Instant;

/// By how much this process's wall clock is taken to differ, in milliseconds.
static APART: AtomicI64 = AtomicI64::new(0);

/// Has all clocks that start from now on run apart from the system's: for tests of clocks that were set.
pub fn run_apart(ms: i64) {
    APART.store(ms, Ordering::Relaxed);
}

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let apart = APART.load(Ordering::Relaxed) as f64;
        Clock {
            start: Instant::now(),
            start_ms: unix.as_secs_f64() * 1000.0 + apart,
        }
    }

    pub fn now(&self) -> Time {
        Time::at_ms(self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0)
    }

    pub fn instant(&self, time: Time) -> Instant {
        self.start + length(time.since(Time::at_ms(self.start_ms)))
    }
}

/// The machine's own count since it booted, in milliseconds, with a number of that boot: what no setting of a clock
/// moves. Zeros where the system does not tell.
pub fn since_boot() -> (u64, u64) {
    let text = |path| std::fs::read_to_string(path).unwrap_or_default();
    let digits: String = text("/proc/sys/kernel/random/boot_id")
        .chars()
        .filter(char::is_ascii_hexdigit)
        .collect();
    let boot = digits
        .get(..16)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .unwrap_or(0);
    let seconds = text("/proc/uptime")
        .split_whitespace()
        .next()
        .and_then(|word| word.parse::<f64>().ok());
    seconds.map_or((0, 0), |seconds| (boot, (seconds * 1000.0) as u64))
}

pub fn length(span: Span) -> Duration {
    Duration::from_secs_f64(span.ms() / 1000.0)
}
