//! The planner's side of the quotas: what forwarders have lent of one incarnation's quota, and which grants were issued
//! from it.
//!
//! A grant counts as reserved until its use can no longer affect the host's load. At every moment until then, deposits
//! and the planner's own quota cover all reservations.

mod promised_totals;

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::messages::Epoch;
use crate::{LeaseTerms, QuotaFraction};
use promised_totals::slot_of;
pub use promised_totals::{PromisedTotals, TimeSlot, slot_start};

/// How long a reported demand or number of attempts in flight counts: a few report intervals.
const REPORTED_VALUE_LIFETIME: Span = Span::from_ms(1000);

/// Amounts that a pool holds and has reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolTotals {
    /// Lent to this planner, or part of its own quota.
    pub held: QuotaFraction,
    /// Reserved for grants.
    pub reserved: QuotaFraction,
}

/// The max-min fair share: each demand is served up to this level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct FairLevel {
    /// The slot for which the level was computed.
    slot: TimeSlot,
    level: QuotaFraction,
}

/// A forwarder's last reported demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Demand {
    amount: QuotaFraction,
    reported_at: Time,
}

/// A forwarder's last reported number of attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    attempts: u16,
    reported_at: Time,
}

/// One planner's deposits, reservations and demand for one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct QuotaPool {
    deposits: PromisedTotals,
    /// Grants, until the end of the window after each of them.
    reserved: PromisedTotals,
    demand: BTreeMap<Epoch, Demand>,
    fair_level: FairLevel,
    in_flight: BTreeMap<Epoch, InFlight>,
    total_in_flight: u32,
    /// The planner's own part of the quota.
    own_quota: QuotaFraction,
}

impl QuotaPool {
    /// Sets the planner's own part of the quota, which may be granted from `from` on. Until then, grants of an earlier
    /// run may use it.
    pub fn set_own_quota(&mut self, own_quota: QuotaFraction, now: Time, from: Time) {
        self.own_quota = if now >= from {
            own_quota
        } else {
            QuotaFraction::NONE
        };
    }

    /// Records a forwarder's deposit. `echoed` is this planner's own stamp that the forwarder echoed: the forwarder
    /// cannot have lent earlier. A deposit that is reported repeatedly counts once.
    pub fn add_deposit(
        &mut self,
        lease_terms: LeaseTerms,
        now: Time,
        from: Epoch,
        amount: QuotaFraction,
        echoed: Time,
    ) {
        let end = slot_of(echoed + lease_terms.deposit_counted_for());
        self.deposits
            .promise(slot_of(now), from, amount.at_most_whole(), end);
    }

    fn held_at(&self, slot: TimeSlot) -> QuotaFraction {
        self.deposits
            .total_at(slot)
            .saturating_add(self.own_quota)
            .at_most_whole()
    }

    /// Returns the amount that is granted to a forwarder for its demand. The amount held is divided by max-min
    /// fairness: evenly among all demand, but with small demands served in full. A share moves from one forwarder to
    /// another only when the grants of the former expire.
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
        let demanded = Demand {
            amount: demand,
            reported_at: now,
        };
        let is_new = self.demand.insert(to, demanded).is_none();
        let begin = slot_of(now);
        // Rounded up to the end of the slot.
        let end = slot_of(now + lease_terms.grant_reserved_for()) + 1;
        self.deposits.advance(begin);
        self.reserved.advance(begin);
        if is_new || self.fair_level.slot != begin {
            self.prune_demand(now);
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

    /// Returns the amount that is not reserved for other forwarders in any slot from `begin` to before `end`.
    fn free_within(&self, to: Epoch, begin: TimeSlot, end: TimeSlot) -> QuotaFraction {
        let free = |slot| {
            let total = self.reserved.total_at(slot);
            let by_others = total.saturating_sub(self.reserved.promised_by(to, slot));
            self.held_at(slot).saturating_sub(by_others)
        };
        (begin..end).map(free).min().unwrap_or_default()
    }

    /// Returns the level up to which each demand is served if `held` is divided among all demand by max-min fairness.
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

    fn prune_demand(&mut self, now: Time) {
        self.demand
            .retain(|_, demand| now.since(demand.reported_at) < REPORTED_VALUE_LIFETIME);
    }

    /// Records the number of attempts that a forwarder has in flight.
    pub fn record_in_flight(&mut self, now: Time, forwarder: Epoch, attempts: u16) {
        let reported = InFlight {
            attempts,
            reported_at: now,
        };
        let before = self
            .in_flight
            .insert(forwarder, reported)
            .map_or(0, |before| before.attempts);
        self.total_in_flight = self.total_in_flight + u32::from(attempts) - u32::from(before);
    }

    /// Returns the attempts that all other forwarders have in flight, as they recently reported.
    pub fn peers_in_flight(&self, forwarder: Epoch) -> u32 {
        let own = self
            .in_flight
            .get(&forwarder)
            .map_or(0, |own| u32::from(own.attempts));
        self.total_in_flight - own
    }

    /// Returns whether other forwarders demand quota of the incarnation, as they recently reported.
    pub fn is_demanded_by_peers(&self, forwarder: Epoch) -> bool {
        self.demand.len() > usize::from(self.demand.contains_key(&forwarder))
    }

    /// Removes expired deposits, reservations and reported values. Returns true if none is left, so that the pool can
    /// be removed. Must be called every second.
    pub fn prune(&mut self, now: Time) -> bool {
        self.prune_demand(now);
        self.in_flight
            .retain(|_, known| now.since(known.reported_at) < REPORTED_VALUE_LIFETIME);
        self.total_in_flight = self
            .in_flight
            .values()
            .map(|known| u32::from(known.attempts))
            .sum();
        let no_deposits = self.deposits.prune(now);
        let none_reserved = self.reserved.prune(now);
        no_deposits && none_reserved && self.in_flight.is_empty()
    }

    /// Returns the amounts held and reserved for grants at `at`.
    pub fn totals(&self, at: Time) -> PoolTotals {
        PoolTotals {
            held: self.held_at(slot_of(at)),
            reserved: self.reserved.total_at(slot_of(at)),
        }
    }
}
