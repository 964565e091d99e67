//! The whole of a planner: reports and the coordinator's events go in, guidance comes out. It decides no request. Lost
//! whole, it leaves nothing behind that anybody waits for.

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::instance_slots::InstanceSlots;
use crate::membership::Refused;
use crate::messages::*;
use crate::quota_pool::QuotaPool;
use crate::ratings::{Health, sensible, sensible_link};
use crate::{LeaseTerms, QuotaFraction};

/// A forwarder that says nothing for so long is forgotten; what it lent runs off by itself.
pub const FORGOTTEN: Span = Span::from_ms(10_000);
/// The most forwarders that are kept, whatever comes.
pub const MAX_MEMBERS: usize = 4_096;
/// The most incarnations of cold hosts that are kept, whatever comes.
pub const MAX_POOLS: usize = 16_384;
/// The most events that are kept to be passed on, whatever comes.
pub const MAX_LOG: usize = 4_096;
/// Bytes of events in one guidance: some lists of changes, or one whole list of 5,000 hosts.
pub const MAX_EVENT_BYTES: usize = 192 * 1024;
/// A rating is told again after so long, if there was any sample since.
const REFRESH: Span = Span::from_ms(2_000);
/// Between looks for what can be forgotten.
const TIDY: Span = Span::from_ms(1_000);

struct Member {
    /// The last report's number and stamp.
    number: u64,
    stamp: Stamp,
    heard: Time,
    /// Messages sent to it.
    sent: u64,
    last_event: EventPosition,
    /// Events reach it by a subscription.
    subscribes: bool,
    version: u64,
    zone: u32,
}

struct Host {
    started: u64,
    health: Health,
    version: u64,
    told: Time,
}

/// What was counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub reports: u64,
    pub out_of_order: u64,
    pub not_for_us: u64,
    /// Reports of runs that a later one has followed.
    pub ended: u64,
    pub invalid_message: u64,
    pub unlisted: u64,
    pub grants: u64,
    pub pushes: u64,
}

pub struct Planner {
    epoch: Epoch,
    lease_terms: LeaseTerms,
    own: QuotaFraction,
    owns_from: Time,
    members: BTreeMap<Epoch, Member>,
    pools: BTreeMap<Incarnation, QuotaPool>,
    instance_slots: InstanceSlots,
    hosts: BTreeMap<String, Host>,
    /// Hosts by the version of their last change, the youngest last.
    changes: BTreeMap<u64, String>,
    version: u64,
    /// Each location's link as last heard by any of its forwarders.
    links: BTreeMap<u32, (f32, Time)>,
    /// The event before the first of the log.
    base: EventPosition,
    log: VecDeque<RelayedEvent>,
    /// When the coordinator was last heard, and whether all is known here that it had to tell.
    coordinator: Option<Time>,
    current: bool,
    next_tidy: Time,
    pub counters: Counters,
}

impl Planner {
    /// A planner that has just started, with `own` of each incarnation to grant beside what is lent to it.
    pub fn start(now: Time, epoch: Epoch, lease_terms: LeaseTerms, own: QuotaFraction) -> Planner {
        Planner {
            epoch,
            lease_terms,
            own,
            owns_from: now + lease_terms.planner_waits(),
            members: BTreeMap::new(),
            pools: BTreeMap::new(),
            instance_slots: InstanceSlots::new(now, lease_terms),
            hosts: BTreeMap::new(),
            changes: BTreeMap::new(),
            version: 0,
            links: BTreeMap::new(),
            base: EventPosition::NONE,
            log: VecDeque::new(),
            coordinator: None,
            current: false,
            next_tidy: now,
            counters: Counters::default(),
        }
    }

    /// A host is listed, with its start in milliseconds of Unix time (0 if long past), or is gone.
    pub fn listed(&mut self, now: Time, host: &str, started: Option<u64>) {
        let Some(started) = started else {
            if let Some(gone) = self.hosts.remove(host) {
                self.changes.remove(&gone.version);
            }
            return;
        };
        let new = || Host {
            started,
            health: Health::default(),
            version: 0,
            told: now,
        };
        let known = self.hosts.entry(host.to_owned()).or_insert_with(new);
        if known.started != started {
            // Another process: what was measured of the old one says nothing of it.
            self.changes.remove(&known.version);
            *known = new();
        }
    }

    /// The names of all listed hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &String> {
        self.hosts.keys()
    }

    /// The coordinator has spoken; an event is kept to be passed on. `current` if all is known here that it had to tell.
    pub fn coordinator(&mut self, now: Time, event: Option<RelayedEvent>, current: bool) {
        (self.coordinator, self.current) = (Some(now), current);
        let last = self.last_event();
        if let Some(event) = event.filter(|event| event.position.number > last.number) {
            self.log.push_back(event);
            if self.log.len() > MAX_LOG {
                self.base = self
                    .log
                    .pop_front()
                    .map_or(self.base, |event| event.position);
            }
        }
    }

    /// All that is known here of the coordinator's events ends with that one: at the start, and where its numbering
    /// turned out another. What was passed on before follows from nothing any more.
    pub fn begins_at(&mut self, mark: EventPosition) {
        self.log.clear();
        self.base = mark;
    }

    fn last_event(&self) -> EventPosition {
        self.log.back().map_or(self.base, |event| event.position)
    }

    /// The place in the log of what follows that event; none if it is of another numbering, or long past.
    fn follows(&self, mark: EventPosition) -> Option<usize> {
        if mark == self.base {
            return Some(0);
        }
        let at = self
            .log
            .partition_point(|event| event.position.number < mark.number);
        self.log
            .get(at)
            .filter(|event| event.position == mark)
            .map(|_| at + 1)
    }

    /// A forwarder's report, answered with guidance.
    pub fn report(&mut self, now: Time, report: &Report) -> Result<Guidance, Refused> {
        self.tidy(now);
        let Envelope {
            from,
            to,
            number,
            sent,
            echo,
        } = report.envelope;
        if report.lease_reports.len() > MAX_INCARNATIONS || report.samples.len() > MAX_RATINGS {
            return Err(self.invalid_message());
        }
        if self
            .members
            .get(&from)
            .is_some_and(|member| number <= member.number)
        {
            self.counters.out_of_order += 1;
            return Err(Refused::OutOfOrder);
        }
        if !self.members.contains_key(&from) && self.members.len() >= MAX_MEMBERS {
            return Err(self.invalid_message());
        }
        if !self.instance_slots.met(now, report.slot, from) {
            self.counters.ended += 1;
            return Err(Refused::OldEpoch);
        }
        // A stamp is this run's only if the forwarder says so, and none can be from the time to come.
        let seen = echo.filter(|_| to == self.epoch).map(Stamp::time);
        if seen.is_some_and(|seen| seen > now) {
            return Err(self.invalid_message());
        }
        if to != self.epoch && to != Epoch(0) {
            self.counters.not_for_us += 1;
        }
        self.counters.reports += 1;
        let version = if to == self.epoch {
            report.version.min(self.version)
        } else {
            0
        };
        let member = self.members.entry(from).or_insert(Member {
            number,
            stamp: sent,
            heard: now,
            sent: 0,
            last_event: EventPosition::NONE,
            subscribes: report.subscribes,
            version,
            zone: report.zone,
        });
        (member.number, member.stamp, member.heard) = (number, sent, now);
        (member.last_event, member.version) = (report.last_event, version);
        member.subscribes = report.subscribes;
        let written = seen.unwrap_or(now);
        self.link(now, written, report);
        report
            .samples
            .iter()
            .for_each(|sample| self.sample(now, from, written.max(now - REFRESH), sample));
        let grants = report
            .lease_reports
            .iter()
            .filter_map(|trade| self.trade(now, from, seen, trade))
            .collect();
        if seen.is_some()
            && report
                .lease_reports
                .iter()
                .any(|trade| trade.deposit > QuotaFraction::NONE)
        {
            self.instance_slots.lent(now, report.slot);
        }
        let mut guidance = self.guidance(now, from);
        guidance.grants = grants;
        guidance.outstanding_ms = self.instance_slots.owes(now, report.slot).map(ceil_ms);
        let word = |(incarnation, pool): (&Incarnation, &QuotaPool)| PeerSummary {
            incarnation: incarnation.clone(),
            demanded: pool.wanted_by_others(from),
            peers_in_flight: pool.others_in_flight(from),
        };
        // Of the incarnations that the forwarder has a word in itself.
        let incarnations = report
            .lease_reports
            .iter()
            .filter_map(|trade| self.pools.get_key_value(&trade.incarnation));
        guidance.incarnations = incarnations.map(word).collect();
        Ok(guidance)
    }

    /// What a forwarder is to hear at once, between its reports; none if there is nothing.
    pub fn push(&mut self, now: Time, to: Epoch) -> Option<Guidance> {
        let member = self.members.get(&to)?;
        let last = member.last_event;
        if member.subscribes {
            return None;
        }
        self.follows(last).filter(|at| *at < self.log.len())?;
        self.counters.pushes += 1;
        Some(self.guidance(now, to))
    }

    fn link(&mut self, now: Time, written: Time, report: &Report) {
        let Some(link) = report.link else { return };
        if !sensible_link(&link) {
            self.counters.invalid_message += 1;
            return;
        }
        self.links.retain(|_, (_, at)| now.since(*at) < FORGOTTEN);
        let at = written - Span::from_ms(u64::from(link.ago_ms));
        let newer = self
            .links
            .get(&report.zone)
            .is_none_or(|(_, old)| *old < at);
        if newer && (self.links.len() < MAX_MEMBERS || self.links.contains_key(&report.zone)) {
            self.links.insert(report.zone, (link.utilization, at));
        }
    }

    fn invalid_message(&mut self) -> Refused {
        self.counters.invalid_message += 1;
        Refused::Nonsense
    }

    fn sample(&mut self, now: Time, from: Epoch, written: Time, sample: &Sample) {
        if !sensible(sample) {
            self.counters.invalid_message += 1;
            return;
        }
        let Some(host) = self.hosts.get_mut(&sample.host) else {
            self.counters.unlisted += 1;
            return;
        };
        if host.health.take(now, from, written, sample) || now.since(host.told) >= REFRESH {
            self.changes.remove(&host.version);
            self.version += 1;
            (host.version, host.told) = (self.version, now);
            self.changes.insert(self.version, sample.host.clone());
        }
    }

    fn trade(
        &mut self,
        now: Time,
        from: Epoch,
        seen: Option<Time>,
        trade: &LeaseReport,
    ) -> Option<Grant> {
        let LeaseReport {
            incarnation,
            deposit: lends,
            demand,
            in_flight: in_hand,
        } = trade;
        let listed = self
            .hosts
            .get(&incarnation.host)
            .is_some_and(|host| host.started == incarnation.started);
        if !listed || (!self.pools.contains_key(incarnation) && self.pools.len() >= MAX_POOLS) {
            self.counters.unlisted += 1;
            return None;
        }
        let pool = self.pools.entry(incarnation.clone()).or_default();
        pool.own(self.own, now, self.owns_from);
        if let Some(seen) = seen.filter(|_| *lends > QuotaFraction::NONE) {
            pool.lend(self.lease_terms, now, from, *lends, seen);
        }
        pool.in_flight(now, from, *in_hand);
        let amount = pool.grant(self.lease_terms, now, from, *demand);
        (amount > QuotaFraction::NONE).then(|| {
            self.counters.grants += 1;
            Grant {
                incarnation: incarnation.clone(),
                amount,
                lasts_ms: self.lease_terms.granted.ms() as u32,
            }
        })
    }

    fn guidance(&mut self, now: Time, to: Epoch) -> Guidance {
        let upto = Some(self.last_event()).filter(|_| self.current);
        let told_here = self.members.get(&to).filter(|member| !member.subscribes);
        let later = told_here.and_then(|member| self.follows(member.last_event));
        let Some(member) = self.members.get_mut(&to) else {
            return Guidance::default();
        };
        member.sent += 1;
        let envelope = Envelope {
            from: self.epoch,
            to,
            number: member.sent,
            sent: Stamp::of(now),
            echo: Some(member.stamp),
        };
        let mut bytes = 0;
        let fits = |event: &&RelayedEvent| {
            bytes += event.frame.len();
            bytes <= MAX_EVENT_BYTES
        };
        let events = later.map(|later| {
            self.log
                .iter()
                .skip(later)
                .take(MAX_EVENTS)
                .take_while(fits)
        });
        let events: Vec<RelayedEvent> = events.into_iter().flatten().cloned().collect();
        let after = member.last_event;
        member.last_event = events.last().map_or(after, |event| event.position);
        let later = self.changes.range(member.version + 1..);
        let told: Vec<(&u64, &String)> = if member.subscribes {
            Self::matter_most(now, &self.hosts, later)
        } else {
            later.take(MAX_RATINGS).collect()
        };
        let newest = told
            .iter()
            .map(|(version, _)| **version)
            .max()
            .filter(|_| !member.subscribes);
        member.version = newest.unwrap_or(self.version);
        let rating = |(_, name): &(&u64, &String)| {
            self.hosts
                .get(*name)
                .map(|host| host.health.rating(now, name))
        };
        let link = self.links.get(&member.zone);
        Guidance {
            envelope,
            link: link.map(|(full, at)| LinkLoad {
                utilization: *full,
                ago_ms: ceil_ms(now.since(*at)),
            }),
            coordinator_ago_ms: self.coordinator.map(|at| ceil_ms(now.since(at))),
            outstanding_ms: None,
            coordinator_position: upto,
            version: member.version,
            after,
            events,
            grants: Vec::new(),
            incarnations: Vec::new(),
            ratings: told.iter().filter_map(rating).collect(),
        }
    }

    /// Of the hosts that changed, those that are down, and the latest of the others.
    fn matter_most<'a>(
        now: Time,
        hosts: &BTreeMap<String, Host>,
        later: impl DoubleEndedIterator<Item = (&'a u64, &'a String)>,
    ) -> Vec<(&'a u64, &'a String)> {
        let is_down = |name: &String| {
            hosts
                .get(name)
                .is_some_and(|host| host.health.down(now).is_some())
        };
        let (mut told, others): (Vec<_>, Vec<_>) = later.rev().partition(|(_, name)| is_down(name));
        told.truncate(MAX_RATINGS - MAX_ROUTINE_RATINGS);
        told.extend(others.into_iter().take(MAX_ROUTINE_RATINGS));
        told
    }

    fn tidy(&mut self, now: Time) {
        if now >= self.next_tidy {
            self.next_tidy = now + TIDY;
            self.members
                .retain(|_, member| now.since(member.heard) < FORGOTTEN);
            self.pools.retain(|_, pool| !pool.prune(now));
        }
    }

    /// Forwarders heard from lately, incarnations with something lent or out, and of all those the quotas lent and out.
    pub fn load(&self, now: Time) -> (usize, usize, [f64; 2]) {
        let sum = |at: usize| {
            self.pools
                .values()
                .map(|pool| pool.totals(now)[at].share())
                .sum()
        };
        (self.members.len(), self.pools.len(), [sum(0), sum(1)])
    }
}
