//! One tiny fake location: a dispatcher's decision engine, a clock and the hosts that answer it.

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Cancel, CellId, ClassId, Decisions,
    DeploymentTerms, Endpoint, FillOutcome, Final, GroupId, Health, HostId, ListKind, LoadReport,
    ObjectId, Repeats, Request, RequestClass, RequestId, Role, Scope, Span, Time, ZoneId,
};

pub struct Fake {
    pub engine: DecisionEngine,
    pub now: Time,
    pub finals: Vec<Final>,
    pub cancels: Vec<Cancel>,
    pub sent: Vec<(AttemptIndex, Attempt)>,
    pub looks: Vec<HostId>,
    pub again: bool,
    /// The requests that host "a" reports, and those that every other does.
    pub at_a: f64,
    pub elsewhere: f64,
    /// The share of its capacity that host "a" reports in use.
    pub busy: Option<f64>,
    /// What an answer takes unless said otherwise, in milliseconds.
    pub took: u64,
    next: u64,
}

pub fn host(name: &str) -> HostId {
    HostId(name.into())
}

pub fn line(name: &str, role: Role) -> Endpoint {
    let zone = Some(ZoneId(if role == Role::Cache { 0 } else { 1 }));
    let (health, started, cell) = (Health::InService, None, CellId(name.len() as u64));
    Endpoint {
        host: host(name),
        weight: 5.0,
        zone,
        cell,
        role,
        health,
        started,
    }
}

pub fn class(repeats: Repeats) -> RequestClass {
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

pub fn terms() -> DeploymentTerms {
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
pub fn usual() -> Vec<Endpoint> {
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

impl Fake {
    pub fn new(terms: DeploymentTerms, hosts: Vec<Endpoint>) -> Fake {
        let now = Time::at_ms(100_000.0);
        let (engine, _) = DecisionEngine::start(now, 7, terms);
        let (finals, cancels, sent, looks) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut fake = Fake {
            engine,
            now,
            finals,
            cancels,
            sent,
            looks,
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
        for sent in decisions.attempts {
            let index = self
                .sent
                .iter()
                .filter(|(_, earlier)| earlier.request == sent.request)
                .count();
            self.sent.push((AttemptIndex(index as u32), sent));
        }
    }

    pub fn list(&mut self, hosts: Vec<Endpoint>) {
        let decisions = self.engine.list(self.now, ListKind::Delta, hosts);
        self.apply(decisions);
    }

    /// Lets so many milliseconds pass, waking the decision engine at each.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + Span::from_ms(1);
            let decisions = self.engine.wake(self.now);
            self.apply(decisions);
        }
    }

    /// A request of 100 KB, so 100 ms; gives the place of its first attempt, should there be one.
    pub fn request(&mut self, class: usize, object: u64) -> usize {
        self.request_of(class, object, 100.0)
    }

    pub fn request_of(&mut self, class: usize, object: u64, kb: f64) -> usize {
        self.ask(class, object, 0, Some(kb))
    }

    /// A request that does not tell its size.
    pub fn untold(&mut self, object: u64) -> usize {
        self.ask(0, object, 0, None)
    }

    pub fn part(&mut self, object: u64, part: u64) -> usize {
        self.ask(0, object, part, Some(20.0))
    }

    fn ask(&mut self, class: usize, object: u64, part: u64, size_kb: Option<f64>) -> usize {
        self.next += 1;
        let (at, id, deadline) = (
            self.sent.len(),
            RequestId(self.next),
            self.now + Span::from_ms(4000),
        );
        let (class, object, group) = (ClassId(class), ObjectId(object), GroupId(object % 4));
        let request = Request {
            id,
            class,
            object,
            part,
            group,
            size_kb,
            deadline,
            again: self.again,
        };
        let decisions = self.engine.request(self.now, request);
        self.apply(decisions);
        at
    }

    pub fn end(&mut self, at: usize, outcome: AttemptOutcome, fill: FillOutcome, waited: u64) {
        self.end_with(at, outcome, fill, waited, None);
    }

    /// An attempt that took so many milliseconds.
    pub fn end_after(&mut self, at: usize, outcome: AttemptOutcome, fill: FillOutcome, took: u64) {
        self.ended(at, outcome, fill, Span::ZERO, Span::from_ms(took), None);
    }

    pub fn end_with(
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

    pub fn seen(&mut self, name: &str, link: Option<f64>) {
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
        let (index, sent) = self.sent[at].clone();
        let (waited, closed) = (Some(waited), outcome == AttemptOutcome::Answered);
        let in_hand = Some(if sent.host == host("a") {
            self.at_a
        } else {
            self.elsewhere
        });
        let busy = self.busy.filter(|_| sent.host == host("a"));
        let (request, host) = (sent.request, sent.host);
        let ended = AttemptEnded {
            request,
            index,
            host,
            outcome,
            took,
            closed,
            fill,
            waited,
            report: LoadReport {
                link,
                in_hand,
                busy,
            },
        };
        let decisions = self.engine.attempt_ended(self.now, ended);
        self.apply(decisions);
    }

    /// A request that is answered at once; gives its source.
    pub fn fill(
        &mut self,
        object: u64,
        kb: f64,
        fill: FillOutcome,
        waited: impl Fn(&HostId) -> u64,
    ) -> HostId {
        let at = self.request_of(0, object, kb);
        let source = self.sent[at].1.source.clone();
        self.end(at, AttemptOutcome::Answered, fill, waited(&source));
        source
    }
}
