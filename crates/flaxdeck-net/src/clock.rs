//! One clock: monotonic, tied to Unix time at its start, so that times from outside mean the same here.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flaxdeck::{Span, Time};
use tokio::time::Instant;

/// Hex digits of the system's boot id that make up [`SinceBoot::boot_id`]: 64 bits.
const BOOT_ID_DIGITS: usize = 16;

/// By how much this process's wall clock is taken to differ, in milliseconds.
static OFFSET_MS: AtomicI64 = AtomicI64::new(0);

/// Sets all clocks that start from now on apart from the system's by so many milliseconds: for tests of machines whose
/// clocks were set.
pub fn set_offset_ms(offset: i64) {
    OFFSET_MS.store(offset, Ordering::Relaxed);
}

/// A clock that goes on evenly, whatever happens to the system's wall clock after its start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_ms: f64,
}

impl Clock {
    /// A clock that shows the system's time now.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let offset = OFFSET_MS.load(Ordering::Relaxed) as f64;
        Clock {
            start: Instant::now(),
            start_unix_ms: unix.as_secs_f64() * 1000.0 + offset,
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time::at_ms(self.start_unix_ms + self.start.elapsed().as_secs_f64() * 1000.0)
    }

    /// When the runtime's timers reach that time; the clock's start for an earlier one.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + to_duration(time.since(Time::at_ms(self.start_unix_ms)))
    }
}

/// How long the machine has been up, which no setting of a clock changes. All zero where the system does not tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SinceBoot {
    /// Differs from boot to boot.
    pub boot_id: u64,
    /// Milliseconds since the machine booted.
    pub ms: u64,
}

/// How long the machine has been up.
pub fn since_boot() -> SinceBoot {
    let text = |path| std::fs::read_to_string(path).unwrap_or_default();
    let digits: String = text("/proc/sys/kernel/random/boot_id")
        .chars()
        .filter(char::is_ascii_hexdigit)
        .collect();
    let boot_id = digits
        .get(..BOOT_ID_DIGITS)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .unwrap_or(0);
    let seconds = text("/proc/uptime")
        .split_whitespace()
        .next()
        .and_then(|word| word.parse::<f64>().ok());
    seconds.map_or_else(SinceBoot::default, |seconds| SinceBoot {
        boot_id,
        ms: (seconds * 1000.0) as u64,
    })
}

/// The same length as the standard library's type.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_secs_f64(span.ms() / 1000.0)
}
