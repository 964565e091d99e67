//! No copy is older than a purge or the class allows.

mod fake;

use fake::{Fake, terms, usual};
use flaxdeck::{
    AttemptOutcome, DeploymentTerms, FillOutcome, GroupId, ObjectId, RequestClass, Span,
};

#[test]
fn no_copy_older_than_a_purge_will_do_until_it_has_settled() {
    let mut fake = Fake::new(terms(), usual());
    let made = fake.now;
    fake.pass(50);
    fake.engine
        .purge(fake.now, Some(ObjectId(1)), GroupId(1), made);
    fake.engine.purge(fake.now, None, GroupId(2), made);
    fake.pass(200);
    for (object, held_to) in [(1, true), (2, true), (6, true), (5, false)] {
        let at = fake.request(0, object);
        let oldest = fake.sent[at].oldest;
        assert_eq!(oldest.is_some(), held_to, "object {object}");
        assert!(oldest.is_none_or(|oldest| oldest < fake.now.since(made)));
        fake.end(at, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
    fake.pass(8000);
    let at = fake.request(0, 1);
    assert_eq!(fake.sent[at].oldest, None);
}

#[test]
fn where_only_a_hit_will_do_an_ageing_copy_is_taken_but_none_from_before_a_purge() {
    let (fresh, older) = (Span::from_ms(8000), Span::from_ms(20_000));
    let ageing = |of: &RequestClass| RequestClass {
        fresh: Some(fresh),
        older,
        ..of.clone()
    };
    let mut fake = Fake::new(
        DeploymentTerms {
            classes: terms().classes.iter().map(ageing).collect(),
            ..terms()
        },
        usual(),
    );
    let at = fake.request(0, 1);
    assert_eq!(
        fake.sent[at].oldest, None,
        "a miss would be filled: the class's fresh time"
    );
    fake.end_with(
        at,
        AttemptOutcome::Answered,
        FillOutcome::Hit,
        0,
        Some(30.0),
    );
    let at = fake.request(0, 2);
    assert_eq!(fake.sent[at].source, fake.sent[at].host, "the link is full");
    assert_eq!(fake.sent[at].oldest, Some(Span::from_ms(28_000)));
    let made = fake.now - Span::from_ms(40);
    fake.engine
        .purge(fake.now, Some(ObjectId(3)), GroupId(3), made);
    let at = fake.request(0, 3);
    assert_eq!(fake.sent[at].oldest, Some(Span::from_ms(39)));
}
