//! Idempotency: no request takes effect twice.

mod fake;

use fake::{Fake, default_hosts, endpoint, host, terms};
use flaxdeck::{AttemptOutcome, FillOutcome, Final, RequestId, Role};

#[test]
fn an_at_most_once_request_that_may_have_run_is_never_sent_again_nor_rejected() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Errored,
        AttemptOutcome::Broken,
    ] {
        let mut fake = Fake::new(terms(), default_hosts());
        let position = fake.request(1, 1);
        assert_eq!(fake.sent[position].host, host("o"));
        fake.advance(2000);
        fake.end(position, outcome, FillOutcome::Nothing, 0);
        fake.advance(3000);
        assert_eq!(fake.sent.len(), 1);
        assert_eq!(
            fake.finals,
            vec![Final::Failed {
                request: RequestId(1)
            }]
        );
    }
    let mut fake = Fake::new(terms(), default_hosts());
    let position = fake.request(1, 1);
    fake.end(position, AttemptOutcome::Rejected, FillOutcome::Nothing, 0);
    fake.advance(200);
    assert_eq!(
        fake.sent.len(),
        2,
        "a rejected request was not sent again, although a rejection proves that it has not run"
    );
}

#[test]
fn a_deduplicated_request_that_may_have_run_is_retried_only_within_its_cell_and_window() {
    let mut hosts = default_hosts();
    hosts.extend([endpoint("cc", Role::Cache), endpoint("dd", Role::Cache)]);
    let mut fake = Fake::new(terms(), hosts);
    for object in 0..20 {
        let position = fake.request(2, object);
        let first = fake.sent[position].host.clone();
        fake.end(position, AttemptOutcome::Errored, FillOutcome::Nothing, 0);
        for again in &fake.sent[position + 1..] {
            assert_eq!(
                again.host.0.len(),
                first.0.len(),
                "retried in another cell (the cell is the length of the host's name)"
            );
            assert_ne!(again.host, first);
        }
        fake.advance(4000);
    }
    assert!(
        fake.finals
            .iter()
            .all(|answer| matches!(answer, Final::Failed { .. }))
    );
    assert!(
        fake.sent.len() > 20,
        "no request was retried at a second host of its cell"
    );
}
