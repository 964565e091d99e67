//! A forwarder's quotas of warming hosts.
//!
//! Each forwarder owns an equal share of a warming host's quota and may use it without asking anyone. It lends what it
//! does not need to a planner for a limited time, and borrows what it lacks. The sum over all forwarders never exceeds
//! the host's full quota, even if some of them are partitioned, restart or disagree about the lease holder, because at
//! any time a share is either used by its owner or lent by it, and only what was lent can be granted.

mod balance;
mod lending_permit;

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::messages::{Epoch, Grant, Incarnation, LeaseReport, MAX_INCARNATIONS};
use crate::{LeaseTerms, QuotaFraction};
use balance::{Balance, Offer};
use lending_permit::LendingPermit;

/// How long demand of other forwarders counts, from when the report was created that the guidance answers: two report
/// intervals. If answers take longer nothing is lent, as grants would arrive too late to be of use.
const PEER_DEMAND_LIFETIME: Span = Span::from_ms(500);
/// Period over which unmet demand is averaged: a few report intervals, so that a single unlucky request does not count
/// as demand.
const UNMET_AVERAGING_PERIOD: Span = Span::from_ms(500);

/// A forwarder's use of a warming host, as the decision engine reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmupReport {
    /// The warming host.
    pub incarnation: Incarnation,
    /// This forwarder's own share.
    pub own_share: QuotaFraction,
    /// Quota used within the window.
    pub used: QuotaFraction,
    /// This forwarder's attempts in flight at the host.
    pub in_flight: u16,
    /// Quota that it lacked since the previous call, for attempts that it therefore did not send to the host.
    pub unmet: QuotaFraction,
}

/// Why a grant was rejected.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidGrant {
    /// It lasts longer than the lease terms allow.
    #[error("duration is {lasts_ms} ms, at most {most_ms} ms are allowed")]
    TooLong {
        /// Duration of the grant.
        lasts_ms: u32,
        /// Maximum duration by the lease terms.
        most_ms: f64,
    },
    /// Its amount exceeds the full quota of a host.
    #[error("amount is {0:?}, at most {whole:?} is allowed", whole = QuotaFraction::WHOLE)]
    MoreThanWhole(QuotaFraction),
}

/// Amounts that a forwarder has lent and been granted over all warming hosts, as multiples of one host's full quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseTotals {
    /// Lent to planners.
    pub lent: f64,
    /// Granted by planners.
    pub granted: f64,
}

/// A forwarder's own shares, deposits and grants, for all warming hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quotas {
    lease_terms: LeaseTerms,
    /// When the own shares may first be used. An earlier run may have lent them until then.
    own_share_from: Time,
    balances: BTreeMap<Incarnation, Balance>,
    /// Incarnations of which other forwarders demand quota, and until when that demand counts.
    peer_demand: BTreeMap<Incarnation, Time>,
    last_update: Option<Time>,
    lending_permit: LendingPermit,
}

impl Quotas {
    /// Creates the quotas of a forwarder that starts at `now` and whose earlier run may have lent its shares.
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

    /// Creates the quotas of a forwarder without planners. It can't lend, so it may use its own shares from the start.
    pub fn without_planners(now: Time, lease_terms: LeaseTerms) -> Quotas {
        Quotas {
            own_share_from: now,
            ..Quotas::new(now, lease_terms)
        }
    }

    /// Records the use of all warming hosts. Other hosts are forgotten once nothing of them is lent, granted or unmet.
    pub fn update_usage(&mut self, now: Time, warming: impl IntoIterator<Item = WarmupReport>) {
        let decay = self
            .last_update
            .replace(now)
            .map_or(1.0, |last| {
                now.since(last).ms() / UNMET_AVERAGING_PERIOD.ms()
            })
            .min(1.0);
        // Extrapolates the unmet demand of the averaging period to the whole window.
        let scale = (self.lease_terms.window.ms() / UNMET_AVERAGING_PERIOD.ms()).max(1.0);
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

    /// Records that other forwarders demanded quota of an incarnation at `as_of`. A share is lent only while others
    /// demand it: otherwise lending it would only leave this forwarder short when its own demand returns.
    pub fn record_peer_demand(&mut self, now: Time, as_of: Time, incarnation: &Incarnation) {
        let until = as_of + PEER_DEMAND_LIFETIME;
        if until > now && self.balances.contains_key(incarnation) {
            self.peer_demand.insert(incarnation.clone(), until);
        }
    }

    /// Returns the deposits to and demands of a planner, for the incarnations whose lease holder it is. They must be
    /// sent at once: this forwarder no longer uses what it lends from `now` on, whether the message arrives or not.
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
                self.lending_permit.record_withheld_deposit();
                deposit = QuotaFraction::NONE;
            }
            let Offer { deposit, demand } =
                balance.offer(now, planner, deposit, until, has_own_share);
            // A report with neither a deposit nor a demand is still needed for its attempts in flight.
            reports.push(LeaseReport {
                incarnation: incarnation.clone(),
                deposit,
                demand,
                in_flight: balance.in_flight,
            });
        }
        reports
    }

    /// Applies a grant that answers the report created at `requested_at`. Its amount is limited to the demand. A grant
    /// for a host that is no longer tracked as warming is ignored.
    ///
    /// # Errors
    ///
    /// [`InvalidGrant`] if its duration or amount exceeds what the lease terms allow.
    pub fn accept_grant(
        &mut self,
        now: Time,
        planner: Epoch,
        requested_at: Time,
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
        let until = requested_at + Span::from_ms(u64::from(grant.lasts_ms));
        if until > now {
            balance.add_grant(planner, grant.amount, until);
        }
        Ok(())
    }

    /// Sets how long from `now` the own shares are not used, where it is known what the earlier run lent.
    pub fn set_startup_wait(&mut self, now: Time, wait: Span) {
        self.own_share_from = now + wait;
    }

    /// Lets the own shares be used from `until` on, if not sooner.
    pub fn use_own_share_by(&mut self, until: Time) {
        self.own_share_from = self.own_share_from.min(until);
    }

    /// From now on lends only within a permit, so that the next run knows until when quota may be lent.
    pub fn require_lending_permit(&mut self, now: Time) {
        self.lending_permit.require(now);
    }

    /// Returns until when a permit to lend is requested; `None` if the current one suffices or none is needed.
    pub fn requested_lending_permit(&mut self, now: Time) -> Option<Time> {
        let lends = self.balances.values().any(Balance::lends);
        self.lending_permit
            .request(now, self.lease_terms.deposit_duration, lends)
    }

    /// Extends the permit to lend, once the caller has stored it for the next run.
    pub fn extend_lending_permit(&mut self, until: Time) {
        self.lending_permit.extend(until);
    }

    /// Returns the time from which the own shares may be used.
    pub fn own_share_from(&self) -> Time {
        self.own_share_from
    }

    /// Returns whether the own shares may be used at `now`.
    pub fn has_own_share(&self, now: Time) -> bool {
        now >= self.own_share_from
    }

    /// Returns the quota of each incarnation that may be used at `now`.
    pub fn usable(&self, now: Time) -> impl Iterator<Item = (&Incarnation, QuotaFraction)> {
        let has_own_share = self.has_own_share(now);
        self.balances
            .iter()
            .map(move |(incarnation, balance)| (incarnation, balance.usable(now, has_own_share)))
    }

    /// Returns when a usable quota next changes without any message.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        self.balances
            .values()
            .flat_map(Balance::lease_ends)
            .chain([self.own_share_from])
            .filter(|end| *end > now)
            .min()
    }

    /// Returns the amounts lent and granted over all incarnations at `now`, for the log.
    pub fn totals(&self, now: Time) -> LeaseTotals {
        let mut totals = LeaseTotals::default();
        for balance in self.balances.values() {
            totals.lent += balance.lent(now).as_f64();
            totals.granted += balance.granted(now).as_f64();
        }
        totals
    }
}
