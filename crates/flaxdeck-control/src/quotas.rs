//! A forwarder's quota of what each warming host can take.
//!
//! Each forwarder has an equal share of its own and needs nobody's permission to use it. What it does not need it lends
//! to a planner for a while; what it lacks it borrows. The sum over all forwarders never exceeds the whole, whichever of
//! them is cut off, restarted or mistaken about the lease holder, because a share is either used by its owner or lent by
//! it, and only what was lent can be granted.

mod balance;
mod lending_permit;

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::messages::{Epoch, Grant, Incarnation, LeaseReport, MAX_INCARNATIONS};
use crate::{LeaseTerms, QuotaFraction};
use balance::{Balance, Offer};
use lending_permit::LendingPermit;

/// How long others' demand for an incarnation counts, from when it was asked for: two reports. Where answers take longer
/// nothing is lent, as a grant would come too late to be of use.
const PEER_DEMAND_LIFETIME: Span = Span::from_ms(500);
/// Over how long unmet demand is averaged: a few reports, so that one unlucky request is no demand.
const UNMET_AVERAGED_OVER: Span = Span::from_ms(500);

/// How a forwarder uses a warming host, as the decision engine tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmupReport {
    /// The warming host.
    pub incarnation: Incarnation,
    /// This forwarder's own share.
    pub own_share: QuotaFraction,
    /// What it used within the window.
    pub used: QuotaFraction,
    /// Its attempts in flight there.
    pub in_flight: u16,
    /// What it did not send there for want of quota since the last report.
    pub unmet: QuotaFraction,
}

/// Why a grant was not taken.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidGrant {
    /// It lasts longer than the lease terms have it.
    #[error("it lasts {lasts_ms} ms, where {most_ms} ms are agreed on")]
    TooLong {
        /// How long it lasts.
        lasts_ms: u32,
        /// The longest that is agreed on.
        most_ms: f64,
    },
    /// It is more than the whole of what a host can take.
    #[error("it is {0:?}, which is more than the whole")]
    MoreThanWhole(QuotaFraction),
}

/// What a forwarder has lent and been granted over all warming hosts, as multiples of one host's whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseTotals {
    /// Lent to planners.
    pub lent: f64,
    /// Granted by planners.
    pub granted: f64,
}

/// All that a forwarder has lent and been granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quotas {
    lease_terms: LeaseTerms,
    /// From when on its own shares may be used: an earlier run may have lent them.
    own_share_from: Time,
    balances: BTreeMap<Incarnation, Balance>,
    /// Incarnations that others demand some of, and until when that counts.
    peer_demand: BTreeMap<Incarnation, Time>,
    last_update: Option<Time>,
    lending_permit: LendingPermit,
}

impl Quotas {
    /// Those of a forwarder that has just started and may have lent its shares before.
    pub fn new(now: Time, lease_terms: LeaseTerms) -> Quotas {
        Quotas {
            lease_terms,
            own_share_from: now + lease_terms.forwarder_startup_wait(),
            balances: BTreeMap::new(),
            peer_demand: BTreeMap::new(),
            last_update: None,
            lending_permit: LendingPermit::default(),
        }
    }

    /// Those of a forwarder that has no planner to lend to, and may use its own shares from the start.
    pub fn without_planners(now: Time, lease_terms: LeaseTerms) -> Quotas {
        Quotas {
            own_share_from: now,
            ..Quotas::new(now, lease_terms)
        }
    }

    /// Takes in how all warming hosts are used. Others are forgotten once nothing of them is lent or granted.
    pub fn update_usage(&mut self, now: Time, warming: impl IntoIterator<Item = WarmupReport>) {
        let decay = self
            .last_update
            .replace(now)
            .map_or(1.0, |last| now.since(last).ms() / UNMET_AVERAGED_OVER.ms())
            .min(1.0);
        // What goes unmet over the averaging time would be so much more within a window.
        let scale = (self.lease_terms.window.ms() / UNMET_AVERAGED_OVER.ms()).max(1.0);
        for balance in self.balances.values_mut() {
            balance.begin_update(now, decay);
        }
        for report in warming {
            let unmet = QuotaFraction::rounded_up(report.unmet.as_f64() * scale);
            let balance = self.balances.entry(report.incarnation).or_default();
            balance.own_share = report.own_share;
            balance.used = report.used;
            balance.in_flight = report.in_flight;
            balance.unmet = balance.unmet.saturating_add(unmet);
        }
        self.peer_demand.retain(|_, until| *until > now);
        self.balances.retain(|_, balance| !balance.is_settled());
    }

    /// Others demand some of an incarnation, as was true at that time. What nobody demands is not lent: it would only be
    /// missed when this forwarder's own demand returns.
    pub fn record_peer_demand(&mut self, now: Time, true_at: Time, incarnation: &Incarnation) {
        let until = true_at + PEER_DEMAND_LIFETIME;
        if until > now && self.balances.contains_key(incarnation) {
            self.peer_demand.insert(incarnation.clone(), until);
        }
    }

    /// What is lent to a planner and demanded of it, of the incarnations whose lease holder it is. To be sent at once:
    /// what is lent is not used from this moment on, whether the message arrives or not.
    pub fn lease_reports(
        &mut self,
        now: Time,
        planner: Epoch,
        is_lease_holder: impl Fn(&Incarnation) -> bool,
    ) -> Vec<LeaseReport> {
        let has_own_share = self.has_own_share(now);
        let until = now + self.lease_terms.deposit_duration;
        let permitted = self.lending_permit.covers(until);
        let mut reports = Vec::new();
        for (incarnation, balance) in &mut self.balances {
            if reports.len() >= MAX_INCARNATIONS {
                break;
            }
            if !is_lease_holder(incarnation) {
                continue;
            }
            balance.record_demand(now, self.lease_terms.window, has_own_share);
            let demanded_until = self.peer_demand.get(incarnation);
            let demanded = demanded_until.is_some_and(|until| *until > now);
            let mut deposit = QuotaFraction::NONE;
            if demanded && has_own_share {
                deposit = balance.spare(now, planner);
            }
            if deposit > QuotaFraction::NONE && !permitted {
                self.lending_permit.record_shortfall();
                deposit = QuotaFraction::NONE;
            }
            let Offer { deposit, demand } =
                balance.offer(now, planner, deposit, until, has_own_share);
            // One with neither still tells the attempts in flight.
            reports.push(LeaseReport {
                incarnation: incarnation.clone(),
                deposit,
                demand,
                in_flight: balance.in_flight,
            });
        }
        reports
    }

    /// Takes in a grant that answers the report written at `asked`. What is granted beyond the demand is cut off; a grant
    /// for a host that is not warming any more does nothing.
    ///
    /// # Errors
    ///
    /// [`InvalidGrant`] if it can't have been agreed on.
    pub fn accept_grant(
        &mut self,
        now: Time,
        planner: Epoch,
        asked: Time,
        grant: &Grant,
    ) -> Result<(), InvalidGrant> {
        let Some(balance) = self.balances.get_mut(&grant.incarnation) else {
            return Ok(());
        };
        let most_ms = self.lease_terms.grant_duration.ms();
        if f64::from(grant.lasts_ms) > most_ms {
            return Err(InvalidGrant::TooLong {
                lasts_ms: grant.lasts_ms,
                most_ms,
            });
        }
        if grant.amount > QuotaFraction::WHOLE {
            return Err(InvalidGrant::MoreThanWhole(grant.amount));
        }
        let until = asked + Span::from_ms(u64::from(grant.lasts_ms));
        if until > now {
            balance.add_grant(planner, grant.amount, until);
        }
        Ok(())
    }

    /// Its own shares may be used after so long: what an earlier run lent is known.
    pub fn set_startup_wait(&mut self, now: Time, wait: Span) {
        self.own_share_from = now + wait;
    }

    /// Its own shares may be used by then, if not sooner.
    pub fn use_own_share_by(&mut self, until: Time) {
        self.own_share_from = self.own_share_from.min(until);
    }

    /// From now on nothing is lent without a permit: what is lent must be known to the next run.
    pub fn require_lending_permit(&mut self, now: Time) {
        self.lending_permit.require(now);
    }

    /// Until when a permit to lend is requested now; none if there is enough, or none is needed.
    pub fn requested_lending_permit(&mut self, now: Time) -> Option<Time> {
        let lends = self.balances.values().any(Balance::lends);
        self.lending_permit
            .request(now, self.lease_terms.deposit_duration, lends)
    }

    /// Lending until that time is stored where the next run will find it.
    pub fn extend_lending_permit(&mut self, until: Time) {
        self.lending_permit.extend(until);
    }

    /// From when on its own shares may be used.
    pub fn own_share_from(&self) -> Time {
        self.own_share_from
    }

    /// Whether its own shares may be used yet.
    pub fn has_own_share(&self, now: Time) -> bool {
        now >= self.own_share_from
    }

    /// What may be used of each incarnation now.
    pub fn usable(&self, now: Time) -> impl Iterator<Item = (&Incarnation, QuotaFraction)> {
        let has_own_share = self.has_own_share(now);
        self.balances
            .iter()
            .map(move |(incarnation, balance)| (incarnation, balance.usable(now, has_own_share)))
    }

    /// When what may be used changes by itself next.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        self.balances
            .values()
            .flat_map(Balance::lease_ends)
            .chain([self.own_share_from])
            .filter(|end| *end > now)
            .min()
    }

    /// What is lent and granted now over all incarnations, for the log.
    pub fn totals(&self, now: Time) -> LeaseTotals {
        let mut totals = LeaseTotals::default();
        for balance in self.balances.values() {
            totals.lent += balance.lent(now).as_f64();
            totals.granted += balance.granted(now).as_f64();
        }
        totals
    }
}
