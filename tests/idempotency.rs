//! Idempotency: no request takes effect twice.

mod fake;

use fake::{Fake, default_hosts, endpoint, host, terms};
use flaxdeck::{
    AttemptOutcome, DeploymentTerms, FillOutcome, Final, PossibleRun, Repeats, RequestId, Role,
    Scope, Span,
};

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

/// Returns terms in which any host drops a repeat of a request of class 2.
fn terms_with_scope_of_all_hosts() -> DeploymentTerms {
    let mut terms = terms();
    terms.classes[2].repeats = Repeats::Deduplicated {
        scope: Scope::All,
        remembered: Span::from_ms(2000),
    };
    terms
}

// Guards against a second effect of a request whose client uses the id of an earlier one again.
#[test]
fn a_repeat_of_an_at_most_once_id_that_may_have_run_fails_at_once() {
    let mut fake = Fake::new(terms(), default_hosts());
    let earlier_run = PossibleRun {
        sent: fake.now,
        host: host("o"),
    };
    fake.advance(10);
    fake.repeat(1, 1, earlier_run);
    assert!(fake.sent.is_empty());
    let request = RequestId(1);
    assert_eq!(fake.finals, vec![Final::Failed { request }]);
}

#[test]
fn a_repeat_of_a_deduplicated_id_is_sent_only_within_the_window_of_its_first_run() {
    for (terms, first_host) in [(terms(), "bb"), (terms_with_scope_of_all_hosts(), "o")] {
        let mut fake = Fake::new(terms, default_hosts());
        let earlier_run = PossibleRun {
            sent: fake.now,
            host: host(first_host),
        };
        fake.advance(1000);
        let position = fake.repeat(2, 1, earlier_run.clone());
        assert_eq!(fake.sent.len(), 1, "within the window");
        if first_host == "bb" {
            assert_eq!(
                fake.sent[position].host,
                host("bb"),
                "the cell of the first run"
            );
        }
        fake.end(position, AttemptOutcome::Answered, FillOutcome::Hit, 0);
        fake.advance(1000);
        fake.repeat(2, 1, earlier_run);
        assert_eq!(fake.sent.len(), 1, "after the window");
        let request = RequestId(2);
        assert_eq!(fake.finals, vec![Final::Failed { request }]);
    }
}

#[test]
fn a_repeat_of_an_idempotent_id_is_sent() {
    let mut fake = Fake::new(terms(), default_hosts());
    let earlier_run = PossibleRun {
        sent: fake.now,
        host: host("o"),
    };
    fake.repeat(0, 1, earlier_run);
    assert_eq!(fake.sent.len(), 1);
}
