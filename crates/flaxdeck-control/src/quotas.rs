//! A forwarder's part of what each cold host bears. Each forwarder has an equal share by right and needs nobody's
//! leave to use it. What it does not need it lends to a planner for a while; what it lacks it borrows. The sum over
//! all forwarders never passes the whole, whoever is cut off, restarted or mistaken about who is in charge, because
//! a share is used by its owner or lent by it, and only what was lent can be granted.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::messages::{Epoch, Grant, Incarnation, LeaseReport, MAX_INCARNATIONS};
use crate::{LeaseSchedule, LeaseTerms, QuotaFraction};

/// Hundredths of what was spent within the window that count as wanted: demand may grow from one report to the next.
const GROWS: u64 = 150;
/// How long word that others want some of an incarnation counts, from when it was asked for: two reports. Where answers take
/// longer nothing is lent, as a grant would come too late to be of use.
const WANTED_LASTS: Span = Span::from_ms(500);
/// Over how long what was turned away is averaged: a few reports, so that one request's bad luck is no demand.
const AVERAGED: Span = Span::from_ms(500);
/// How long the most that was wanted is kept back from lending: what is lent comes back only after a window and
/// more, so demand that may turn within that time is worse off than alone.
const HOLDS: Span = Span::from_ms(30_000);
/// Hundredths of the own share that are never lent, so that a first request need not wait for a grant.
const FLOOR: u32 = 10;
/// The least of an incarnation worth lending or borrowing: a thousandth. Less would be more messages than requests.
const LEAST: QuotaFraction = QuotaFraction(1_000);

/// What the decision engine knows of a cold host's use by this forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmupReport {
    pub incarnation: Incarnation,
    /// This forwarder's share by right.
    pub right: QuotaFraction,
    /// What it spent within the window, of all that the host bears now.
    pub spent: QuotaFraction,
    pub in_hand: u16,
    /// What it turned away from the host for want of a share since the last look.
    pub unmet: QuotaFraction,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Balance {
    right: QuotaFraction,
    spent: QuotaFraction,
    /// What was turned away lately, as it would come to within a window.
    unmet: QuotaFraction,
    in_hand: u16,
    /// The most wanted lately, and when.
    peak: (QuotaFraction, Time),
    /// The same within the window: a share that has come shows in what is spent only once the window has filled.
    recent: (QuotaFraction, Time),
    lent: BTreeMap<Epoch, LeaseSchedule>,
    granted: BTreeMap<Epoch, LeaseSchedule>,
    /// What was asked for last, and of whom: nobody may grant more.
    asked: BTreeMap<Epoch, QuotaFraction>,
}

fn all(of: &BTreeMap<Epoch, LeaseSchedule>, at: Time) -> QuotaFraction {
    of.values()
        .fold(QuotaFraction::NONE, |sum, stairs| sum.and(stairs.at(at)))
}

impl Balance {
    fn may_use(&self, owns: bool, at: Time) -> QuotaFraction {
        let own = if owns {
            self.right.less(all(&self.lent, at))
        } else {
            QuotaFraction::NONE
        };
        QuotaFraction(
            own.and(all(&self.granted, at))
                .0
                .min(QuotaFraction::WHOLE.0),
        )
    }
}

/// All that a forwarder has lent and been granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quotas {
    lease_terms: LeaseTerms,
    /// From when on its own quotas are its own: an earlier run may have lent them.
    owns_from: Time,
    balances: BTreeMap<Incarnation, Balance>,
    /// Lives that others want some of, until when that counts.
    wanted: BTreeMap<Incarnation, Time>,
    stood: Option<Time>,
    /// Up to when it may promise to lend, where that has to be kept first; none where it need not.
    leave: Option<Time>,
    /// It would have lent more with a longer leave.
    lacks_leave: bool,
}

/// How much further than the next loan a leave reaches: some reports and a slow disk.
const LEAVE: Span = Span::from_ms(2_000);

impl Quotas {
    pub fn new(now: Time, lease_terms: LeaseTerms) -> Quotas {
        Quotas {
            leave: None,
            lacks_leave: false,
            lease_terms,
            owns_from: now + lease_terms.forwarder_waits(),
            balances: BTreeMap::new(),
            wanted: BTreeMap::new(),
            stood: None,
        }
    }

    /// With no planner to lend to: its own share is its own from the start.
    pub fn lending_nothing(now: Time, lease_terms: LeaseTerms) -> Quotas {
        Quotas {
            owns_from: now,
            ..Quotas::new(now, lease_terms)
        }
    }

    /// Takes in how the cold hosts stand. Warm ones are left out, and forgotten once nothing of them is out.
    pub fn stand(&mut self, now: Time, cold: impl IntoIterator<Item = WarmupReport>) {
        let passed = self
            .stood
            .replace(now)
            .map_or(1.0, |last| now.since(last).ms() / AVERAGED.ms())
            .min(1.0);
        let scale = (self.lease_terms.window.ms() / AVERAGED.ms()).max(1.0);
        for balance in self.balances.values_mut() {
            (balance.spent, balance.right, balance.in_hand) =
                (QuotaFraction::NONE, QuotaFraction::NONE, 0);
            balance.unmet = QuotaFraction::below(balance.unmet.share() * (1.0 - passed));
            balance.lent.retain(|_, stairs| !stairs.prune(now));
            balance.granted.retain(|_, stairs| !stairs.prune(now));
        }
        for WarmupReport {
            incarnation,
            right,
            spent,
            in_hand,
            unmet,
        } in cold
        {
            let balance = self.balances.entry(incarnation).or_default();
            (balance.right, balance.spent) = (right, spent);
            balance.unmet = balance
                .unmet
                .and(QuotaFraction::above(unmet.share() * scale));
            balance.in_hand = in_hand;
        }
        let out = |balance: &Balance| !balance.lent.is_empty() || !balance.granted.is_empty();
        self.wanted.retain(|_, until| *until > now);
        self.balances.retain(|_, balance| {
            balance.right > QuotaFraction::NONE
                || balance.unmet > QuotaFraction::NONE
                || out(balance)
        });
    }

    /// Others want some of these incarnations, as was true at that time. What nobody wants is not lent: it would only be
    /// missed when demand turns.
    pub fn wanted(&mut self, now: Time, true_at: Time, incarnation: &Incarnation) {
        let until = true_at + WANTED_LASTS;
        if until > now && self.balances.contains_key(incarnation) {
            self.wanted.insert(incarnation.clone(), until);
        }
    }

    /// What is lent to and asked of a planner, of the incarnations that it is in charge of. To be told to it at once: what
    /// is lent is no longer used from this moment on, whether the message arrives or not.
    pub fn trade(
        &mut self,
        now: Time,
        planner: Epoch,
        lease_holder: impl Fn(&Incarnation) -> bool,
    ) -> Vec<LeaseReport> {
        let (owns, until) = (self.owns(now), now + self.lease_terms.lent);
        let allowed = self.leave.is_none_or(|leave| leave >= until);
        let mut lacks_leave = false;
        let mut lease_reports = Vec::new();
        for (incarnation, balance) in self
            .balances
            .iter_mut()
            .filter(|(incarnation, _)| lease_holder(incarnation))
        {
            if lease_reports.len() >= MAX_INCARNATIONS {
                break;
            }
            let wants =
                QuotaFraction((u64::from(balance.spent.0) * GROWS / 100) as u32).and(balance.unmet);
            if wants >= balance.recent.0 || now.since(balance.recent.1) >= self.lease_terms.window {
                balance.recent = (wants, now);
            }
            let others = balance.lent.iter().filter(|(epoch, _)| **epoch != planner);
            let others = others.fold(QuotaFraction::NONE, |sum, (_, stairs)| {
                sum.and(stairs.at(now))
            });
            let own = if owns {
                balance.right.less(all(&balance.lent, now))
            } else {
                QuotaFraction::NONE
            };
            if owns && (wants >= balance.peak.0 || now.since(balance.peak.1) >= HOLDS) {
                balance.peak = (wants, now);
            }
            let keeps = balance
                .peak
                .0
                .max(QuotaFraction(balance.right.0 / 100 * FLOOR));
            // What is lent already counts as lent again: the deposit goes on for as long as it is not needed.
            let lends = if owns {
                balance.right.less(others).less(keeps)
            } else {
                QuotaFraction::NONE
            };
            let wanted = self
                .wanted
                .get(incarnation)
                .is_some_and(|until| *until > now);
            let lends = if lends < LEAST || !wanted {
                QuotaFraction::NONE
            } else {
                lends
            };
            lacks_leave |= lends > QuotaFraction::NONE && !allowed;
            let lends = if allowed { lends } else { QuotaFraction::NONE };
            let demand = QuotaFraction(balance.recent.0.less(own).0.min(QuotaFraction::WHOLE.0));
            let demand = if lends > QuotaFraction::NONE || demand < LEAST {
                QuotaFraction::NONE
            } else {
                demand
            };
            if lends > QuotaFraction::NONE {
                balance.lent.entry(planner).or_default().add(lends, until);
            }
            balance.asked.insert(planner, demand);
            // One with neither still tells what is in hand.
            lease_reports.push(LeaseReport {
                incarnation: incarnation.clone(),
                deposit: lends,
                demand,
                in_flight: balance.in_hand,
            });
        }
        self.lacks_leave |= lacks_leave;
        lease_reports
    }

    /// Takes in a grant that answers what was written at `asked`; false if it is more than was ever asked for.
    pub fn granted(&mut self, now: Time, planner: Epoch, asked: Time, grant: &Grant) -> bool {
        let Some(balance) = self.balances.get_mut(&grant.incarnation) else {
            return true;
        };
        let most = balance
            .asked
            .get(&planner)
            .copied()
            .unwrap_or(QuotaFraction::NONE);
        if f64::from(grant.lasts_ms) > self.lease_terms.granted.ms()
            || grant.amount > QuotaFraction::WHOLE
        {
            return false;
        }
        let until = asked + Span::from_ms(u64::from(grant.lasts_ms));
        if until > now {
            balance
                .granted
                .entry(planner)
                .or_default()
                .add(QuotaFraction(grant.amount.0.min(most.0)), until);
        }
        true
    }

    /// Its own quotas are its own after so long: what was lent before is known.
    pub fn owns_after(&mut self, now: Time, waits: Span) {
        self.owns_from = now + waits;
    }

    /// Its own quotas are its own by then, if not sooner.
    pub fn owns_by(&mut self, until: Time) {
        self.owns_from = self.owns_from.min(until);
    }

    /// From now on nothing is lent without leave: what is lent must be known to the next run.
    pub fn needs_leave(&mut self, now: Time) {
        self.leave = Some(now);
    }

    /// Up to when leave to lend is wanted now; none if there is enough, or none is needed.
    pub fn asks_leave(&mut self, now: Time) -> Option<Time> {
        let leave = self.leave?;
        let lends = self
            .balances
            .values()
            .any(|balance| !balance.lent.is_empty());
        let short = leave < now + self.lease_terms.lent + LEAVE * 0.5;
        let asks = std::mem::take(&mut self.lacks_leave) || (lends && short);
        asks.then(|| now + self.lease_terms.lent + LEAVE)
    }

    /// Leave is there, for certain, up to that time.
    pub fn has_leave(&mut self, until: Time) {
        self.leave = self.leave.map(|leave| leave.max(until));
    }

    /// From when on its own quotas are its own.
    pub fn owns_from(&self) -> Time {
        self.owns_from
    }

    /// Whether its own quotas are its own yet.
    pub fn owns(&self, now: Time) -> bool {
        now >= self.owns_from
    }

    /// What may be used of each incarnation, with the time until which that holds if nothing else is heard.
    pub fn uses(&self, now: Time) -> impl Iterator<Item = (&Incarnation, QuotaFraction)> {
        let owns = self.owns(now);
        self.balances
            .iter()
            .map(move |(incarnation, balance)| (incarnation, balance.may_use(owns, now)))
    }

    /// When what may be used changes by itself next.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let stairs = |balance: &Balance| -> Vec<Time> {
            balance
                .lent
                .values()
                .chain(balance.granted.values())
                .flat_map(LeaseSchedule::ends)
                .collect()
        };
        let ends = self
            .balances
            .values()
            .flat_map(stairs)
            .chain([self.owns_from]);
        ends.filter(|end| *end > now).min()
    }

    /// Lent and granted now over all incarnations, for the log.
    pub fn totals(&self, now: Time) -> [f64; 2] {
        let sum = |pick: fn(&Balance) -> &BTreeMap<Epoch, LeaseSchedule>| {
            self.balances
                .values()
                .map(|balance| all(pick(balance), now).share())
                .sum()
        };
        [
            sum(|balance| &balance.lent),
            sum(|balance| &balance.granted),
        ]
    }
}
