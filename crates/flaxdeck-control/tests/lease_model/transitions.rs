//! Transitions of the model: the effect of each action.

use flaxdeck::{Span, Time};
use flaxdeck_control::messages::{Epoch, Grant};
use flaxdeck_control::quota_pool::QuotaPool;
use flaxdeck_control::{LeaseTerms, QuotaFraction};

use super::model::{
    Answer, Defect, Forwarder, Lending, Message, PlannerState, Report, STEP_MS, State,
};

impl Lending {
    /// Sends a forwarder's report. Returns `None` if it has neither a deposit nor a demand.
    pub(crate) fn report(
        &self,
        state: &mut State,
        from: usize,
        to: usize,
        demands: bool,
    ) -> Option<()> {
        let now = self.time(from, state.step);
        let unmet = if demands {
            QuotaFraction::WHOLE
        } else {
            QuotaFraction::NONE
        };
        self.update_usage(state, from, unmet);
        let forwarder = &mut state.forwarders[from];
        forwarder.reports += 1;
        let (planner, echoed) = forwarder.stamps[to];
        let quotas = &mut forwarder.quotas;
        quotas.record_peer_demand(now, now, &Lending::incarnation());
        let lease_reports = quotas.lease_reports(now, planner, |_| true);
        let lease_report = lease_reports.first().filter(|report| {
            report.deposit > QuotaFraction::NONE || report.demand > QuotaFraction::NONE
        })?;
        state.network.insert(Message::Report(Report {
            from,
            epoch: forwarder.epoch,
            to,
            planner,
            echoed,
            deposit: lease_report.deposit,
            demand: lease_report.demand,
            at: self.clock(from, state.step),
        }));
        Some(())
    }

    pub(crate) fn deliver_report(&self, state: &mut State, report: Report) {
        let now = self.time(self.planner(report.to), state.step);
        let planner = &mut state.planners[report.to];
        planner.pool.prune(now);
        planner
            .pool
            .set_own_quota(self.planner_quota(), now, planner.own_quota_from);
        let lender = Epoch(report.epoch.0 * 10 + report.from as u64);
        let lease_terms = self.lease_terms();
        // The echoed stamp is valid only for the run of the planner that issued it.
        if report.planner == planner.epoch && report.deposit > QuotaFraction::NONE {
            let echoed = if self.defect == Defect::DepositFromReceipt {
                now
            } else {
                Time::at_ms(report.echoed as f64)
            };
            planner
                .pool
                .add_deposit(lease_terms, now, lender, report.deposit, echoed);
        }
        let window = if self.defect == Defect::WindowNotReserved {
            Span::ZERO
        } else {
            lease_terms.window
        };
        let grant_terms = LeaseTerms {
            window,
            ..lease_terms
        };
        let amount = planner.pool.grant(grant_terms, now, lender, report.demand);
        if amount == QuotaFraction::NONE && !self.empty_answers {
            return;
        }
        state.network.insert(Message::Grant(Answer {
            to: report.from,
            epoch: report.epoch,
            planner: planner.epoch,
            requested_at: report.at,
            sent: self.clock(self.planner(report.to), state.step),
            amount,
            from: report.to,
        }));
    }

    /// Delivers a grant. Returns `None` if it is for an earlier run of the forwarder.
    pub(crate) fn deliver_grant(&self, state: &mut State, answer: Answer) -> Option<()> {
        let now = self.time(answer.to, state.step);
        let forwarder = &mut state.forwarders[answer.to];
        if forwarder.epoch != answer.epoch {
            return None;
        }
        let stamp = (answer.planner, answer.sent);
        if forwarder.stamps[answer.from] < stamp {
            forwarder.stamps[answer.from] = stamp;
        }
        let requested_at = if self.defect == Defect::GrantFromReceipt {
            now
        } else {
            Time::at_ms(answer.requested_at as f64)
        };
        let grant = Grant {
            incarnation: Lending::incarnation(),
            amount: answer.amount,
            lasts_ms: STEP_MS as u32,
        };
        let accepted = forwarder
            .quotas
            .accept_grant(now, answer.planner, requested_at, &grant);
        assert_eq!(
            accepted,
            Ok(()),
            "grants of the model are within the lease terms"
        );
        Some(())
    }

    pub(crate) fn restart_planner(&self, state: &mut State, index: usize) {
        state.restarts += 1;
        let wait = if self.defect == Defect::PlannerSkipsStartupWait {
            Span::ZERO
        } else {
            self.lease_terms().planner_startup_wait()
        };
        let now = self.time(self.planner(index), state.step);
        state.planners[index] = PlannerState {
            epoch: Epoch(state.planners[index].epoch.0 + 1),
            own_quota_from: now + wait,
            pool: QuotaPool::default(),
        };
    }

    /// Restarts a forwarder. Its use in the earlier run still counts towards the host's window.
    pub(crate) fn restart_forwarder(&self, state: &mut State, who: usize) {
        state.restarts += 1;
        let old = &state.forwarders[who];
        state.forwarders[who] = Forwarder {
            epoch: Epoch(old.epoch.0 + 1),
            quotas: self.quotas(who, state.step, false),
            ..old.clone()
        };
    }

    /// Lets a forwarder use all of its usable quota. Returns `None` if none is left.
    pub(crate) fn use_quota(&self, state: &mut State, who: usize) -> Option<()> {
        let now = self.time(who, state.step);
        let forwarder = &mut state.forwarders[who];
        let usable = forwarder.quotas.usable(now).next();
        let own_share = if forwarder.quotas.has_own_share(now) {
            self.own_share()
        } else {
            QuotaFraction::NONE
        };
        let mut usable = usable.map_or(own_share, |(_, usable)| usable);
        if self.defect == Defect::LenderKeepsUsing {
            usable = usable.max(own_share);
        }
        let used = self.used_within_window(&forwarder.used, state.step);
        let amount = usable.saturating_sub(used);
        if amount == QuotaFraction::NONE {
            return None;
        }
        forwarder.used.push((state.step, amount));
        Some(())
    }
}
