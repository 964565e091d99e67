//! When events have to come from the coordinator itself, and when the state is confirmed.

use flaxdeck_distribution::messages::Delivery;
use flaxdeck_distribution::{Cadence, Subscriber};

use super::support::{
    ONE, OTHER, SETTLES, at, batch_delivery, behind, connected, position, purges,
};

#[test]
fn the_coordinator_is_needed_while_no_planner_delivers_and_until_they_are_stable_again() {
    let mut subscriber = Subscriber::start(at(0), 1, 0, Cadence::default(), SETTLES);
    assert!(!subscriber.needs_coordinator(at(1_900)));
    assert_eq!(subscriber.next_change(at(0)), Some(at(2_000)));
    assert!(subscriber.needs_coordinator(at(2_000)));
    subscriber.set_position(at(2_100), position(10));
    subscriber.connected(at(2_200), ONE);
    subscriber.actions(at(2_200));
    for (position, ms) in (10..).zip((2_300..9_000).step_by(500)) {
        subscriber
            .receive(at(ms), ONE, batch_delivery(purges(position, position + 1)))
            .unwrap();
        assert_eq!(subscriber.needs_coordinator(at(ms)), ms < 4_300, "at {ms}");
    }
    assert!(!subscriber.needs_coordinator(at(10_700)));
    assert!(subscriber.needs_coordinator(at(10_800)));
}

/// From when on a subscriber of that preference needs the coordinator, after both its planners ended at 100 ms.
fn needs_coordinator_after_both_ended(preference: u64) -> u64 {
    let mut subscriber = Subscriber::start(at(0), 2, preference, Cadence::default(), SETTLES);
    subscriber.set_position(at(0), position(10));
    for planner in [ONE, OTHER] {
        subscriber.connected(at(0), planner);
    }
    subscriber.actions(at(0));
    let followed = subscriber.followed().unwrap();
    subscriber
        .receive(at(90), followed, batch_delivery(purges(10, 11)))
        .unwrap();
    subscriber.disconnected(at(100), ONE);
    assert!(
        !subscriber.needs_coordinator(at(1_000)),
        "the other one is connected"
    );
    subscriber.disconnected(at(100), OTHER);
    (100..3_000)
        .find(|ms| subscriber.needs_coordinator(at(*ms)))
        .unwrap()
}

#[test]
fn with_no_planner_connected_the_coordinator_is_needed_soon_and_not_by_all_at_once() {
    let mut needs: Vec<u64> = (0..1_000).map(needs_coordinator_after_both_ended).collect();
    needs.sort_unstable();
    println!(
        "the coordinator is needed from {} to {} ms after the end",
        needs[0] - 100,
        needs[999] - 100
    );
    assert!(
        needs[0] >= 200 && needs[999] <= 500,
        "{} to {}",
        needs[0],
        needs[999]
    );
    let in_one_step = |step: u64| needs.iter().filter(|ms| **ms / 10 == step).count();
    assert!((20..50).all(|step| in_one_step(step) <= 100), "{needs:?}");
}

#[test]
fn a_planner_that_is_reached_again_at_once_spares_the_coordinator_the_call() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(90), ONE, batch_delivery(purges(10, 11)))
        .unwrap();
    for planner in [ONE, OTHER] {
        subscriber.disconnected(at(100), planner);
    }
    subscriber.connected(at(150), ONE);
    subscriber.actions(at(150));
    subscriber
        .receive(at(180), ONE, batch_delivery(purges(11, 12)))
        .unwrap();
    assert!((180..1_600).all(|ms| !subscriber.needs_coordinator(at(ms))));
    // One that is reached and tells nothing spares it nothing.
    subscriber.disconnected(at(200), ONE);
    subscriber.connected(at(250), ONE);
    subscriber.actions(at(250));
    let needed = subscriber.next_change(at(250)).unwrap();
    assert!(
        needed <= at(600) && subscriber.needs_coordinator(needed),
        "{needed:?}"
    );
    subscriber
        .receive(at(700), ONE, batch_delivery(purges(12, 13)))
        .unwrap();
    assert!(
        subscriber.needs_coordinator(at(750)),
        "until planners have delivered for a while"
    );
    for (position, ms) in (13..).zip((1_200..4_000).step_by(500)) {
        subscriber
            .receive(at(ms), ONE, batch_delivery(purges(position, position + 1)))
            .unwrap();
        assert_eq!(subscriber.needs_coordinator(at(ms)), ms < 2_700, "at {ms}");
    }
}

#[test]
fn a_planner_that_knows_no_coordinator_or_position_does_not_count() {
    let mut subscriber = connected(10);
    for ms in (0..3_000).step_by(100) {
        subscriber.receive(at(ms), ONE, behind()).unwrap();
    }
    assert!(subscriber.needs_coordinator(at(3_000)));
}

#[test]
fn the_state_is_confirmed_by_when_a_planner_with_all_events_heard_the_coordinator() {
    let mut subscriber = connected(10);
    assert_eq!(subscriber.confirmed_at(), None);
    subscriber
        .receive(at(1_000), ONE, batch_delivery(purges(10, 11)))
        .unwrap();
    assert_eq!(
        subscriber.confirmed_at(),
        Some(at(460)),
        "40 ms before it was written, 500 before now at most"
    );
    subscriber.record_echo(ONE, at(1_900));
    subscriber
        .receive(at(2_000), ONE, batch_delivery(purges(11, 11)))
        .unwrap();
    assert_eq!(
        subscriber.confirmed_at(),
        Some(at(1_860)),
        "the connection tells when it was written"
    );
    let not_all = Delivery {
        coordinator_ago_ms: None,
        ..batch_delivery(purges(11, 12))
    };
    subscriber.receive(at(5_000), ONE, not_all).unwrap();
    assert_eq!(subscriber.confirmed_at(), Some(at(1_860)));
}
