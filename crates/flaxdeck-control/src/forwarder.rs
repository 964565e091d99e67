//! The forwarder's side of its sessions with planners: reports to each planner, guidance from them, and hints to the
//! decision engine.
//!
//! As guidance ages, a forwarder degrades in steps: grants expire within about a second, observations of peers lose
//! weight with their age, and once all planners have been silent for long the forwarder works like a dispatcher without
//! a control plane.

mod freshness;
mod guidance;
mod hints;
mod report;

use std::collections::BTreeMap;

use flaxdeck::{CaughtUpAt, CompleteAsOf, Observation, Sampled, Span, Time, ZoneId};

use crate::membership::{PlannerId, PlannerStatus};
use crate::messages::{Epoch, Incarnation, Rating, SlotId, Stamp};
use crate::quotas::{LeaseTotals, Quotas, WarmupReport};
use crate::{LeaseTerms, QuotaFraction};
pub use freshness::Freshness;

/// With reports suppressed, the silence timeout of a planner as a multiple of the interval between idle reports.
const MISSED_IDLE_REPORTS: f64 = 2.5;

/// Options of a forwarder, from the operator's configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwarderOptions {
    /// Durations of leases.
    pub lease_terms: LeaseTerms,
    /// The fraction of each host's quota that planners grant on their own, 0 to 1. The forwarders' shares divide the
    /// rest.
    pub reserve: f64,
    /// Whether this forwarder has a slot, and with it a share of its own.
    pub has_slot: bool,
    /// Identifies this forwarder across restarts.
    pub slot: SlotId,
    /// The endpoint list counts as unconfirmed once neither the coordinator nor a planner that has caught up with it was
    /// heard for this long. `None` if it never does.
    pub unconfirmed_limit: Option<Span>,
}

/// State of the exchange of messages with one planner.
#[derive(Clone, Default)]
struct Exchange {
    /// The latest stamp received from the planner's current run.
    echo: Option<Stamp>,
    /// The version of the planner's ratings that this forwarder has.
    version: u64,
    messages_sent: u64,
    last_report: Option<Time>,
    /// When the planner and this forwarder stood at the same event and none seemed to be on its way to the planner. None
    /// if that was not so at its latest guidance.
    caught_up_at: Option<CaughtUpAt>,
    /// Until when deposits that an earlier run lent to the planner may be outstanding, as the planner reported it.
    outstanding_until: Option<Time>,
}

/// Counters since the start of the forwarder. Those between `guidance` and `relayed` count guidance that was rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reports created.
    pub reports: u64,
    /// Guidance accepted.
    pub guidance: u64,
    /// Guidance from a run of the planner that has been superseded by a later run.
    pub old_epoch: u64,
    /// Guidance whose number is not higher than that of the last one accepted.
    pub out_of_order: u64,
    /// Guidance that is addressed to another run of this forwarder.
    pub not_for_us: u64,
    /// Guidance with invalid content.
    pub invalid_message: u64,
    /// Guidance from a planner that is ignored because of its invalid messages.
    pub sender_ignored: u64,
    /// Events of the coordinator received from planners.
    pub relayed: u64,
}

/// How a forwarder that receives events by a subscription limits its reports.
struct ReportSuppression {
    /// Interval between reports while there is nothing urgent to report.
    idle_interval: Span,
    /// The planner that the forwarder is subscribed to. Failures are reported to all planners, other samples to this
    /// one only.
    subscribed_to: Option<PlannerId>,
}

/// A forwarder's sessions with all its planners.
pub struct ForwarderSession {
    epoch: Epoch,
    options: ForwarderOptions,
    planners: Vec<PlannerStatus>,
    exchanges: Vec<Exchange>,
    quotas: Quotas,
    /// Ratings not yet passed to the decision engine, with the time as of which they were valid.
    new_ratings: BTreeMap<String, Sampled<Rating>>,
    /// Attempts that other forwarders have in flight at warming hosts.
    peers_in_flight: BTreeMap<Incarnation, Sampled<f64>>,
    zone: u32,
    /// Utilization of this zone's link, as hosts reported it to this forwarder.
    link: Option<Sampled<f64>>,
    /// Utilization of this zone's link, as planners reported it.
    peers_link: Option<Sampled<f64>>,
    /// When this forwarder had last caught up with the coordinator's events, other than by planners' guidance. None
    /// since the start.
    caught_up_at: Option<CaughtUpAt>,
    /// As of when this forwarder certainly had all of the coordinator's events.
    complete_as_of: Option<CompleteAsOf>,
    /// How long after that the endpoint list may be relied on; `None` if it always may.
    list_lifetime: Option<Span>,
    /// None if a full report is due at every tick.
    report_suppression: Option<ReportSuppression>,
    /// Counters since the start.
    pub counters: Counters,
}

impl ForwarderSession {
    /// Creates the session of a forwarder that starts at `now`, with the number of planners in its configuration.
    pub fn start(
        now: Time,
        epoch: Epoch,
        options: ForwarderOptions,
        planners: u32,
    ) -> ForwarderSession {
        let quotas = if planners > 0 {
            Quotas::new(now, options.lease_terms)
        } else {
            Quotas::without_planners(now, options.lease_terms)
        };
        ForwarderSession {
            epoch,
            options,
            planners: (0..planners)
                .map(|id| PlannerStatus::new(PlannerId(id)))
                .collect(),
            exchanges: vec![Exchange::default(); planners as usize],
            quotas,
            new_ratings: BTreeMap::new(),
            peers_in_flight: BTreeMap::new(),
            zone: 0,
            link: None,
            peers_link: None,
            caught_up_at: None,
            complete_as_of: None,
            list_lifetime: None,
            report_suppression: None,
            counters: Counters::default(),
        }
    }

    /// Switches to suppressed reports, because events now come by a subscription: a report is due at each tick while a
    /// host warms up or there is a new failure, and otherwise once per `idle_interval`.
    pub fn suppress_reports(&mut self, idle_interval: Span) {
        for planner in &mut self.planners {
            planner.set_silence_timeout(idle_interval * MISSED_IDLE_REPORTS);
        }
        self.report_suppression = Some(ReportSuppression {
            idle_interval,
            subscribed_to: None,
        });
    }

    /// Sets the planner that events now come from, if any.
    pub fn set_subscribed_to(&mut self, planner: Option<PlannerId>) {
        if let Some(suppression) = &mut self.report_suppression {
            suppression.subscribed_to = planner;
        }
    }

    /// Records that a connection to a planner was opened.
    pub fn connection_opened(&mut self, planner: PlannerId) {
        if let Some(status) = self.planners.get_mut(planner.0 as usize) {
            status.connection_opened();
        }
    }

    /// Limits for how long the endpoint list may be relied on after this forwarder had all of the coordinator's events.
    pub fn limit_list_lifetime(&mut self, lifetime: Span) {
        self.list_lifetime = Some(lifetime);
    }

    /// Records that no further event of the coordinator seemed to be on its way at that time.
    pub fn note_caught_up(&mut self, at: CaughtUpAt) {
        self.caught_up_at = self.caught_up_at.max(Some(at));
    }

    /// Records that all events are known here that the coordinator had as of that time.
    pub fn note_complete(&mut self, as_of: CompleteAsOf) {
        self.complete_as_of = self.complete_as_of.max(Some(as_of));
    }

    /// Records that it is not known of any time that all of the coordinator's events are known here.
    pub fn forget_completeness(&mut self) {
        self.complete_as_of = None;
    }

    /// Sets how long from `now` this forwarder's own shares are not used, where it is known what its earlier run lent.
    pub fn set_startup_wait(&mut self, now: Time, wait: Span) {
        self.quotas.set_startup_wait(now, wait);
    }

    /// From now on lends only within a permit. The caller must store a permit before it extends it here, so that the
    /// next run knows until when quota may be lent.
    pub fn require_lending_permit(&mut self, now: Time) {
        self.quotas.require_lending_permit(now);
    }

    /// Returns until when a permit to lend is requested; `None` if the current one suffices or none is needed.
    pub fn requested_lending_permit(&mut self, now: Time) -> Option<Time> {
        self.quotas.requested_lending_permit(now)
    }

    /// Extends the permit to lend, once the caller has stored it.
    pub fn extend_lending_permit(&mut self, until: Time) {
        self.quotas.extend_lending_permit(until);
    }

    /// Records the decision engine's use of warming hosts. `unmet` in it is the unmet demand since the previous call.
    pub fn update_usage(&mut self, now: Time, observations: &[Observation]) {
        let own_part = self.own_part();
        let warming = observations.iter().filter_map(|observation| {
            let usage = observation.warmup.as_ref()?;
            Some(WarmupReport {
                incarnation: incarnation_of(observation),
                own_share: QuotaFraction::rounded_down(usage.equal_share * own_part),
                used: QuotaFraction::rounded_up(usage.used),
                in_flight: in_flight_of(observation),
                unmet: QuotaFraction::rounded_up(usage.unmet),
            })
        });
        self.quotas.update_usage(now, warming);
    }

    /// Records the utilization of the zone's link that a host last reported to this forwarder.
    pub fn update_link(&mut self, zone: ZoneId, link: Option<Sampled<f64>>) {
        self.zone = zone.0 as u32;
        self.link = link;
    }

    /// Returns the fraction of an equal share that this forwarder owns.
    fn own_part(&self) -> f64 {
        if self.options.has_slot {
            1.0 - self.options.reserve
        } else {
            0.0
        }
    }

    /// Returns the time from which this forwarder may use its own shares of warming hosts.
    pub fn own_share_from(&self) -> Time {
        self.quotas.own_share_from()
    }

    /// Returns the amounts lent and granted over all warming hosts at `now`, for the log.
    pub fn lease_totals(&self, now: Time) -> LeaseTotals {
        self.quotas.totals(now)
    }
}

fn incarnation_of(observation: &Observation) -> Incarnation {
    Incarnation {
        host: observation.host.0.to_string(),
        started: observation.started.map_or(0, |at| at.ms() as u64),
    }
}

fn in_flight_of(observation: &Observation) -> u16 {
    observation.in_flight.clamp(0.0, f64::from(u16::MAX)) as u16
}
