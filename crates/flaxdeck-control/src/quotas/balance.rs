//! A forwarder's balance for one incarnation: its own share, deposits, grants and demand.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::messages::Epoch;
use crate::{LeaseSchedule, QuotaFraction};

/// Demand as a percentage of the quota used within the window. The margin above 100 allows for growth from one report
/// to the next.
const DEMAND_GROWTH_PERCENT: u64 = 150;
/// How long the highest demand is excluded from lending. A deposit returns only after a window and more, so demand that
/// returns sooner than that would be worse off than without any lending.
const PEAK_LIFETIME: Span = Span::from_ms(30_000);
/// Percentage of the own share that is never lent, so that a first request need not wait for a grant.
const MIN_RETAINED_PERCENT: u32 = 10;
/// Minimum amount that is lent or borrowed, a thousandth of the full quota. Less would cost more messages than it would
/// allow requests.
const MIN_LEASE: QuotaFraction = QuotaFraction(1_000);

/// The highest recent demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Peak {
    demand: QuotaFraction,
    at: Time,
}

impl Peak {
    fn record(&mut self, now: Time, demand: QuotaFraction, lifetime: Span) {
        if demand >= self.demand || now.since(self.at) >= lifetime {
            *self = Peak { demand, at: now };
        }
    }
}

/// The amounts that go into a lease report.
pub(super) struct Offer {
    pub(super) deposit: QuotaFraction,
    pub(super) demand: QuotaFraction,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Balance {
    pub(super) own_share: QuotaFraction,
    /// Quota used within the window.
    pub(super) used: QuotaFraction,
    /// Recent unmet demand, extrapolated to a window.
    pub(super) unmet: QuotaFraction,
    pub(super) in_flight: u16,
    /// The highest demand within [`PEAK_LIFETIME`], which is excluded from lending.
    peak: Peak,
    /// The highest demand within the window. The quota used reflects a grant only after a full window, so the current
    /// demand alone would drop too early.
    recent: Peak,
    lent: BTreeMap<Epoch, LeaseSchedule>,
    granted: BTreeMap<Epoch, LeaseSchedule>,
    /// The last demand sent to each planner, which limits its grants.
    demanded: BTreeMap<Epoch, QuotaFraction>,
}

fn sum<'a>(schedules: impl Iterator<Item = &'a LeaseSchedule>, at: Time) -> QuotaFraction {
    schedules.fold(QuotaFraction::NONE, |sum, schedule| {
        sum.saturating_add(schedule.amount_at(at))
    })
}

impl Balance {
    /// Resets the values of the last update and removes expired leases. `decay` is the fraction of the unmet demand
    /// that has aged out.
    pub(super) fn begin_update(&mut self, now: Time, decay: f64) {
        self.used = QuotaFraction::NONE;
        self.own_share = QuotaFraction::NONE;
        self.in_flight = 0;
        self.unmet = QuotaFraction::rounded_down(self.unmet.as_f64() * (1.0 - decay));
        self.lent.retain(|_, schedule| !schedule.prune(now));
        self.granted.retain(|_, schedule| !schedule.prune(now));
    }

    /// Returns whether the balance can be removed.
    pub(super) fn is_settled(&self) -> bool {
        self.own_share == QuotaFraction::NONE
            && self.unmet == QuotaFraction::NONE
            && self.lent.is_empty()
            && self.granted.is_empty()
    }

    /// Returns whether any amount is lent.
    pub(super) fn lends(&self) -> bool {
        !self.lent.is_empty()
    }

    /// Returns the total lent to all planners.
    pub(super) fn lent(&self, at: Time) -> QuotaFraction {
        sum(self.lent.values(), at)
    }

    /// Returns the total granted by all planners.
    pub(super) fn granted(&self, at: Time) -> QuotaFraction {
        sum(self.granted.values(), at)
    }

    fn own_share_left(&self, at: Time, has_own_share: bool) -> QuotaFraction {
        if has_own_share {
            self.own_share.saturating_sub(self.lent(at))
        } else {
            QuotaFraction::NONE
        }
    }

    /// Returns the quota that may be used at `at`.
    pub(super) fn usable(&self, at: Time, has_own_share: bool) -> QuotaFraction {
        self.own_share_left(at, has_own_share)
            .saturating_add(self.granted(at))
            .at_most_whole()
    }

    /// Records the current demand in the peaks. Without an own share to lend, there is nothing to exclude from lending.
    pub(super) fn record_demand(&mut self, now: Time, window: Span, has_own_share: bool) {
        let grown = u64::from(self.used.0) * DEMAND_GROWTH_PERCENT / 100;
        let demand = QuotaFraction(grown as u32).saturating_add(self.unmet);
        self.recent.record(now, demand, window);
        if has_own_share {
            self.peak.record(now, demand, PEAK_LIFETIME);
        }
    }

    /// Returns the amount that can be lent to a planner. The existing deposit with that planner counts as available, as
    /// the new one renews it: a deposit goes on for as long as the forwarder does not need it.
    pub(super) fn spare(&self, now: Time, planner: Epoch) -> QuotaFraction {
        let other_planners = self.lent.iter().filter(|(epoch, _)| **epoch != planner);
        let lent_to_others = sum(other_planners.map(|(_, schedule)| schedule), now);
        let min_retained = QuotaFraction(self.own_share.0 / 100 * MIN_RETAINED_PERCENT);
        let retained = self.peak.demand.max(min_retained);
        let spare = self
            .own_share
            .saturating_sub(lent_to_others)
            .saturating_sub(retained);
        if spare < MIN_LEASE {
            QuotaFraction::NONE
        } else {
            spare
        }
    }

    /// Lends `deposit` to a planner until `until`. If there is nothing to lend, demands the shortfall instead.
    pub(super) fn offer(
        &mut self,
        now: Time,
        planner: Epoch,
        deposit: QuotaFraction,
        until: Time,
        has_own_share: bool,
    ) -> Offer {
        let shortfall = self
            .recent
            .demand
            .saturating_sub(self.own_share_left(now, has_own_share))
            .at_most_whole();
        let lends = deposit > QuotaFraction::NONE;
        let demand = if lends || shortfall < MIN_LEASE {
            QuotaFraction::NONE
        } else {
            shortfall
        };
        if lends {
            self.lent.entry(planner).or_default().add(deposit, until);
        }
        self.demanded.insert(planner, demand);
        Offer { deposit, demand }
    }

    /// Records a planner's grant until `until`, limited to the last demand sent to that planner.
    pub(super) fn add_grant(&mut self, planner: Epoch, amount: QuotaFraction, until: Time) {
        let demanded = self.demanded.get(&planner).copied().unwrap_or_default();
        self.granted
            .entry(planner)
            .or_default()
            .add(amount.min(demanded), until);
    }

    /// Returns the times at which an amount lent or granted decreases.
    pub(super) fn lease_ends(&self) -> impl Iterator<Item = Time> {
        self.lent
            .values()
            .chain(self.granted.values())
            .flat_map(LeaseSchedule::step_ends)
    }
}
