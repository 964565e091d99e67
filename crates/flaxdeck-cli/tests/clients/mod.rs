//! Waits for the clients of a fleet, shared by the test files.

use std::thread::sleep;
use std::time::Duration;

use flaxdeck_emulator::fleet::Fleet;

/// How long clients may take after the last fault, in milliseconds.
const MAX_TIME_MS: f64 = 20_000.0;

/// Waits until the clients are done, which `is_done` tells.
pub(crate) fn wait_until_done(fleet: &Fleet, is_done: impl Fn() -> bool) {
    let limit = fleet.world.now() + MAX_TIME_MS;
    while !is_done() {
        assert!(
            fleet.world.now() < limit,
            "the clients did not finish within 20 s of the last fault"
        );
        sleep(Duration::from_millis(10));
    }
}
