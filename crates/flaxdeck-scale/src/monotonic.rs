//! The machine's monotonic clock, which all processes of a run share.

use rustix::time::{ClockId, clock_gettime};

/// Microseconds of the monotonic clock; only differences mean anything.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
