//! Permits are waited for and released, and all bounds stay within the limits.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_net::budget::{Bounds, Budget, MAX_SMALL_MESSAGE, OWN_SOCKETS, REQUEST_OVERHEAD};

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

#[test]
fn a_waiter_for_more_than_is_free_acquires_it_once_it_is_released() {
    let budget = Budget::new(10);
    let (first, second) = (
        budget.try_acquire_many(4).unwrap(),
        budget.try_acquire_many(4).unwrap(),
    );
    assert!(budget.try_acquire_many(3).is_none());
    let mut waits = pin!(budget.acquire_many(6));
    let mut context = Context::from_waker(Waker::noop());
    assert!(waits.as_mut().poll(&mut context).is_pending());
    drop(first);
    let Poll::Ready(third) = waits.as_mut().poll(&mut context) else {
        panic!("six are free")
    };
    assert!(budget.try_acquire().is_none());
    drop((second, third));
    let mut all = pin!(budget.acquire_many(11));
    assert!(
        all.as_mut().poll(&mut context).is_ready(),
        "more than there are is all there are"
    );
}

#[test]
fn the_bounds_together_stay_within_the_limits() {
    for (memory_mb, sockets) in [(32.0, 256), (32.0, 1024), (48.0, 384), (192.0, 1024)] {
        let Bounds {
            clients,
            hosts,
            requests,
            request_bytes,
            response_bytes,
        } = Bounds::of(memory_mb, sockets);
        assert!(clients + hosts + OWN_SOCKETS <= sockets);
        let held = requests as f64 * REQUEST_OVERHEAD
            + (request_bytes + response_bytes + clients * MAX_SMALL_MESSAGE) as f64;
        assert!(
            held <= memory_mb * 0.65 * 1024.0 * 1024.0,
            "{memory_mb} MB, {sockets} descriptors"
        );
    }
}
