//! Tests of budgets and permits, and of the bounds derived from the limits of the configuration.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_net::budget::{
    Bounds, Budget, MAX_SMALL_MESSAGE, REQUEST_OVERHEAD, RESERVED_SOCKETS, RUN_HISTORY_ENTRY,
};

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

#[test]
fn a_waiter_for_more_units_than_are_free_acquires_them_once_they_are_released() {
    let budget = Budget::new(10);
    let (first, second) = (
        budget.try_acquire_many(4).unwrap(),
        budget.try_acquire_many(4).unwrap(),
    );
    assert!(budget.try_acquire_many(3).is_none());
    let mut waiter = pin!(budget.acquire_many(6));
    let mut context = Context::from_waker(Waker::noop());
    assert!(waiter.as_mut().poll(&mut context).is_pending());
    drop(first);
    let Poll::Ready(third) = waiter.as_mut().poll(&mut context) else {
        panic!("six units are free and the waiter did not acquire them")
    };
    assert!(budget.try_acquire().is_none());
    drop((second, third));
    let mut all = pin!(budget.acquire_many(11));
    assert!(
        all.as_mut().poll(&mut context).is_ready(),
        "a request for more than the capacity is granted the whole capacity"
    );
}

#[test]
fn the_sum_of_the_bounds_stays_within_the_limits() {
    for (memory_mb, sockets) in [(32.0, 256), (32.0, 1024), (48.0, 384), (192.0, 1024)] {
        let Bounds {
            clients,
            hosts,
            requests,
            request_bytes,
            response_bytes,
            remembered_runs,
        } = Bounds::of(memory_mb, sockets);
        assert!(clients + hosts + RESERVED_SOCKETS <= sockets);
        let held = requests as f64 * REQUEST_OVERHEAD
            + (request_bytes + response_bytes + clients * MAX_SMALL_MESSAGE) as f64;
        assert!(
            held <= memory_mb * 0.65 * 1024.0 * 1024.0,
            "{held} bytes exceed the share of {memory_mb} MiB, with {sockets} descriptors"
        );
        let history = remembered_runs as f64 * RUN_HISTORY_ENTRY;
        assert!(
            remembered_runs > 0 && history <= memory_mb * 0.1 * 1024.0 * 1024.0,
            "{history} bytes of history exceed the share of {memory_mb} MiB"
        );
    }
}
