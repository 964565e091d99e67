//! No request takes effect twice.

mod fake;

use fake::{Fake, host, line, terms, usual};
use flaxdeck::{AttemptOutcome, FillOutcome, Final, RequestId, Role};

#[test]
fn an_at_most_once_request_that_may_have_run_is_never_sent_again_nor_rejected() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Errored,
        AttemptOutcome::Broken,
    ] {
        let mut fake = Fake::new(terms(), usual());
        let at = fake.request(1, 1);
        assert_eq!(fake.sent[at].host, host("o"));
        fake.pass(2000);
        fake.end(at, outcome, FillOutcome::Nothing, 0);
        fake.pass(3000);
        assert_eq!(fake.sent.len(), 1);
        assert_eq!(
            fake.finals,
            vec![Final::Failed {
                request: RequestId(1)
            }]
        );
    }
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(1, 1);
    fake.end(at, AttemptOutcome::Rejected, FillOutcome::Nothing, 0);
    fake.pass(200);
    assert_eq!(fake.sent.len(), 2, "a refusal proves that nothing ran");
}

#[test]
fn a_deduplicated_request_that_may_have_run_stays_in_its_cell_while_that_remembers() {
    let mut hosts = usual();
    hosts.extend([line("cc", Role::Cache), line("dd", Role::Cache)]);
    let mut fake = Fake::new(terms(), hosts);
    for object in 0..20 {
        let at = fake.request(2, object);
        let first = fake.sent[at].host.clone();
        fake.end(at, AttemptOutcome::Errored, FillOutcome::Nothing, 0);
        for again in &fake.sent[at + 1..] {
            assert_eq!(
                again.host.0.len(),
                first.0.len(),
                "the fake's cells go by the length of names"
            );
            assert_ne!(again.host, first);
        }
        fake.pass(4000);
    }
    assert!(
        fake.finals
            .iter()
            .all(|last| matches!(last, Final::Failed { .. }))
    );
    assert!(
        fake.sent.len() > 20,
        "some went to a second host of the cell"
    );
}
