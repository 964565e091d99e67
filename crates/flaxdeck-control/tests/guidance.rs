//! What forwarders learn from planners: events, the load of links, and how fresh all that is.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod common;

use common::{PLANNER, at, options, planner, position, trip};
use flaxdeck::{Sampled, ZoneId};
use flaxdeck_control::forwarder::{ForwarderSession, Freshness};
use flaxdeck_control::messages::{Epoch, RelayedEvent};
use flaxdeck_control::planner::Planner;

#[test]
fn events_are_applied_in_order_once_whoever_brings_them() {
    let mut planner = planner(at(0), 1, 0.0);
    for number in 1..=4 {
        planner.coordinator_heard(
            at(number),
            Some(RelayedEvent {
                position: position(number),
                frame: vec![number as u8],
            }),
            true,
        );
    }
    planner.coordinator_heard(
        at(5),
        Some(RelayedEvent {
            position: position(4),
            frame: vec![9],
        }),
        true,
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
    // Meanwhile the coordinator itself has brought 3.
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
    // One whose earlier events the planner has not: nothing is passed on over a gap.
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
    let mut young = planner2_without(3);
    let report = forwarder.report(at(40), PLANNER, &[], position(1));
    assert_eq!(young.handle_report(at(40), &report).unwrap().events, []);
}

/// A planner that heard only what came after an event.
fn planner2_without(first: u64) -> Planner {
    let mut planner = planner(at(35), 2, 0.0);
    planner.coordinator_heard(
        at(36),
        Some(RelayedEvent {
            position: position(first + 1),
            frame: vec![],
        }),
        true,
    );
    planner
}

#[test]
fn as_guidance_ages_a_forwarder_falls_back_by_steps() {
    let mut planner = planner(at(0), 1, 0.0);
    planner.coordinator_heard(at(0), None, true);
    let mut forwarder = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    trip(at(100), &mut forwarder, &mut planner, &[]);
    assert_eq!(forwarder.freshness(at(200)), Freshness::Guided);
    forwarder.coordinator_heard(at(1_500));
    assert_eq!(forwarder.freshness(at(1_500)), Freshness::Aging);
    assert_eq!(forwarder.freshness(at(4_000)), Freshness::Unconfirmed);
    assert!(!forwarder.hints(at(4_000)).list_trusted);
    forwarder.coordinator_heard(at(10_500));
    assert_eq!(forwarder.freshness(at(10_500)), Freshness::Standalone);
    assert!(forwarder.hints(at(10_500)).list_trusted);
}

#[test]
fn what_one_hears_of_a_link_the_others_of_its_location_hear() {
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
    // The first answers bring the stamps by which ages are told.
    for ms in [100, 200] {
        for forwarder in &mut forwarders {
            trip(at(ms), forwarder, &mut planner, &[]);
        }
    }
    let told = |forwarder: &mut ForwarderSession| forwarder.hints(at(200)).link;
    let Sampled {
        value: full,
        at: heard,
    } = told(&mut forwarders[1]).unwrap();
    assert!(full == 7.5 && heard <= at(90), "{full} {heard:?}");
    assert_eq!(told(&mut forwarders[2]), None, "another location's link");
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
