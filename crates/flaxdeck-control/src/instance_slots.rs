//! The planner's memory of slots: which run of a forwarder holds each, and for how long something that was lent from it
//! may be outstanding. A forwarder that returns without stored state learns from it that nothing is, and uses its share
//! at once.
//!
//! That is safe for two reasons. A planner that has heard a later run of a slot takes nothing more from an earlier one,
//! so a report that was on its way when that run ended can't lend what the later run already uses. And a planner that
//! has started so lately that an earlier run of its own may have taken a deposit says that it can't tell.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::LeaseTerms;
use crate::messages::{Epoch, SlotId};

/// The most slots, and the most ended runs, that are remembered. Beyond it a slot's forwarder is told that nobody can
/// tell.
const MAX_SLOTS: usize = 4_096;
/// How many drifts a deposit's span is made longer by: the lender's clock against this one, and that against a third.
const DEPOSIT_DRIFTS: f64 = 5.0;

struct Slot {
    run: Epoch,
    /// Nothing that was lent from it is outstanding after that.
    outstanding_until: Time,
}

/// The slots that a planner knows.
pub struct InstanceSlots {
    started_at: Time,
    deposit_lifetime: Span,
    slots: BTreeMap<SlotId, Slot>,
    /// Runs that a later one has followed, and until when they could still lend.
    ended: BTreeMap<Epoch, Time>,
}

impl InstanceSlots {
    /// Those of a planner that has just started.
    pub fn new(now: Time, lease_terms: LeaseTerms) -> InstanceSlots {
        InstanceSlots {
            started_at: now,
            deposit_lifetime: lease_terms.stretched(lease_terms.deposit_duration, DEPOSIT_DRIFTS),
            slots: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// For how long a deposit may be outstanding, from when it was taken.
    pub fn deposit_lifetime(&self) -> Span {
        self.deposit_lifetime
    }

    /// A run reports from a slot; false if a later run was heard there, so that nothing may be taken from this one.
    pub fn admit(&mut self, now: Time, slot: SlotId, run: Epoch) -> bool {
        if self.ended.contains_key(&run) {
            return false;
        }
        if slot == SlotId::NONE || !self.has_room_for(now, slot) {
            return true;
        }
        let known = self.slots.entry(slot).or_insert(Slot {
            run,
            outstanding_until: now,
        });
        if known.run == run {
            return true;
        }
        self.ended.retain(|_, until| *until > now);
        if self.ended.len() < MAX_SLOTS {
            self.ended.insert(known.run, now + self.deposit_lifetime);
        } else {
            // Without room to remember that run its deposits can't be kept out: all that it could lend counts as lent.
            known.outstanding_until = now + self.deposit_lifetime;
        }
        known.run = run;
        true
    }

    fn has_room_for(&mut self, now: Time, slot: SlotId) -> bool {
        if !self.slots.contains_key(&slot) && self.slots.len() >= MAX_SLOTS {
            self.slots.retain(|_, slot| slot.outstanding_until > now);
            return self.slots.len() < MAX_SLOTS;
        }
        true
    }

    /// A deposit from that slot was taken.
    pub fn record_deposit(&mut self, now: Time, slot: SlotId) {
        if let Some(slot) = self.slots.get_mut(&slot) {
            slot.outstanding_until = now + self.deposit_lifetime;
        }
    }

    /// For how long something that was lent from the slot may still be outstanding; none if this planner can't tell.
    pub fn outstanding(&self, now: Time, slot: SlotId) -> Option<Span> {
        let slot = self.slots.get(&slot)?;
        (now >= self.started_at + self.deposit_lifetime).then(|| slot.outstanding_until.since(now))
    }
}
