//! Which planner is followed when planners end, fall silent or come back.

use flaxdeck::Span;
use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::{Applied, Cadence, PlannerNumber, Subscriber};

use super::support::{ONE, OTHER, SETTLES, at, batch_delivery, connected, position, purges};

#[test]
fn where_all_planners_are_far_each_is_waited_for_twice_as_long_as_the_one_before() {
    let mut subscriber = Subscriber::start(
        at(0),
        2,
        7,
        Cadence::with_batch_interval(Span::from_ms(150)),
        SETTLES,
    );
    let silent = Cadence::with_batch_interval(Span::from_ms(150)).silence_timeout();
    for number in 0..2 {
        subscriber.connected(at(0), PlannerNumber(number));
    }
    let first = subscriber.followed().unwrap();
    subscriber.actions(at(0));
    let (mut now, mut left) = (at(0), Vec::new());
    let mut followed = first;
    while left.len() < 3 {
        now = now + Span::from_ms(10);
        subscriber.actions(now);
        if subscriber.followed() != Some(followed) {
            left.push(now.since(at(0)).ms() / silent.ms());
            followed = subscriber.followed().unwrap();
        }
    }
    assert!((left[0] - 1.0).abs() < 0.1, "{left:?}");
    assert!((left[1] - 3.0).abs() < 0.1, "{left:?}");
    assert!(left[2] > 6.9, "{left:?}");
}

#[test]
fn a_planner_that_ends_or_falls_silent_is_left_for_the_other() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(10), ONE, batch_delivery(purges(10, 11)))
        .unwrap();
    subscriber.disconnected(at(20), ONE);
    assert_eq!(
        subscriber.actions(at(20)),
        [(OTHER, Subscription::After(position(11)))]
    );
    subscriber
        .receive(at(30), OTHER, batch_delivery(purges(11, 12)))
        .unwrap();
    assert!(!subscriber.needs_coordinator(at(1_000)));

    let mut subscriber = connected(10);
    subscriber
        .receive(at(10), ONE, batch_delivery(purges(10, 11)))
        .unwrap();
    assert_eq!(subscriber.actions(at(1_509)), []);
    assert_eq!(subscriber.next_change(at(1_000)), Some(at(1_510)));
    let actions = subscriber.actions(at(1_510));
    assert_eq!(
        actions,
        [
            (ONE, Subscription::None),
            (OTHER, Subscription::After(position(11)))
        ]
    );
    assert_eq!(subscriber.counters.failovers, 1);
    // Both deliver for a moment; each event is applied once.
    subscriber
        .receive(at(1_520), OTHER, batch_delivery(purges(11, 15)))
        .unwrap();
    assert_eq!(
        subscriber.receive(at(1_530), ONE, batch_delivery(purges(11, 13))),
        Ok(Applied::Nothing)
    );
    assert_eq!(subscriber.position(), position(15));
}

#[test]
fn a_planner_that_has_lost_the_coordinator_is_left_for_the_other() {
    let mut subscriber = connected(10);
    let lost = || Delivery {
        coordinator_ago_ms: None,
        ..batch_delivery(purges(10, 10))
    };
    for ms in (0..1_500).step_by(100) {
        subscriber.receive(at(ms), ONE, lost()).unwrap();
        assert_eq!(subscriber.followed(), Some(ONE));
    }
    subscriber.receive(at(1_500), ONE, lost()).unwrap();
    assert_eq!(subscriber.followed(), Some(OTHER));
}

#[test]
fn a_preferred_planner_is_followed_again_once_it_is_stable_and_delivers() {
    let mut subscriber = connected(10);
    subscriber.disconnected(at(20), ONE);
    subscriber.actions(at(20));
    subscriber.connected(at(100), ONE);
    let heard = |subscriber: &mut Subscriber, ms: u64| {
        let position = subscriber.position().number;
        subscriber
            .receive(
                at(ms),
                OTHER,
                batch_delivery(purges(position, position + 1)),
            )
            .unwrap();
        subscriber.actions(at(ms))
    };
    for ms in (500..5_000).step_by(500) {
        assert_eq!(heard(&mut subscriber, ms), []);
    }
    // It is asked first, and the other is left once it delivers.
    let position = position(subscriber.position().number + 1);
    assert_eq!(
        heard(&mut subscriber, 5_200),
        [(ONE, Subscription::After(position))]
    );
    assert_eq!(subscriber.followed(), Some(OTHER));
    let next = purges(position.number, position.number + 1);
    subscriber
        .receive(at(5_250), ONE, batch_delivery(next))
        .unwrap();
    assert_eq!(subscriber.followed(), Some(ONE));
    assert_eq!(subscriber.actions(at(5_250)), [(OTHER, Subscription::None)]);
}

#[test]
fn a_preferred_planner_that_hangs_costs_nothing_but_requests() {
    let mut subscriber = connected(10);
    // It takes connections and says nothing.
    let mut asked = Vec::new();
    for ms in (0..60_000).step_by(100) {
        if ms >= 1_600 && ms % 500 == 100 {
            let position = subscriber.position().number;
            assert!(
                subscriber
                    .receive(
                        at(ms),
                        OTHER,
                        batch_delivery(purges(position, position + 1))
                    )
                    .is_ok()
            );
        }
        let actions = subscriber.actions(at(ms));
        asked.extend(
            actions
                .into_iter()
                .filter(|(to, what)| *to == ONE && *what != Subscription::None),
        );
        assert!(ms < 1_600 || subscriber.followed() == Some(OTHER));
        assert!(!subscriber.needs_coordinator(at(ms)), "at {ms}");
    }
    println!("asked {} times in a minute", asked.len());
    assert!(asked.len() < 20);
}

#[test]
fn forwarders_are_spread_over_the_planners() {
    let mut preferred = [0; 24];
    for preference in 0..2_400_u64 {
        let mut subscriber =
            Subscriber::start(at(0), 24, preference * 31, Cadence::default(), SETTLES);
        subscriber.set_position(at(0), position(1));
        for planner in 0..24 {
            subscriber.connected(at(0), PlannerNumber(planner));
        }
        // Steadily connected, the most preferred is asked in the end.
        let asked = subscriber.actions(at(5_000));
        let followed = subscriber.followed().unwrap();
        let chosen = asked
            .iter()
            .map(|(to, _)| *to)
            .find(|to| *to != followed)
            .unwrap_or(followed);
        preferred[chosen.0 as usize] += 1;
    }
    println!("forwarders of 2,400 that prefer each of 24 planners: {preferred:?}");
    assert!(preferred.iter().all(|count| (60..=145).contains(count)));
}
