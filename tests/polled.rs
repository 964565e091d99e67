//! The engine for callers that ask request by request.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fake;

use fake::{terms, usual};
use flaxdeck::polled::{Input, PolledEngine, Step};
use flaxdeck::{
    AttemptEnded, AttemptOutcome, ClassId, FillOutcome, GroupId, ListKind, LoadReport, ObjectId,
    Request, RequestId, Span, Time,
};

#[test]
fn steps_not_picked_are_dropped_once_a_request_is_answered_or_its_client_has_left() {
    for answered in [true, false] {
        let now = Time::at_ms(100_000.0);
        let mut engine = PolledEngine::start(now, 7, terms());
        engine.report(now, Input::EndpointList(ListKind::Full, usual()));
        let id = RequestId(1);
        let request = Request {
            id,
            class: ClassId(0),
            object: ObjectId(1),
            part: 0,
            group: GroupId(1),
            size_kb: Some(100.0),
            deadline: now + Span::from_ms(900),
            again: false,
        };
        assert_eq!(engine.report(now, Input::RequestArrived(request)), [id]);
        let Step::Attempt(index, sent) = engine.pick(id) else {
            panic!("an attempt is to be sent")
        };
        let late = now + Span::from_ms(899);
        assert_eq!(engine.tick(late), [id], "given up, but not picked yet");
        let ended = AttemptEnded {
            request: id,
            index,
            host: sent.host,
            outcome: AttemptOutcome::Answered,
            took: Span::from_ms(899),
            closed: true,
            fill: FillOutcome::Hit,
            waited: None,
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
fn a_report_just_before_a_late_tick_loses_no_later_tick() {
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
        "the engine has named its next time to the report"
    );
}
