//! Content and timing of a forwarder's reports to a planner.

use std::cmp::Reverse;

use flaxdeck::{Observation, Sampled, Time};
use flaxdeck_recovery::EventPosition;

use super::{ForwarderSession, in_flight_of};
use crate::membership::{self, PlannerId};
use crate::messages::{
    Envelope, Incarnation, LeaseReport, LinkLoad, MAX_RATINGS, MAX_ROUTINE_RATINGS, Measurements,
    Report, Sample, Stamp, ceil_ms,
};

/// The time of the last report, to tell what happened after it. `None` if there was no report yet.
#[derive(Clone, Copy)]
struct SinceLastReport(Option<Time>);

impl SinceLastReport {
    fn includes(self, at: Option<Time>) -> bool {
        at.is_some_and(|at| self.0.is_none_or(|last| at > last))
    }

    fn has_news(self, observation: &Observation) -> bool {
        self.includes(observation.measured_at)
            || self.includes(observation.last_success)
            || self.includes(observation.last_failure)
    }

    fn has_failed(self, observation: &Observation) -> bool {
        self.includes(observation.last_failure)
    }
}

impl ForwarderSession {
    /// Returns whether a report to the planner is due at this tick.
    pub fn is_report_due(&self, now: Time, to: PlannerId, observations: &[Observation]) -> bool {
        let (Some(suppression), Some(exchange)) =
            (&self.report_suppression, self.exchanges.get(to.0 as usize))
        else {
            return true;
        };
        let Some(last) = exchange.last_report else {
            return true;
        };
        let is_urgent = |observation: &Observation| {
            observation.warmup.is_some() || SinceLastReport(Some(last)).has_failed(observation)
        };
        exchange.echo.is_none()
            || now.since(last) >= suppression.idle_interval
            || observations.iter().any(is_urgent)
    }

    /// Creates the report to one planner. It must be sent at once, as this forwarder no longer uses what the report
    /// lends.
    ///
    /// # Panics
    ///
    /// If `to` is not one of the configured planners.
    pub fn report(
        &mut self,
        now: Time,
        to: PlannerId,
        observations: &[Observation],
        last_event: EventPosition,
    ) -> Report {
        let lease_reports = self.lease_reports(now, to);
        let exchange = &mut self.exchanges[to.0 as usize];
        exchange.messages_sent += 1;
        let since = SinceLastReport(exchange.last_report.replace(now));
        let (number, echo, version) = (exchange.messages_sent, exchange.echo, exchange.version);
        self.counters.reports += 1;
        let link = self.link.map(|Sampled { value, at }| LinkLoad {
            utilization: value as f32,
            ago_ms: ceil_ms(now.since(at)),
        });
        let samples = self
            .reported_observations(to, number, since, observations)
            .into_iter()
            .map(|observation| sample_of(now, since, observation))
            .collect();
        Report {
            envelope: Envelope {
                from: self.epoch,
                to: self.planners[to.0 as usize].epoch(),
                number,
                sent: Stamp::of(now),
                echo,
            },
            slot: self.options.slot,
            last_event,
            subscribes: self.report_suppression.is_some(),
            version,
            zone: self.zone,
            link,
            lease_reports,
            samples,
        }
    }

    fn lease_reports(&mut self, now: Time, to: PlannerId) -> Vec<LeaseReport> {
        // Without a stamp of its own in the report, the planner could not tell when a deposit begins.
        if self.exchanges[to.0 as usize].echo.is_none() {
            return Vec::new();
        }
        let is_lease_holder = |incarnation: &Incarnation| {
            membership::lease_holder(now, &self.planners, incarnation) == Some(to)
        };
        let epoch = self.planners[to.0 as usize].epoch();
        self.quotas.lease_reports(now, epoch, is_lease_holder)
    }

    /// Returns the observations that are new since the last report, the latest failures first. With reports suppressed,
    /// observations without a new failure go only to the planner subscribed to, a few per report; the report's number
    /// selects which, so that all have their turn.
    fn reported_observations<'a>(
        &self,
        to: PlannerId,
        number: u64,
        since: SinceLastReport,
        observations: &'a [Observation],
    ) -> Vec<&'a Observation> {
        let mut reported: Vec<&Observation> = observations
            .iter()
            .filter(|observation| since.has_news(observation))
            .collect();
        reported.sort_by_key(|observation| {
            let failed = observation.last_failure;
            Reverse(failed.filter(|_| since.has_failed(observation)))
        });
        if let Some(suppression) = &self.report_suppression {
            let failed = reported
                .iter()
                .take_while(|observation| since.has_failed(observation))
                .count();
            let routine = if suppression.subscribed_to == Some(to) {
                MAX_ROUTINE_RATINGS
            } else {
                0
            };
            let others = &mut reported[failed..];
            if !others.is_empty() {
                let turn = number as usize * MAX_ROUTINE_RATINGS;
                others.rotate_left(turn % others.len());
            }
            reported.truncate(failed + routine);
        }
        reported.truncate(MAX_RATINGS);
        reported
    }
}

fn sample_of(now: Time, since: SinceLastReport, observation: &Observation) -> Sample {
    let ago = |at: Time| ceil_ms(now.since(at));
    let measurements = if since.includes(observation.measured_at) {
        observation.measurements.into()
    } else {
        Measurements::default()
    };
    Sample {
        host: observation.host.0.to_string(),
        measurements,
        measured_ago_ms: observation.measured_at.map_or(0, ago),
        last_success_ago_ms: observation.last_success.map(ago),
        last_failure_ago_ms: observation.last_failure.map(ago),
        in_flight: in_flight_of(observation),
    }
}
