//! The model: its state, its actions, and what has to hold in every state.

use std::collections::BTreeSet;

use flaxdeck::{Span, Time};
use flaxdeck_control::messages::{Epoch, Incarnation};
use flaxdeck_control::quota_pool::QuotaPool;
use flaxdeck_control::quotas::{Quotas, WarmupReport};
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use stateright::{Model, Property};

/// What has to hold.
pub(crate) const WITHIN_THE_WHOLE: &str = "no warming host is asked for more than the whole";
/// Milliseconds of real time a step.
pub(crate) const STEP: u64 = 100;
/// Thousandths by which clocks run fast or slow here: coarse, so that it shows within a few steps.
pub(crate) const DRIFT: u32 = 50;

/// How the protocol is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
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
pub(crate) enum Message {
    Report(Report),
    Grant(Answer),
}

/// What a forwarder tells a planner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Report {
    pub(crate) from: usize,
    pub(crate) epoch: Epoch,
    pub(crate) to: usize,
    pub(crate) planner: Epoch,
    /// The planner's latest stamp that the forwarder had seen.
    pub(crate) seen: u64,
    pub(crate) deposit: QuotaFraction,
    pub(crate) demand: QuotaFraction,
    /// The forwarder's stamp.
    pub(crate) at: u64,
}

/// A planner's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Answer {
    pub(crate) to: usize,
    pub(crate) epoch: Epoch,
    pub(crate) planner: Epoch,
    /// The stamp of the report.
    pub(crate) asked: u64,
    pub(crate) sent: u64,
    pub(crate) amount: QuotaFraction,
    pub(crate) from: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Forwarder {
    pub(crate) epoch: Epoch,
    pub(crate) quotas: Quotas,
    /// The latest stamp seen of each planner, and of which run.
    pub(crate) seen: Vec<(Epoch, u64)>,
    pub(crate) spent: Vec<(u64, QuotaFraction)>,
    pub(crate) reports: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PlannerState {
    pub(crate) epoch: Epoch,
    pub(crate) owns_from: Time,
    pub(crate) pool: QuotaPool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) step: u64,
    pub(crate) forwarders: Vec<Forwarder>,
    pub(crate) planners: Vec<PlannerState>,
    pub(crate) network: BTreeSet<Message>,
    pub(crate) restarts: u8,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    Step,
    Report { from: usize, to: usize, wants: bool },
    Deliver(Message),
    RestartPlanner(usize),
    RestartForwarder(usize),
    Spend(usize),
}

pub(crate) struct Lending {
    pub(crate) broken: Broken,
    /// Both may lend or borrow, as they report; else the first lends and the second borrows.
    pub(crate) both: bool,
    /// The part that planners have of their own.
    pub(crate) reserve: f64,
    /// The host's window, in steps.
    pub(crate) window: u64,
    pub(crate) steps: u64,
    /// What each forwarder may report.
    pub(crate) reports: [u8; 2],
    pub(crate) restarts: u8,
    pub(crate) planners: usize,
    /// How fast each clock runs, in thousandths: forwarders, then planners.
    pub(crate) rates: [u64; 4],
    /// Answers that grant nothing still bring a new stamp.
    pub(crate) stamps: bool,
}

impl Lending {
    pub(crate) fn lease_terms(&self) -> LeaseTerms {
        let (window, granted) = (Span::from_ms(self.window * STEP), Span::from_ms(STEP));
        // The time allowed for lateness is set for real networks; here it would only add steps.
        let lent = (window + granted + Span::from_ms(STEP)) * 1.4;
        LeaseTerms {
            deposit_duration: lent,
            ..LeaseTerms::new(window, granted, DRIFT)
        }
    }

    /// The reading of a clock in milliseconds; each has a zero of its own.
    pub(crate) fn clock(&self, who: usize, step: u64) -> u64 {
        10_000 * (who as u64 + 1) + step * STEP * self.rates[who] / 1000
    }

    pub(crate) fn time(&self, who: usize, step: u64) -> Time {
        Time::at_ms(self.clock(who, step) as f64)
    }

    pub(crate) fn planner(&self, at: usize) -> usize {
        2 + at
    }

    pub(crate) fn right(&self) -> QuotaFraction {
        QuotaFraction::rounded_down((1.0 - self.reserve) / 2.0)
    }

    pub(crate) fn own(&self) -> QuotaFraction {
        QuotaFraction::rounded_down(self.reserve / self.planners as f64)
    }

    pub(crate) fn incarnation() -> Incarnation {
        Incarnation {
            host: "s-1".into(),
            started: 1,
        }
    }

    pub(crate) fn quotas(&self, who: usize, step: u64, first: bool) -> Quotas {
        // The first run of all has nothing behind it that it could have lent.
        let waits = !first && self.broken != Broken::ForwarderWaitsForNothing;
        let from = if waits {
            self.time(who, step)
        } else {
            Time::at_ms(1.0)
        };
        Quotas::new(from, self.lease_terms())
    }

    pub(crate) fn within(&self, spent: &[(u64, QuotaFraction)], step: u64) -> QuotaFraction {
        let recent = spent.iter().filter(|(at, _)| at + self.window > step);
        recent.fold(QuotaFraction::NONE, |sum, (_, amount)| {
            sum.saturating_add(*amount)
        })
    }

    /// Forgets what can have no effect any more, so that states that differ by nothing else are one.
    pub(crate) fn forget(&self, state: &mut State) {
        let (step, lease_terms) = (state.step, self.lease_terms());
        for (who, forwarder) in state.forwarders.iter_mut().enumerate() {
            let (now, right) = (self.time(who, step), self.right());
            let cold = WarmupReport {
                incarnation: Lending::incarnation(),
                own_share: right,
                used: QuotaFraction::NONE,
                in_flight: 0,
                unmet: QuotaFraction::NONE,
            };
            forwarder.quotas.update_usage(now, [cold]);
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
            Message::Report(report) => {
                let counted_for = lease_terms.deposit_counted_for();
                let deposit = report.deposit > QuotaFraction::NONE
                    && !past(self.planner(report.to), report.seen, counted_for);
                deposit || !past(report.from, report.at, lease_terms.grant_duration)
            }
            Message::Grant(grant) => !past(grant.to, grant.asked, lease_terms.grant_duration),
        });
    }

    pub(crate) fn update_usage(&self, state: &mut State, who: usize, unmet: QuotaFraction) {
        let (now, step) = (self.time(who, state.step), state.step);
        let forwarder = &mut state.forwarders[who];
        let spent = self.within(&forwarder.spent, step);
        let cold = WarmupReport {
            incarnation: Lending::incarnation(),
            own_share: self.right(),
            used: spent,
            in_flight: 0,
            unmet,
        };
        forwarder.quotas.update_usage(now, [cold]);
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
            Action::Report { from, to, wants } => self.report(&mut state, from, to, wants)?,
            Action::Deliver(Message::Report(report)) => self.deliver_report(&mut state, report),
            Action::Deliver(Message::Grant(grant)) => self.deliver_grant(&mut state, grant)?,
            Action::RestartPlanner(which) => self.restart_planner(&mut state, which),
            Action::RestartForwarder(who) => self.restart_forwarder(&mut state, who),
            Action::Spend(who) => self.spend(&mut state, who)?,
        }
        for forwarder in &mut state.forwarders {
            forwarder.spent.retain(|(at, amount)| {
                at + self.window > state.step && *amount > QuotaFraction::NONE
            });
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_THE_WHOLE, |model: &Lending, state: &State| {
                let spent = state
                    .forwarders
                    .iter()
                    .map(|forwarder| model.within(&forwarder.spent, state.step));
                spent.fold(QuotaFraction::NONE, QuotaFraction::saturating_add)
                    <= QuotaFraction::WHOLE
            }),
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
