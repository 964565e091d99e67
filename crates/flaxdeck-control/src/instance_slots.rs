//! The planner's memory of instance_slots: which run of a forwarder holds each, and how long something may be out that the seat
//! has lent. A forwarder that returns without a store learns from it that nothing is, and uses its share at once.
//!
//! That is safe for two reasons. Who has met a later run of a seat takes nothing more from an earlier one, so a report
//! that was on its way when that run ended can't lend what the later one already uses. And a planner that has started
//! so lately that an earlier run of its own may have taken something says that it can't tell.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::LeaseTerms;
use crate::messages::{Epoch, SlotId};

/// The most instance_slots and ended runs that are remembered; past that a seat is told that nobody can tell.
const MAX_SEATS: usize = 4_096;

struct Slot {
    run: Epoch,
    /// Nothing that it lent is out after that.
    out_until: Time,
}

pub struct InstanceSlots {
    born: Time,
    /// For how long something may be out, from when it was taken.
    pub lasts: Span,
    instance_slots: BTreeMap<SlotId, Slot>,
    /// Runs that a later one has followed, until when they could still lend.
    ended: BTreeMap<Epoch, Time>,
}

impl InstanceSlots {
    pub fn new(now: Time, lease_terms: LeaseTerms) -> InstanceSlots {
        // A loan by the lender's clock, as long as that can be by this one's, and told to a third.
        let lasts = lease_terms.lent * (1.0 + f64::from(lease_terms.drift) / 1000.0 * 5.0);
        InstanceSlots {
            born: now,
            lasts,
            instance_slots: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// A run reports from a seat; false if a later one has been met there, and nothing may be taken from it.
    pub fn met(&mut self, now: Time, seat: SlotId, run: Epoch) -> bool {
        if self.ended.contains_key(&run) {
            return false;
        }
        if seat == SlotId(0) {
            return true;
        }
        if !self.instance_slots.contains_key(&seat) && self.instance_slots.len() >= MAX_SEATS {
            self.instance_slots.retain(|_, seat| seat.out_until > now);
            if self.instance_slots.len() >= MAX_SEATS {
                return true;
            }
        }
        let known = self.instance_slots.entry(seat).or_insert(Slot {
            run,
            out_until: now,
        });
        if known.run != run {
            self.ended.retain(|_, until| *until > now);
            if self.ended.len() < MAX_SEATS {
                self.ended.insert(known.run, now + self.lasts);
            } else {
                // Without room to remember that run its loans can't be kept out: all that it could lend counts as out.
                known.out_until = now + self.lasts;
            }
            known.run = run;
        }
        true
    }

    /// What a seat lends has been taken.
    pub fn lent(&mut self, now: Time, seat: SlotId) {
        let until = now + self.lasts;
        self.instance_slots
            .get_mut(&seat)
            .into_iter()
            .for_each(|seat| seat.out_until = until);
    }

    /// For how long something may still be out that the seat lent; none if this planner can't tell.
    pub fn owes(&self, now: Time, seat: SlotId) -> Option<Span> {
        let seat = self.instance_slots.get(&seat)?;
        (now >= self.born + self.lasts).then(|| seat.out_until.since(now))
    }
}
