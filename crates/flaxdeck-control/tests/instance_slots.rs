//! A planner's table of slots: outstanding deposits of earlier runs, and which runs' reports are accepted.

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
    let lifetime = instance_slots.deposit_lifetime();
    assert!(lifetime > lease_terms.forwarder_startup_wait());
    (instance_slots, lifetime)
}

const SLOT: SlotId = SlotId(5);

#[test]
fn recently_started_planner_does_not_know_outstanding_deposits() {
    let (mut instance_slots, lifetime) = instance_slots();
    assert!(instance_slots.admit(at(10), SLOT, Epoch(1)));
    assert_eq!(instance_slots.outstanding(at(10), SLOT), None);
    assert_eq!(
        instance_slots.outstanding(at(0) + lifetime, SLOT),
        Some(Span::ZERO)
    );
    assert_eq!(
        instance_slots.outstanding(at(0) + lifetime, SlotId(6)),
        None,
        "no report came from that slot"
    );
}

#[test]
fn deposit_of_an_earlier_run_is_outstanding_for_its_lifetime() {
    let (mut instance_slots, lifetime) = instance_slots();
    instance_slots.admit(at(9_000), SLOT, Epoch(1));
    instance_slots.record_deposit(at(9_000), SLOT);
    instance_slots.admit(at(10_000), SLOT, Epoch(2));
    assert_eq!(
        instance_slots.outstanding(at(10_000), SLOT),
        Some(lifetime.saturating_sub(Span::from_ms(1_000)))
    );
    assert_eq!(
        instance_slots.outstanding(at(9_000) + lifetime, SLOT),
        Some(Span::ZERO)
    );
}

#[test]
fn superseded_run_is_rejected() {
    let (mut instance_slots, lifetime) = instance_slots();
    assert!(instance_slots.admit(at(0), SLOT, Epoch(9)));
    // The clock was set back between the two starts, so a lower epoch does not mean an earlier run.
    assert!(instance_slots.admit(at(100), SLOT, Epoch(3)));
    assert!(!instance_slots.admit(at(200), SLOT, Epoch(9)));
    assert!(
        !instance_slots.admit(at(200), SlotId(0), Epoch(9)),
        "rejected also if it reports without a slot"
    );
    assert!(instance_slots.admit(at(300), SLOT, Epoch(3)));
    assert!(
        instance_slots.admit(at(100) + lifetime, SLOT, Epoch(4)),
        "a later run is accepted after the superseded one is forgotten"
    );
}
