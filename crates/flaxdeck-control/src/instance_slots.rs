//! A planner's table of slots: which run of a forwarder occupies each slot, and until when deposits from it may be
//! outstanding. A forwarder that restarts without stored state learns from it that no deposits are outstanding, and may
//! then use its share at once.
//!
//! That is safe for two reasons. Once a planner has received a report from a later run of a slot, it accepts nothing
//! more from an earlier one, so a report that was in transit when the earlier run ended can't lend what the later run
//! already uses. And a planner that started so recently that an earlier run of its own may have accepted a deposit
//! answers that it does not know.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::LeaseTerms;
use crate::messages::{Epoch, SlotId};

/// Maximum number of slots, and of ended runs, in the table. For a slot that does not fit, the planner answers that it
/// does not know what is outstanding.
const MAX_SLOTS: usize = 4_096;
/// How many times the maximum clock drift a deposit's lifetime is extended by: for the drift between the lender's clock
/// and this one, and between this one and that of the next run.
const DEPOSIT_DRIFTS: f64 = 5.0;

struct Slot {
    /// The latest run in the slot.
    run: Epoch,
    /// When the last deposit from the slot has expired.
    outstanding_until: Time,
}

/// The slots known to a planner.
pub struct InstanceSlots {
    started_at: Time,
    deposit_lifetime: Span,
    slots: BTreeMap<SlotId, Slot>,
    /// Runs that were superseded by a later one, and until when a report of theirs could still lend.
    ended: BTreeMap<Epoch, Time>,
}

impl InstanceSlots {
    /// Creates the empty table of a planner that starts at `now`.
    pub fn new(now: Time, lease_terms: LeaseTerms) -> InstanceSlots {
        InstanceSlots {
            started_at: now,
            deposit_lifetime: lease_terms.stretched(lease_terms.deposit_duration, DEPOSIT_DRIFTS),
            slots: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Returns how long a deposit may be outstanding after it was accepted.
    pub fn deposit_lifetime(&self) -> Span {
        self.deposit_lifetime
    }

    /// Records that a run reports from a slot. Returns false if a later run has reported from the slot, so that nothing
    /// may be accepted from this one.
    pub fn admit(&mut self, now: Time, slot: SlotId, run: Epoch) -> bool {
        if self.ended.contains_key(&run) {
            return false;
        }
        if slot == SlotId::NONE || !self.has_capacity_for(now, slot) {
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
            // The table of ended runs is full, so late deposits of that run can't be rejected. The slot is treated as
            // if one had been accepted now.
            known.outstanding_until = now + self.deposit_lifetime;
        }
        known.run = run;
        true
    }

    fn has_capacity_for(&mut self, now: Time, slot: SlotId) -> bool {
        if !self.slots.contains_key(&slot) && self.slots.len() >= MAX_SLOTS {
            self.slots.retain(|_, slot| slot.outstanding_until > now);
            return self.slots.len() < MAX_SLOTS;
        }
        true
    }

    /// Records that a deposit from the slot was accepted.
    pub fn record_deposit(&mut self, now: Time, slot: SlotId) {
        if let Some(slot) = self.slots.get_mut(&slot) {
            slot.outstanding_until = now + self.deposit_lifetime;
        }
    }

    /// Returns how long deposits from the slot may still be outstanding; `None` if this planner does not know.
    pub fn outstanding(&self, now: Time, slot: SlotId) -> Option<Span> {
        let slot = self.slots.get(&slot)?;
        (now >= self.started_at + self.deposit_lifetime).then(|| slot.outstanding_until.since(now))
    }
}
