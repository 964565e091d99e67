//! A planner's side of the quotas: what forwarders have lent of one incarnation, and who uses it until when. Nothing is
//! granted that is not covered, at every moment until its use can no longer matter, by what was lent for longer.

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::{Span, Time};

use crate::messages::Epoch;
use crate::{LeaseSchedule, LeaseTerms, QuotaFraction};

/// How long a wish, or word of what is in hand, counts: a few reports.
const WISHES_LAST: Span = Span::from_ms(1000);
/// The grain of time in which sums are kept, in milliseconds. Deposits are rounded down to it, grants up.
const SLOT: u64 = 50;

/// A slot of time, counters from the beginning of the planner's clock.
pub type Slot = u64;

fn slot_of(time: Time) -> Slot {
    time.ms() as u64 / SLOT
}

/// When a slot begins.
pub fn start_of(slot: Slot) -> Time {
    Time::at_ms((slot * SLOT) as f64)
}

/// The sum of many parties' staircases by slots: a ring of sums that time moves along. A promise costs the slots that
/// it raises, a look costs one, however many parties there are; adding all staircases up costs a look each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Sums {
    parties: BTreeMap<Epoch, LeaseSchedule>,
    first: Slot,
    slots: VecDeque<u32>,
}

impl Sums {
    fn advance(&mut self, now: Slot) {
        while self.first < now && self.slots.pop_front().is_some() {
            self.first += 1;
        }
        if self.slots.is_empty() {
            self.first = now;
        }
    }

    /// So much more of one party in all slots from now to before `end`, where it had less.
    pub fn promise(&mut self, now: Slot, party: Epoch, amount: QuotaFraction, end: Slot) {
        self.advance(now);
        let stairs = self.parties.entry(party).or_default();
        let length = end.saturating_sub(self.first) as usize;
        if self.slots.len() < length {
            self.slots.resize(length, 0);
        }
        for (slot, sum) in (self.first..end).zip(&mut self.slots) {
            *sum = sum.saturating_add(amount.less(stairs.at(start_of(slot))).0);
        }
        stairs.add(amount, start_of(end));
    }

    /// The sum of all parties in a slot.
    pub fn at(&self, slot: Slot) -> QuotaFraction {
        let place = slot
            .checked_sub(self.first)
            .and_then(|place| self.slots.get(place as usize));
        QuotaFraction(place.copied().unwrap_or(0))
    }

    /// What one party has promised of it.
    pub fn of(&self, party: Epoch, slot: Slot) -> QuotaFraction {
        self.parties
            .get(&party)
            .map_or(QuotaFraction::NONE, |stairs| stairs.at(start_of(slot)))
    }

    /// Forgets what has ended; true if nothing is left.
    pub fn prune(&mut self, now: Time) -> bool {
        self.advance(slot_of(now));
        // By whole slots, as the sums hold them.
        let begun = start_of(slot_of(now));
        self.parties.retain(|_, stairs| !stairs.prune(begun));
        self.parties.is_empty()
    }
}

/// What one planner holds of one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct QuotaPool {
    lent: Sums,
    /// Until when a grant, and the window after it, can matter.
    out: Sums,
    demand: BTreeMap<Epoch, (QuotaFraction, Time)>,
    /// The level up to which all demand are served, and for which slot it was worked out.
    level: (Slot, QuotaFraction),
    in_hand: BTreeMap<Epoch, (u16, Time)>,
    all_in_hand: u32,
    /// The planner's own part.
    own: QuotaFraction,
}

impl QuotaPool {
    /// A part of the planner's own, from `from` on; before that an earlier run may have it out.
    pub fn own(&mut self, own: QuotaFraction, now: Time, from: Time) {
        self.own = if now >= from {
            own
        } else {
            QuotaFraction::NONE
        };
    }

    /// A forwarder has lent so much; `seen` is this planner's stamp that it had seen by then, the earliest moment at
    /// which it can have said so. Several tellings of one deposit count once.
    pub fn lend(
        &mut self,
        lease_terms: LeaseTerms,
        now: Time,
        from: Epoch,
        amount: QuotaFraction,
        seen: Time,
    ) {
        let amount = QuotaFraction(amount.0.min(QuotaFraction::WHOLE.0));
        let end = slot_of(seen + lease_terms.counted_on());
        self.lent.promise(slot_of(now), from, amount, end);
    }

    fn pool_at(&self, slot: Slot) -> QuotaFraction {
        QuotaFraction(
            self.lent
                .at(slot)
                .and(self.own)
                .0
                .min(QuotaFraction::WHOLE.0),
        )
    }

    /// What is granted to a forwarder that demand for so much now. The demand of all divide what there is evenly,
    /// the smallest served whole first (max-min fair); grants that are out run off before a share moves.
    pub fn grant(
        &mut self,
        lease_terms: LeaseTerms,
        now: Time,
        to: Epoch,
        wish: QuotaFraction,
    ) -> QuotaFraction {
        if wish == QuotaFraction::NONE {
            self.demand.remove(&to);
            return QuotaFraction::NONE;
        }
        let new = self.demand.insert(to, (wish, now)).is_none();
        // Rounded up to the end of its slot.
        let (begin, end) = (slot_of(now), slot_of(now + lease_terms.held_as_out()) + 1);
        self.lent.advance(begin);
        self.out.advance(begin);
        if new || self.level.0 != begin {
            self.demand
                .retain(|_, (_, at)| now.since(*at) < WISHES_LAST);
            self.level = (begin, self.level_of(self.pool_at(end - 1)));
        }
        let room = |slot| {
            self.pool_at(slot)
                .less(self.out.at(slot).less(self.out.of(to, slot)))
        };
        let least = (begin..end).map(room).min().unwrap_or(QuotaFraction::NONE);
        let amount = wish.min(self.level.1).min(least);
        if amount > QuotaFraction::NONE {
            self.out.promise(begin, to, amount, end);
        }
        amount
    }

    /// The level up to which all demand are served when they divide so much.
    fn level_of(&self, pool: QuotaFraction) -> QuotaFraction {
        let mut demand: Vec<QuotaFraction> = self.demand.values().map(|(wish, _)| *wish).collect();
        demand.sort_unstable();
        let (mut left, mut level) = (pool, QuotaFraction::NONE);
        for (served, wish) in demand.iter().enumerate() {
            let each = QuotaFraction(left.0 / (demand.len() - served) as u32);
            level = if *wish <= each { *wish } else { each };
            left = left.less(level);
        }
        level
    }

    /// A forwarder has so many attempts out there.
    pub fn in_flight(&mut self, now: Time, who: Epoch, in_hand: u16) {
        let before = self
            .in_hand
            .insert(who, (in_hand, now))
            .map_or(0, |(before, _)| before);
        self.all_in_hand = self.all_in_hand + u32::from(in_hand) - u32::from(before);
    }

    /// Attempts that others have out there, as they said lately.
    pub fn others_in_flight(&self, than: Epoch) -> u32 {
        self.all_in_hand
            - self
                .in_hand
                .get(&than)
                .map_or(0, |(own, _)| u32::from(*own))
    }

    /// Whether anybody else demand for some of it, by what was said lately.
    pub fn wanted_by_others(&self, than: Epoch) -> bool {
        self.demand.len() > usize::from(self.demand.contains_key(&than))
    }

    /// Forgets what has ended; true if nothing is left. To be called each second.
    pub fn prune(&mut self, now: Time) -> bool {
        self.demand
            .retain(|_, (_, at)| now.since(*at) < WISHES_LAST);
        self.in_hand
            .retain(|_, (_, at)| now.since(*at) < WISHES_LAST);
        self.all_in_hand = self.in_hand.values().map(|(out, _)| u32::from(*out)).sum();
        let (lent, out) = (self.lent.prune(now), self.out.prune(now));
        lent && out && self.in_hand.is_empty()
    }

    /// Lent to this planner, or its own, and held as out at that time.
    pub fn totals(&self, at: Time) -> [QuotaFraction; 2] {
        [self.pool_at(slot_of(at)), self.out.at(slot_of(at))]
    }
}
