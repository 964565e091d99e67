//! The polled engine, for callers that pick decisions request by request.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fake;

use fake::{default_hosts, terms};
use flaxdeck::polled::{Input, PolledEngine, Step};
use flaxdeck::{
    AttemptEnded, AttemptOutcome, ClassId, FillOutcome, GroupId, ListKind, LoadReport, ObjectId,
    Request, RequestId, Span, Time,
};

#[test]
fn unpicked_steps_are_dropped_once_a_request_is_answered_or_its_client_disconnects() {
    for answered in [true, false] {
        let now = Time::at_ms(100_000.0);
        let mut engine = PolledEngine::start(now, 7, terms());
        engine.report(now, Input::EndpointList(ListKind::Full, default_hosts()));
        let id = RequestId(1);
        let request = Request {
            id,
            class: ClassId(0),
            object: ObjectId(1),
            part: 0,
            group: GroupId(1),
            size_kb: Some(100.0),
            deadline: now + Span::from_ms(900),
            is_retry: false,
        };
        assert_eq!(engine.report(now, Input::RequestArrived(request)), [id]);
        let Step::Attempt(index, sent) = engine.pick(id) else {
            panic!("the first step of a new request is not an attempt")
        };
        let late = now + Span::from_ms(899);
        assert_eq!(
            engine.tick(late),
            [id],
            "the request was not given up just before its deadline"
        );
        let ended = AttemptEnded {
            request: id,
            index,
            host: sent.host,
            outcome: AttemptOutcome::Answered,
            took: Span::from_ms(899),
            closed: true,
            fill: FillOutcome::Hit,
            waited: None,
            actual_kb: None,
            unchanged: false,
            report: LoadReport::default(),
        };
        engine.report(
            late,
            if answered {
                Input::AttemptEnded(ended)
            } else {
                Input::ClientLeft(id)
            },
        );
        assert_eq!(
            (engine.pick(id), engine.pick(id)),
            (Step::Cancel(index), Step::Wait)
        );
    }
}

#[test]
fn a_report_just_before_a_late_tick_keeps_the_next_tick_scheduled() {
    let now = Time::at_ms(100_000.0);
    let mut engine = PolledEngine::start(now, 7, terms());
    let first = engine.due().unwrap();
    let late = first + Span::from_ms(3);
    engine.report(
        late,
        Input::Purged {
            object: None,
            group: GroupId(1),
            made: late,
        },
    );
    engine.tick(late);
    assert!(
        engine.due().is_some_and(|due| due > late),
        "the wake requested during the report was lost: due {:?}",
        engine.due()
    );
}
