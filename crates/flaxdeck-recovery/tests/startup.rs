//! How far an instance has come back, and when it takes clients.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::startup::{Phase, Startup, WithoutContact};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

#[test]
fn clients_are_taken_once_the_list_is_vouched_for() {
    let mut back = Startup::begin(at(0), WithoutContact::RejectAfter(Span::from_ms(2_500)));
    assert_eq!(
        (back.phase(at(9), at(0)), back.listens_at()),
        (Phase::Listed, at(2_500))
    );
    back.vouched(at(12));
    back.vouched(at(700));
    assert_eq!(back.listens_at(), at(12));
    assert_eq!(back.phase(at(13), at(5_000)), Phase::Vouched);
    assert_eq!(back.phase(at(5_000), at(5_000)), Phase::Full);
    assert_eq!(back.full(at(4_999), at(5_000)), None);
    assert_eq!(back.full(at(5_000), at(5_000)), Some(Span::from_ms(5_000)));
    assert_eq!(back.full(at(5_001), at(5_000)), None, "told once");
    back.listens(at(14));
    assert_eq!(
        back.took(),
        [Some(Span::from_ms(12)), Some(Span::from_ms(14))]
    );
}

#[test]
fn one_that_nobody_answers_does_as_its_file_says() {
    let back = |unheard| Startup::begin(at(0), unheard).listens_at();
    assert_eq!(back(WithoutContact::GoOn), at(100));
    assert_eq!(
        back(WithoutContact::RejectAfter(Span::from_ms(900))),
        at(900)
    );
}
