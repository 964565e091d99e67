//! Planners: the coordinator's events that reach them, the reports that reach them and the guidance that they send.

use flaxdeck::{Health, Span, ZoneId};
use flaxdeck_control::LeaseTerms;
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Guidance, RelayedEvent, Report};
use flaxdeck_recovery::EventPosition;

use super::coordinator::CoordinatorEvent;
use super::events::Event;
use super::{Model, time};

/// Milliseconds between a forwarder's reports.
pub(super) const REPORT_MS: f64 = 200.0;
/// Reports go on for so many milliseconds past the day, for those who still wait.
const REPORTS_AFTER_MS: f64 = 5_000.0;

/// What planners and forwarders promise each other, over a cold host's window.
pub(super) fn lease_terms(window_ms: f64) -> LeaseTerms {
    LeaseTerms::new(Span::of_ms(window_ms), Span::from_ms(1_200), 10)
}

/// The coordinator of the model never loses its numbering: a number is its event.
fn mark(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number,
    }
}

impl Model<'_> {
    /// The coordinator's event of that number reaches a planner.
    pub(super) fn planner_hears(&mut self, planner: usize, number: u64) {
        let now = time(self.now);
        if let CoordinatorEvent::Endpoint(endpoint) = &self.coordinator_events[number as usize - 1]
        {
            let started = endpoint.started.map_or(0, |at| at.ms() as u64);
            let started = (endpoint.health != Health::Removed).then_some(started);
            self.planners[planner].update_host(now, &endpoint.host.0, started);
        }
        let frame = number.to_be_bytes().to_vec();
        self.planners[planner].coordinator_heard(
            now,
            Some(RelayedEvent {
                position: mark(number),
                frame,
            }),
            true,
        );
    }

    /// A forwarder reports to the planners that it reaches, and plans its next report.
    pub(super) fn report(&mut self, n: usize, run: u32) {
        if self.forwarders[n].run != run || self.now > self.shape.day_ms + REPORTS_AFTER_MS {
            return;
        }
        self.after(REPORT_MS, Event::Report { forwarder: n, run });
        let reports = self.reports(n);
        self.take_hints(n);
        for (planner, report) in reports {
            self.after(
                self.shape.far_ms,
                Event::Reported {
                    planner,
                    forwarder: n,
                    report: Box::new(report),
                },
            );
        }
    }

    /// A forwarder's reports by the planners that they go to.
    fn reports(&mut self, n: usize) -> Vec<(usize, Report)> {
        let now = time(self.now);
        let reached: Vec<usize> = (0..self.planners.len())
            .filter(|at| self.reaches(n, *at))
            .collect();
        let forwarder = &mut self.forwarders[n];
        let Some(guide) = &mut forwarder.guide else {
            return Vec::new();
        };
        let observations = forwarder.engine.observations(now);
        guide.update_usage(now, &observations);
        guide.update_link(ZoneId(n / self.shape.forwarders), forwarder.engine.link);
        let known = mark(forwarder.last_event);
        let mut report = |at: usize| {
            (
                at,
                guide.report(now, PlannerId(at as u32), &observations, known),
            )
        };
        reached.into_iter().map(&mut report).collect()
    }

    /// Whether a forwarder and a planner hear each other: each only every other one while planners are split.
    fn reaches(&self, forwarder: usize, planner: usize) -> bool {
        !self.conditions.planners_split || planner % 2 == forwarder % 2
    }

    /// A report reaches a planner, which sends guidance unless it is silent.
    pub(super) fn reported(&mut self, planner: usize, forwarder: usize, report: &Report) {
        if self.conditions.planners_silent {
            return;
        }
        let Ok(guidance) = self.planners[planner].handle_report(time(self.now), report) else {
            return;
        };
        let (run, guidance) = (self.forwarders[forwarder].run, Box::new(guidance));
        self.after(
            self.shape.far_ms,
            Event::Guided {
                planner,
                forwarder,
                run,
                guidance,
            },
        );
    }

    /// Guidance reaches a forwarder.
    pub(super) fn guided(&mut self, n: usize, planner: usize, run: u32, guidance: Guidance) {
        if self.forwarders[n].run != run || !self.reaches(n, planner) {
            return;
        }
        let known = mark(self.forwarders[n].last_event);
        let Some(guide) = &mut self.forwarders[n].guide else {
            return;
        };
        let told = guide.apply_guidance(time(self.now), PlannerId(planner as u32), guidance, known);
        let Ok(events) = told else { return };
        events
            .iter()
            .for_each(|event| self.apply(n, event.position.number));
        self.take_hints(n);
    }
}
