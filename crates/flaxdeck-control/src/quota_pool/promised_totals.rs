//! Sums of many parties' lease schedules, by time slot.

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::Time;

use crate::messages::Epoch;
use crate::{LeaseSchedule, QuotaFraction};

/// Length of a time slot in milliseconds. The ends of deposits are rounded down to slots, those of grants up.
const SLOT_MS: u64 = 50;

/// Number of a time slot, counted from time zero of the planner's clock.
pub type TimeSlot = u64;

/// Returns the slot that contains a time.
pub(super) fn slot_of(time: Time) -> TimeSlot {
    time.ms() as u64 / SLOT_MS
}

/// Returns the start time of a slot.
pub fn slot_start(slot: TimeSlot) -> Time {
    Time::at_ms((slot * SLOT_MS) as f64)
}

/// Sums of many parties' lease schedules: a queue of totals per time slot, which advances with time.
///
/// Adding a promise takes time linear in the slots that it covers, and reading a total takes constant time, independent
/// of the number of parties. Adding up all schedules would take time linear in the number of parties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PromisedTotals {
    parties: BTreeMap<Epoch, LeaseSchedule>,
    first: TimeSlot,
    totals: VecDeque<u32>,
}

impl PromisedTotals {
    /// Removes the slots before `now`.
    pub(super) fn advance(&mut self, now: TimeSlot) {
        while self.first < now && self.totals.pop_front().is_some() {
            self.first += 1;
        }
        if self.totals.is_empty() {
            self.first = now;
        }
    }

    /// Raises one party's promise to `amount` in all slots from `now` to before `end` in which it is lower.
    pub fn promise(&mut self, now: TimeSlot, party: Epoch, amount: QuotaFraction, end: TimeSlot) {
        self.advance(now);
        let schedule = self.parties.entry(party).or_default();
        let length = end.saturating_sub(self.first) as usize;
        if self.totals.len() < length {
            self.totals.resize(length, 0);
        }
        for (slot, total) in (self.first..end).zip(&mut self.totals) {
            let raise = amount.saturating_sub(schedule.amount_at(slot_start(slot)));
            *total = total.saturating_add(raise.0);
        }
        schedule.add(amount, slot_start(end));
    }

    /// Returns the sum of all parties' promises in a slot.
    pub fn total_at(&self, slot: TimeSlot) -> QuotaFraction {
        let total = slot
            .checked_sub(self.first)
            .and_then(|index| self.totals.get(index as usize));
        QuotaFraction(total.copied().unwrap_or(0))
    }

    /// Returns one party's promise in a slot.
    pub fn promised_by(&self, party: Epoch, slot: TimeSlot) -> QuotaFraction {
        self.parties
            .get(&party)
            .map_or(QuotaFraction::NONE, |schedule| {
                schedule.amount_at(slot_start(slot))
            })
    }

    /// Removes expired promises; returns true if none is left.
    pub fn prune(&mut self, now: Time) -> bool {
        self.advance(slot_of(now));
        // Rounds down to the start of the slot, because the totals are kept by whole slots.
        let slot_begin = slot_start(slot_of(now));
        self.parties
            .retain(|_, schedule| !schedule.prune(slot_begin));
        self.parties.is_empty()
    }
}
