//! Guidance from planners to forwarders: events, the load of links, and freshness.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod common;

use common::{PLANNER, at, complete, options, planner, position, round_trip};
use flaxdeck::{CaughtUpAt, Sampled, ZoneId};
use flaxdeck_control::forwarder::{ForwarderSession, Freshness};
use flaxdeck_control::messages::{Epoch, RelayedEvent};
use flaxdeck_control::planner::Planner;

#[test]
fn events_are_returned_once_and_in_order_from_planner_or_coordinator() {
    let mut planner = planner(at(0), 1, 0.0);
    for number in 1..=4 {
        planner.coordinator_heard(
            at(number),
            Some(RelayedEvent {
                position: position(number),
                frame: vec![number as u8],
            }),
            complete(at(number)),
        );
    }
    planner.coordinator_heard(
        at(5),
        Some(RelayedEvent {
            position: position(4),
            frame: vec![9],
        }),
        complete(at(5)),
    );
    let mut forwarder = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    let numbers = |events: Vec<RelayedEvent>| {
        events
            .iter()
            .map(|event| event.position.number)
            .collect::<Vec<_>>()
    };
    let report = forwarder.report(at(10), PLANNER, &[], position(2));
    let guidance = planner.handle_report(at(10), &report).unwrap();
    // Meanwhile event 3 has come from the coordinator itself.
    assert_eq!(
        numbers(
            forwarder
                .apply_guidance(at(11), PLANNER, guidance.clone(), position(3))
                .unwrap()
        ),
        [4]
    );
    let report = forwarder.report(at(20), PLANNER, &[], position(4));
    let guidance = planner.handle_report(at(20), &report).unwrap();
    assert_eq!(
        numbers(
            forwarder
                .apply_guidance(at(21), PLANNER, guidance, position(4))
                .unwrap()
        ),
        []
    );
    let report = forwarder.report(at(30), PLANNER, &[], position(0));
    let guidance = planner.handle_report(at(30), &report).unwrap();
    assert_eq!(
        numbers(
            forwarder
                .apply_guidance(at(31), PLANNER, guidance, position(0))
                .unwrap()
        ),
        [1, 2, 3, 4]
    );
    // This planner does not have the events before 4, so it relays nothing across the gap.
    let mut restarted = restarted_planner_without(3);
    let report = forwarder.report(at(40), PLANNER, &[], position(1));
    assert_eq!(restarted.handle_report(at(40), &report).unwrap().events, []);
}

/// A planner of a later run that has only the event after `missing`.
fn restarted_planner_without(missing: u64) -> Planner {
    let mut planner = planner(at(35), 2, 0.0);
    planner.coordinator_heard(
        at(36),
        Some(RelayedEvent {
            position: position(missing + 1),
            frame: vec![],
        }),
        complete(at(36)),
    );
    planner
}

#[test]
fn freshness_degrades_in_steps_as_guidance_ages() {
    let mut planner = planner(at(0), 1, 0.0);
    planner.coordinator_heard(at(0), None, complete(at(0)));
    let mut forwarder = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    round_trip(at(100), &mut forwarder, &mut planner, &[]);
    assert_eq!(forwarder.freshness(at(200)), Freshness::Guided);
    forwarder.note_caught_up(CaughtUpAt::new(at(1_500)));
    assert_eq!(forwarder.freshness(at(1_500)), Freshness::Aging);
    assert_eq!(forwarder.freshness(at(4_000)), Freshness::Unconfirmed);
    assert!(!forwarder.hints(at(4_000)).list_trusted);
    forwarder.note_caught_up(CaughtUpAt::new(at(10_500)));
    assert_eq!(forwarder.freshness(at(10_500)), Freshness::Standalone);
    assert!(forwarder.hints(at(10_500)).list_trusted);
}

#[test]
fn link_load_reported_by_one_forwarder_reaches_the_others_of_its_zone() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut forwarders: Vec<ForwarderSession> = (10..13)
        .map(|n| ForwarderSession::start(at(0), Epoch(n), options(), 1))
        .collect();
    forwarders[0].update_link(
        ZoneId(4),
        Some(Sampled {
            value: 7.5,
            at: at(90),
        }),
    );
    forwarders[1].update_link(
        ZoneId(4),
        Some(Sampled {
            value: 2.0,
            at: at(50),
        }),
    );
    forwarders[2].update_link(ZoneId(5), None);
    // The first answers bring the stamps that ages are relative to.
    for ms in [100, 200] {
        for forwarder in &mut forwarders {
            round_trip(at(ms), forwarder, &mut planner, &[]);
        }
    }
    let hinted_link = |forwarder: &mut ForwarderSession| forwarder.hints(at(200)).link;
    let Sampled {
        value: utilization,
        at: measured_at,
    } = hinted_link(&mut forwarders[1]).unwrap();
    assert!(
        utilization == 7.5 && measured_at <= at(90),
        "utilization {utilization}, measured at {measured_at:?}"
    );
    assert_eq!(
        hinted_link(&mut forwarders[2]),
        None,
        "the link of another zone"
    );
    forwarders[0].update_link(
        ZoneId(4),
        Some(Sampled {
            value: f64::NAN,
            at: at(190),
        }),
    );
    let report = forwarders[0].report(at(300), PLANNER, &[], position(0));
    planner.handle_report(at(300), &report).unwrap();
    assert_eq!(planner.counters.invalid_message, 1);
}
