//! A planner's memory of instance_slots: what an earlier run may have lent, and whose word is taken.

use flaxdeck::{Span, Time};
use flaxdeck_control::LeaseTerms;
use flaxdeck_control::instance_slots::InstanceSlots;
use flaxdeck_control::messages::{Epoch, SlotId};

fn at(ms: u64) -> Time {
    Time::at_ms(10_000.0 + ms as f64)
}

fn instance_slots() -> (InstanceSlots, Span) {
    let lease_terms = LeaseTerms::of(Span::from_ms(2_000), Span::from_ms(1_200), 10);
    let instance_slots = InstanceSlots::new(at(0), lease_terms);
    let lasts = instance_slots.lasts;
    assert!(lasts > lease_terms.forwarder_waits());
    (instance_slots, lasts)
}

const SEAT: SlotId = SlotId(5);

#[test]
fn a_planner_that_has_just_started_can_not_tell() {
    let (mut instance_slots, lasts) = instance_slots();
    assert!(instance_slots.met(at(10), SEAT, Epoch(1)));
    assert_eq!(instance_slots.owes(at(10), SEAT), None);
    assert_eq!(instance_slots.owes(at(0) + lasts, SEAT), Some(Span::ZERO));
    assert_eq!(
        instance_slots.owes(at(0) + lasts, SlotId(6)),
        None,
        "nobody has reported from there"
    );
}

#[test]
fn what_an_earlier_run_lent_is_out_for_as_long_as_it_may_be() {
    let (mut instance_slots, lasts) = instance_slots();
    instance_slots.met(at(9_000), SEAT, Epoch(1));
    instance_slots.lent(at(9_000), SEAT);
    instance_slots.met(at(10_000), SEAT, Epoch(2));
    assert_eq!(
        instance_slots.owes(at(10_000), SEAT),
        Some(lasts.less(Span::from_ms(1_000)))
    );
    assert_eq!(
        instance_slots.owes(at(9_000) + lasts, SEAT),
        Some(Span::ZERO)
    );
}

#[test]
fn a_run_that_a_later_one_has_followed_is_not_heard_any_more() {
    let (mut instance_slots, lasts) = instance_slots();
    assert!(instance_slots.met(at(0), SEAT, Epoch(9)));
    // Its clock was set back: the number tells nothing.
    assert!(instance_slots.met(at(100), SEAT, Epoch(3)));
    assert!(!instance_slots.met(at(200), SEAT, Epoch(9)));
    assert!(
        !instance_slots.met(at(200), SlotId(0), Epoch(9)),
        "whatever seat it tells"
    );
    assert!(instance_slots.met(at(300), SEAT, Epoch(3)));
    assert!(
        instance_slots.met(at(100) + lasts, SEAT, Epoch(4)),
        "and it is remembered for as long as it could lend"
    );
}
