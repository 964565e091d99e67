//! The location's link: while it is full, only hits are requested.

mod fake;

use fake::{Fake, default_hosts, is_parent, single_attempt_terms, terms};
use flaxdeck::{AttemptOutcome, DeploymentTerms, FillOutcome, Final};

#[test]
fn while_the_link_is_full_only_hits_are_requested_and_known_misses_are_rejected() {
    let mut fake = Fake::new(terms(), default_hosts());
    let position = fake.request(0, 1);
    fake.end_with(
        position,
        AttemptOutcome::Answered,
        FillOutcome::Hit,
        0,
        Some(20.0),
    );
    let position = fake.request(0, 2);
    assert_eq!(
        fake.sent[position].source, fake.sent[position].host,
        "a fill was requested over the full link"
    );
    fake.end_with(
        position,
        AttemptOutcome::NoCopy,
        FillOutcome::Nothing,
        0,
        Some(20.0),
    );
    fake.advance(150);
    assert_eq!(
        fake.sent.len(),
        position + 1,
        "the known miss was sent again"
    );
    assert!(
        matches!(
            fake.finals[..],
            [Final::Rejected {
                retry_after: Some(_),
                ..
            }]
        ),
        "the known miss was not rejected at once: {:?}",
        fake.finals
    );
    let hit = fake.request(0, 3);
    fake.end_with(
        hit,
        AttemptOutcome::Answered,
        FillOutcome::Hit,
        0,
        Some(0.5),
    );
    fake.request(0, 2);
    assert!(
        is_parent(&fake.last_sent().source),
        "no fill was requested although the link has capacity again"
    );
}

#[test]
fn without_link_reports_a_full_link_is_inferred_from_slow_fills() {
    let fills_after = |took: u64| {
        let mut fake = Fake::new(
            DeploymentTerms {
                reports_link_load: false,
                ..single_attempt_terms()
            },
            default_hosts(),
        );
        for object in 0..20 {
            let position = fake.request(0, object);
            fake.end_after(
                position,
                AttemptOutcome::Answered,
                FillOutcome::Filled,
                took,
            );
        }
        let before = fake.sent.len();
        for object in 100..140 {
            fake.request(0, object);
        }
        fake.sent[before..]
            .iter()
            .filter(|sent| sent.source != sent.host)
            .count()
    };
    assert_eq!(
        fills_after(900),
        0,
        "fills were requested although fills take nine times the transfer time"
    );
    assert!(
        fills_after(110) > 15,
        "fills that are faster than their answers made the link count as full"
    );
}
