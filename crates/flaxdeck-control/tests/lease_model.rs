//! The lending of quotas, model-checked: two forwarders and two planners that both believe to be in charge, messages
//! that are lost, late, doubled and out of order, restarts of either side, and clocks that disagree and run apart by
//! the stated bound. Whatever happens, what all forwarders spend at a cold host within its window stays within the
//! whole. The ledgers are the real ones; the checks of epochs and numbers are left out, as nothing may rest on them.

use std::collections::BTreeSet;

use flaxdeck::{Span, Time};
use flaxdeck_control::messages::{Epoch, Grant, Incarnation};
use flaxdeck_control::quota_pool::QuotaPool;
use flaxdeck_control::quotas::{Quotas, WarmupReport};
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use stateright::{Checker, Model, Property};

/// Milliseconds of real time a step.
const STEP: u64 = 100;
/// Thousandths by which clocks run fast or slow here: coarse, so that it shows within a few steps.
const DRIFT: u32 = 50;

/// How the protocol is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// A planner that starts grants its own part at once.
    PlannerWaitsForNothing,
    /// A planner counts on a deposit from when it hears of it.
    DepositFromReceipt,
    /// A forwarder that starts uses its own share at once.
    ForwarderWaitsForNothing,
    /// A planner forgets that a grant's last use counts for a window.
    WindowForgotten,
    /// A borrower counts from when it hears of the grant.
    GrantFromReceipt,
    /// A lender uses what it has lent.
    LenderKeepsUsing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Report {
        from: usize,
        epoch: Epoch,
        to: usize,
        planner: Epoch,
        seen: u64,
        lends: QuotaFraction,
        demand: QuotaFraction,
        at: u64,
    },
    Grant {
        to: usize,
        epoch: Epoch,
        planner: Epoch,
        asked: u64,
        sent: u64,
        amount: QuotaFraction,
        from: usize,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Forwarder {
    epoch: Epoch,
    quotas: Quotas,
    /// The latest stamp seen of each planner, and of which run.
    seen: Vec<(Epoch, u64)>,
    spent: Vec<(u64, QuotaFraction)>,
    reports: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PlannerState {
    epoch: Epoch,
    owns_from: Time,
    pool: QuotaPool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    forwarders: Vec<Forwarder>,
    planners: Vec<PlannerState>,
    network: BTreeSet<Message>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Step,
    Report { from: usize, to: usize, wants: bool },
    Deliver(Message),
    RestartPlanner(usize),
    RestartForwarder(usize),
    Spend(usize),
}

struct Lending {
    broken: Broken,
    /// Both may lend or borrow, as they report; else the first lends and the second borrows.
    both: bool,
    /// The part that planners have of their own.
    reserve: f64,
    /// The host's window, in steps.
    window: u64,
    steps: u64,
    /// What each forwarder may report.
    reports: [u8; 2],
    restarts: u8,
    planners: usize,
    /// How fast each clock runs, in thousandths: forwarders, then planners.
    rates: [u64; 4],
    /// Answers that grant nothing still bring a new stamp.
    stamps: bool,
}

impl Lending {
    fn lease_terms(&self) -> LeaseTerms {
        let (window, granted) = (Span::from_ms(self.window * STEP), Span::from_ms(STEP));
        // The time allowed for lateness is set for real networks; here it would only add steps.
        let lent = (window + granted + Span::from_ms(STEP)) * 1.4;
        LeaseTerms {
            lent,
            ..LeaseTerms::of(window, granted, DRIFT)
        }
    }
    /// The reading of a clock in milliseconds; each has a zero of its own.
    fn clock(&self, who: usize, step: u64) -> u64 {
        10_000 * (who as u64 + 1) + step * STEP * self.rates[who] / 1000
    }
    fn time(&self, who: usize, step: u64) -> Time {
        Time::at_ms(self.clock(who, step) as f64)
    }
    fn planner(&self, at: usize) -> usize {
        2 + at
    }
    fn right(&self) -> QuotaFraction {
        QuotaFraction::below((1.0 - self.reserve) / 2.0)
    }
    fn own(&self) -> QuotaFraction {
        QuotaFraction::below(self.reserve / self.planners as f64)
    }
    fn incarnation() -> Incarnation {
        Incarnation {
            host: "s-1".into(),
            started: 1,
        }
    }
    fn quotas(&self, who: usize, step: u64, first: bool) -> Quotas {
        // The first run of all has nothing behind it that it could have lent.
        let waits = !first && self.broken != Broken::ForwarderWaitsForNothing;
        let from = if waits {
            self.time(who, step)
        } else {
            Time::at_ms(1.0)
        };
        Quotas::new(from, self.lease_terms())
    }
    fn within(&self, spent: &[(u64, QuotaFraction)], step: u64) -> QuotaFraction {
        let recent = spent.iter().filter(|(at, _)| at + self.window > step);
        recent.fold(QuotaFraction::NONE, |sum, (_, amount)| sum.and(*amount))
    }
    /// Forgets what can have no effect any more, so that states that differ by nothing else are one.
    fn forget(&self, state: &mut State) {
        let (step, lease_terms) = (state.step, self.lease_terms());
        for (who, forwarder) in state.forwarders.iter_mut().enumerate() {
            let (now, right) = (self.time(who, step), self.right());
            let cold = WarmupReport {
                incarnation: Lending::incarnation(),
                right,
                spent: QuotaFraction::NONE,
                in_hand: 0,
                unmet: QuotaFraction::NONE,
            };
            forwarder.quotas.stand(now, [cold]);
        }
        for (at, planner) in state.planners.iter_mut().enumerate() {
            planner.pool.prune(self.time(self.planner(at), step));
        }
        if self.broken != Broken::Nothing {
            return;
        }
        let past = |who: usize, at: u64, lasts: Span| {
            Time::at_ms(at as f64) + lasts <= self.time(who, step)
        };
        state.network.retain(|message| match message {
            Message::Report {
                from,
                to,
                seen,
                lends,
                at,
                ..
            } => {
                let deposit = *lends > QuotaFraction::NONE
                    && !past(self.planner(*to), *seen, lease_terms.counted_on());
                deposit || !past(*from, *at, lease_terms.granted)
            }
            Message::Grant { to, asked, .. } => !past(*to, *asked, lease_terms.granted),
        });
    }
    fn stand(&self, state: &mut State, who: usize, unmet: QuotaFraction) {
        let (now, step) = (self.time(who, state.step), state.step);
        let forwarder = &mut state.forwarders[who];
        let spent = self.within(&forwarder.spent, step);
        let cold = WarmupReport {
            incarnation: Lending::incarnation(),
            right: self.right(),
            spent,
            in_hand: 0,
            unmet,
        };
        forwarder.quotas.stand(now, [cold]);
    }
}

impl Model for Lending {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let forwarder = |who: usize| Forwarder {
            epoch: Epoch(1),
            quotas: self.quotas(who, 0, true),
            seen: (0..self.planners)
                .map(|at| (Epoch(1), self.clock(self.planner(at), 0)))
                .collect(),
            spent: Vec::new(),
            reports: 0,
        };
        let planner = |_| PlannerState {
            epoch: Epoch(1),
            owns_from: Time::default(),
            pool: QuotaPool::default(),
        };
        let (forwarders, planners) = (
            (0..2).map(forwarder).collect(),
            (0..self.planners).map(planner).collect(),
        );
        vec![State {
            step: 0,
            forwarders,
            planners,
            network: BTreeSet::new(),
            restarts: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.step < self.steps {
            actions.push(Action::Step);
        }
        for from in 0..2 {
            if state.forwarders[from].reports < self.reports[from] {
                for to in 0..self.planners {
                    let wants = [false, true]
                        .into_iter()
                        .filter(|wants| self.both || *wants == (from == 1));
                    actions.extend(wants.map(|wants| Action::Report { from, to, wants }));
                }
            }
            actions.push(Action::Spend(from));
        }
        // Delivered messages stay: they may come again.
        let changes =
            |message: &&Message| self.next_state(state, Action::Deliver((*message).clone()));
        let useful = state
            .network
            .iter()
            .filter(|message| changes(message).is_some_and(|next| next != *state));
        actions.extend(useful.cloned().map(Action::Deliver));
        if state.restarts < self.restarts {
            actions.extend((0..self.planners).map(Action::RestartPlanner));
            actions.extend((0..2).map(Action::RestartForwarder));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step => {
                state.step += 1;
                self.forget(&mut state);
            }
            Action::Report { from, to, wants } => {
                let now = self.time(from, state.step);
                self.stand(
                    &mut state,
                    from,
                    if wants {
                        QuotaFraction::WHOLE
                    } else {
                        QuotaFraction::NONE
                    },
                );
                let forwarder = &mut state.forwarders[from];
                forwarder.reports += 1;
                let (planner, seen) = forwarder.seen[to];
                forwarder.quotas.wanted(now, now, &Lending::incarnation());
                let lease_reports = forwarder.quotas.trade(now, planner, |_| true);
                let trade = lease_reports.first().filter(|trade| {
                    trade.deposit > QuotaFraction::NONE || trade.demand > QuotaFraction::NONE
                })?;
                let (lends, demand, epoch) = (trade.deposit, trade.demand, forwarder.epoch);
                let at = self.clock(from, state.step);
                state.network.insert(Message::Report {
                    from,
                    epoch,
                    to,
                    planner,
                    seen,
                    lends,
                    demand,
                    at,
                });
            }
            Action::Deliver(Message::Report {
                from,
                epoch,
                to,
                planner,
                seen,
                lends,
                demand,
                at,
            }) => {
                let now = self.time(self.planner(to), state.step);
                let known = &mut state.planners[to];
                known.pool.prune(now);
                known.pool.own(self.own(), now, known.owns_from);
                let lender = Epoch(epoch.0 * 10 + from as u64);
                let lease_terms = self.lease_terms();
                // Stamps are of the run that the forwarder knew.
                if planner == known.epoch && lends > QuotaFraction::NONE {
                    let late = self.broken == Broken::DepositFromReceipt;
                    let seen = if late { now } else { Time::at_ms(seen as f64) };
                    known.pool.lend(lease_terms, now, lender, lends, seen);
                }
                let forgets = self.broken == Broken::WindowForgotten;
                let window = if forgets {
                    Span::ZERO
                } else {
                    lease_terms.window
                };
                let amount = known.pool.grant(
                    LeaseTerms {
                        window,
                        ..lease_terms
                    },
                    now,
                    lender,
                    demand,
                );
                let sent = self.clock(self.planner(to), state.step);
                let planner = known.epoch;
                let (to, from) = (from, to);
                if amount == QuotaFraction::NONE && !self.stamps {
                    return Some(state);
                }
                state.network.insert(Message::Grant {
                    to,
                    epoch,
                    planner,
                    asked: at,
                    sent,
                    amount,
                    from,
                });
            }
            Action::Deliver(Message::Grant {
                to,
                epoch,
                planner,
                asked,
                sent,
                amount,
                from,
            }) => {
                let now = self.time(to, state.step);
                let forwarder = &mut state.forwarders[to];
                if forwarder.epoch != epoch {
                    return None;
                }
                if forwarder.seen[from].0 < planner || forwarder.seen[from] < (planner, sent) {
                    forwarder.seen[from] = (planner, sent);
                }
                let late = self.broken == Broken::GrantFromReceipt;
                let asked = if late { now } else { Time::at_ms(asked as f64) };
                let grant = Grant {
                    incarnation: Lending::incarnation(),
                    amount,
                    lasts_ms: STEP as u32,
                };
                forwarder.quotas.granted(now, planner, asked, &grant);
            }
            Action::RestartPlanner(at) => {
                state.restarts += 1;
                let waits = self.broken != Broken::PlannerWaitsForNothing;
                let wait = if waits {
                    self.lease_terms().planner_waits()
                } else {
                    Span::ZERO
                };
                let now = self.time(self.planner(at), state.step);
                let epoch = Epoch(state.planners[at].epoch.0 + 1);
                state.planners[at] = PlannerState {
                    epoch,
                    owns_from: now + wait,
                    pool: QuotaPool::default(),
                };
            }
            Action::RestartForwarder(who) => {
                state.restarts += 1;
                let quotas = self.quotas(who, state.step, false);
                let old = &state.forwarders[who];
                // What an earlier run spent still counts for the host.
                let forwarder = Forwarder {
                    epoch: Epoch(old.epoch.0 + 1),
                    quotas,
                    ..old.clone()
                };
                state.forwarders[who] = forwarder;
            }
            Action::Spend(who) => {
                let now = self.time(who, state.step);
                let forwarder = &mut state.forwarders[who];
                let told = forwarder.quotas.uses(now).next().map(|(_, parts)| parts);
                let owned = if forwarder.quotas.owns(now) {
                    self.right()
                } else {
                    QuotaFraction::NONE
                };
                let keeps = self.broken == Broken::LenderKeepsUsing;
                let uses =
                    told.unwrap_or(owned)
                        .max(if keeps { owned } else { QuotaFraction::NONE });
                let amount = uses.less(self.within(&forwarder.spent, state.step));
                if amount == QuotaFraction::NONE {
                    return None;
                }
                forwarder.spent.push((state.step, amount));
            }
        }
        state.forwarders.iter_mut().for_each(|forwarder| {
            forwarder.spent.retain(|(at, amount)| {
                at + self.window > state.step && *amount > QuotaFraction::NONE
            });
        });
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no cold host is asked for more than the whole",
                |model: &Lending, state: &State| {
                    let spent = state
                        .forwarders
                        .iter()
                        .map(|forwarder| model.within(&forwarder.spent, state.step));
                    spent.fold(QuotaFraction::NONE, QuotaFraction::and) <= QuotaFraction::WHOLE
                },
            ),
            Property::sometimes(
                "a share moves: one forwarder spends beyond its right",
                |model: &Lending, state: &State| {
                    let mut spent = state
                        .forwarders
                        .iter()
                        .map(|forwarder| model.within(&forwarder.spent, state.step));
                    spent.any(|spent| spent > model.right())
                },
            ),
        ]
    }
}

fn lending(broken: Broken) -> Lending {
    let rates = [
        1000 - u64::from(DRIFT),
        1000 + u64::from(DRIFT),
        1000 - u64::from(DRIFT),
        1000,
    ];
    Lending {
        broken,
        both: false,
        reserve: 0.0,
        steps: 8,
        reports: [1, 1],
        window: 2,
        restarts: 0,
        planners: 1,
        rates,
        stamps: false,
    }
}

fn holds(model: Lending) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

fn breaks(model: Lending) {
    let broken = model.broken;
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("no cold host is asked for more than the whole");
    let found = found.unwrap_or_else(|| {
        panic!(
            "{broken:?} is not found in {} states",
            checker.state_count()
        )
    });
    println!("{broken:?} after {} actions", found.into_actions().len());
}

#[test]
fn shares_never_add_up_to_more_than_the_whole_with_one_planner() {
    holds(Lending {
        reports: [2, 2],
        steps: 6,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn nor_over_the_whole_life_of_a_deposit() {
    holds(Lending {
        reports: [1, 2],
        steps: 9,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn nor_when_either_may_lend_or_borrow() {
    holds(Lending {
        both: true,
        steps: 7,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn nor_with_two_planners_that_both_believe_to_be_in_charge() {
    holds(Lending {
        planners: 2,
        reports: [2, 1],
        steps: 5,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn nor_when_a_planner_or_a_forwarder_restarts() {
    holds(Lending {
        restarts: 1,
        steps: 5,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn nor_with_parts_that_planners_own() {
    holds(Lending {
        reserve: 0.4,
        restarts: 1,
        steps: 7,
        reports: [0, 2],
        ..lending(Broken::Nothing)
    });
}

/// Some minutes and gigabytes: `cargo test --release -p flaxdeck-control --test lending_model -- --ignored`.
#[test]
#[ignore = "long"]
fn nor_in_longer_runs() {
    holds(Lending {
        restarts: 1,
        steps: 6,
        ..lending(Broken::Nothing)
    });
    holds(Lending {
        planners: 2,
        reports: [2, 2],
        steps: 3,
        ..lending(Broken::Nothing)
    });
    holds(Lending {
        both: true,
        reports: [2, 2],
        steps: 5,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn a_planner_that_does_not_wait_out_its_earlier_grants_is_found() {
    let broken = Broken::PlannerWaitsForNothing;
    breaks(Lending {
        reserve: 0.4,
        restarts: 1,
        steps: 3,
        reports: [0, 2],
        ..lending(broken)
    });
}

#[test]
fn a_deposit_counted_from_its_receipt_is_found() {
    breaks(lending(Broken::DepositFromReceipt));
}

#[test]
fn a_forwarder_that_restarts_into_what_it_lent_is_found() {
    breaks(Lending {
        restarts: 1,
        steps: 4,
        ..lending(Broken::ForwarderWaitsForNothing)
    });
}

#[test]
fn a_grant_whose_last_use_is_forgotten_is_found() {
    let rates = [1000 + u64::from(DRIFT), 1000 - u64::from(DRIFT), 1000, 1000];
    breaks(Lending {
        window: 3,
        rates,
        steps: 8,
        ..lending(Broken::WindowForgotten)
    });
}

#[test]
fn a_grant_counted_from_its_receipt_is_found() {
    breaks(lending(Broken::GrantFromReceipt));
}

#[test]
fn a_lender_that_uses_what_it_lent_is_found() {
    breaks(Lending {
        steps: 3,
        ..lending(Broken::LenderKeepsUsing)
    });
}
