//! A monotonic clock that starts from Unix time, so that its times can be compared with timestamps of other machines,
//! and the time since the machine booted.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flaxdeck::{Span, Time};
use tokio::time::Instant;

/// The number of leading hex digits of the system's boot id used for [`SinceBoot::boot_id`]: 64 bits.
const BOOT_ID_DIGITS: usize = 16;

/// Offset added to the system's wall clock when a [`Clock`] starts, in milliseconds.
static OFFSET_MS: AtomicI64 = AtomicI64::new(0);

/// Sets the offset in milliseconds between the system's wall clock and every [`Clock`] that starts after this call.
/// Tests use it to simulate machines with wrong wall clocks.
pub fn set_offset_ms(offset: i64) {
    OFFSET_MS.store(offset, Ordering::Relaxed);
}

/// A monotonic clock in Unix time; changes of the system's wall clock after its start do not affect it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_ms: f64,
}

impl Clock {
    /// Starts a clock at the system's current time plus the offset of [`set_offset_ms`].
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

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time::at_ms(self.start_unix_ms + self.start.elapsed().as_secs_f64() * 1000.0)
    }

    /// Converts a time to the runtime's instant; a time before the clock's start becomes that start.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + to_duration(time.since(Time::at_ms(self.start_unix_ms)))
    }
}

/// The time since the machine booted, which is unaffected by changes of the wall clock. All fields are zero where the
/// system does not provide it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SinceBoot {
    /// Identifies the boot; changes at every boot.
    pub boot_id: u64,
    /// Milliseconds since the machine booted.
    pub ms: u64,
}

/// Reads the boot id and the time since boot from `/proc`.
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

/// Converts a span to the standard library's duration.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_secs_f64(span.ms() / 1000.0)
}
