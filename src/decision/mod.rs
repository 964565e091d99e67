//! Every decision of one dispatcher. A caller makes a [`DecisionEngine`] with `start` and tells it each fact by a
//! call: `list`, `request`, `attempt_ended`, `purge`, `guided`, `wake`, `client_left`, `ends_at`. Each call
//! returns [`Decisions`], applied in the order of its fields: cancels, attempts, final answers, next wake.
//! An answered attempt is its request's final answer. Reasons: `docs/design.md`.
//!
//! | module | decides |
//! | --- | --- |
//! | `rules` | in which order the rules of a request are gone through, and when |
//! | `dispatch` | when an attempt is sent, and what it asks for |
//! | `route_selection` | which way a request takes: cache and source, past the caches, or none now |
//! | `cache_selection`, `source_selection` | the cache of a request, the source of its fill |
//! | `rendezvous` | the hash order of hosts for an object |
//! | `load`, `link` | whether a cache, or the location's link, takes one more request |
//! | `slow_start` | how much a cold host is sent |
//! | `outliers`, `measurements` | which hosts are out of use, and which sources the origin beats |
//! | `retries`, `hedging` | whether a request may be sent again, or beside a silent attempt |
//! | `answers` | when a request is given up, and with which answer |
//! | `freshness` | how old a copy may be |
//! | `clearance` | whether an attempt still stands once its connection is up |
//! | `completion`, `peers`, `load_polls` | what ended attempts, peers and polled hosts change |
//!
//! `state`, `class_statistics`, `completed_attempt` and `constants` hold what these work on.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{
    Decisions, DeploymentTerms, Endpoint, GroupId, Health, HostId, ListKind, ObjectId, Request,
    RequestId, Sampled, Span, Time,
};

mod answers;
mod cache_selection;
mod class_statistics;
mod clearance;
mod completed_attempt;
mod completion;
mod constants;
mod dispatch;
mod freshness;
mod hedging;
mod link;
mod load;
mod load_polls;
mod measurements;
mod outliers;
mod peers;
mod rendezvous;
mod retries;
mod route_selection;
mod rules;
mod slow_start;
mod source_selection;
mod state;

use class_statistics::ClassStatistics;
use constants::{ANSWER_TICKS_BEFORE_DEADLINE, CLEANUP_INTERVAL, LOAD_POLL_INTERVAL, RETRY_AFTER};
use slow_start::SlowStart;
use state::{Host, ObjectPart, Purge, RequestState, Timer, WarmupCharge};

/// All decisions of one dispatcher, with all that they depend on.
pub struct DecisionEngine {
    /// The time of the present call.
    now: Time,
    started_at: Time,
    rng: Pcg64Mcg,
    /// In the order of [`DeploymentTerms::classes`].
    classes: Vec<ClassStatistics>,
    /// Dispatchers of this location, this one among them.
    zone_dispatchers: f64,
    /// Load of the location's link by its last report: transfers over those that fit at full pace.
    pub link: Option<Sampled<f64>>,
    cache_slow_start: SlowStart,
    parent_slow_start: SlowStart,
    /// How long before its deadline a request gets its answer.
    answer_margin: Span,
    shutdown_at: Time,
    /// The time named to rejected clients, those among them that the caller has no capacity for.
    pub retry_after: Option<Span>,
    terms: DeploymentTerms,
    /// Whether the list of hosts can be trusted; if not, no new attempt is made.
    list_trusted: bool,
    /// The part of the equal share of a cold host that holds where peers name no quota, 0 to 1.
    unhinted_fraction: f64,
    /// Mean transfer time of all requests, in ms.
    mean_transfer_ms: f64,
    next_load_poll: Time,
    hosts: BTreeMap<HostId, Host>,
    requests: BTreeMap<RequestId, RequestState>,
    purges: Vec<Purge>,
    /// When objects were last asked for.
    recent_objects: BTreeMap<ObjectId, Time>,
    /// What was promised to requests that were given up, for clients that ask again.
    promised_objectives: BTreeMap<ObjectPart, Time>,
    timers: BTreeSet<Timer>,
    /// Requests whose rules are to be gone through in this call.
    ready: BTreeSet<RequestId>,
    next_cleanup: Time,
    /// The time last returned as [`Decisions::wake`].
    announced_wake: Option<Time>,
    /// What the present call returns.
    decisions: Decisions,
}

/// Dispatchers of this dispatcher's location, at least itself.
fn dispatchers_of_own_zone(terms: &DeploymentTerms) -> f64 {
    terms
        .zone_dispatchers
        .get(terms.zone.0)
        .map_or(1.0, |count| f64::from(*count).max(1.0))
}

impl DecisionEngine {
    /// A new instance; the seed is its only source of chance.
    pub fn start(now: Time, seed: u64, mut terms: DeploymentTerms) -> (DecisionEngine, Decisions) {
        let zone_dispatchers = dispatchers_of_own_zone(&terms);
        let classes = std::mem::take(&mut terms.classes);
        let mut engine = DecisionEngine {
            now,
            started_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            classes: classes.into_iter().map(ClassStatistics::new).collect(),
            zone_dispatchers,
            link: None,
            cache_slow_start: SlowStart::of_caches(&terms, zone_dispatchers),
            parent_slow_start: SlowStart::of_parents(&terms),
            answer_margin: terms.tick * ANSWER_TICKS_BEFORE_DEADLINE,
            shutdown_at: Time::NEVER,
            retry_after: terms
                .may_name_return
                .then(|| RETRY_AFTER.min(terms.longest_return)),
            list_trusted: true,
            unhinted_fraction: 1.0,
            mean_transfer_ms: 0.0,
            next_load_poll: if terms.may_look {
                now + LOAD_POLL_INTERVAL
            } else {
                Time::NEVER
            },
            terms,
            hosts: BTreeMap::new(),
            requests: BTreeMap::new(),
            purges: Vec::new(),
            recent_objects: BTreeMap::new(),
            promised_objectives: BTreeMap::new(),
            timers: BTreeSet::new(),
            ready: BTreeSet::new(),
            next_cleanup: now + CLEANUP_INTERVAL,
            announced_wake: None,
            decisions: Decisions::default(),
        };
        let decisions = engine.wake(now);
        (engine, decisions)
    }

    /// Lines of the list of hosts; with the whole list, what it leaves out is gone.
    pub fn list(&mut self, now: Time, list_kind: ListKind, lines: Vec<Endpoint>) -> Decisions {
        if list_kind == ListKind::Full {
            for host in self.hosts.values_mut() {
                host.endpoint.health = Health::Removed; // unless a line says otherwise
            }
        }
        for line in lines {
            self.update_host(now, line);
        }
        self.ready.extend(self.requests.keys().copied());
        self.wake(now)
    }

    /// Takes in a line of the list: a host that has started anew keeps nothing but what is in flight there.
    fn update_host(&mut self, now: Time, line: Endpoint) {
        let host = self
            .hosts
            .entry(line.host.clone())
            .or_insert_with(|| Host::new(line.clone(), now));
        let restarted = host.endpoint.started != line.started;
        if restarted {
            *host = Host {
                in_flight: host.in_flight,
                ..Host::new(line.clone(), now)
            };
        }
        host.endpoint = line;
        // Guards against a restarted dispatcher giving a cold host its share a second time.
        let just_started = now.since(self.started_at) < self.cache_slow_start.window;
        if just_started && host.warmup_charges.is_empty() {
            let charge = WarmupCharge::of_earlier_process(self.started_at);
            host.warmup_charges.push(charge);
        }
    }

    /// A client's request, to be given exactly one final answer.
    pub fn request(&mut self, now: Time, mut request: Request) -> Decisions {
        request.deadline = request.deadline.min(self.shutdown_at);
        let transfer_ms = self.expect_transfer(&request);
        // A client that asks again waits since its first request, so what that was promised holds on.
        let promised = self
            .promised_objectives
            .remove(&ObjectPart::of(&request))
            .filter(|_| request.again);
        let terms = &self.class_of(&request).terms;
        let objective =
            promised.unwrap_or(now + terms.objective + Span::of_ms(transfer_ms * terms.stretch));
        let id = request.id;
        let state = RequestState::new(request, now, transfer_ms, objective);
        self.timers.insert(state.answer_timer(self.answer_margin));
        self.requests.insert(id, state);
        self.ready.insert(id);
        self.wake(now)
    }

    /// Milliseconds that the answer of a request is expected to take at full pace, by its size or its class's mean; takes
    /// the request into the means.
    fn expect_transfer(&mut self, request: &Request) -> f64 {
        let class = &mut self.classes[request.class.0];
        let kb_per_ms = self.terms.client_kb_per_s / 1000.0;
        let by_size = match request.size_kb {
            Some(kb) if kb_per_ms > 0.0 => Some(kb / kb_per_ms),
            _ => None,
        };
        if let Some(transfer_ms) = by_size {
            class.record_sample(transfer_ms);
        }
        let transfer_ms = by_size.unwrap_or(class.mean_transfer_ms);
        self.mean_transfer_ms += (transfer_ms - self.mean_transfer_ms) / class.samples.max(1.0);
        transfer_ms
    }

    fn class_of(&self, request: &Request) -> &ClassStatistics {
        &self.classes[request.class.0]
    }

    /// A purge of one object, or of a whole group, made at the given time.
    pub fn purge(
        &mut self,
        now: Time,
        object: Option<ObjectId>,
        group: GroupId,
        made: Time,
    ) -> Decisions {
        self.purges.push(Purge {
            object,
            group,
            made,
        });
        self.wake(now)
    }

    /// The client has left; no answer is owed any more.
    pub fn client_left(&mut self, now: Time, id: RequestId) -> Decisions {
        if let Some(state) = self.requests.get_mut(&id) {
            state.done = true;
        }
        self.ready.insert(id);
        self.wake(now)
    }

    /// The process ends at that time: no request outlasts it.
    pub fn ends_at(&mut self, now: Time, ends: Time) -> Decisions {
        self.shutdown_at = ends;
        for state in self.requests.values_mut() {
            state.request.deadline = state.request.deadline.min(ends);
            self.timers.insert(state.answer_timer(self.answer_margin));
        }
        self.wake(now)
    }
}
