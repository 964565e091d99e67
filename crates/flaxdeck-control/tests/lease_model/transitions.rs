//! What each action of the model does.

use flaxdeck::{Span, Time};
use flaxdeck_control::messages::{Epoch, Grant};
use flaxdeck_control::quota_pool::QuotaPool;
use flaxdeck_control::{LeaseTerms, QuotaFraction};

use super::model::{
    Answer, Broken, Forwarder, Lending, Message, PlannerState, Report, STEP, State,
};

impl Lending {
    /// A forwarder reports; none if it has nothing to tell.
    pub(crate) fn report(
        &self,
        state: &mut State,
        from: usize,
        to: usize,
        wants: bool,
    ) -> Option<()> {
        let now = self.time(from, state.step);
        let unmet = if wants {
            QuotaFraction::WHOLE
        } else {
            QuotaFraction::NONE
        };
        self.update_usage(state, from, unmet);
        let forwarder = &mut state.forwarders[from];
        forwarder.reports += 1;
        let (planner, seen) = forwarder.seen[to];
        let quotas = &mut forwarder.quotas;
        quotas.record_peer_demand(now, now, &Lending::incarnation());
        let lease_reports = quotas.lease_reports(now, planner, |_| true);
        let told = lease_reports.first().filter(|report| {
            report.deposit > QuotaFraction::NONE || report.demand > QuotaFraction::NONE
        })?;
        state.network.insert(Message::Report(Report {
            from,
            epoch: forwarder.epoch,
            to,
            planner,
            seen,
            deposit: told.deposit,
            demand: told.demand,
            at: self.clock(from, state.step),
        }));
        Some(())
    }

    pub(crate) fn deliver_report(&self, state: &mut State, report: Report) {
        let now = self.time(self.planner(report.to), state.step);
        let known = &mut state.planners[report.to];
        known.pool.prune(now);
        known.pool.set_own_quota(self.own(), now, known.owns_from);
        let lender = Epoch(report.epoch.0 * 10 + report.from as u64);
        let lease_terms = self.lease_terms();
        // Stamps are of the run that the forwarder knew.
        if report.planner == known.epoch && report.deposit > QuotaFraction::NONE {
            let seen = if self.broken == Broken::DepositFromReceipt {
                now
            } else {
                Time::at_ms(report.seen as f64)
            };
            known
                .pool
                .add_deposit(lease_terms, now, lender, report.deposit, seen);
        }
        let window = if self.broken == Broken::WindowForgotten {
            Span::ZERO
        } else {
            lease_terms.window
        };
        let granted_by = LeaseTerms {
            window,
            ..lease_terms
        };
        let amount = known.pool.grant(granted_by, now, lender, report.demand);
        if amount == QuotaFraction::NONE && !self.stamps {
            return;
        }
        state.network.insert(Message::Grant(Answer {
            to: report.from,
            epoch: report.epoch,
            planner: known.epoch,
            asked: report.at,
            sent: self.clock(self.planner(report.to), state.step),
            amount,
            from: report.to,
        }));
    }

    /// A grant arrives; none if it is for an earlier run.
    pub(crate) fn deliver_grant(&self, state: &mut State, answer: Answer) -> Option<()> {
        let now = self.time(answer.to, state.step);
        let forwarder = &mut state.forwarders[answer.to];
        if forwarder.epoch != answer.epoch {
            return None;
        }
        let stamp = (answer.planner, answer.sent);
        if forwarder.seen[answer.from] < stamp {
            forwarder.seen[answer.from] = stamp;
        }
        let asked = if self.broken == Broken::GrantFromReceipt {
            now
        } else {
            Time::at_ms(answer.asked as f64)
        };
        let grant = Grant {
            incarnation: Lending::incarnation(),
            amount: answer.amount,
            lasts_ms: STEP as u32,
        };
        let accepted = forwarder
            .quotas
            .accept_grant(now, answer.planner, asked, &grant);
        assert_eq!(accepted, Ok(()), "the model's grants are as agreed");
        Some(())
    }

    pub(crate) fn restart_planner(&self, state: &mut State, which: usize) {
        state.restarts += 1;
        let wait = if self.broken == Broken::PlannerWaitsForNothing {
            Span::ZERO
        } else {
            self.lease_terms().planner_startup_wait()
        };
        let now = self.time(self.planner(which), state.step);
        state.planners[which] = PlannerState {
            epoch: Epoch(state.planners[which].epoch.0 + 1),
            owns_from: now + wait,
            pool: QuotaPool::default(),
        };
    }

    /// What an earlier run spent still counts for the host.
    pub(crate) fn restart_forwarder(&self, state: &mut State, who: usize) {
        state.restarts += 1;
        let old = &state.forwarders[who];
        state.forwarders[who] = Forwarder {
            epoch: Epoch(old.epoch.0 + 1),
            quotas: self.quotas(who, state.step, false),
            ..old.clone()
        };
    }

    /// A forwarder spends all that it may; none if that is nothing.
    pub(crate) fn spend(&self, state: &mut State, who: usize) -> Option<()> {
        let now = self.time(who, state.step);
        let forwarder = &mut state.forwarders[who];
        let usable = forwarder.quotas.usable(now).next();
        let own_share = if forwarder.quotas.has_own_share(now) {
            self.right()
        } else {
            QuotaFraction::NONE
        };
        let mut usable = usable.map_or(own_share, |(_, usable)| usable);
        if self.broken == Broken::LenderKeepsUsing {
            usable = usable.max(own_share);
        }
        let spent = self.within(&forwarder.spent, state.step);
        let amount = usable.saturating_sub(spent);
        if amount == QuotaFraction::NONE {
            return None;
        }
        forwarder.spent.push((state.step, amount));
        Some(())
    }
}
