//! A fake location: a dispatcher's decision engine, a clock, and hosts that answer as a test specifies.

#![allow(dead_code, reason = "each test file uses a part of this")]
#![allow(clippy::expect_used, reason = "a failed expectation fails the test")]

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Cancel, CellId, ClassId, Decisions,
    DeploymentTerms, Endpoint, FillOutcome, Final, GroupId, Health, HostId, ListKind, LoadReport,
    ObjectId, PossibleRun, Repeats, Request, RequestClass, RequestId, Role, Scope, Span, Time,
    ZoneId,
};

/// The fake location, with all decisions that its engine has returned.
pub(crate) struct Fake {
    pub(crate) engine: DecisionEngine,
    pub(crate) now: Time,
    pub(crate) finals: Vec<Final>,
    pub(crate) cancels: Vec<Cancel>,
    /// All attempts, in the order in which they were sent.
    pub(crate) sent: Vec<Attempt>,
    /// The hosts that were to be polled for their load, in order.
    pub(crate) load_polls: Vec<HostId>,
    /// Whether requests are marked as retries of the client.
    pub(crate) client_retry: bool,
    /// The requests in flight that host "a" reports.
    pub(crate) in_flight_at_a: f64,
    /// The requests in flight that each host other than "a" reports.
    pub(crate) in_flight_elsewhere: f64,
    /// The utilization that host "a" reports, 0 to 1.
    pub(crate) utilization_of_a: Option<f64>,
    /// Milliseconds that an answer takes by default.
    pub(crate) answer_ms: u64,
    /// The size of answers in KB, where it contradicts the stated one.
    pub(crate) actual_kb: Option<f64>,
    /// Whether answers are that the client's copy is current.
    pub(crate) unchanged: bool,
    /// The id of the latest request.
    latest_id: u64,
}

pub(crate) fn host(name: &str) -> HostId {
    HostId(name.into())
}

/// Returns an endpoint with a capacity of 5. Caches are in the dispatcher's location, in the cell of their name's
/// length.
pub(crate) fn endpoint(name: &str, role: Role) -> Endpoint {
    Endpoint {
        host: host(name),
        weight: 5.0,
        zone: Some(ZoneId(if role == Role::Cache { 0 } else { 1 })),
        cell: CellId(name.len() as u64),
        role,
        health: Health::InService,
        started: None,
    }
}

pub(crate) fn class(repeats: Repeats) -> RequestClass {
    RequestClass {
        objective: Span::from_ms(500),
        stretch: 2.0,
        repeats,
        goes_through: repeats == Repeats::AtMostOnce,
        parted: false,
        fresh: None,
        stale_grace: Span::ZERO,
    }
}

/// Returns terms with three classes: 0 is idempotent, 1 at most once, 2 deduplicated within a cell for 2 s.
pub(crate) fn terms() -> DeploymentTerms {
    let deduplicated = Repeats::Deduplicated {
        scope: Scope::Cell,
        remembered: Span::from_ms(2000),
    };
    DeploymentTerms {
        classes: [Repeats::Idempotent, Repeats::AtMostOnce, deduplicated]
            .map(class)
            .to_vec(),
        zone: ZoneId(0),
        zone_dispatchers: vec![1, 0],
        dispatchers: 2,
        tick: Span::from_ms(2),
        may_cancel: true,
        may_duplicate: true,
        may_set_retry_after: true,
        max_retry_after: Span::from_ms(1000),
        most_attempts: 6,
        cold_from: 0.2,
        warm_within: Span::from_ms(10_000),
        overload_factor: 2.0,
        overload_window: Span::from_ms(2000),
        parent_cold_from: 0.1,
        parent_warm_within: Span::from_ms(10_000),
        parent_overload_factor: 2.0,
        direct: true,
        joins: true,
        client_kb_per_s: 1000.0,
        purge_settles: Span::from_ms(6000),
        drain_grace: Span::from_ms(1000),
        purge_grace: Span::from_ms(500),
        sizes_are_claims: false,
        reports_link_load: true,
        may_poll_load: false,
    }
}

/// Returns the endpoints of two caches, two parents and the origin.
pub(crate) fn default_hosts() -> Vec<Endpoint> {
    let roles = [
        Role::Cache,
        Role::Cache,
        Role::Parent,
        Role::Parent,
        Role::Origin,
    ];
    ["a", "bb", "p", "q", "o"]
        .iter()
        .zip(roles)
        .map(|(name, role)| endpoint(name, role))
        .collect()
}

/// Whether a host is one of the parents of [`default_hosts`].
pub(crate) fn is_parent(id: &HostId) -> bool {
    [host("p"), host("q")].contains(id)
}

/// Returns terms under which a request has at most one attempt in flight.
pub(crate) fn single_attempt_terms() -> DeploymentTerms {
    DeploymentTerms {
        may_duplicate: false,
        ..terms()
    }
}

impl Fake {
    pub(crate) fn new(terms: DeploymentTerms, hosts: Vec<Endpoint>) -> Fake {
        let now = Time::at_ms(100_000.0);
        let (engine, _) = DecisionEngine::start(now, 7, terms);
        let mut fake = Fake {
            engine,
            now,
            finals: Vec::new(),
            cancels: Vec::new(),
            sent: Vec::new(),
            load_polls: Vec::new(),
            client_retry: false,
            in_flight_at_a: 0.0,
            in_flight_elsewhere: 0.0,
            utilization_of_a: None,
            answer_ms: 110,
            actual_kb: None,
            unchanged: false,
            latest_id: 0,
        };
        fake.list(hosts);
        fake
    }

    fn apply(&mut self, decisions: Decisions) {
        self.cancels.extend(decisions.cancels);
        self.finals.extend(decisions.finals);
        self.load_polls.extend(decisions.looks);
        self.sent.extend(decisions.attempts);
    }

    /// Returns the attempt that was sent last.
    pub(crate) fn last_sent(&self) -> &Attempt {
        self.sent.last().expect("an attempt was sent")
    }

    /// Returns the index within its request of the attempt at a position in `sent`.
    pub(crate) fn index_of(&self, position: usize) -> AttemptIndex {
        let earlier = self.sent[..position]
            .iter()
            .filter(|earlier| earlier.request == self.sent[position].request)
            .count();
        AttemptIndex(earlier as u32)
    }

    /// Applies a delta endpoint list.
    pub(crate) fn list(&mut self, hosts: Vec<Endpoint>) {
        let decisions = self.engine.list(self.now, ListKind::Delta, hosts);
        self.apply(decisions);
    }

    /// Advances the clock by `ms` milliseconds, waking the decision engine at each.
    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + Span::from_ms(1);
            let decisions = self.engine.wake(self.now);
            self.apply(decisions);
        }
    }

    /// Sends a request of 100 KB, which has a transfer time of 100 ms.
    ///
    /// Like the other functions that send a request, returns the position in `sent` of its first attempt, if one was
    /// sent.
    pub(crate) fn request(&mut self, class: usize, object: u64) -> usize {
        self.request_of(class, object, 100.0)
    }

    /// Sends a request of the given size.
    pub(crate) fn request_of(&mut self, class: usize, object: u64, kb: f64) -> usize {
        self.send(class, object, 0, Some(kb))
    }

    /// Sends a request of unknown size.
    pub(crate) fn request_without_size(&mut self, object: u64) -> usize {
        self.send(0, object, 0, None)
    }

    /// Sends a request of 20 KB for a part of an object.
    pub(crate) fn request_part(&mut self, object: u64, part: u64) -> usize {
        self.send(0, object, part, Some(20.0))
    }

    /// Sends a request of 100 KB whose id is that of an earlier one that may have run.
    pub(crate) fn repeat(&mut self, class: usize, object: u64, earlier_run: PossibleRun) -> usize {
        let position = self.sent.len();
        let request = self.new_request(class, object, 0, Some(100.0));
        let decisions = self.engine.repeated_request(self.now, request, earlier_run);
        self.apply(decisions);
        position
    }

    fn send(&mut self, class: usize, object: u64, part: u64, size_kb: Option<f64>) -> usize {
        let position = self.sent.len();
        let request = self.new_request(class, object, part, size_kb);
        let decisions = self.engine.request(self.now, request);
        self.apply(decisions);
        position
    }

    fn new_request(
        &mut self,
        class: usize,
        object: u64,
        part: u64,
        size_kb: Option<f64>,
    ) -> Request {
        self.latest_id += 1;
        Request {
            id: RequestId(self.latest_id),
            class: ClassId(class),
            object: ObjectId(object),
            part,
            group: GroupId(object % 4),
            size_kb,
            deadline: self.now + Span::from_ms(4000),
            is_retry: self.client_retry,
        }
    }

    /// Ends the attempt at a position in `sent`, after the default time.
    pub(crate) fn end(
        &mut self,
        position: usize,
        outcome: AttemptOutcome,
        fill: FillOutcome,
        waited: u64,
    ) {
        self.end_with(position, outcome, fill, waited, None);
    }

    /// Ends an attempt after `took` milliseconds, without a wait for a fill.
    pub(crate) fn end_after(
        &mut self,
        position: usize,
        outcome: AttemptOutcome,
        fill: FillOutcome,
        took: u64,
    ) {
        self.ended(
            position,
            outcome,
            fill,
            Span::ZERO,
            Span::from_ms(took),
            None,
        );
    }

    /// Ends an attempt after the default time, with a report of the link's load.
    pub(crate) fn end_with(
        &mut self,
        position: usize,
        outcome: AttemptOutcome,
        fill: FillOutcome,
        waited: u64,
        link: Option<f64>,
    ) {
        self.ended(
            position,
            outcome,
            fill,
            Span::from_ms(waited),
            Span::from_ms(self.answer_ms),
            link,
        );
    }

    /// Answers a load poll of a host with a report of the link's load.
    pub(crate) fn answer_load_poll(&mut self, name: &str, link: Option<f64>) {
        let decisions = self.engine.load_polled(
            self.now,
            &host(name),
            LoadReport {
                link,
                ..LoadReport::default()
            },
        );
        self.apply(decisions);
    }

    fn ended(
        &mut self,
        position: usize,
        outcome: AttemptOutcome,
        fill: FillOutcome,
        waited: Span,
        took: Span,
        link: Option<f64>,
    ) {
        let sent = &self.sent[position];
        let is_a = sent.host == host("a");
        let ended = AttemptEnded {
            request: sent.request,
            index: self.index_of(position),
            host: sent.host.clone(),
            outcome,
            took,
            closed: outcome == AttemptOutcome::Answered,
            fill,
            waited: Some(waited),
            actual_kb: self.actual_kb,
            unchanged: self.unchanged,
            report: LoadReport {
                link,
                in_flight: Some(if is_a {
                    self.in_flight_at_a
                } else {
                    self.in_flight_elsewhere
                }),
                utilization: self.utilization_of_a.filter(|_| is_a),
            },
        };
        let decisions = self.engine.attempt_ended(self.now, ended);
        self.apply(decisions);
    }

    /// Sends a request whose first attempt is answered; returns the source of that attempt.
    pub(crate) fn request_and_answer(
        &mut self,
        object: u64,
        kb: f64,
        fill: FillOutcome,
        waited: impl Fn(&HostId) -> u64,
    ) -> HostId {
        let position = self.request_of(0, object, kb);
        let source = self.sent[position].source.clone();
        self.end(position, AttemptOutcome::Answered, fill, waited(&source));
        source
    }
}
