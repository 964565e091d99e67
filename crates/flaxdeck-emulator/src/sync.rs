//! Locking of the state that the stand-ins' threads share.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex of the stand-ins.
///
/// # Panics
///
/// If another thread panicked while it held the lock.
#[allow(
    clippy::expect_used,
    reason = "a run in which a stand-in has panicked must not go on"
)]
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
