//! Freshness: no attempt accepts a copy that is older than a purge or the class allows.

mod fake;

use fake::{Fake, default_hosts, terms};
use flaxdeck::{
    AttemptOutcome, DeploymentTerms, FillOutcome, GroupId, ObjectId, RequestClass, Span,
};

#[test]
fn copies_older_than_a_purge_are_refused_until_the_purge_has_settled() {
    let mut fake = Fake::new(terms(), default_hosts());
    let made = fake.now;
    fake.advance(50);
    fake.engine
        .purge(fake.now, Some(ObjectId(1)), GroupId(1), made);
    fake.engine.purge(fake.now, None, GroupId(2), made);
    fake.advance(200);
    for (object, is_purged) in [(1, true), (2, true), (6, true), (5, false)] {
        let position = fake.request(0, object);
        let oldest = fake.sent[position].oldest;
        assert_eq!(oldest.is_some(), is_purged, "age limit of object {object}");
        assert!(oldest.is_none_or(|oldest| oldest < fake.now.since(made)));
        fake.end(position, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
    fake.advance(8000);
    let position = fake.request(0, 1);
    assert_eq!(fake.sent[position].oldest, None);
}

#[test]
fn a_hit_only_attempt_accepts_a_stale_copy_within_the_grace_but_none_older_than_a_purge() {
    let (fresh, stale_grace) = (Span::from_ms(8000), Span::from_ms(20_000));
    let ageing = |class: &RequestClass| RequestClass {
        fresh: Some(fresh),
        stale_grace,
        ..class.clone()
    };
    let mut fake = Fake::new(
        DeploymentTerms {
            classes: terms().classes.iter().map(ageing).collect(),
            ..terms()
        },
        default_hosts(),
    );
    let position = fake.request(0, 1);
    assert_eq!(
        fake.sent[position].oldest, None,
        "an attempt with a fill got an age limit other than the class's fresh time"
    );
    fake.end_with(
        position,
        AttemptOutcome::Answered,
        FillOutcome::Hit,
        0,
        Some(30.0),
    );
    let position = fake.request(0, 2);
    assert_eq!(
        fake.sent[position].source, fake.sent[position].host,
        "a fill was requested although the link is full"
    );
    assert_eq!(fake.sent[position].oldest, Some(Span::from_ms(28_000)));
    let made = fake.now - Span::from_ms(40);
    fake.engine
        .purge(fake.now, Some(ObjectId(3)), GroupId(3), made);
    let position = fake.request(0, 3);
    assert_eq!(fake.sent[position].oldest, Some(Span::from_ms(39)));
}
