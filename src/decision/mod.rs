//! The decision engine: all routing decisions of one dispatcher.
//!
//! A caller creates a [`DecisionEngine`] with `start` and reports each event by a call: `list`, `request`,
//! `repeated_request`, `attempt_ended`, `purge`, `events_confirmed`, `apply_peer_hints`, `load_polled`, `wake`, `client_left`,
//! `shut_down_at`. Each call returns [`Decisions`], which the caller applies in the order of the fields: cancels,
//! attempts, final answers, load polls, next wake. The answer to an attempt is its request's final answer, so the engine returns none for it. The
//! reasons behind the decisions are in `docs/design.md`.
//!
//! | module | decides |
//! | --- | --- |
//! | `rules` | in which order the rules of a request are applied, and when |
//! | `dispatch` | when an attempt is sent, and with which options |
//! | `route_selection` | which route a request takes: cache and source, past the caches, or none now |
//! | `cache_selection`, `source_selection` | the cache of a request, the source of its fill |
//! | `rendezvous` | the hash order of hosts for an object |
//! | `load`, `link` | whether a cache, or the location's link, has capacity for one more request |
//! | `slow_start` | how much work a cold host is sent |
//! | `outliers`, `measurements` | which hosts are ejected, and which sources the origin beats |
//! | `retries`, `hedging` | whether a request may be sent again, or in parallel to a silent attempt |
//! | `answers` | when a request is given up, and with which answer |
//! | `freshness` | how old a copy may be |
//! | `staleness` | how long list and purges are relied on while the coordinator is not heard |
//! | `clearance` | whether an attempt may still be sent once its connection is established |
//! | `completion`, `peers`, `load_polls` | what ended attempts, hints of peers and load polls change |
//!
//! `state`, `class_statistics`, `completed_attempt` and `constants` define the data that these modules work on.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{
    Decisions, DeploymentTerms, Endpoint, GroupId, Health, HostId, ListKind, ObjectId, PossibleRun,
    Request, RequestId, Sampled, Span, Time,
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
mod staleness;
mod state;

use class_statistics::ClassStatistics;
use constants::{ANSWER_TICKS_BEFORE_DEADLINE, CLEANUP_INTERVAL, LOAD_POLL_INTERVAL, RETRY_AFTER};
use slow_start::SlowStart;
use state::{Host, ObjectPart, Purge, RequestState, Timer, WarmupCharge};

/// Makes all routing decisions of one dispatcher, and holds the state that they depend on.
pub struct DecisionEngine {
    /// The time of the current call.
    now: Time,
    started_at: Time,
    rng: Pcg64Mcg,
    /// By [`ClassId`](crate::ClassId), in the order of [`DeploymentTerms::classes`].
    classes: Vec<ClassStatistics>,
    /// Dispatchers of this location, this one included.
    zone_dispatchers: f64,
    /// The last known load of the location's link: transfers over those that it carries at full speed.
    pub link: Option<Sampled<f64>>,
    cache_slow_start: SlowStart,
    parent_slow_start: SlowStart,
    /// How long before its deadline a request is answered at the latest.
    answer_margin: Span,
    shutdown_at: Time,
    /// The retry-after for rejected clients, including those that the caller rejects for lack of capacity.
    pub retry_after: Option<Span>,
    terms: DeploymentTerms,
    /// Whether the endpoint list can be trusted; if not, no new attempt is made.
    list_trusted: bool,
    /// The latest time at which all of the coordinator's events were known; `None` if the caller never tells.
    events_confirmed_at: Option<Time>,
    /// The fraction of its equal share that this dispatcher may use of a cold host without a quota from peers, 0 to 1.
    unhinted_fraction: f64,
    /// Mean transfer time of the requests of all classes, in ms.
    mean_transfer_ms: f64,
    next_load_poll: Time,
    hosts: BTreeMap<HostId, Host>,
    requests: BTreeMap<RequestId, RequestState>,
    purges: Vec<Purge>,
    /// When an attempt for each object was last sent.
    recent_objects: BTreeMap<ObjectId, Time>,
    /// The latency objectives of requests that were given up, which hold for the clients' retries as well.
    promised_objectives: BTreeMap<ObjectPart, Time>,
    timers: BTreeSet<Timer>,
    /// Requests whose rules are applied in this call.
    ready: BTreeSet<RequestId>,
    next_cleanup: Time,
    /// The time last returned as [`Decisions::wake`].
    announced_wake: Option<Time>,
    /// What the current call returns.
    decisions: Decisions,
}

/// Returns the number of dispatchers in this dispatcher's location, at least 1.
fn dispatchers_of_own_zone(terms: &DeploymentTerms) -> f64 {
    terms
        .zone_dispatchers
        .get(terms.zone.0)
        .map_or(1.0, |count| f64::from(*count).max(1.0))
}

/// Returns when the load of hosts is polled first; [`Time::NEVER`] where that is not allowed.
fn first_load_poll(terms: &DeploymentTerms, now: Time) -> Time {
    if terms.may_poll_load {
        now + LOAD_POLL_INTERVAL
    } else {
        Time::NEVER
    }
}

impl DecisionEngine {
    /// Creates an engine; the seed is its only source of randomness.
    pub fn start(now: Time, seed: u64, mut terms: DeploymentTerms) -> (DecisionEngine, Decisions) {
        let zone_dispatchers = dispatchers_of_own_zone(&terms);
        let classes = std::mem::take(&mut terms.classes)
            .into_iter()
            .map(|class| ClassStatistics::new(class, terms.sizes_are_claims))
            .collect();
        let mut engine = DecisionEngine {
            now,
            started_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            classes,
            zone_dispatchers,
            link: None,
            cache_slow_start: SlowStart::of_caches(&terms, zone_dispatchers),
            parent_slow_start: SlowStart::of_parents(&terms),
            answer_margin: terms.tick * ANSWER_TICKS_BEFORE_DEADLINE,
            shutdown_at: Time::NEVER,
            retry_after: terms
                .may_set_retry_after
                .then(|| RETRY_AFTER.min(terms.max_retry_after)),
            list_trusted: true,
            events_confirmed_at: None,
            unhinted_fraction: 1.0,
            mean_transfer_ms: 0.0,
            next_load_poll: first_load_poll(&terms, now),
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

    /// Applies an endpoint list; hosts that a full list does not name are removed.
    pub fn list(&mut self, now: Time, list_kind: ListKind, lines: Vec<Endpoint>) -> Decisions {
        if list_kind == ListKind::Full {
            for host in self.hosts.values_mut() {
                host.endpoint.health = Health::Removed; // until the list names the host
            }
        }
        for line in lines {
            self.update_host(now, line);
        }
        self.ready.extend(self.requests.keys().copied());
        self.wake(now)
    }

    /// Applies one line of the endpoint list. The state of a host that has restarted is reset, except for the count of
    /// attempts in flight.
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
        // Guards against a restarted dispatcher using its quota of a cold host a second time.
        let just_started = now.since(self.started_at) < self.cache_slow_start.window;
        if just_started && host.warmup_charges.is_empty() {
            let charge = WarmupCharge::of_earlier_process(self.started_at);
            host.warmup_charges.push(charge);
        }
    }

    /// Accepts a client's request, which is given exactly one final answer.
    pub fn request(&mut self, now: Time, request: Request) -> Decisions {
        self.accept(now, request, None)
    }

    /// Accepts a client's request whose id is that of an earlier one that may have run.
    ///
    /// Guards against an effect that happens twice where a client uses an id again: the request counts as one that may
    /// have run already.
    pub fn repeated_request(
        &mut self,
        now: Time,
        request: Request,
        earlier_run: PossibleRun,
    ) -> Decisions {
        self.accept(now, request, Some(earlier_run))
    }

    fn accept(
        &mut self,
        now: Time,
        mut request: Request,
        earlier_run: Option<PossibleRun>,
    ) -> Decisions {
        request.deadline = request.deadline.min(self.shutdown_at);
        let transfer_ms = self.estimate_transfer_ms(&request);
        // A client that retries has been waiting since its first request, so the objective of that request still holds.
        let promised = self
            .promised_objectives
            .remove(&ObjectPart::of(&request))
            .filter(|_| request.is_retry);
        let terms = &self.class_of(&request).terms;
        let objective =
            promised.unwrap_or(now + terms.objective + Span::of_ms(transfer_ms * terms.stretch));
        let id = request.id;
        let mut state = RequestState::new(request, now, transfer_ms, objective);
        state.may_have_run = earlier_run;
        self.timers.insert(state.answer_timer(self.answer_margin));
        self.requests.insert(id, state);
        self.ready.insert(id);
        self.wake(now)
    }

    /// Returns the expected transfer time of a request's answer at full speed, in ms, by its stated size or its class's
    /// mean. Also adds the request to the means.
    fn estimate_transfer_ms(&mut self, request: &Request) -> f64 {
        let by_size = self.transfer_ms_of(request.size_kb);
        let class = &mut self.classes[request.class.0];
        if let Some(transfer_ms) = by_size {
            class.record_requested(transfer_ms);
        }
        let transfer_ms = by_size.unwrap_or(class.mean_transfer_ms());
        self.mean_transfer_ms += (transfer_ms - self.mean_transfer_ms) / class.samples().max(1.0);
        transfer_ms
    }

    /// Returns the transfer time at full speed of that many KB, in ms; none if the size or the speed is not known.
    fn transfer_ms_of(&self, size_kb: Option<f64>) -> Option<f64> {
        let kb_per_ms = self.terms.client_kb_per_s / 1000.0;
        size_kb.filter(|_| kb_per_ms > 0.0).map(|kb| kb / kb_per_ms)
    }

    fn class_of(&self, request: &Request) -> &ClassStatistics {
        &self.classes[request.class.0]
    }

    /// Applies a purge of one object, or of a whole group, made at the given time.
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

    /// Ends a request whose client has disconnected: it gets no final answer.
    pub fn client_left(&mut self, now: Time, id: RequestId) -> Decisions {
        if let Some(state) = self.requests.get_mut(&id) {
            state.done = true;
        }
        self.ready.insert(id);
        self.wake(now)
    }

    /// Sets the time at which the process ends: the deadline of every request is that time at the latest.
    pub fn shut_down_at(&mut self, now: Time, ends: Time) -> Decisions {
        self.shutdown_at = ends;
        for state in self.requests.values_mut() {
            state.request.deadline = state.request.deadline.min(ends);
            self.timers.insert(state.answer_timer(self.answer_margin));
        }
        self.wake(now)
    }
}
