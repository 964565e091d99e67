//! A forwarder's part of what each cold host bears. Each forwarder has an equal share by right and needs nobody's
//! leave to use it. What it does not need it lends to a planner for a while; what it lacks it borrows. The sum over
//! all forwarders never passes the whole, whoever is cut off, restarted or mistaken about who is in charge, because
//! a share is used by its owner or lent by it, and only what was lent can be granted.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use crate::messages::{Epoch, Grant, LIVES_MOST, Life, Trade};
use crate::{Parts, Pledges, Staircase};

/// Hundredths of what was spent within the window that count as wanted: demand may grow from one report to the next.
const GROWS: u64 = 150;
/// How long word that others want some of a life counts, from when it was asked for: two reports. Where answers take
/// longer nothing is lent, as a grant would come too late to be of use.
const WANTED_LASTS: Span = Span::from_ms(500);
/// Over how long what was turned away is averaged: a few reports, so that one request's bad luck is no demand.
const AVERAGED: Span = Span::from_ms(500);
/// How long the most that was wanted is kept back from lending: what is lent comes back only after a window and
/// more, so demand that may turn within that time is worse off than alone.
const HOLDS: Span = Span::from_ms(30_000);
/// Hundredths of the own share that are never lent, so that a first request need not wait for a grant.
const FLOOR: u32 = 10;
/// The least of a life worth lending or borrowing: a thousandth. Less would be more messages than requests.
const LEAST: Parts = Parts(1_000);

/// What the decision engine knows of a cold host's use by this forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct Cold {
    pub life: Life,
    /// This forwarder's share by right.
    pub right: Parts,
    /// What it spent within the window, of all that the host bears now.
    pub spent: Parts,
    pub in_hand: u16,
    /// What it turned away from the host for want of a share since the last look.
    pub wished: Parts,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Purse {
    right: Parts,
    spent: Parts,
    /// What was turned away lately, as it would come to within a window.
    wished: Parts,
    in_hand: u16,
    /// The most wanted lately, and when.
    peak: (Parts, Time),
    /// The same within the window: a share that has come shows in what is spent only once the window has filled.
    recent: (Parts, Time),
    lent: BTreeMap<Epoch, Staircase>,
    granted: BTreeMap<Epoch, Staircase>,
    /// What was asked for last, and of whom: nobody may grant more.
    asked: BTreeMap<Epoch, Parts>,
}

fn all(of: &BTreeMap<Epoch, Staircase>, at: Time) -> Parts {
    of.values()
        .fold(Parts::NONE, |sum, stairs| sum.and(stairs.at(at)))
}

impl Purse {
    fn may_use(&self, owns: bool, at: Time) -> Parts {
        let own = if owns {
            self.right.less(all(&self.lent, at))
        } else {
            Parts::NONE
        };
        Parts(own.and(all(&self.granted, at)).0.min(Parts::WHOLE.0))
    }
}

/// All that a forwarder has lent and been granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shares {
    pledges: Pledges,
    /// From when on its own shares are its own: an earlier run may have lent them.
    owns_from: Time,
    purses: BTreeMap<Life, Purse>,
    /// Lives that others want some of, until when that counts.
    wanted: BTreeMap<Life, Time>,
    stood: Option<Time>,
    /// Up to when it may promise to lend, where that has to be kept first; none where it need not.
    leave: Option<Time>,
    /// It would have lent more with a longer leave.
    lacks_leave: bool,
}

/// How much further than the next loan a leave reaches: some reports and a slow disk.
const LEAVE: Span = Span::from_ms(2_000);

impl Shares {
    pub fn new(now: Time, pledges: Pledges) -> Shares {
        Shares {
            leave: None,
            lacks_leave: false,
            pledges,
            owns_from: now + pledges.forwarder_waits(),
            purses: BTreeMap::new(),
            wanted: BTreeMap::new(),
            stood: None,
        }
    }

    /// With no planner to lend to: its own share is its own from the start.
    pub fn lending_nothing(now: Time, pledges: Pledges) -> Shares {
        Shares {
            owns_from: now,
            ..Shares::new(now, pledges)
        }
    }

    /// Takes in how the cold hosts stand. Warm ones are left out, and forgotten once nothing of them is out.
    pub fn stand(&mut self, now: Time, cold: impl IntoIterator<Item = Cold>) {
        let passed = self
            .stood
            .replace(now)
            .map_or(1.0, |last| now.since(last).ms() / AVERAGED.ms())
            .min(1.0);
        let scale = (self.pledges.window.ms() / AVERAGED.ms()).max(1.0);
        for purse in self.purses.values_mut() {
            (purse.spent, purse.right, purse.in_hand) = (Parts::NONE, Parts::NONE, 0);
            purse.wished = Parts::below(purse.wished.share() * (1.0 - passed));
            purse.lent.retain(|_, stairs| !stairs.prune(now));
            purse.granted.retain(|_, stairs| !stairs.prune(now));
        }
        for Cold {
            life,
            right,
            spent,
            in_hand,
            wished,
        } in cold
        {
            let purse = self.purses.entry(life).or_default();
            (purse.right, purse.spent) = (right, spent);
            purse.wished = purse.wished.and(Parts::above(wished.share() * scale));
            purse.in_hand = in_hand;
        }
        let out = |purse: &Purse| !purse.lent.is_empty() || !purse.granted.is_empty();
        self.wanted.retain(|_, until| *until > now);
        self.purses.retain(|_, purse| {
            purse.right > Parts::NONE || purse.wished > Parts::NONE || out(purse)
        });
    }

    /// Others want some of these lives, as was true at that time. What nobody wants is not lent: it would only be
    /// missed when demand turns.
    pub fn wanted(&mut self, now: Time, true_at: Time, life: &Life) {
        let until = true_at + WANTED_LASTS;
        if until > now && self.purses.contains_key(life) {
            self.wanted.insert(life.clone(), until);
        }
    }

    /// What is lent to and asked of a planner, of the lives that it is in charge of. To be told to it at once: what
    /// is lent is no longer used from this moment on, whether the message arrives or not.
    pub fn trade(
        &mut self,
        now: Time,
        planner: Epoch,
        in_charge: impl Fn(&Life) -> bool,
    ) -> Vec<Trade> {
        let (owns, until) = (self.owns(now), now + self.pledges.lent);
        let allowed = self.leave.is_none_or(|leave| leave >= until);
        let mut lacks_leave = false;
        let mut trades = Vec::new();
        for (life, purse) in self.purses.iter_mut().filter(|(life, _)| in_charge(life)) {
            if trades.len() >= LIVES_MOST {
                break;
            }
            let wants = Parts((u64::from(purse.spent.0) * GROWS / 100) as u32).and(purse.wished);
            if wants >= purse.recent.0 || now.since(purse.recent.1) >= self.pledges.window {
                purse.recent = (wants, now);
            }
            let others = purse.lent.iter().filter(|(epoch, _)| **epoch != planner);
            let others = others.fold(Parts::NONE, |sum, (_, stairs)| sum.and(stairs.at(now)));
            let own = if owns {
                purse.right.less(all(&purse.lent, now))
            } else {
                Parts::NONE
            };
            if owns && (wants >= purse.peak.0 || now.since(purse.peak.1) >= HOLDS) {
                purse.peak = (wants, now);
            }
            let keeps = purse.peak.0.max(Parts(purse.right.0 / 100 * FLOOR));
            // What is lent already counts as lent again: the deposit goes on for as long as it is not needed.
            let lends = if owns {
                purse.right.less(others).less(keeps)
            } else {
                Parts::NONE
            };
            let wanted = self.wanted.get(life).is_some_and(|until| *until > now);
            let lends = if lends < LEAST || !wanted {
                Parts::NONE
            } else {
                lends
            };
            lacks_leave |= lends > Parts::NONE && !allowed;
            let lends = if allowed { lends } else { Parts::NONE };
            let wishes = Parts(purse.recent.0.less(own).0.min(Parts::WHOLE.0));
            let wishes = if lends > Parts::NONE || wishes < LEAST {
                Parts::NONE
            } else {
                wishes
            };
            if lends > Parts::NONE {
                purse.lent.entry(planner).or_default().add(lends, until);
            }
            purse.asked.insert(planner, wishes);
            // One with neither still tells what is in hand.
            trades.push(Trade {
                life: life.clone(),
                lends,
                wishes,
                in_hand: purse.in_hand,
            });
        }
        self.lacks_leave |= lacks_leave;
        trades
    }

    /// Takes in a grant that answers what was written at `asked`; false if it is more than was ever asked for.
    pub fn granted(&mut self, now: Time, planner: Epoch, asked: Time, grant: &Grant) -> bool {
        let Some(purse) = self.purses.get_mut(&grant.life) else {
            return true;
        };
        let most = purse.asked.get(&planner).copied().unwrap_or(Parts::NONE);
        if f64::from(grant.lasts_ms) > self.pledges.granted.ms() || grant.amount > Parts::WHOLE {
            return false;
        }
        let until = asked + Span::from_ms(u64::from(grant.lasts_ms));
        if until > now {
            purse
                .granted
                .entry(planner)
                .or_default()
                .add(Parts(grant.amount.0.min(most.0)), until);
        }
        true
    }

    /// Its own shares are its own after so long: what was lent before is known.
    pub fn owns_after(&mut self, now: Time, waits: Span) {
        self.owns_from = now + waits;
    }

    /// Its own shares are its own by then, if not sooner.
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
        let lends = self.purses.values().any(|purse| !purse.lent.is_empty());
        let short = leave < now + self.pledges.lent + LEAVE * 0.5;
        let asks = std::mem::take(&mut self.lacks_leave) || (lends && short);
        asks.then(|| now + self.pledges.lent + LEAVE)
    }

    /// Leave is there, for certain, up to that time.
    pub fn has_leave(&mut self, until: Time) {
        self.leave = self.leave.map(|leave| leave.max(until));
    }

    /// From when on its own shares are its own.
    pub fn owns_from(&self) -> Time {
        self.owns_from
    }

    /// Whether its own shares are its own yet.
    pub fn owns(&self, now: Time) -> bool {
        now >= self.owns_from
    }

    /// What may be used of each life, with the time until which that holds if nothing else is heard.
    pub fn uses(&self, now: Time) -> impl Iterator<Item = (&Life, Parts)> {
        let owns = self.owns(now);
        self.purses
            .iter()
            .map(move |(life, purse)| (life, purse.may_use(owns, now)))
    }

    /// When what may be used changes by itself next.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let stairs = |purse: &Purse| -> Vec<Time> {
            purse
                .lent
                .values()
                .chain(purse.granted.values())
                .flat_map(Staircase::ends)
                .collect()
        };
        let ends = self
            .purses
            .values()
            .flat_map(stairs)
            .chain([self.owns_from]);
        ends.filter(|end| *end > now).min()
    }

    /// Lent and granted now over all lives, for the log.
    pub fn totals(&self, now: Time) -> [f64; 2] {
        let sum = |pick: fn(&Purse) -> &BTreeMap<Epoch, Staircase>| {
            self.purses
                .values()
                .map(|purse| all(pick(purse), now).share())
                .sum()
        };
        [sum(|purse| &purse.lent), sum(|purse| &purse.granted)]
    }
}
