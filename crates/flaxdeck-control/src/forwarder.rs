//! The forwarder's side: what is reported to each planner, what of their guidance is believed, and what the decision engine
//! is told. Falls back by steps as guidance ages: grants run off within about a second, peer observations count by their age,
//! and with all planners silent for long the forwarder is a lone dispatcher.

use std::collections::BTreeMap;

use flaxdeck::{
    HostId, Observation, PeerHint, PeerHints, Sampled, SourceMeasurements, Span, Time, WarmupQuota,
    ZoneId,
};
use flaxdeck_recovery::EventPosition;

use crate::membership::{self, Known, PlannerId, Refused};
use crate::messages::*;
use crate::quotas::{Quotas, WarmupReport};
use crate::ratings::{sensible_link, sensible_rating};
use crate::{LeaseTerms, QuotaFraction};

/// Peer observations older than this are not passed to the decision engine: by then its own trials know better.
const STALE: Span = Span::from_ms(10_000);

/// The coordinator speaks each second: past two of its words a connection to it counts as lost.
const COORDINATOR_SILENT: Span = Span::from_ms(2_200);

/// A planner counts as silent after so many idle reports without an answer.
const IDLE_REPORTS_MISSED: f64 = 2.5;

/// What the operator's file says of a forwarder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwarderOptions {
    pub lease_terms: LeaseTerms,
    /// The part of each host that planners have to grant by themselves; the instance_slots divide the rest.
    pub reserve: f64,
    /// Whether this forwarder has a seat, and with it a share by right.
    pub seated: bool,
    /// What stays the same over this forwarder's restarts.
    pub seat: SlotId,
    /// With no word for this long of the coordinator, or of a planner that hears it, no host is vouched for.
    pub blind_after: Option<Span>,
}

/// How well informed a forwarder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A planner is heard.
    Guided,
    /// None is, but what was heard still counts by its age.
    Ageing,
    /// By its own picture only.
    Alone,
    /// It can't vouch for any host.
    Blind,
}

struct Side {
    /// The planner's latest stamp, in its run.
    echo: Option<Stamp>,
    version: u64,
    sent: u64,
    /// When it was last reported to.
    reported: Option<Time>,
    /// When the coordinator was heard by way of it, at the earliest.
    vouched: Option<Time>,
    /// When nothing is out any more that an earlier run lent to it, by its own word.
    owes_until: Option<Time>,
}

/// What was refused, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub reports: u64,
    pub guidance: u64,
    pub old_epoch: u64,
    pub out_of_order: u64,
    pub not_for_us: u64,
    pub invalid_message: u64,
    pub shunned: u64,
    pub relayed: u64,
}

/// How a forwarder reports that hears of events by a subscription.
struct ReportSuppression {
    /// Between reports while nothing urgent is to be told.
    idle_every: Span,
    /// The planner subscribed to: samples go to it alone, failures to all.
    subscribed_to: Option<PlannerId>,
}

pub struct ForwarderSession {
    epoch: Epoch,
    options: ForwarderOptions,
    known: Vec<Known>,
    sides: Vec<Side>,
    quotas: Quotas,
    /// Ratings that the decision engine has not heard, with the time at which they were true.
    news: BTreeMap<String, (Time, Rating)>,
    /// What others have out at cold hosts, and when that was true.
    others: BTreeMap<Incarnation, Sampled<f64>>,
    /// This location's link as heard here, and as heard by others.
    zone: u32,
    link: Option<Sampled<f64>>,
    link_told: Option<Sampled<f64>>,
    /// When the coordinator itself was last heard and known to be followed; none since the start.
    coordinator: Option<Time>,
    /// None while every report is due at each tick and tells all.
    report_suppression: Option<ReportSuppression>,
    pub counters: Counters,
}

fn incarnation_of(observation: &Observation) -> Incarnation {
    Incarnation {
        host: observation.host.0.to_string(),
        started: observation.started.map_or(0, |at| at.ms() as u64),
    }
}

impl ForwarderSession {
    /// A forwarder that has just started, with so many planners in its file.
    pub fn start(
        now: Time,
        epoch: Epoch,
        options: ForwarderOptions,
        planners: u32,
    ) -> ForwarderSession {
        let side = |_| Side {
            echo: None,
            version: 0,
            sent: 0,
            reported: None,
            vouched: None,
            owes_until: None,
        };
        ForwarderSession {
            epoch,
            options,
            known: (0..planners).map(|n| Known::new(PlannerId(n))).collect(),
            sides: (0..planners).map(side).collect(),
            quotas: if planners > 0 {
                Quotas::new(now, options.lease_terms)
            } else {
                Quotas::lending_nothing(now, options.lease_terms)
            },
            news: BTreeMap::new(),
            others: BTreeMap::new(),
            zone: 0,
            link: None,
            link_told: None,
            coordinator: None,
            report_suppression: None,
            counters: Counters::default(),
        }
    }

    /// Events come by a subscription from now on, and reports go out only as often as there is something to say: each
    /// tick while a cold host is shared or a failure is to be told, else after `idle_every`.
    pub fn suppress_reports(&mut self, idle_every: Span) {
        let silent_after = idle_every * IDLE_REPORTS_MISSED;
        self.known
            .iter_mut()
            .for_each(|known| known.silent_after(silent_after));
        self.report_suppression = Some(ReportSuppression {
            idle_every,
            subscribed_to: None,
        });
    }

    /// The planner that tells the events, if one does.
    pub fn subscribed_to(&mut self, planner: Option<PlannerId>) {
        self.report_suppression
            .iter_mut()
            .for_each(|report_suppression| report_suppression.subscribed_to = planner);
    }

    /// Somebody who follows the coordinator has told all that it had at that time.
    pub fn events_known_at(&mut self, at: Time) {
        self.coordinator = self.coordinator.max(Some(at));
    }

    /// Whether a report to that planner is due at this tick.
    pub fn is_report_due(&self, now: Time, to: PlannerId, observations: &[Observation]) -> bool {
        let (Some(report_suppression), Some(side)) =
            (&self.report_suppression, self.sides.get(to.0 as usize))
        else {
            return true;
        };
        let Some(last) = side.reported else {
            return true;
        };
        let urgent = |observation: &Observation| {
            observation.warmup.is_some() || observation.last_failure.is_some_and(|bad| bad > last)
        };
        side.echo.is_none()
            || now.since(last) >= report_suppression.idle_every
            || observations.iter().any(urgent)
    }

    /// A conversation with a planner has begun.
    pub fn met(&mut self, planner: PlannerId) {
        self.known
            .get_mut(planner.0 as usize)
            .into_iter()
            .for_each(Known::met);
    }

    /// What was lent before this start is known: the own quotas are its own after so long.
    pub fn owns_after(&mut self, now: Time, waits: Span) {
        self.quotas.owns_after(now, waits);
    }

    /// Nothing is lent without leave from now on, which must be kept before it is given.
    pub fn needs_leave(&mut self, now: Time) {
        self.quotas.needs_leave(now);
    }

    /// Up to when leave to lend is wanted.
    pub fn asks_leave(&mut self, now: Time) -> Option<Time> {
        self.quotas.asks_leave(now)
    }

    pub fn has_leave(&mut self, until: Time) {
        self.quotas.has_leave(until);
    }

    /// The coordinator itself has spoken, and all is known here that it had to tell.
    pub fn coordinator_heard(&mut self, now: Time) {
        self.coordinator = Some(now);
    }

    /// Takes in what the decision engine has seen; its demand count until the next call.
    pub fn stand(&mut self, now: Time, observations: &[Observation]) {
        let by_right = self.by_right();
        let cold = observations.iter().filter_map(|observation| {
            let used = observation.warmup.as_ref()?;
            let (right, incarnation) = (
                QuotaFraction::below(used.equal_share * by_right),
                incarnation_of(observation),
            );
            let (spent, unmet) = (
                QuotaFraction::above(used.used),
                QuotaFraction::above(used.unmet),
            );
            Some(WarmupReport {
                incarnation,
                right,
                spent,
                in_hand: observation.in_flight.clamp(0.0, 65_535.0) as u16,
                unmet,
            })
        });
        self.quotas.stand(now, cold);
    }

    /// Takes in how full the location's link was when last heard here.
    pub fn link(&mut self, zone: ZoneId, link: Option<Sampled<f64>>) {
        (self.zone, self.link) = (zone.0 as u32, link);
    }

    /// The report to one planner, to be sent at once: from now on what it lends is not used here.
    pub fn report(
        &mut self,
        now: Time,
        to: PlannerId,
        observations: &[Observation],
        last_event: EventPosition,
    ) -> Report {
        let known = &self.known[to.0 as usize];
        let side = &mut self.sides[to.0 as usize];
        side.sent += 1;
        // Without a stamp of the planner's it could not tell from when a deposit counts.
        let charge = |incarnation: &Incarnation| {
            membership::lease_holder(now, &self.known, incarnation) == Some(to)
        };
        let lease_reports = match side.echo {
            Some(_) => self.quotas.trade(now, known.epoch, charge),
            None => Vec::new(),
        };
        let last = side.reported.replace(now);
        let newer = |at: Option<Time>| at.is_some_and(|at| last.is_none_or(|last| at > last));
        let news = |observation: &&Observation| {
            [
                observation.measured_at,
                observation.last_success,
                observation.last_failure,
            ]
            .into_iter()
            .any(newer)
        };
        let mut told: Vec<&Observation> = observations.iter().filter(news).collect();
        told.sort_by_key(|observation| {
            std::cmp::Reverse(observation.last_failure.filter(|bad| newer(Some(*bad))))
        });
        if let Some(report_suppression) = &self.report_suppression {
            let failed = told
                .iter()
                .take_while(|observation| newer(observation.last_failure))
                .count();
            let others = if report_suppression.subscribed_to == Some(to) {
                MAX_ROUTINE_RATINGS
            } else {
                0
            };
            // Which of the others are told goes round with the reports.
            let turn = side.sent as usize * MAX_ROUTINE_RATINGS;
            let rest = told.len() - failed;
            told[failed..].rotate_left(if rest > 0 { turn % rest } else { 0 });
            told.truncate(failed + others);
        }
        let ago = |at: Time| ceil_ms(now.since(at));
        let sample = |observation: &Observation| Sample {
            host: observation.host.0.to_string(),
            measures: if newer(observation.measured_at) {
                let SourceMeasurements { latency, bandwidth } = observation.measurements;
                [latency, bandwidth].map(|measure| measure.map(|measure| measure as f32))
            } else {
                [None; 2]
            },
            measured_ago_ms: observation.measured_at.map_or(0, ago),
            last_success_ago_ms: observation.last_success.map(ago),
            last_failure_ago_ms: observation.last_failure.map(ago),
            in_flight: observation.in_flight.clamp(0.0, 65_535.0) as u16,
        };
        self.counters.reports += 1;
        let (from, sent) = (self.epoch, Stamp::of(now));
        Report {
            envelope: Envelope {
                from,
                to: known.epoch,
                number: side.sent,
                sent,
                echo: side.echo,
            },
            slot: self.options.seat,
            last_event,
            subscribes: self.report_suppression.is_some(),
            version: side.version,
            zone: self.zone,
            link: self.link.map(|Sampled { value: full, at }| LinkLoad {
                utilization: full as f32,
                ago_ms: ago(at),
            }),
            lease_reports,
            samples: told.into_iter().take(MAX_RATINGS).map(sample).collect(),
        }
    }

    /// Takes in a planner's guidance. Those of its events come back that follow `last_event`, in order; a planner that
    /// follows another numbering has none, and vouches for nothing.
    pub fn guided(
        &mut self,
        now: Time,
        from: PlannerId,
        guidance: Guidance,
        last_event: EventPosition,
    ) -> Result<Vec<RelayedEvent>, Refused> {
        let judged = self.judge(now, from, &guidance);
        if let Err(why) = judged {
            let counters = &mut self.counters;
            *match why {
                Refused::OldEpoch => &mut counters.old_epoch,
                Refused::OutOfOrder => &mut counters.out_of_order,
                Refused::NotForUs => &mut counters.not_for_us,
                Refused::Nonsense => &mut counters.invalid_message,
                Refused::Shunned => &mut counters.shunned,
            } += 1;
            return Err(why);
        }
        let true_at = guidance.envelope.echo.map_or(now, Stamp::time);
        let (mut before, mut last) = (guidance.after, last_event);
        let mut events = guidance.events;
        events.retain(|event| {
            let follows = before == last && event.position.number == last.number + 1;
            before = event.position;
            last = if follows { event.position } else { last };
            follows
        });
        self.counters.relayed += events.len() as u64;
        // Between two words of the coordinator a planner on a good connection would hear of any change at once.
        let ago = |ago: u32| Span::from_ms(u64::from(ago)).less(COORDINATOR_SILENT);
        let followed = guidance
            .coordinator_ago_ms
            .filter(|_| guidance.coordinator_position == Some(last));
        self.sides[from.0 as usize].vouched = followed.map(|told| true_at - ago(told));
        let ago = |link: LinkLoad| true_at - Span::from_ms(u64::from(link.ago_ms));
        let told = guidance.link.map(|link| Sampled {
            value: f64::from(link.utilization),
            at: ago(link),
        });
        self.link_told = [self.link_told, told]
            .into_iter()
            .flatten()
            .max_by_key(|link| link.at);
        for rating in guidance.ratings {
            self.news.insert(rating.host.clone(), (true_at, rating));
        }
        Ok(events)
    }

    fn judge(&mut self, now: Time, from: PlannerId, guidance: &Guidance) -> Result<(), Refused> {
        let known = self
            .known
            .get_mut(from.0 as usize)
            .ok_or(Refused::Nonsense)?;
        let side = &mut self.sides[from.0 as usize];
        let Envelope {
            from: epoch,
            to,
            number,
            sent,
            echo,
        } = guidance.envelope;
        if to != self.epoch {
            return Err(Refused::NotForUs);
        }
        let before = known.epoch;
        known.admit(now, epoch, number)?;
        if epoch != before {
            (side.echo, side.version) = (None, 0);
        }
        let echo = echo.map_or(now, Stamp::time);
        let bounded = guidance.grants.len() <= MAX_INCARNATIONS
            && guidance.ratings.len() <= MAX_RATINGS
            && guidance.events.len() <= MAX_EVENTS
            && guidance.incarnations.len() <= MAX_INCARNATIONS;
        let mut sensible = bounded && echo <= now && guidance.ratings.iter().all(sensible_rating);
        sensible &= guidance.link.iter().all(sensible_link);
        // What it grants is bounded by what was asked, so the rest of a message with one bad grant does no harm.
        for grant in guidance.grants.iter().filter(|_| bounded && echo <= now) {
            sensible &= self.quotas.granted(now, epoch, echo, grant);
        }
        if !sensible {
            known.blame(now);
            return Err(Refused::Nonsense);
        }
        for word in &guidance.incarnations {
            if word.demanded {
                self.quotas.wanted(now, echo, &word.incarnation);
            }
            self.others.insert(
                word.incarnation.clone(),
                Sampled {
                    value: f64::from(word.peers_in_flight),
                    at: echo,
                },
            );
        }
        // Once it has lent itself, what an earlier run lent is of no more interest.
        let owes = guidance
            .outstanding_ms
            .filter(|_| !self.quotas.owns(now))
            .map(|ms| Span::from_ms(u64::from(ms)));
        side.owes_until = owes.map(|owes| now + owes).or(side.owes_until);
        known.true_at = Some(echo);
        (side.echo, side.version) = (Some(sent), guidance.version);
        self.counters.guidance += 1;
        // All planners that an earlier run may have lent to have said when nothing of it is out any more.
        let all = self
            .sides
            .iter()
            .map(|side| side.owes_until)
            .collect::<Option<Vec<Time>>>();
        let until = all.and_then(|all| all.into_iter().max());
        until
            .into_iter()
            .for_each(|until| self.quotas.owns_by(until));
        Ok(())
    }

    /// What the decision engine is to be told now.
    pub fn hints(&mut self, now: Time) -> PeerHints {
        let bare = |host: &str| PeerHint {
            host: HostId(host.into()),
            quota: None,
            measurements: SourceMeasurements::default(),
            measured_at: None,
            down_at: None,
            last_success: None,
            window: None,
            others_in_flight: None,
        };
        let start = |incarnation: &Incarnation| {
            (incarnation.started > 0).then(|| Time::at_ms(incarnation.started as f64))
        };
        self.others
            .retain(|_, others| now.since(others.at) < membership::SILENT);
        let quotas = self.quotas.uses(now).map(|(incarnation, parts)| PeerHint {
            quota: Some(WarmupQuota {
                started: start(incarnation),
                fraction: parts.share(),
            }),
            others_in_flight: self.others.get(incarnation).copied(),
            ..bare(&incarnation.host)
        });
        let mut hints: Vec<PeerHint> = quotas.collect();
        for (true_at, rating) in std::mem::take(&mut self.news).into_values() {
            if now.since(true_at) < STALE {
                let ago = |ms: u32| true_at - Span::from_ms(u64::from(ms));
                let [latency, bandwidth] = rating.measures.map(|measure| measure.map(f64::from));
                hints.push(PeerHint {
                    measurements: SourceMeasurements { latency, bandwidth },
                    measured_at: Some(ago(rating.measured_ago_ms)),
                    down_at: rating.down_ago_ms.map(ago),
                    last_success: rating.last_success_ago_ms.map(ago),
                    window: rating.window.map(f64::from),
                    ..bare(&rating.host)
                });
            }
        }
        let by_right = if self.quotas.owns(now) {
            self.by_right()
        } else {
            0.0
        };
        PeerHints {
            hints,
            unhinted_share: by_right,
            link: self.link_told,
            list_trusted: self.informed(now) != Freshness::Blind,
        }
    }

    /// The part of an equal share that this forwarder has by right.
    fn by_right(&self) -> f64 {
        if self.options.seated {
            1.0 - self.options.reserve
        } else {
            0.0
        }
    }

    /// When the decision engine is to be told anew, if nothing is heard until then.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let until = |after| self.vouched().map(|at| at + after);
        let blind = self
            .options
            .blind_after
            .and_then(until)
            .filter(|at| *at > now);
        [blind, self.quotas.next_change(now)]
            .into_iter()
            .flatten()
            .min()
    }

    /// When somebody who follows the coordinator was last heard, or it itself; none since the start.
    pub fn vouched(&self) -> Option<Time> {
        self.sides
            .iter()
            .filter_map(|side| side.vouched)
            .chain(self.coordinator)
            .max()
    }

    /// Whether a planner that follows the coordinator was heard within its own second: then drains come by it as well.
    pub fn planners_vouch(&self, now: Time) -> bool {
        let heard = |known: &Known| known.live(now);
        let vouched = |side: &Side| {
            side.vouched
                .is_some_and(|at| now.since(at) < COORDINATOR_SILENT * 0.5)
        };
        self.known
            .iter()
            .zip(&self.sides)
            .any(|(known, side)| heard(known) && vouched(side))
    }

    /// From when on what it may use of cold hosts is its own.
    pub fn owns_from(&self) -> Time {
        self.quotas.owns_from()
    }

    pub fn informed(&self, now: Time) -> Freshness {
        let heard = self.known.iter().filter_map(|known| known.true_at).max();
        if self
            .options
            .blind_after
            .is_some_and(|after| self.vouched().is_none_or(|at| now.since(at) >= after))
        {
            Freshness::Blind
        } else if self.known.iter().any(|known| known.live(now)) {
            Freshness::Guided
        } else if heard.is_some_and(|at| now.since(at) < STALE) {
            Freshness::Ageing
        } else {
            Freshness::Alone
        }
    }

    /// Quotas lent and granted over all cold hosts now, for the log.
    pub fn totals(&self, now: Time) -> [f64; 2] {
        self.quotas.totals(now)
    }
}
