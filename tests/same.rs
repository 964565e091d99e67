//! Without guidance the decision engine decides as it did before it could be guided: generated days are played through it,
//! and all that it decides is compared, bit by bit, with what commit 2d87754 decided on the same days.

mod fake;

use std::collections::BTreeMap;

use fake::{line, terms};
use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, ClassId, Decisions, Endpoint, FillOutcome,
    GroupId, Health, HostId, ListKind, LoadReport, ObjectId, Request, RequestId, Role, Span, Time,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Days by seed, with the digest of the decisions without guidance and how many attempts were in them; recorded
/// anew whenever the decisions change on purpose: last for requests that tell no size, and hosts that are slow.
const RECORDED: [(u64, u64, u64); 6] = [
    (1, 0xe4e3b24a49b4cb4a, 6022),
    (2, 0xdde1a6c1e9dc6b22, 8543),
    (3, 0x6e680700ff175d56, 5704),
    (4, 0x647867d372a9cfc0, 7919),
    (5, 0x7b918d409dd812d9, 6340),
    (6, 0x21db7819a0b62495, 7347),
];

/// The length of a day in milliseconds.
const MS: u64 = 30_000;

/// What comes to be known later, by its time.
enum Later {
    AttemptEnded(AttemptEnded),
    Leaves(RequestId),
}

struct Day {
    engine: DecisionEngine,
    chance: Pcg64Mcg,
    later: BTreeMap<(Time, u64), Later>,
    wake: Option<Time>,
    next: u64,
    attempts_of: BTreeMap<RequestId, u32>,
    digest: u64,
    attempts: u64,
    faults: Vec<Fault>,
    lines: Vec<Endpoint>,
}

/// A host that fails for a while.
struct Fault {
    host: HostId,
    /// Its first millisecond, and the first one after it.
    from: u64,
    to: u64,
    outcome: AttemptOutcome,
    fill: FillOutcome,
}

impl Fault {
    fn hits(&self, attempt: &Attempt, ms: u64) -> bool {
        (self.from..self.to).contains(&ms) && [&attempt.host, &attempt.source].contains(&&self.host)
    }
}

/// How an attempt ends, and after how many milliseconds.
struct End {
    outcome: AttemptOutcome,
    fill: FillOutcome,
    took: f64,
}

/// Names that types and fields had when the decisions were recorded, by those that they have now.
const RECORDED_NAMES: [(&str, &str); 9] = [
    ("RequestId(", "PullId("),
    ("AttemptIndex(", "Leg("),
    ("Attempt {", "HandOff {"),
    ("attempts:", "hand_offs:"),
    ("request:", "pull:"),
    ("index:", "leg:"),
    ("Rejected {", "Bounced {"),
    ("Failed {", "Forfeited {"),
    ("retry_after:", "come_back:"),
];

/// What was printed, as it was at the time of the record.
fn as_recorded(printed: &str) -> String {
    RECORDED_NAMES
        .iter()
        .fold(printed.to_owned(), |text, (now, then)| {
            text.replace(now, then)
        })
}

impl Day {
    fn take(&mut self, now: Time, decisions: Decisions) {
        for byte in as_recorded(&format!("{now:?}{decisions:?}")).bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x100000001b3);
        }
        self.wake = decisions.wake.or(self.wake);
        for attempt in decisions.attempts {
            self.attempts += 1;
            self.end_later(now, attempt);
        }
    }

    /// Draws how an attempt ends, and when.
    fn end_later(&mut self, now: Time, attempt: Attempt) {
        let attempts = self.attempts_of.entry(attempt.request).or_default();
        let index = AttemptIndex(*attempts);
        *attempts += 1;
        let quick = self.chance.random_range(1.0..90.0);
        let waited = self.chance.random_range(0.5..60.0);
        let hit = self.chance.random_bool(0.6) || attempt.source == attempt.host;
        let ms = now.ms() as u64;
        let fault = self.faults.iter().find(|fault| fault.hits(&attempt, ms));
        let end = match fault {
            Some(fault) if fault.outcome == AttemptOutcome::TimedOut => End {
                outcome: AttemptOutcome::TimedOut,
                fill: FillOutcome::Nothing,
                took: attempt.allow.ms(),
            },
            Some(fault) => End {
                outcome: fault.outcome,
                fill: fault.fill,
                took: 2.0,
            },
            None if hit => End {
                outcome: AttemptOutcome::Answered,
                fill: FillOutcome::Hit,
                took: quick,
            },
            None => End {
                outcome: AttemptOutcome::Answered,
                fill: FillOutcome::Filled,
                took: quick + waited,
            },
        };
        let report = self.draw_report();
        let ended = AttemptEnded {
            request: attempt.request,
            index,
            host: attempt.host,
            outcome: end.outcome,
            took: Span::of_ms(end.took),
            closed: false,
            fill: end.fill,
            waited: (end.fill == FillOutcome::Filled).then(|| Span::of_ms(waited)),
            report,
        };
        self.next += 1;
        self.later.insert(
            (now + Span::of_ms(end.took), self.next),
            Later::AttemptEnded(ended),
        );
    }

    fn draw_report(&mut self) -> LoadReport {
        let link = self
            .chance
            .random_bool(0.5)
            .then(|| self.chance.random_range(0.0..4.0));
        let in_hand = self
            .chance
            .random_bool(0.5)
            .then(|| f64::from(self.chance.random_range(0..12)));
        LoadReport {
            link,
            in_hand,
            busy: None,
        }
    }

    /// Passes on what has come to be known by now, and wakes the engine if it asked for that.
    fn catch_up(&mut self, now: Time) {
        while let Some(entry) = self
            .later
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let decisions = match entry.remove() {
                Later::AttemptEnded(ended) => self.engine.attempt_ended(now, ended),
                Later::Leaves(request) => self.engine.client_left(now, request),
            };
            self.take(now, decisions);
        }
        if self.wake.is_some_and(|wake| wake <= now) {
            let decisions = self.engine.wake(now);
            self.take(now, decisions);
        }
    }

    fn request(&mut self, now: Time) {
        self.next += 1;
        let id = RequestId(self.next);
        let object = (1.0 / self.chance.random_range(0.002..1.0f64)) as u64;
        let request = Request {
            id,
            class: ClassId([0, 0, 0, 0, 1, 2][self.chance.random_range(0..6)]),
            object: ObjectId(object),
            part: 0,
            group: GroupId(object % 5),
            size_kb: self
                .chance
                .random_bool(0.8)
                .then(|| self.chance.random_range(1.0..2_000.0)),
            deadline: now + Span::from_ms(2_500),
            again: self.chance.random_bool(0.1),
        };
        let decisions = self.engine.request(now, request);
        self.take(now, decisions);
        if self.chance.random_bool(0.03) {
            let leaves_at = now + Span::from_ms(5);
            self.later.insert((leaves_at, self.next), Later::Leaves(id));
        }
    }

    /// Any host but the origin changes its health; one that is back in service has started anew.
    fn change_list(&mut self, now: Time) {
        let at = self.chance.random_range(0..self.lines.len() - 1);
        let healths = [
            Health::InService,
            Health::Draining,
            Health::Removed,
            Health::InService,
        ];
        let line = &mut self.lines[at];
        line.health = healths[self.chance.random_range(0..healths.len())];
        if line.health == Health::InService {
            line.started = Some(now);
        }
        let changed = vec![line.clone()];
        let decisions = self.engine.list(now, ListKind::Delta, changed);
        self.take(now, decisions);
    }

    fn purge(&mut self, now: Time) {
        let object = self
            .chance
            .random_bool(0.5)
            .then(|| ObjectId(self.chance.random_range(1..20)));
        let made = now - Span::from_ms(20);
        let decisions = self.engine.purge(now, object, GroupId(1), made);
        self.take(now, decisions);
    }
}

/// Six caches, three parents and the origin, which comes last.
fn hosts() -> Vec<Endpoint> {
    let roles = [
        (Role::Cache, 6, "c"),
        (Role::Parent, 3, "p"),
        (Role::Origin, 1, "o"),
    ];
    let mut lines = Vec::new();
    for (role, count, name) in roles {
        lines.extend((0..count).map(|n| line(&format!("{name}{n}"), role)));
    }
    lines
}

fn draw_faults(chance: &mut Pcg64Mcg, lines: &[Endpoint]) -> Vec<Fault> {
    let endings = [
        (AttemptOutcome::TimedOut, FillOutcome::Nothing),
        (AttemptOutcome::NotConnected, FillOutcome::Nothing),
        (AttemptOutcome::Errored, FillOutcome::Nothing),
        (AttemptOutcome::Rejected, FillOutcome::SourceRefused),
        (AttemptOutcome::Broken, FillOutcome::Nothing),
        (AttemptOutcome::NoCopy, FillOutcome::NoSlot),
        (AttemptOutcome::Errored, FillOutcome::OriginFailed),
        (AttemptOutcome::Stale, FillOutcome::Nothing),
    ];
    let mut faults = Vec::new();
    for _ in 0..6 {
        let from = 100_000 + chance.random_range(0..MS);
        let (outcome, fill) = endings[chance.random_range(0..endings.len())];
        let host = lines[chance.random_range(0..lines.len())].host.clone();
        faults.push(Fault {
            host,
            from,
            to: from + chance.random_range(500..9_000),
            outcome,
            fill,
        });
    }
    faults
}

/// Plays a day; gives the digest of its decisions and the number of attempts.
fn day(seed: u64) -> (u64, u64) {
    let start = Time::at_ms(100_000.0);
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let peers = (seed % 4) as u32;
    let mut terms = terms();
    terms.zone_dispatchers = vec![1 + peers, 2];
    terms.dispatchers = 3 + peers;
    let (engine, decisions) = DecisionEngine::start(start, seed, terms);
    let lines = hosts();
    let faults = draw_faults(&mut chance, &lines);
    let mut day = Day {
        engine,
        chance,
        later: BTreeMap::new(),
        wake: None,
        next: 0,
        attempts_of: BTreeMap::new(),
        digest: 0,
        attempts: 0,
        faults,
        lines,
    };
    day.take(start, decisions);
    let decisions = day.engine.list(start, ListKind::Full, day.lines.clone());
    day.take(start, decisions);
    for ms in 0..MS {
        let now = Time::at_ms(100_000.0 + ms as f64);
        day.catch_up(now);
        if day.chance.random_bool(0.25) {
            day.request(now);
        }
        if day.chance.random_bool(0.0008) {
            day.change_list(now);
        }
        if day.chance.random_bool(0.0005) {
            day.purge(now);
        }
    }
    (day.digest, day.attempts)
}

#[test]
fn without_guidance_all_decisions_are_those_of_the_module_before() {
    let played = RECORDED.map(|(seed, ..)| {
        let (digest, attempts) = day(seed);
        println!("    ({seed}, {digest:#018x}, {attempts}),");
        (seed, digest, attempts)
    });
    assert_eq!(played, RECORDED);
}

#[test]
fn the_digest_tells_days_apart() {
    assert_eq!(day(7), day(7));
    assert_ne!(day(8).0, day(7).0);
}
