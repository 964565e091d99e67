//! A planner's memory of instance_slots: what an earlier run may have lent, and whose word is taken.

use flaxdeck::{Span, Time};
use flaxdeck_control::LeaseTerms;
use flaxdeck_control::instance_slots::InstanceSlots;
use flaxdeck_control::messages::{Epoch, SlotId};

fn at(ms: u64) -> Time {
    Time::at_ms(10_000.0 + ms as f64)
}

fn instance_slots() -> (InstanceSlots, Span) {
    let lease_terms = LeaseTerms::new(Span::from_ms(2_000), Span::from_ms(1_200), 10);
    let instance_slots = InstanceSlots::new(at(0), lease_terms);
    let lasts = instance_slots.deposit_lifetime();
    assert!(lasts > lease_terms.forwarder_startup_wait());
    (instance_slots, lasts)
}

const SLOT: SlotId = SlotId(5);

#[test]
fn a_planner_that_has_just_started_can_not_tell() {
    let (mut instance_slots, lasts) = instance_slots();
    assert!(instance_slots.admit(at(10), SLOT, Epoch(1)));
    assert_eq!(instance_slots.outstanding(at(10), SLOT), None);
    assert_eq!(
        instance_slots.outstanding(at(0) + lasts, SLOT),
        Some(Span::ZERO)
    );
    assert_eq!(
        instance_slots.outstanding(at(0) + lasts, SlotId(6)),
        None,
        "nobody has reported from there"
    );
}

#[test]
fn what_an_earlier_run_lent_is_out_for_as_long_as_it_may_be() {
    let (mut instance_slots, lasts) = instance_slots();
    instance_slots.admit(at(9_000), SLOT, Epoch(1));
    instance_slots.record_deposit(at(9_000), SLOT);
    instance_slots.admit(at(10_000), SLOT, Epoch(2));
    assert_eq!(
        instance_slots.outstanding(at(10_000), SLOT),
        Some(lasts.saturating_sub(Span::from_ms(1_000)))
    );
    assert_eq!(
        instance_slots.outstanding(at(9_000) + lasts, SLOT),
        Some(Span::ZERO)
    );
}

#[test]
fn a_run_that_a_later_one_has_followed_is_not_heard_any_more() {
    let (mut instance_slots, lasts) = instance_slots();
    assert!(instance_slots.admit(at(0), SLOT, Epoch(9)));
    // Its clock was set back: the number tells nothing.
    assert!(instance_slots.admit(at(100), SLOT, Epoch(3)));
    assert!(!instance_slots.admit(at(200), SLOT, Epoch(9)));
    assert!(
        !instance_slots.admit(at(200), SlotId(0), Epoch(9)),
        "whatever slot it tells"
    );
    assert!(instance_slots.admit(at(300), SLOT, Epoch(3)));
    assert!(
        instance_slots.admit(at(100) + lasts, SLOT, Epoch(4)),
        "and it is remembered for as long as it could lend"
    );
}
