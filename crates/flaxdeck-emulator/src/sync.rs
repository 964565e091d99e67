//! Locks shared by the stand-ins' threads.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex of the stand-ins.
#[allow(
    clippy::expect_used,
    reason = "a stand-in that panicked has spoiled the run, which must not go on"
)]
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
