//! Each of the five rules, found broken and found kept.

use std::collections::BTreeMap;

use flaxdeck_invariants::{Answer, InvariantTerms, Ramp, RecordedEvent, check};

fn terms() -> InvariantTerms {
    let ramp = Ramp {
        places: 2.0,
        from: 0.1,
        within: 10_000.0,
        factor: 2.0,
    };
    let ramps = BTreeMap::from([("a".to_owned(), ramp)]);
    InvariantTerms {
        grace: 1000.0,
        purge_grace: 500.0,
        slack: 10.0,
        window: 1000.0,
        ramps,
    }
}

fn rules(record: &[(f64, RecordedEvent)]) -> Vec<u8> {
    check(&terms(), record)
        .breaches
        .iter()
        .map(|breach| breach.rule)
        .collect()
}

fn s(text: &str) -> String {
    text.to_owned()
}

#[test]
fn each_rule_is_found_broken_and_found_kept() {
    let asked = |by| RecordedEvent::Asked {
        request: s("p"),
        by,
    };
    let answered = RecordedEvent::Answered {
        request: s("p"),
        how: Answer::Served,
    };
    assert_eq!(rules(&[(0.0, asked(100.0)), (50.0, answered.clone())]), []);
    assert_eq!(
        rules(&[(0.0, asked(100.0)), (150.0, answered.clone())]),
        [1]
    );
    assert_eq!(
        rules(&[
            (0.0, asked(100.0)),
            (5.0, answered.clone()),
            (6.0, answered)
        ]),
        [1]
    );
    assert_eq!(rules(&[(0.0, asked(100.0))]), [1]);
    assert_eq!(
        rules(&[
            (0.0, asked(100.0)),
            (1.0, RecordedEvent::Left { request: s("p") })
        ]),
        []
    );

    let ran = RecordedEvent::Ran { effect: s("e") };
    assert_eq!(rules(&[(0.0, ran.clone())]), []);
    assert_eq!(rules(&[(0.0, ran.clone()), (9.0, ran)]), [2]);

    let (gone, arrived) = (
        RecordedEvent::Withdrawn { host: s("a") },
        RecordedEvent::Arrived { host: s("a") },
    );
    assert_eq!(rules(&[(0.0, gone.clone()), (900.0, arrived.clone())]), []);
    assert_eq!(
        rules(&[(0.0, gone.clone()), (1100.0, arrived.clone())]),
        [3]
    );
    let back = RecordedEvent::Announced { host: s("a") };
    assert_eq!(rules(&[(0.0, gone), (500.0, back), (1100.0, arrived)]), []);

    let (starts, work) = (RecordedEvent::Started { host: s("a") }, |cost| {
        RecordedEvent::Work { host: s("a"), cost }
    });
    assert_eq!(rules(&[(0.0, starts.clone()), (1.0, work(390.0))]), []);
    assert_eq!(
        rules(&[
            (0.0, starts.clone()),
            (1.0, work(250.0)),
            (900.0, work(500.0))
        ]),
        [4]
    );
    assert_eq!(
        rules(&[(0.0, starts), (1.0, work(250.0)), (1100.0, work(500.0))]),
        []
    );

    let (purge, copy) = (RecordedEvent::Purged { object: s("o") }, |sent, made| {
        RecordedEvent::Copy {
            object: s("o"),
            sent,
            made,
        }
    });
    assert_eq!(
        rules(&[(10.0, purge.clone()), (600.0, copy(400.0, 5.0))]),
        []
    );
    assert_eq!(
        rules(&[(10.0, purge.clone()), (600.0, copy(520.0, 5.0))]),
        [5]
    );
    assert_eq!(rules(&[(10.0, purge), (600.0, copy(520.0, 15.0))]), []);
}
