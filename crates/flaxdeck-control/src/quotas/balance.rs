//! What a forwarder has of one incarnation: its own share, what it lent, what it was granted, and what it demands.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::messages::Epoch;
use crate::{LeaseSchedule, QuotaFraction};

/// Hundredths of what was used within the window that count as demand: it may grow from one report to the next.
const DEMAND_GROWTH_PERCENT: u64 = 150;
/// How long the highest demand is kept back from lending. What is lent returns only after a window and more, so demand
/// that may return within that time would be worse off than with no lending at all.
const PEAK_LIFETIME: Span = Span::from_ms(30_000);
/// Hundredths of the own share that are never lent, so that a first request need not wait for a grant.
const FLOOR_PERCENT: u32 = 10;
/// The least that is lent or borrowed: a thousandth. Less would cost more messages than requests.
const MIN_LEASE: QuotaFraction = QuotaFraction(1_000);

/// The highest demand of late.
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

/// What goes into a report.
pub(super) struct Offer {
    pub(super) deposit: QuotaFraction,
    pub(super) demand: QuotaFraction,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Balance {
    pub(super) own_share: QuotaFraction,
    /// What was used within the window.
    pub(super) used: QuotaFraction,
    /// What went unmet lately, as it would come to within a window.
    pub(super) unmet: QuotaFraction,
    pub(super) in_flight: u16,
    /// The highest demand that is kept back from lending.
    peak: Peak,
    /// The highest demand within the window: a grant shows in what is used only once the window has filled.
    recent: Peak,
    lent: BTreeMap<Epoch, LeaseSchedule>,
    granted: BTreeMap<Epoch, LeaseSchedule>,
    /// What was last demanded of each planner: none may grant more.
    demanded: BTreeMap<Epoch, QuotaFraction>,
}

fn sum<'a>(schedules: impl Iterator<Item = &'a LeaseSchedule>, at: Time) -> QuotaFraction {
    schedules.fold(QuotaFraction::NONE, |sum, schedule| {
        sum.saturating_add(schedule.amount_at(at))
    })
}

impl Balance {
    /// Forgets what was told last and what has ended; `decay` is the part of the unmet demand that has aged out.
    pub(super) fn begin_update(&mut self, now: Time, decay: f64) {
        self.used = QuotaFraction::NONE;
        self.own_share = QuotaFraction::NONE;
        self.in_flight = 0;
        self.unmet = QuotaFraction::rounded_down(self.unmet.as_f64() * (1.0 - decay));
        self.lent.retain(|_, schedule| !schedule.prune(now));
        self.granted.retain(|_, schedule| !schedule.prune(now));
    }

    /// Whether nothing of it matters any more.
    pub(super) fn is_settled(&self) -> bool {
        self.own_share == QuotaFraction::NONE
            && self.unmet == QuotaFraction::NONE
            && self.lent.is_empty()
            && self.granted.is_empty()
    }

    /// Whether something is lent.
    pub(super) fn lends(&self) -> bool {
        !self.lent.is_empty()
    }

    /// What is lent to all planners.
    pub(super) fn lent(&self, at: Time) -> QuotaFraction {
        sum(self.lent.values(), at)
    }

    /// What is granted by all planners.
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

    /// What may be used now.
    pub(super) fn usable(&self, at: Time, has_own_share: bool) -> QuotaFraction {
        self.own_share_left(at, has_own_share)
            .saturating_add(self.granted(at))
            .at_most_whole()
    }

    /// Takes the demand into the peaks. Without an own share to lend nothing need be kept back.
    pub(super) fn record_demand(&mut self, now: Time, window: Span, has_own_share: bool) {
        let grown = u64::from(self.used.0) * DEMAND_GROWTH_PERCENT / 100;
        let demand = QuotaFraction(grown as u32).saturating_add(self.unmet);
        self.recent.record(now, demand, window);
        if has_own_share {
            self.peak.record(now, demand, PEAK_LIFETIME);
        }
    }

    /// What can be lent to a planner. What is lent to it already counts as lent again: the deposit goes on for as long
    /// as it is not needed.
    pub(super) fn spare(&self, now: Time, planner: Epoch) -> QuotaFraction {
        let other_planners = self.lent.iter().filter(|(epoch, _)| **epoch != planner);
        let lent_to_others = sum(other_planners.map(|(_, schedule)| schedule), now);
        let floor = QuotaFraction(self.own_share.0 / 100 * FLOOR_PERCENT);
        let kept = self.peak.demand.max(floor);
        let spare = self
            .own_share
            .saturating_sub(lent_to_others)
            .saturating_sub(kept);
        if spare < MIN_LEASE {
            QuotaFraction::NONE
        } else {
            spare
        }
    }

    /// Lends `deposit` to a planner until that time, or demands what is lacking.
    pub(super) fn offer(
        &mut self,
        now: Time,
        planner: Epoch,
        deposit: QuotaFraction,
        until: Time,
        has_own_share: bool,
    ) -> Offer {
        let lacking = self
            .recent
            .demand
            .saturating_sub(self.own_share_left(now, has_own_share))
            .at_most_whole();
        let lends = deposit > QuotaFraction::NONE;
        let demand = if lends || lacking < MIN_LEASE {
            QuotaFraction::NONE
        } else {
            lacking
        };
        if lends {
            self.lent.entry(planner).or_default().add(deposit, until);
        }
        self.demanded.insert(planner, demand);
        Offer { deposit, demand }
    }

    /// A planner grants so much until then, of which no more counts than was demanded of it.
    pub(super) fn add_grant(&mut self, planner: Epoch, amount: QuotaFraction, until: Time) {
        let demanded = self.demanded.get(&planner).copied().unwrap_or_default();
        self.granted
            .entry(planner)
            .or_default()
            .add(amount.min(demanded), until);
    }

    /// When what is lent or granted falls.
    pub(super) fn lease_ends(&self) -> impl Iterator<Item = Time> {
        self.lent
            .values()
            .chain(self.granted.values())
            .flat_map(LeaseSchedule::step_ends)
    }
}
