//! Planners: the coordinator events and reports that they receive, and the guidance that they send.

use flaxdeck::{CompleteAsOf, CoordinatorKnowledge, Health, Span, ZoneId};
use flaxdeck_control::LeaseTerms;
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Guidance, RelayedEvent, Report};
use flaxdeck_recovery::EventPosition;

use super::coordinator::CoordinatorEvent;
use super::events::Event;
use super::{Model, time};

/// The time between the reports of a forwarder.
pub(super) const REPORT_INTERVAL_MS: f64 = 200.0;
/// Reports continue for this long after the last arrival, because some clients are still waiting.
const REPORTS_AFTER_END_MS: f64 = 5_000.0;
/// How long a grant lasts.
const GRANT_DURATION_MS: u64 = 1_200;
/// The clock drift that leases allow for, in thousandths.
const CLOCK_DRIFT_PER_MILLE: u32 = 10;

/// A report with the planner that it is for.
struct AddressedReport {
    planner: usize,
    report: Report,
}

/// Returns the lease terms of all planners and forwarders, for a load window of `window_ms`.
pub(super) fn lease_terms(window_ms: f64) -> LeaseTerms {
    LeaseTerms::new(
        Span::of_ms(window_ms),
        Span::from_ms(GRANT_DURATION_MS),
        CLOCK_DRIFT_PER_MILLE,
    )
}

/// Returns the position of an event. The model's coordinator never loses its numbering, so the number alone identifies
/// an event, and serves as its hash too.
fn position(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number,
    }
}

impl Model<'_> {
    /// Handles the arrival of a coordinator event at a planner.
    pub(super) fn planner_receives_event(&mut self, planner: usize, number: u64) {
        let now = time(self.now);
        let event = &self.coordinator_events[number as usize - 1];
        if let CoordinatorEvent::Endpoint(endpoint) = event {
            let started_ms = endpoint.started.map_or(0, |at| at.ms() as u64);
            let listed = (endpoint.health != Health::Removed).then_some(started_ms);
            self.planners[planner].update_host(now, &endpoint.host.0, listed);
        }
        let relayed = RelayedEvent {
            position: position(number),
            frame: number.to_be_bytes().to_vec(),
        };
        self.planners[planner].coordinator_heard(
            now,
            Some(relayed),
            CoordinatorKnowledge::complete(CompleteAsOf::by_heartbeat(now)),
        );
    }

    /// Sends a forwarder's reports to the planners that it can reach, and schedules its next reports.
    pub(super) fn send_reports(&mut self, forwarder: usize, incarnation: u32) {
        let last_ms = self.scenario.duration_ms + REPORTS_AFTER_END_MS;
        if self.forwarders[forwarder].incarnation != incarnation || self.now > last_ms {
            return;
        }
        let next = Event::Report {
            forwarder,
            incarnation,
        };
        self.schedule(REPORT_INTERVAL_MS, next);
        let reports = self.make_reports(forwarder);
        self.apply_guidance(forwarder);
        for AddressedReport { planner, report } in reports {
            let arrival = Event::ReportReachesPlanner {
                planner,
                forwarder,
                report: Box::new(report),
            };
            self.schedule(self.scenario.far_latency_ms, arrival);
        }
    }

    /// Returns a forwarder's reports, one for each planner that it can reach.
    fn make_reports(&mut self, forwarder: usize) -> Vec<AddressedReport> {
        let now = time(self.now);
        let planners = 0..self.planners.len();
        let reachable: Vec<usize> = planners
            .filter(|planner| self.can_reach(forwarder, *planner))
            .collect();
        let zone = ZoneId(forwarder / self.scenario.forwarders_per_zone);
        let state = &mut self.forwarders[forwarder];
        let Some(session) = &mut state.session else {
            return Vec::new();
        };
        let observations = state.engine.observations(now);
        session.update_usage(now, &observations);
        session.update_link(zone, state.engine.link);
        let last_event = position(state.last_event);
        let report_to = |planner: usize| AddressedReport {
            planner,
            report: session.report(now, PlannerId(planner as u32), &observations, last_event),
        };
        reachable.into_iter().map(report_to).collect()
    }

    /// Returns whether a forwarder and a planner can reach each other: during a partition, only if both indices are
    /// even or both are odd.
    fn can_reach(&self, forwarder: usize, planner: usize) -> bool {
        !self.conditions.planners_partitioned || planner % 2 == forwarder % 2
    }

    /// Handles the arrival of a report at a planner, which answers with guidance unless planners are silent.
    pub(super) fn planner_receives_report(
        &mut self,
        planner: usize,
        forwarder: usize,
        report: &Report,
    ) {
        if self.conditions.planners_silent {
            return;
        }
        let Ok(guidance) = self.planners[planner].handle_report(time(self.now), report) else {
            return;
        };
        let arrival = Event::GuidanceReachesForwarder {
            planner,
            forwarder,
            incarnation: self.forwarders[forwarder].incarnation,
            guidance: Box::new(guidance),
        };
        self.schedule(self.scenario.far_latency_ms, arrival);
    }

    /// Handles the arrival of guidance at a forwarder; ignored if the forwarder has restarted in the meantime or cannot
    /// reach the planner.
    pub(super) fn forwarder_receives_guidance(
        &mut self,
        forwarder: usize,
        planner: usize,
        incarnation: u32,
        guidance: Guidance,
    ) {
        let state = &self.forwarders[forwarder];
        if state.incarnation != incarnation || !self.can_reach(forwarder, planner) {
            return;
        }
        let last_event = position(state.last_event);
        let Some(session) = &mut self.forwarders[forwarder].session else {
            return;
        };
        let sender = PlannerId(planner as u32);
        let Ok(events) = session.apply_guidance(time(self.now), sender, guidance, last_event)
        else {
            return;
        };
        for event in events {
            self.apply_event(forwarder, event.position.number);
        }
        self.apply_guidance(forwarder);
    }
}
