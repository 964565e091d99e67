//! When events have to be received from the coordinator itself, and the time for which the state is confirmed.

use flaxdeck::{CompleteAsOf, Span};
use flaxdeck_distribution::messages::Delivery;
use flaxdeck_distribution::{Cadence, Subscriber};

use super::support::{
    FIRST, SECOND, SETTLE_TIME, at, batch_delivery, behind_delivery, connected_subscriber,
    position, purge_batch,
};

#[test]
fn the_coordinator_is_needed_while_no_planner_delivers_and_until_delivery_is_stable() {
    let mut subscriber = Subscriber::start(at(0), 1, 0, Cadence::default(), SETTLE_TIME);
    assert!(!subscriber.needs_coordinator(at(1_900)));
    assert_eq!(subscriber.next_change(at(0)), Some(at(2_000)));
    assert!(subscriber.needs_coordinator(at(2_000)));
    subscriber.set_position(at(2_100), position(10));
    subscriber.connected(at(2_200), FIRST);
    subscriber.actions(at(2_200));
    for (position, ms) in (10..).zip((2_300..9_000).step_by(500)) {
        subscriber
            .receive(
                at(ms),
                FIRST,
                batch_delivery(purge_batch(position, position + 1)),
            )
            .unwrap();
        assert_eq!(subscriber.needs_coordinator(at(ms)), ms < 4_300, "at {ms}");
    }
    // The last delivery was at 8,800 ms. There is no other planner to wait for.
    assert!(!subscriber.needs_coordinator(at(10_200)));
    assert!(subscriber.needs_coordinator(at(10_300)));
}

// Guards against purges that come late because a forwarder waits for another planner where there is none: the
// coordinator is needed within the grace for purges, 500 ms, after the last batch of a planner that falls silent.
#[test]
fn without_another_planner_the_coordinator_is_needed_within_the_grace_for_purges() {
    let cadence = Cadence::with_batch_interval(Span::from_ms(100));
    let mut subscriber = Subscriber::start(at(0), 1, 0, cadence, SETTLE_TIME);
    subscriber.set_position(at(0), position(10));
    subscriber.connected(at(0), FIRST);
    subscriber.actions(at(0));
    for (position, ms) in (10..).zip((100..=3_000).step_by(100)) {
        let batch = batch_delivery(purge_batch(position, position + 1));
        subscriber.receive(at(ms), FIRST, batch).unwrap();
        assert!(!subscriber.needs_coordinator(at(ms)));
    }
    let needed = (3_000..5_000).find(|ms| subscriber.needs_coordinator(at(*ms)));
    assert_eq!(
        needed,
        Some(3_400),
        "100 ms are left to be told by the coordinator"
    );
}

/// Returns when a subscriber with this preference first needs the coordinator, after both its planners disconnected at
/// 100 ms.
fn coordinator_need_after_both_disconnect(preference: u64) -> u64 {
    let mut subscriber = Subscriber::start(at(0), 2, preference, Cadence::default(), SETTLE_TIME);
    subscriber.set_position(at(0), position(10));
    for planner in [FIRST, SECOND] {
        subscriber.connected(at(0), planner);
    }
    subscriber.actions(at(0));
    let followed = subscriber.followed().unwrap();
    subscriber
        .receive(at(90), followed, batch_delivery(purge_batch(10, 11)))
        .unwrap();
    subscriber.disconnected(at(100), FIRST);
    assert!(
        !subscriber.needs_coordinator(at(1_000)),
        "the second planner is still connected"
    );
    subscriber.disconnected(at(100), SECOND);
    (100..3_000)
        .find(|ms| subscriber.needs_coordinator(at(*ms)))
        .unwrap()
}

#[test]
fn forwarders_without_planners_need_the_coordinator_soon_at_staggered_times() {
    let mut needed_at: Vec<u64> = (0..1_000)
        .map(coordinator_need_after_both_disconnect)
        .collect();
    needed_at.sort_unstable();
    println!(
        "the coordinator is needed from {} to {} ms after the last disconnect",
        needed_at[0] - 100,
        needed_at[999] - 100
    );
    assert!(
        needed_at[0] >= 200 && needed_at[999] <= 500,
        "needed at {} to {} ms, expected within 200 to 500 ms",
        needed_at[0],
        needed_at[999]
    );
    let in_interval = |interval: u64| needed_at.iter().filter(|ms| **ms / 10 == interval).count();
    assert!(
        (20..50).all(|interval| in_interval(interval) <= 100),
        "{needed_at:?}"
    );
}

#[test]
fn the_coordinator_is_not_needed_if_a_planner_reconnects_and_delivers_immediately() {
    let mut subscriber = connected_subscriber(10);
    subscriber
        .receive(at(90), FIRST, batch_delivery(purge_batch(10, 11)))
        .unwrap();
    for planner in [FIRST, SECOND] {
        subscriber.disconnected(at(100), planner);
    }
    subscriber.connected(at(150), FIRST);
    subscriber.actions(at(150));
    subscriber
        .receive(at(180), FIRST, batch_delivery(purge_batch(11, 12)))
        .unwrap();
    assert!((180..1_600).all(|ms| !subscriber.needs_coordinator(at(ms))));
    // A planner that reconnects but does not deliver makes no difference.
    subscriber.disconnected(at(200), FIRST);
    subscriber.connected(at(250), FIRST);
    subscriber.actions(at(250));
    let needed_from = subscriber.next_change(at(250)).unwrap();
    assert!(
        needed_from <= at(600) && subscriber.needs_coordinator(needed_from),
        "the coordinator should be needed by 600 ms, next change at {needed_from:?}"
    );
    subscriber
        .receive(at(700), FIRST, batch_delivery(purge_batch(12, 13)))
        .unwrap();
    assert!(
        subscriber.needs_coordinator(at(750)),
        "planners have not delivered for long enough yet"
    );
    for (position, ms) in (13..).zip((1_200..4_000).step_by(500)) {
        subscriber
            .receive(
                at(ms),
                FIRST,
                batch_delivery(purge_batch(position, position + 1)),
            )
            .unwrap();
        assert_eq!(subscriber.needs_coordinator(at(ms)), ms < 2_700, "at {ms}");
    }
}

#[test]
fn behind_updates_do_not_count_as_useful_deliveries() {
    let mut subscriber = connected_subscriber(10);
    for ms in (0..3_000).step_by(100) {
        subscriber
            .receive(at(ms), FIRST, behind_delivery())
            .unwrap();
    }
    assert!(subscriber.needs_coordinator(at(3_000)));
}

#[test]
fn the_confirmed_time_is_that_of_the_coordinators_last_message_to_an_up_to_date_planner() {
    let mut subscriber = connected_subscriber(10);
    assert_eq!(subscriber.complete_as_of(), None);
    subscriber
        .receive(at(1_000), FIRST, batch_delivery(purge_batch(10, 11)))
        .unwrap();
    assert_eq!(
        subscriber.complete_as_of(),
        Some(CompleteAsOf::by_planner(at(460))),
        "40 ms before the delivery was written, which is assumed to be 500 ms before now"
    );
    subscriber.record_echo(FIRST, at(1_900));
    subscriber
        .receive(at(2_000), FIRST, batch_delivery(purge_batch(11, 11)))
        .unwrap();
    assert_eq!(
        subscriber.complete_as_of(),
        Some(CompleteAsOf::by_planner(at(1_860))),
        "the echo provides the time before which the delivery was not written"
    );
    let not_current = Delivery {
        coordinator_ago_ms: None,
        ..batch_delivery(purge_batch(11, 12))
    };
    subscriber.receive(at(5_000), FIRST, not_current).unwrap();
    assert_eq!(
        subscriber.complete_as_of(),
        Some(CompleteAsOf::by_planner(at(1_860)))
    );
}
