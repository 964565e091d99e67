//! The sum of many parties' lease schedules by slots of time.

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::Time;

use crate::messages::Epoch;
use crate::{LeaseSchedule, QuotaFraction};

/// The grain of time in which totals are kept, in milliseconds. Deposits are rounded down to it, grants up.
const SLOT_MS: u64 = 50;

/// A slot of time, counted from the beginning of the planner's clock.
pub type TimeSlot = u64;

/// The slot in which a moment falls.
pub(super) fn slot_of(time: Time) -> TimeSlot {
    time.ms() as u64 / SLOT_MS
}

/// When a slot begins.
pub fn slot_start(slot: TimeSlot) -> Time {
    Time::at_ms((slot * SLOT_MS) as f64)
}

/// The sum of many parties' lease schedules: a ring of totals by slots, along which time moves.
///
/// A promise costs the slots that it raises and a look costs one, however many parties there are; adding all schedules up
/// would cost one look each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PromisedTotals {
    parties: BTreeMap<Epoch, LeaseSchedule>,
    first: TimeSlot,
    totals: VecDeque<u32>,
}

impl PromisedTotals {
    /// Drops the slots before `now`.
    pub(super) fn advance(&mut self, now: TimeSlot) {
        while self.first < now && self.totals.pop_front().is_some() {
            self.first += 1;
        }
        if self.totals.is_empty() {
            self.first = now;
        }
    }

    /// Raises one party's promise to that amount in all slots from `now` to before `end` where it is less.
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

    /// The sum of all parties' promises in a slot.
    pub fn total_at(&self, slot: TimeSlot) -> QuotaFraction {
        let total = slot
            .checked_sub(self.first)
            .and_then(|place| self.totals.get(place as usize));
        QuotaFraction(total.copied().unwrap_or(0))
    }

    /// One party's promise in a slot.
    pub fn promised_by(&self, party: Epoch, slot: TimeSlot) -> QuotaFraction {
        self.parties
            .get(&party)
            .map_or(QuotaFraction::NONE, |schedule| {
                schedule.amount_at(slot_start(slot))
            })
    }

    /// Forgets what has ended; true if nothing is left.
    pub fn prune(&mut self, now: Time) -> bool {
        self.advance(slot_of(now));
        // By whole slots, as the totals hold them.
        let begun = slot_start(slot_of(now));
        self.parties.retain(|_, schedule| !schedule.prune(begun));
        self.parties.is_empty()
    }
}
