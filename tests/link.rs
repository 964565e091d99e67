//! The location's link: while it is full, only hits are asked for.

mod fake;

use fake::{Fake, is_parent, single, terms, usual};
use flaxdeck::{AttemptOutcome, DeploymentTerms, FillOutcome, Final};

#[test]
fn while_the_link_is_full_only_hits_are_asked_for_and_known_misses_are_rejected() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    fake.end_with(
        at,
        AttemptOutcome::Answered,
        FillOutcome::Hit,
        0,
        Some(20.0),
    );
    let at = fake.request(0, 2);
    assert_eq!(fake.sent[at].source, fake.sent[at].host, "no fill");
    fake.end_with(
        at,
        AttemptOutcome::NoCopy,
        FillOutcome::Nothing,
        0,
        Some(20.0),
    );
    fake.pass(150);
    assert_eq!(fake.sent.len(), at + 1, "the known miss goes nowhere");
    assert!(
        matches!(
            fake.finals[..],
            [Final::Rejected {
                retry_after: Some(_),
                ..
            }]
        ),
        "its client is answered at once"
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
        "the link has capacity again"
    );
}

#[test]
fn without_reports_slow_fills_tell_that_the_link_is_full() {
    let fills_after = |took: u64| {
        let mut fake = Fake::new(
            DeploymentTerms {
                tells_link: false,
                ..single()
            },
            usual(),
        );
        for object in 0..20 {
            let at = fake.request(0, object);
            fake.end_after(at, AttemptOutcome::Answered, FillOutcome::Filled, took);
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
        "fills take nine times the sending time: only hits are asked for"
    );
    assert!(
        fills_after(110) > 15,
        "fills that outrun their answers leave the link open"
    );
}
