//! The forwarder's side as a whole: what it reports to each planner, what it takes from their guidance, and what it hints
//! to the decision engine.
//!
//! As guidance ages a forwarder falls back by steps: grants end within about a second, peer observations count by their
//! age, and with all planners silent for long the forwarder is a lone dispatcher.

mod freshness;
mod guidance;
mod hints;
mod report;

use std::collections::BTreeMap;

use flaxdeck::{Observation, Sampled, Span, Time, ZoneId};

use crate::membership::{PlannerId, PlannerStatus};
use crate::messages::{Epoch, Incarnation, Rating, SlotId, Stamp};
use crate::quotas::{LeaseTotals, Quotas, WarmupReport};
use crate::{LeaseTerms, QuotaFraction};
pub use freshness::Freshness;

/// With reports suppressed, a planner counts as silent after so many idle reports without an answer.
const MISSED_IDLE_REPORTS: f64 = 2.5;

/// What the operator's file says of a forwarder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwarderOptions {
    /// The spans of leases.
    pub lease_terms: LeaseTerms,
    /// The part of each host that planners have to grant by themselves, 0 to 1; the forwarders' shares divide the rest.
    pub reserve: f64,
    /// Whether this forwarder has a slot, and with it a share of its own.
    pub has_slot: bool,
    /// What stays the same over this forwarder's restarts.
    pub slot: SlotId,
    /// When the coordinator, or a planner that follows it, was not heard for so long, the list of hosts counts as
    /// unconfirmed; none if it never does.
    pub unconfirmed_limit: Option<Span>,
}

/// What was exchanged with one planner.
#[derive(Clone, Default)]
struct Exchange {
    /// The planner's latest stamp, in its present run.
    echo: Option<Stamp>,
    /// The version of its ratings that is known here.
    version: u64,
    messages_sent: u64,
    last_report: Option<Time>,
    /// When the coordinator was heard by way of this planner, at the earliest.
    confirmed_at: Option<Time>,
    /// Until when something may be outstanding that an earlier run lent to it, as the planner told.
    outstanding_until: Option<Time>,
}

/// Counts since the start of the forwarder; all after `guidance` but the last are guidance that was not taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reports written.
    pub reports: u64,
    /// Guidance taken.
    pub guidance: u64,
    /// Of a run of the planner that a later one has followed.
    pub old_epoch: u64,
    /// Not after the last one taken.
    pub out_of_order: u64,
    /// Meant for an earlier run of this forwarder.
    pub not_for_us: u64,
    /// Says what can't be.
    pub invalid_message: u64,
    /// Of a planner that is ignored for its invalid messages.
    pub sender_ignored: u64,
    /// Events taken from planners.
    pub relayed: u64,
}

/// How a forwarder reports that hears of events by a subscription.
struct ReportSuppression {
    /// Between reports while there is nothing urgent to tell.
    idle_every: Span,
    /// The planner that is subscribed to: samples go to it alone, failures to all.
    subscribed_to: Option<PlannerId>,
}

/// A forwarder's part in the control plane.
pub struct ForwarderSession {
    epoch: Epoch,
    options: ForwarderOptions,
    planners: Vec<PlannerStatus>,
    exchanges: Vec<Exchange>,
    quotas: Quotas,
    /// Ratings that the decision engine was not given yet, with the time at which they were true.
    new_ratings: BTreeMap<String, Sampled<Rating>>,
    /// How many attempts others have in flight at warming hosts.
    peers_in_flight: BTreeMap<Incarnation, Sampled<f64>>,
    zone: u32,
    /// How busy this zone's link is, as hosts told this forwarder.
    link: Option<Sampled<f64>>,
    /// The same as planners told.
    peers_link: Option<Sampled<f64>>,
    /// When the coordinator itself was last heard and known to be followed; none since the start.
    coordinator_heard: Option<Time>,
    /// None while every report is due at each tick and tells all.
    report_suppression: Option<ReportSuppression>,
    /// Counts since the start.
    pub counters: Counters,
}

impl ForwarderSession {
    /// A forwarder that has just started, with so many planners in its file.
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
            coordinator_heard: None,
            report_suppression: None,
            counters: Counters::default(),
        }
    }

    /// Events come by a subscription from now on, and reports go out only as often as there is something to say: at each
    /// tick while a host warms up or a failure is to be told, else after `idle_every`.
    pub fn suppress_reports(&mut self, idle_every: Span) {
        for planner in &mut self.planners {
            planner.set_silence_timeout(idle_every * MISSED_IDLE_REPORTS);
        }
        self.report_suppression = Some(ReportSuppression {
            idle_every,
            subscribed_to: None,
        });
    }

    /// Events come from that planner now, or from none.
    pub fn set_subscribed_to(&mut self, planner: Option<PlannerId>) {
        if let Some(suppression) = &mut self.report_suppression {
            suppression.subscribed_to = planner;
        }
    }

    /// A connection to a planner was opened.
    pub fn connection_opened(&mut self, planner: PlannerId) {
        if let Some(status) = self.planners.get_mut(planner.0 as usize) {
            status.connection_opened();
        }
    }

    /// The coordinator itself was heard, and all is known here that it had to tell.
    pub fn coordinator_heard(&mut self, now: Time) {
        self.coordinator_heard = Some(now);
    }

    /// Somebody who follows the coordinator has told all that it had at that time.
    pub fn events_known_at(&mut self, at: Time) {
        self.coordinator_heard = self.coordinator_heard.max(Some(at));
    }

    /// What an earlier run lent is known: this forwarder's own shares may be used after so long.
    pub fn set_startup_wait(&mut self, now: Time, wait: Span) {
        self.quotas.set_startup_wait(now, wait);
    }

    /// Nothing is lent without a permit from now on, which must be stored before it is given.
    pub fn require_lending_permit(&mut self, now: Time) {
        self.quotas.require_lending_permit(now);
    }

    /// Until when a permit to lend is requested; none if there is enough, or none is needed.
    pub fn requested_lending_permit(&mut self, now: Time) -> Option<Time> {
        self.quotas.requested_lending_permit(now)
    }

    /// A permit to lend until that time is stored.
    pub fn extend_lending_permit(&mut self, until: Time) {
        self.quotas.extend_lending_permit(until);
    }

    /// Takes in how the decision engine uses warming hosts. Its unmet demand counts until the next call.
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

    /// Takes in how busy the zone's link was when a host last told this forwarder.
    pub fn update_link(&mut self, zone: ZoneId, link: Option<Sampled<f64>>) {
        self.zone = zone.0 as u32;
        self.link = link;
    }

    /// The part of an equal share that is this forwarder's own.
    fn own_part(&self) -> f64 {
        if self.options.has_slot {
            1.0 - self.options.reserve
        } else {
            0.0
        }
    }

    /// From when on this forwarder's own shares of warming hosts may be used.
    pub fn own_share_from(&self) -> Time {
        self.quotas.own_share_from()
    }

    /// What is lent and granted now over all warming hosts, for the log.
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
