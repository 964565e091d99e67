//! Reports and guidance that are rejected: delayed, misaddressed and invalid ones.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod common;

use common::{
    OWN_SHARE_FROM_MS, PLANNER, at, observation, options, planner, position, round_trips,
    usable_quota, warming,
};
use flaxdeck::{HostId, Observation, SourceMeasurements};
use flaxdeck_control::forwarder::{ForwarderSession, Freshness};
use flaxdeck_control::messages::{
    Epoch, Grant, Guidance, Incarnation, Measurements, Rating, Stamp,
};
use flaxdeck_control::quotas::InvalidGrant;
use flaxdeck_control::{InvalidMessage, MessageError, QuotaFraction};

#[test]
fn delayed_duplicated_and_misaddressed_guidance_is_rejected_and_counted() {
    let (mut first, mut second) = (planner(at(0), 1, 0.0), planner(at(50), 2, 0.0));
    let mut forwarder = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    let report = forwarder.report(at(0), PLANNER, &[], position(0));
    let one = first.handle_report(at(0), &report).unwrap();
    let report = forwarder.report(at(100), PLANNER, &[], position(0));
    let two = first.handle_report(at(100), &report).unwrap();
    forwarder
        .apply_guidance(at(110), PLANNER, two.clone(), position(0))
        .unwrap();
    assert_eq!(
        forwarder.apply_guidance(at(120), PLANNER, one, position(0)),
        Err(MessageError::OutOfOrder { number: 1, last: 2 })
    );
    assert_eq!(
        forwarder.apply_guidance(at(130), PLANNER, two, position(0)),
        Err(MessageError::OutOfOrder { number: 2, last: 2 })
    );
    let report = forwarder.report(at(200), PLANNER, &[], position(0));
    let old = first.handle_report(at(200), &report).unwrap();
    let report = forwarder.report(at(300), PLANNER, &[], position(0));
    let new = second.handle_report(at(300), &report).unwrap();
    forwarder
        .apply_guidance(at(310), PLANNER, new.clone(), position(0))
        .unwrap();
    assert_eq!(
        forwarder.apply_guidance(at(900), PLANNER, old, position(0)),
        Err(MessageError::OldEpoch { epoch: Epoch(1) }),
        "guidance of the earlier run, delayed on its connection"
    );
    let mut restarted = ForwarderSession::start(at(1_000), Epoch(20), options(), 1);
    assert_eq!(
        restarted.apply_guidance(at(1_000), PLANNER, new, position(0)),
        Err(MessageError::WrongRecipient {
            addressed: Epoch(10),
            own: Epoch(20),
        })
    );
    let counters = forwarder.counters;
    assert_eq!(
        (
            counters.old_epoch,
            counters.out_of_order,
            restarted.counters.not_for_us
        ),
        (1, 2, 1)
    );
}

fn rating(latency_ms: Option<f32>, window: Option<u16>) -> Rating {
    Rating {
        host: "s-1".into(),
        measurements: Measurements {
            latency_ms,
            bandwidth: None,
        },
        measured_ago_ms: 0,
        down_ago_ms: None,
        last_success_ago_ms: None,
        window,
    }
}

fn with_rating(latency_ms: Option<f32>, window: Option<u16>) -> Guidance {
    Guidance {
        ratings: vec![rating(latency_ms, window)],
        ..Guidance::default()
    }
}

fn with_grant(amount: u32, lasts_ms: u32) -> Guidance {
    let grant = Grant {
        incarnation: Incarnation {
            host: "s-1".into(),
            started: at(0).ms() as u64,
        },
        amount: QuotaFraction(amount),
        lasts_ms,
    };
    Guidance {
        grants: vec![grant],
        ..Guidance::default()
    }
}

/// Replaces the grants and ratings of three messages by invalid ones. The forwarder has to reject them with `error`,
/// keep its quota and ratings within bounds, and ignore the planner afterwards.
fn assert_invalid_guidance_does_no_harm(invalid: &Guidance, error: InvalidMessage) {
    let mut planner = planner(at(0), 1, 0.0);
    let mut forwarder = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    let busy_use = [observation(warming(0.5, 0.4, 0.1))];
    round_trips(2, &mut forwarder, &mut planner, busy_use[0].clone());
    for attempt in 1..=3 {
        let now = at(OWN_SHARE_FROM_MS + 400 + attempt);
        forwarder.update_usage(now, &busy_use);
        let report = forwarder.report(now, PLANNER, &busy_use, position(0));
        let mut answer = planner.handle_report(now, &report).unwrap();
        (answer.grants, answer.ratings) = (invalid.grants.clone(), invalid.ratings.clone());
        assert_eq!(
            forwarder.apply_guidance(now, PLANNER, answer, position(0)),
            Err(MessageError::Invalid(error)),
        );
    }
    let now = at(OWN_SHARE_FROM_MS + 500);
    let hints = forwarder.hints(now);
    assert!(hints.hints.iter().all(
        |hint| hint.measurements == SourceMeasurements::default() && hint.window.is_none()
    ));
    assert!(usable_quota(&mut forwarder, now).unwrap() <= 1.0);
    let report = forwarder.report(now, PLANNER, &busy_use, position(0));
    let valid = planner.handle_report(now, &report).unwrap();
    assert_eq!(
        forwarder.apply_guidance(now, PLANNER, valid, position(0)),
        Err(MessageError::SenderIgnored {
            until: at(OWN_SHARE_FROM_MS + 30_403)
        })
    );
    assert_ne!(forwarder.freshness(now), Freshness::Guided);
}

#[test]
fn invalid_guidance_has_bounded_effect_and_its_planner_is_ignored_temporarily() {
    let too_long = |lasts_ms| {
        InvalidMessage::Grant(InvalidGrant::TooLong {
            lasts_ms,
            most_ms: 1_200.0,
        })
    };
    let many = Guidance {
        ratings: vec![rating(None, None); 200],
        ..Guidance::default()
    };
    let too_much = InvalidGrant::MoreThanWhole(QuotaFraction(1_000_000_000));
    for (guidance, error) in [
        (with_rating(Some(f32::NAN), None), InvalidMessage::Rating),
        (with_rating(Some(-1.0), None), InvalidMessage::Rating),
        (
            with_rating(Some(f32::INFINITY), None),
            InvalidMessage::Rating,
        ),
        (with_rating(None, Some(0)), InvalidMessage::Rating),
        (
            with_grant(1_000_000_000, 1_200),
            InvalidMessage::Grant(too_much),
        ),
        (with_grant(1_000, u32::MAX), too_long(u32::MAX)),
        (
            many,
            InvalidMessage::TooManyEntries {
                length: 200,
                most: 128,
            },
        ),
    ] {
        assert_invalid_guidance_does_no_harm(&guidance, error);
    }
}

#[test]
fn planner_skips_unlisted_hosts_and_rejects_future_stamps() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut forwarder = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    let unlisted = Observation {
        host: HostId("s-2".into()),
        last_success: Some(at(5_900)),
        ..observation(warming(0.5, 0.4, 0.5))
    };
    round_trips(2, &mut forwarder, &mut planner, unlisted);
    assert!(planner.counters.unlisted >= 2, "{:?}", planner.counters);
    assert_eq!(
        planner.load(at(OWN_SHARE_FROM_MS + 200)).pools,
        0,
        "no pool for an unlisted host"
    );
    let mut report = forwarder.report(at(OWN_SHARE_FROM_MS + 400), PLANNER, &[], position(0));
    report.envelope.echo = Some(Stamp::of(at(OWN_SHARE_FROM_MS + 90_000)));
    assert_eq!(
        planner.handle_report(at(OWN_SHARE_FROM_MS + 400), &report),
        Err(MessageError::Invalid(InvalidMessage::StampFromTheFuture {
            echo: at(OWN_SHARE_FROM_MS + 90_000),
            now: at(OWN_SHARE_FROM_MS + 400),
        })),
        "a stamp from the future"
    );
}
