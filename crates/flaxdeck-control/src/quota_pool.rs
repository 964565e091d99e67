//! The planner's side of the quotas: what forwarders have lent of one incarnation, and to whom it is granted until when.
//!
//! Nothing is granted that is not covered, at every moment until its use can no longer matter, by what was lent for
//! longer.

mod promised_totals;

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::messages::Epoch;
use crate::{LeaseTerms, QuotaFraction};
use promised_totals::slot_of;
pub use promised_totals::{PromisedTotals, TimeSlot, slot_start};

/// How long demand, and the figure of attempts in flight, counts: a few reports.
const DEMAND_LIFETIME: Span = Span::from_ms(1000);

/// What a pool holds, and how much of it is granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolTotals {
    /// Lent to this planner, or its own part.
    pub held: QuotaFraction,
    /// Reserved for grants.
    pub reserved: QuotaFraction,
}

/// The level up to which all demand is served, and the slot for which it was worked out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct FairLevel {
    slot: TimeSlot,
    level: QuotaFraction,
}

/// What a forwarder last demanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Demand {
    amount: QuotaFraction,
    told: Time,
}

/// The attempts that a forwarder last had in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    attempts: u16,
    told: Time,
}

/// What one planner holds of one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct QuotaPool {
    deposits: PromisedTotals,
    /// Until when a grant, and the window after it, can matter.
    reserved: PromisedTotals,
    demand: BTreeMap<Epoch, Demand>,
    fair_level: FairLevel,
    in_flight: BTreeMap<Epoch, InFlight>,
    total_in_flight: u32,
    /// The planner's own part.
    own: QuotaFraction,
}

impl QuotaPool {
    /// Sets the part of the planner's own, which may be granted from `from` on; before that an earlier run may have it
    /// granted.
    pub fn set_own(&mut self, own: QuotaFraction, now: Time, from: Time) {
        self.own = if now >= from {
            own
        } else {
            QuotaFraction::NONE
        };
    }

    /// A forwarder has lent so much. `seen` is this planner's own stamp that the forwarder had seen by then, the earliest
    /// moment at which it can have lent. A deposit that is told several times counts once.
    pub fn add_deposit(
        &mut self,
        lease_terms: LeaseTerms,
        now: Time,
        from: Epoch,
        amount: QuotaFraction,
        seen: Time,
    ) {
        let end = slot_of(seen + lease_terms.deposit_counted_for());
        self.deposits
            .promise(slot_of(now), from, amount.at_most_whole(), end);
    }

    fn held_at(&self, slot: TimeSlot) -> QuotaFraction {
        self.deposits
            .total_at(slot)
            .saturating_add(self.own)
            .at_most_whole()
    }

    /// Grants a forwarder that demands so much now what it can have. All demand divides what there is evenly, the
    /// smallest served in full first (max-min fairness); grants that others have run off before a share moves.
    pub fn grant(
        &mut self,
        lease_terms: LeaseTerms,
        now: Time,
        to: Epoch,
        demand: QuotaFraction,
    ) -> QuotaFraction {
        if demand == QuotaFraction::NONE {
            self.demand.remove(&to);
            return QuotaFraction::NONE;
        }
        let told = Demand {
            amount: demand,
            told: now,
        };
        let is_new = self.demand.insert(to, told).is_none();
        // Rounded up to the end of its slot.
        let begin = slot_of(now);
        let end = slot_of(now + lease_terms.grant_reserved_for()) + 1;
        self.deposits.advance(begin);
        self.reserved.advance(begin);
        if is_new || self.fair_level.slot != begin {
            self.forget_old_demand(now);
            self.fair_level = FairLevel {
                slot: begin,
                level: self.level_of(self.held_at(end - 1)),
            };
        }
        let amount = demand
            .min(self.fair_level.level)
            .min(self.free_within(to, begin, end));
        if amount > QuotaFraction::NONE {
            self.reserved.promise(begin, to, amount, end);
        }
        amount
    }

    /// What others have left free in all slots from `begin` to before `end`.
    fn free_within(&self, to: Epoch, begin: TimeSlot, end: TimeSlot) -> QuotaFraction {
        let free = |slot| {
            let total = self.reserved.total_at(slot);
            let by_others = total.saturating_sub(self.reserved.promised_by(to, slot));
            self.held_at(slot).saturating_sub(by_others)
        };
        (begin..end).map(free).min().unwrap_or_default()
    }

    /// The level up to which all demand is served when it divides so much.
    fn level_of(&self, held: QuotaFraction) -> QuotaFraction {
        let mut demand: Vec<QuotaFraction> =
            self.demand.values().map(|demand| demand.amount).collect();
        demand.sort_unstable();
        let mut left = held;
        let mut level = QuotaFraction::NONE;
        for (served, amount) in demand.iter().enumerate() {
            let each = QuotaFraction(left.0 / (demand.len() - served) as u32);
            level = each.min(*amount);
            left = left.saturating_sub(level);
        }
        level
    }

    fn forget_old_demand(&mut self, now: Time) {
        self.demand
            .retain(|_, demand| now.since(demand.told) < DEMAND_LIFETIME);
    }

    /// A forwarder has so many attempts in flight.
    pub fn record_in_flight(&mut self, now: Time, forwarder: Epoch, attempts: u16) {
        let told = InFlight {
            attempts,
            told: now,
        };
        let before = self
            .in_flight
            .insert(forwarder, told)
            .map_or(0, |before| before.attempts);
        self.total_in_flight = self.total_in_flight + u32::from(attempts) - u32::from(before);
    }

    /// Attempts that others than this forwarder have in flight, as they told lately.
    pub fn peers_in_flight(&self, forwarder: Epoch) -> u32 {
        let own = self
            .in_flight
            .get(&forwarder)
            .map_or(0, |own| u32::from(own.attempts));
        self.total_in_flight - own
    }

    /// Whether others than this forwarder demand some of it, as they told lately.
    pub fn is_demanded_by_peers(&self, forwarder: Epoch) -> bool {
        self.demand.len() > usize::from(self.demand.contains_key(&forwarder))
    }

    /// Forgets what has ended; true if nothing is left. To be called each second.
    pub fn prune(&mut self, now: Time) -> bool {
        self.forget_old_demand(now);
        self.in_flight
            .retain(|_, known| now.since(known.told) < DEMAND_LIFETIME);
        self.total_in_flight = self
            .in_flight
            .values()
            .map(|known| u32::from(known.attempts))
            .sum();
        let no_deposits = self.deposits.prune(now);
        let none_reserved = self.reserved.prune(now);
        no_deposits && none_reserved && self.in_flight.is_empty()
    }

    /// What is held, and what of it is reserved for grants, at that time.
    pub fn totals(&self, at: Time) -> PoolTotals {
        PoolTotals {
            held: self.held_at(slot_of(at)),
            reserved: self.reserved.total_at(slot_of(at)),
        }
    }
}
