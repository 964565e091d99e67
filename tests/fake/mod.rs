//! A fake location: a dispatcher's decision engine, a clock, and hosts that answer as a test says.

#![allow(dead_code, reason = "each test file uses a part of this")]
#![allow(clippy::expect_used, reason = "a failed expectation fails the test")]

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Cancel, CellId, ClassId, Decisions,
    DeploymentTerms, Endpoint, FillOutcome, Final, GroupId, Health, HostId, ListKind, LoadReport,
    ObjectId, Repeats, Request, RequestClass, RequestId, Role, Scope, Span, Time, ZoneId,
};

pub(crate) struct Fake {
    pub(crate) engine: DecisionEngine,
    pub(crate) now: Time,
    pub(crate) finals: Vec<Final>,
    pub(crate) cancels: Vec<Cancel>,
    /// All attempts, in the order in which they were sent.
    pub(crate) sent: Vec<Attempt>,
    pub(crate) looks: Vec<HostId>,
    pub(crate) again: bool,
    /// The requests that host "a" reports, and those that every other does.
    pub(crate) at_a: f64,
    pub(crate) elsewhere: f64,
    /// The share of its capacity that host "a" reports in use.
    pub(crate) busy: Option<f64>,
    /// Milliseconds that an answer takes unless said otherwise.
    pub(crate) took: u64,
    next: u64,
}

pub(crate) fn host(name: &str) -> HostId {
    HostId(name.into())
}

pub(crate) fn line(name: &str, role: Role) -> Endpoint {
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
        older: Span::ZERO,
    }
}

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
        may_name_return: true,
        longest_return: Span::from_ms(1000),
        most_attempts: 6,
        cold_from: 0.2,
        warm_within: Span::from_ms(10_000),
        overload_factor: 2.0,
        fall_window: Span::from_ms(2000),
        parent_cold_from: 0.1,
        parent_warm_within: Span::from_ms(10_000),
        parent_overload_factor: 2.0,
        direct: true,
        joins: true,
        client_kb_per_s: 1000.0,
        purge_settles: Span::from_ms(6000),
        tells_link: true,
        may_look: false,
    }
}

/// Two caches, two parents and the origin.
pub(crate) fn usual() -> Vec<Endpoint> {
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
        .map(|(name, role)| line(name, role))
        .collect()
}

/// Whether a host is one of the parents of [`usual`].
pub(crate) fn is_parent(id: &HostId) -> bool {
    [host("p"), host("q")].contains(id)
}

/// Terms under which a request has one attempt in flight at most.
pub(crate) fn single() -> DeploymentTerms {
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
            looks: Vec::new(),
            again: false,
            at_a: 0.0,
            elsewhere: 0.0,
            busy: None,
            took: 110,
            next: 0,
        };
        fake.list(hosts);
        fake
    }

    fn apply(&mut self, decisions: Decisions) {
        self.cancels.extend(decisions.cancels);
        self.finals.extend(decisions.finals);
        self.looks.extend(decisions.looks);
        self.sent.extend(decisions.attempts);
    }

    /// The attempt that was sent last.
    pub(crate) fn last_sent(&self) -> &Attempt {
        self.sent.last().expect("an attempt was sent")
    }

    /// The number, within its request, of the attempt at a place.
    pub(crate) fn index_of(&self, at: usize) -> AttemptIndex {
        let earlier = self.sent[..at]
            .iter()
            .filter(|earlier| earlier.request == self.sent[at].request)
            .count();
        AttemptIndex(earlier as u32)
    }

    pub(crate) fn list(&mut self, hosts: Vec<Endpoint>) {
        let decisions = self.engine.list(self.now, ListKind::Delta, hosts);
        self.apply(decisions);
    }

    /// Lets so many milliseconds pass, waking the decision engine at each.
    pub(crate) fn pass(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + Span::from_ms(1);
            let decisions = self.engine.wake(self.now);
            self.apply(decisions);
        }
    }

    /// A request of 100 KB, so 100 ms; gives the place of its first attempt, should there be one.
    pub(crate) fn request(&mut self, class: usize, object: u64) -> usize {
        self.request_of(class, object, 100.0)
    }

    pub(crate) fn request_of(&mut self, class: usize, object: u64, kb: f64) -> usize {
        self.ask(class, object, 0, Some(kb))
    }

    /// A request that does not tell its size.
    pub(crate) fn request_without_size(&mut self, object: u64) -> usize {
        self.ask(0, object, 0, None)
    }

    pub(crate) fn part(&mut self, object: u64, part: u64) -> usize {
        self.ask(0, object, part, Some(20.0))
    }

    fn ask(&mut self, class: usize, object: u64, part: u64, size_kb: Option<f64>) -> usize {
        self.next += 1;
        let at = self.sent.len();
        let request = Request {
            id: RequestId(self.next),
            class: ClassId(class),
            object: ObjectId(object),
            part,
            group: GroupId(object % 4),
            size_kb,
            deadline: self.now + Span::from_ms(4000),
            again: self.again,
        };
        let decisions = self.engine.request(self.now, request);
        self.apply(decisions);
        at
    }

    pub(crate) fn end(
        &mut self,
        at: usize,
        outcome: AttemptOutcome,
        fill: FillOutcome,
        waited: u64,
    ) {
        self.end_with(at, outcome, fill, waited, None);
    }

    /// An attempt that took so many milliseconds.
    pub(crate) fn end_after(
        &mut self,
        at: usize,
        outcome: AttemptOutcome,
        fill: FillOutcome,
        took: u64,
    ) {
        self.ended(at, outcome, fill, Span::ZERO, Span::from_ms(took), None);
    }

    pub(crate) fn end_with(
        &mut self,
        at: usize,
        outcome: AttemptOutcome,
        fill: FillOutcome,
        waited: u64,
        link: Option<f64>,
    ) {
        self.ended(
            at,
            outcome,
            fill,
            Span::from_ms(waited),
            Span::from_ms(self.took),
            link,
        );
    }

    pub(crate) fn seen(&mut self, name: &str, link: Option<f64>) {
        let decisions = self.engine.seen(
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
        at: usize,
        outcome: AttemptOutcome,
        fill: FillOutcome,
        waited: Span,
        took: Span,
        link: Option<f64>,
    ) {
        let sent = &self.sent[at];
        let at_a = sent.host == host("a");
        let ended = AttemptEnded {
            request: sent.request,
            index: self.index_of(at),
            host: sent.host.clone(),
            outcome,
            took,
            closed: outcome == AttemptOutcome::Answered,
            fill,
            waited: Some(waited),
            report: LoadReport {
                link,
                in_hand: Some(if at_a { self.at_a } else { self.elsewhere }),
                busy: self.busy.filter(|_| at_a),
            },
        };
        let decisions = self.engine.attempt_ended(self.now, ended);
        self.apply(decisions);
    }

    /// A request that is answered at once; gives its source.
    pub(crate) fn fill(
        &mut self,
        object: u64,
        kb: f64,
        fill: FillOutcome,
        waited: impl Fn(&HostId) -> u64,
    ) -> HostId {
        let at = self.request_of(0, object, kb);
        let source = self.sent[at].source.clone();
        self.end(at, AttemptOutcome::Answered, fill, waited(&source));
        source
    }
}
