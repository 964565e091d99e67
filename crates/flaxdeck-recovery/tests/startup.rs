//! The startup phases, and when an instance accepts clients.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::startup::{Phase, Startup, StartupTimes, WithoutContact};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

#[test]
fn clients_are_accepted_once_the_list_is_confirmed() {
    let mut startup = Startup::begin(at(0), WithoutContact::RejectAfter(Span::from_ms(2_500)));
    assert_eq!(
        (startup.phase(at(9), at(0)), startup.listens_at()),
        (Phase::Listed, at(2_500))
    );
    startup.list_confirmed(at(12));
    startup.list_confirmed(at(700));
    assert_eq!(startup.listens_at(), at(12));
    assert_eq!(startup.phase(at(13), at(5_000)), Phase::Confirmed);
    assert_eq!(startup.phase(at(5_000), at(5_000)), Phase::Full);
    assert_eq!(startup.completed(at(4_999), at(5_000)), None);
    assert_eq!(
        startup.completed(at(5_000), at(5_000)),
        Some(Span::from_ms(5_000))
    );
    assert_eq!(
        startup.completed(at(5_001), at(5_000)),
        None,
        "the duration is returned once"
    );
    startup.started_listening(at(14));
    assert_eq!(
        startup.times(),
        StartupTimes {
            confirmed: Some(Span::from_ms(12)),
            listening: Some(Span::from_ms(14))
        }
    );
}

#[test]
fn an_unconfirmed_instance_follows_its_configuration() {
    let startup = |without_contact| Startup::begin(at(0), without_contact).listens_at();
    assert_eq!(startup(WithoutContact::GoOn), at(100));
    assert_eq!(
        startup(WithoutContact::RejectAfter(Span::from_ms(900))),
        at(900)
    );
}
