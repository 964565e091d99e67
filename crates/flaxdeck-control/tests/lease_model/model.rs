//! The model: its state, its actions and its properties.

use std::collections::BTreeSet;

use flaxdeck::{Span, Time};
use flaxdeck_control::messages::{Epoch, Incarnation};
use flaxdeck_control::quota_pool::QuotaPool;
use flaxdeck_control::quotas::{Quotas, WarmupReport};
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use stateright::{Model, Property};

/// Name of the property that must hold in every state.
pub(crate) const WITHIN_QUOTA: &str = "use of the warming host stays within its full quota";
/// Real time per step.
pub(crate) const STEP_MS: u64 = 100;
/// Clock drift in the model, in thousandths. It is large, so that it has an effect within a few steps.
pub(crate) const DRIFT_PER_MILLE: u32 = 50;

/// A deliberate defect of the protocol, which the check has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// A planner grants its own quota right after its start.
    PlannerSkipsStartupWait,
    /// A planner counts a deposit's duration from its receipt.
    DepositFromReceipt,
    /// A forwarder uses its own share right after a restart.
    ForwarderSkipsStartupWait,
    /// A planner does not keep a grant reserved for a window after its end.
    WindowNotReserved,
    /// A borrower counts a grant's duration from its receipt.
    GrantFromReceipt,
    /// A lender uses what it has lent.
    LenderKeepsUsing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Message {
    Report(Report),
    Grant(Answer),
}

/// A forwarder's report to a planner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Report {
    pub(crate) from: usize,
    pub(crate) epoch: Epoch,
    pub(crate) to: usize,
    pub(crate) planner: Epoch,
    /// The planner's latest stamp that the forwarder has received.
    pub(crate) echoed: u64,
    pub(crate) deposit: QuotaFraction,
    pub(crate) demand: QuotaFraction,
    /// The forwarder's own stamp.
    pub(crate) at: u64,
}

/// A planner's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Answer {
    pub(crate) to: usize,
    pub(crate) epoch: Epoch,
    pub(crate) planner: Epoch,
    /// The stamp of the report.
    pub(crate) requested_at: u64,
    pub(crate) sent: u64,
    pub(crate) amount: QuotaFraction,
    pub(crate) from: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Forwarder {
    pub(crate) epoch: Epoch,
    pub(crate) quotas: Quotas,
    /// The latest stamp received from each planner, with the planner's epoch.
    pub(crate) stamps: Vec<(Epoch, u64)>,
    pub(crate) used: Vec<(u64, QuotaFraction)>,
    pub(crate) reports: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PlannerState {
    pub(crate) epoch: Epoch,
    pub(crate) own_quota_from: Time,
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
    Report {
        from: usize,
        to: usize,
        demands: bool,
    },
    Deliver(Message),
    RestartPlanner(usize),
    RestartForwarder(usize),
    Use(usize),
}

pub(crate) struct Lending {
    pub(crate) defect: Defect,
    /// Whether both forwarders may lend and borrow. If not, the first one only lends and the second one only borrows.
    pub(crate) both_roles: bool,
    /// The fraction of the quota that belongs to the planners.
    pub(crate) reserve: f64,
    /// The host's window, in steps.
    pub(crate) window: u64,
    pub(crate) steps: u64,
    /// Maximum number of reports of each forwarder.
    pub(crate) reports: [u8; 2],
    pub(crate) restarts: u8,
    pub(crate) planners: usize,
    /// Rate of each clock in thousandths of real time: those of the forwarders, then those of the planners.
    pub(crate) rates: [u64; 4],
    /// Whether planners also answer if they grant nothing. Such an answer has a new stamp.
    pub(crate) empty_answers: bool,
}

impl Lending {
    pub(crate) fn lease_terms(&self) -> LeaseTerms {
        let (window, grant_duration) =
            (Span::from_ms(self.window * STEP_MS), Span::from_ms(STEP_MS));
        // The margin for delays on real networks in `LeaseTerms::new` would only add steps here; one step replaces it.
        let deposit_duration = (window + grant_duration + Span::from_ms(STEP_MS)) * 1.4;
        LeaseTerms {
            deposit_duration,
            ..LeaseTerms::new(window, grant_duration, DRIFT_PER_MILLE)
        }
    }

    /// Returns the time that a clock shows, in milliseconds. Each clock has a different offset.
    pub(crate) fn clock(&self, who: usize, step: u64) -> u64 {
        10_000 * (who as u64 + 1) + step * STEP_MS * self.rates[who] / 1000
    }

    pub(crate) fn time(&self, who: usize, step: u64) -> Time {
        Time::at_ms(self.clock(who, step) as f64)
    }

    pub(crate) fn planner(&self, index: usize) -> usize {
        2 + index
    }

    pub(crate) fn own_share(&self) -> QuotaFraction {
        QuotaFraction::rounded_down((1.0 - self.reserve) / 2.0)
    }

    pub(crate) fn planner_quota(&self) -> QuotaFraction {
        QuotaFraction::rounded_down(self.reserve / self.planners as f64)
    }

    pub(crate) fn incarnation() -> Incarnation {
        Incarnation {
            host: "s-1".into(),
            started: 1,
        }
    }

    pub(crate) fn quotas(&self, who: usize, step: u64, first: bool) -> Quotas {
        // The very first run has no earlier run that could have lent its share.
        let waits = !first && self.defect != Defect::ForwarderSkipsStartupWait;
        let from = if waits {
            self.time(who, step)
        } else {
            Time::at_ms(1.0)
        };
        Quotas::new(from, self.lease_terms())
    }

    pub(crate) fn used_within_window(
        &self,
        used: &[(u64, QuotaFraction)],
        step: u64,
    ) -> QuotaFraction {
        let recent = used.iter().filter(|(at, _)| at + self.window > step);
        recent.fold(QuotaFraction::NONE, |sum, (_, amount)| {
            sum.saturating_add(*amount)
        })
    }

    /// Removes everything that can no longer have an effect, so that equivalent states become equal.
    pub(crate) fn prune(&self, state: &mut State) {
        let (step, lease_terms) = (state.step, self.lease_terms());
        for (who, forwarder) in state.forwarders.iter_mut().enumerate() {
            let (now, own_share) = (self.time(who, step), self.own_share());
            let warmup_report = WarmupReport {
                incarnation: Lending::incarnation(),
                own_share,
                used: QuotaFraction::NONE,
                in_flight: 0,
                unmet: QuotaFraction::NONE,
            };
            forwarder.quotas.update_usage(now, [warmup_report]);
        }
        for (at, planner) in state.planners.iter_mut().enumerate() {
            planner.pool.prune(self.time(self.planner(at), step));
        }
        if self.defect != Defect::None {
            return;
        }
        let past = |who: usize, at: u64, lasts: Span| {
            Time::at_ms(at as f64) + lasts <= self.time(who, step)
        };
        state.network.retain(|message| match message {
            Message::Report(report) => {
                let counted_for = lease_terms.deposit_counted_for();
                let deposit = report.deposit > QuotaFraction::NONE
                    && !past(self.planner(report.to), report.echoed, counted_for);
                deposit || !past(report.from, report.at, lease_terms.grant_duration)
            }
            Message::Grant(grant) => {
                !past(grant.to, grant.requested_at, lease_terms.grant_duration)
            }
        });
    }

    pub(crate) fn update_usage(&self, state: &mut State, who: usize, unmet: QuotaFraction) {
        let (now, step) = (self.time(who, state.step), state.step);
        let forwarder = &mut state.forwarders[who];
        let used = self.used_within_window(&forwarder.used, step);
        let warmup_report = WarmupReport {
            incarnation: Lending::incarnation(),
            own_share: self.own_share(),
            used,
            in_flight: 0,
            unmet,
        };
        forwarder.quotas.update_usage(now, [warmup_report]);
    }
}

impl Model for Lending {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let forwarder = |who: usize| Forwarder {
            epoch: Epoch(1),
            quotas: self.quotas(who, 0, true),
            stamps: (0..self.planners)
                .map(|at| (Epoch(1), self.clock(self.planner(at), 0)))
                .collect(),
            used: Vec::new(),
            reports: 0,
        };
        let planner = |_| PlannerState {
            epoch: Epoch(1),
            own_quota_from: Time::default(),
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
                    let demands = [false, true]
                        .into_iter()
                        .filter(|demands| self.both_roles || *demands == (from == 1));
                    actions.extend(demands.map(|demands| Action::Report { from, to, demands }));
                }
            }
            actions.push(Action::Use(from));
        }
        // A delivered message stays in the network, as it may be duplicated.
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
                self.prune(&mut state);
            }
            Action::Report { from, to, demands } => self.report(&mut state, from, to, demands)?,
            Action::Deliver(Message::Report(report)) => self.deliver_report(&mut state, report),
            Action::Deliver(Message::Grant(grant)) => self.deliver_grant(&mut state, grant)?,
            Action::RestartPlanner(which) => self.restart_planner(&mut state, which),
            Action::RestartForwarder(who) => self.restart_forwarder(&mut state, who),
            Action::Use(who) => self.use_quota(&mut state, who)?,
        }
        for forwarder in &mut state.forwarders {
            forwarder.used.retain(|(at, amount)| {
                at + self.window > state.step && *amount > QuotaFraction::NONE
            });
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_QUOTA, |model: &Lending, state: &State| {
                let used = state
                    .forwarders
                    .iter()
                    .map(|forwarder| model.used_within_window(&forwarder.used, state.step));
                used.fold(QuotaFraction::NONE, QuotaFraction::saturating_add)
                    <= QuotaFraction::WHOLE
            }),
            Property::sometimes(
                "a forwarder uses more than its own share",
                |model: &Lending, state: &State| {
                    let mut used = state
                        .forwarders
                        .iter()
                        .map(|forwarder| model.used_within_window(&forwarder.used, state.step));
                    used.any(|used| used > model.own_share())
                },
            ),
        ]
    }
}
