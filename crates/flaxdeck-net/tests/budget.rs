//! Places of a room are waited for and given back, and all bounds stay within the limits.

use flaxdeck_net::budget::{Bounds, Budget, OWN_SOCKETS, PULL, SMALL};

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

#[test]
fn who_waits_for_more_than_is_free_gets_it_once_it_is_given_back() {
    let room = Budget::new(10);
    let (first, second) = (room.take_some(4).unwrap(), room.take_some(4).unwrap());
    assert!(room.take_some(3).is_none());
    let mut waits = pin!(room.wait_for(6));
    let mut context = Context::from_waker(Waker::noop());
    assert!(waits.as_mut().poll(&mut context).is_pending());
    drop(first);
    let Poll::Ready(third) = waits.as_mut().poll(&mut context) else {
        panic!("six are free")
    };
    assert!(room.take().is_none());
    drop((second, third));
    let mut all = pin!(room.wait_for(11));
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
            asked,
            answered,
        } = Bounds::of(memory_mb, sockets);
        assert!(clients + hosts + OWN_SOCKETS <= sockets);
        let held = requests as f64 * PULL + (asked + answered + clients * SMALL) as f64;
        assert!(
            held <= memory_mb * 0.65 * 1024.0 * 1024.0,
            "{memory_mb} MB, {sockets} descriptors"
        );
    }
}
