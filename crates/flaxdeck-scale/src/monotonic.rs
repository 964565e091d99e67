//! The machine's monotonic clock, which all processes of a run share.

use rustix::time::{ClockId, clock_gettime};

/// Returns the time of the monotonic clock in microseconds; only differences between two times are meaningful.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
