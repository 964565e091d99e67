//! Which planner is followed when planners disconnect, are silent or recover.

use flaxdeck::Span;
use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::{Applied, Cadence, PlannerNumber, Subscriber};

use super::support::{
    FIRST, SECOND, SETTLE_TIME, at, batch_delivery, connected_subscriber, position, purge_batch,
};

#[test]
fn the_silence_timeout_doubles_with_each_consecutive_silent_planner() {
    let mut subscriber = Subscriber::start(
        at(0),
        2,
        7,
        Cadence::with_batch_interval(Span::from_ms(150)),
        SETTLE_TIME,
    );
    let timeout = Cadence::with_batch_interval(Span::from_ms(150)).silence_timeout();
    for number in 0..2 {
        subscriber.connected(at(0), PlannerNumber(number));
    }
    let first = subscriber.followed().unwrap();
    subscriber.actions(at(0));
    let (mut now, mut switches) = (at(0), Vec::new());
    let mut followed = first;
    while switches.len() < 3 {
        now = now + Span::from_ms(10);
        subscriber.actions(now);
        if subscriber.followed() != Some(followed) {
            switches.push(now.since(at(0)).ms() / timeout.ms());
            followed = subscriber.followed().unwrap();
        }
    }
    assert!((switches[0] - 1.0).abs() < 0.1, "{switches:?}");
    assert!((switches[1] - 3.0).abs() < 0.1, "{switches:?}");
    assert!(switches[2] > 6.9, "{switches:?}");
}

#[test]
fn a_disconnected_or_silent_planner_is_replaced_by_the_other() {
    let mut subscriber = connected_subscriber(10);
    subscriber
        .receive(at(10), FIRST, batch_delivery(purge_batch(10, 11)))
        .unwrap();
    subscriber.disconnected(at(20), FIRST);
    assert_eq!(
        subscriber.actions(at(20)),
        [(SECOND, Subscription::After(position(11)))]
    );
    subscriber
        .receive(at(30), SECOND, batch_delivery(purge_batch(11, 12)))
        .unwrap();
    assert!(!subscriber.needs_coordinator(at(1_000)));

    let mut subscriber = connected_subscriber(10);
    subscriber
        .receive(at(10), FIRST, batch_delivery(purge_batch(10, 11)))
        .unwrap();
    assert_eq!(subscriber.actions(at(1_509)), []);
    assert_eq!(subscriber.next_change(at(1_000)), Some(at(1_510)));
    let actions = subscriber.actions(at(1_510));
    assert_eq!(
        actions,
        [
            (FIRST, Subscription::None),
            (SECOND, Subscription::After(position(11)))
        ]
    );
    assert_eq!(subscriber.counters.failovers, 1);
    // Both planners deliver for a short time; each event is applied once.
    subscriber
        .receive(at(1_520), SECOND, batch_delivery(purge_batch(11, 15)))
        .unwrap();
    assert_eq!(
        subscriber.receive(at(1_530), FIRST, batch_delivery(purge_batch(11, 13))),
        Ok(Applied::Nothing)
    );
    assert_eq!(subscriber.position(), position(15));
}

#[test]
fn a_planner_that_has_lost_the_coordinator_is_replaced_by_the_other() {
    let mut subscriber = connected_subscriber(10);
    let without_coordinator = || Delivery {
        coordinator_ago_ms: None,
        ..batch_delivery(purge_batch(10, 10))
    };
    for ms in (0..1_500).step_by(100) {
        subscriber
            .receive(at(ms), FIRST, without_coordinator())
            .unwrap();
        assert_eq!(subscriber.followed(), Some(FIRST));
    }
    subscriber
        .receive(at(1_500), FIRST, without_coordinator())
        .unwrap();
    assert_eq!(subscriber.followed(), Some(SECOND));
}

#[test]
fn a_preferred_planner_is_followed_again_once_it_is_stable_and_delivers() {
    let mut subscriber = connected_subscriber(10);
    subscriber.disconnected(at(20), FIRST);
    subscriber.actions(at(20));
    subscriber.connected(at(100), FIRST);
    let deliver_from_second = |subscriber: &mut Subscriber, ms: u64| {
        let position = subscriber.position().number;
        subscriber
            .receive(
                at(ms),
                SECOND,
                batch_delivery(purge_batch(position, position + 1)),
            )
            .unwrap();
        subscriber.actions(at(ms))
    };
    for ms in (500..5_000).step_by(500) {
        assert_eq!(deliver_from_second(&mut subscriber, ms), []);
    }
    // The preferred planner is sent a request first, and the other is replaced only once it delivers.
    let position = position(subscriber.position().number + 1);
    assert_eq!(
        deliver_from_second(&mut subscriber, 5_200),
        [(FIRST, Subscription::After(position))]
    );
    assert_eq!(subscriber.followed(), Some(SECOND));
    let next = purge_batch(position.number, position.number + 1);
    subscriber
        .receive(at(5_250), FIRST, batch_delivery(next))
        .unwrap();
    assert_eq!(subscriber.followed(), Some(FIRST));
    assert_eq!(
        subscriber.actions(at(5_250)),
        [(SECOND, Subscription::None)]
    );
}

#[test]
fn a_hanging_preferred_planner_causes_only_a_few_requests() {
    let mut subscriber = connected_subscriber(10);
    // The preferred planner accepts connections but sends nothing.
    let mut requests = Vec::new();
    for ms in (0..60_000).step_by(100) {
        if ms >= 1_600 && ms % 500 == 100 {
            let position = subscriber.position().number;
            assert!(
                subscriber
                    .receive(
                        at(ms),
                        SECOND,
                        batch_delivery(purge_batch(position, position + 1))
                    )
                    .is_ok()
            );
        }
        let actions = subscriber.actions(at(ms));
        requests.extend(
            actions
                .into_iter()
                .filter(|(to, what)| *to == FIRST && *what != Subscription::None),
        );
        assert!(ms < 1_600 || subscriber.followed() == Some(SECOND));
        assert!(!subscriber.needs_coordinator(at(ms)), "at {ms}");
    }
    println!(
        "{} requests to the hanging planner in a minute",
        requests.len()
    );
    assert!(requests.len() < 20);
}

#[test]
fn forwarders_are_spread_over_the_planners() {
    let mut preferred = [0; 24];
    for preference in 0..2_400_u64 {
        let mut subscriber =
            Subscriber::start(at(0), 24, preference * 31, Cadence::default(), SETTLE_TIME);
        subscriber.set_position(at(0), position(1));
        for planner in 0..24 {
            subscriber.connected(at(0), PlannerNumber(planner));
        }
        // After all have been connected for long enough, the most preferred planner is followed or sent a request.
        let requests = subscriber.actions(at(5_000));
        let followed = subscriber.followed().unwrap();
        let chosen = requests
            .iter()
            .map(|(to, _)| *to)
            .find(|to| *to != followed)
            .unwrap_or(followed);
        preferred[chosen.0 as usize] += 1;
    }
    println!("forwarders of 2,400 that prefer each of 24 planners: {preferred:?}");
    assert!(preferred.iter().all(|count| (60..=145).contains(count)));
}
