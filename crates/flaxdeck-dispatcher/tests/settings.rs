//! Settings of others: whatever they say within the platform's form, the module answers each request once and in time,
//! and the process serves or says in one line what it can't.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck::polled::{Input, PolledEngine, Step};
use flaxdeck::{
    AttemptEnded, AttemptIndex, AttemptOutcome, CellId, ClassId, Endpoint, FillOutcome, GroupId,
    Health, HostId, ListKind, LoadReport, ObjectId, Request, RequestId, Role, Span, Time, ZoneId,
};
use flaxdeck_terms::fields::Fields;
use flaxdeck_toy::Answer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use world::{CONFIG, KEY, WAIT_TIMEOUT, World, command};

const NAMES: [&str; 8] = [
    "clip",
    "Page",
    "SUBMIT",
    "страница",
    "頁面",
    "a.b-c_d",
    "größe",
    "x",
];

/// A request class of that name, drawn as [`draw`] draws.
fn draw_class(name: &str, one_of: &mut impl FnMut(&[f64]) -> f64) -> Value {
    let mut class = json!({
        "name": name,
        "objective_ms": one_of(&[20.0, 300.0, 5000.0]),
        "aim_stretch": one_of(&[0.0, 1.5, 8.0]),
        "deadline_ms": one_of(&[50.0, 400.0, 2500.0, 180_000.0]),
        "nobody_knows_this": {"deep": [1, null]},
    });
    match one_of(&[0.0, 1.0, 2.0, 3.0, 4.0]) as u32 {
        0 => class["effect"] = "idempotent".into(),
        1 => class["effect"] = "at_most_once".into(),
        scope => {
            class["effect"] = "deduplicated".into();
            class["key_scope"] = ["all", "zone", "cell"][scope as usize - 2].into();
            class["memory_span_ms"] = one_of(&[0.0, 1.0, 350.0, 60_000.0]).into();
        }
    }
    class
}

/// Settings within the platform's form, drawn from a seed.
fn draw(seed: u64) -> Value {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut one_of = |of: &[f64]| of[chance.random_range(0..of.len())];
    let count = one_of(&[1.0, 2.0, 3.0, 5.0]) as usize;
    let classes: Vec<Value> = (0..count)
        .map(|at| draw_class(NAMES[(at * 3 + seed as usize) % NAMES.len()], &mut one_of))
        .collect();
    let mut flag = |of: f64| one_of(&[0.0, 1.0]) < of;
    let through: Vec<bool> = (0..count).map(|_| flag(0.5)).collect();
    let parted: Vec<bool> = (0..count).map(|_| flag(0.5)).collect();
    let allowed =
        json!({"cancel": flag(0.5), "may_duplicate": flag(0.5), "retry_after": flag(0.5)});
    let (direct, collapses, one_zone) = (flag(0.5), flag(0.5), flag(0.5));
    let zones = if one_zone {
        vec!["here"]
    } else {
        vec!["here", "hub"]
    };
    let mut settings = json!({
        "allowed": allowed, "family": "edge", "group_size": one_of(&[1.0, 3.0, 300.0]),
        "kinds": ["cache", "parent", "origin"], "zone": "here", "zones": zones, "tick_ms": one_of(&[1.0, 2.0, 10.0]),
        "request_classes": classes, "unknown": "word",
        "family_info": {
            "class_parts": parted, "goes_through": through, "client_kb_per_s": one_of(&[0.0, 50.0, 11_000.0]),
            "collapses": collapses, "direct": direct, "count_by_zone": [one_of(&[0.0, 1.0, 40.0]), 0],
            "max_age_ms": [one_of(&[0.0, 8000.0])], "purge_settles_ms": one_of(&[0.0, 6000.0]),
            "shield_kind": 1, "source_kind": 2, "upper_cold_from": one_of(&[0.0, 0.1, 1.0]),
            "upper_cold_ms": one_of(&[0.0, 20_000.0]), "upper_fall_multiple": one_of(&[0.0, 2.0]),
        },
        "rules": {
            "cold_from": one_of(&[0.0, 0.2, 1.0]), "warm_within_ms": one_of(&[0.0, 17_000.0]),
            "overload_factor": one_of(&[0.0, 1.0, 2.0]), "fall_ms": one_of(&[0.0, 3000.0]),
            "stop_sending_within_ms": one_of(&[0.0, 1000.0]),
        },
        "stats": {"fields": ["outstanding", "x0", "x1"], "via": "inline"},
    });
    for (name, of) in [
        ("connect_timeout_ms", &[1.0, 400.0, 5000.0][..]),
        ("conn_idle_ms", &[0.0, 200.0, 15_000.0]),
        ("max_attempts", &[0.0, 1.0, 6.0]),
        ("max_retry_after_ms", &[0.0, 2000.0]),
    ] {
        settings["allowed"][name] = one_of(of).into();
    }
    settings
}

fn listed(name: &str, role: Role, zone: usize, started: Option<Time>) -> Endpoint {
    let (host, zone) = (HostId(name.into()), Some(ZoneId(zone)));
    Endpoint {
        host,
        weight: 4.0,
        zone,
        cell: CellId(0),
        role,
        health: Health::InService,
        started,
    }
}

/// Requests that come one after the other.
const REQUESTS: u64 = 40;

/// An attempt, with when it ends.
struct InFlight {
    ends: Time,
    request: RequestId,
    index: AttemptIndex,
    host: HostId,
}

/// One decision engine under settings of a seed, among hosts that answer none, some, or everything with an error.
struct Trial {
    seed: u64,
    chance: Pcg64Mcg,
    engine: PolledEngine,
    now: Time,
    tick: Span,
    may_cancel: bool,
    /// How long each class's requests wait, in milliseconds.
    waits_ms: Vec<f64>,
    /// The deadlines of requests that have no answer yet.
    open: BTreeMap<RequestId, Time>,
    in_flight: Vec<InFlight>,
}

impl Trial {
    fn start(seed: u64) -> Trial {
        let settings = draw(seed);
        let fields = Fields::of(&settings, "settings").unwrap();
        let (terms, names) = flaxdeck_terms::read(&fields).unwrap();
        let (tick, may_cancel) = (terms.tick, terms.may_cancel);
        let now = Time::at_ms(1e9);
        let mut engine = PolledEngine::start(now, seed, terms);
        let hosts = hosts(seed % 3, now); // no parent at every third
        engine.report(now, Input::EndpointList(ListKind::Full, hosts));
        let deadline_ms = |at: usize| settings["request_classes"][at]["deadline_ms"].as_f64();
        let deadlines: Vec<f64> = (0..names.classes.len())
            .map(|at| deadline_ms(at).unwrap())
            .collect();
        let longest = deadlines.iter().copied().fold(0.0, f64::max).min(3000.0);
        Trial {
            seed,
            chance: Pcg64Mcg::seed_from_u64(seed),
            engine,
            now,
            tick,
            may_cancel,
            waits_ms: deadlines.iter().map(|ms| ms.min(longest)).collect(),
            open: BTreeMap::new(),
            in_flight: Vec::new(),
        }
    }

    fn longest_wait_ms(&self) -> f64 {
        self.waits_ms.iter().copied().fold(0.0, f64::max)
    }

    /// A new request comes.
    fn request(&mut self, number: u64) {
        let class = number as usize % self.waits_ms.len();
        let deadline = self.now + Span::of_ms(self.waits_ms[class]);
        let id = RequestId(number);
        let object = ObjectId(self.chance.random_range(0..10));
        let size_kb = self.chance.random_range(1.0..3000.0);
        self.open.insert(id, deadline);
        let request = Request {
            id,
            class: ClassId(class),
            object,
            part: 0,
            group: GroupId(3),
            size_kb: Some(size_kb).filter(|_| self.seed.is_multiple_of(2)),
            deadline,
            again: false,
        };
        self.engine.report(self.now, Input::RequestArrived(request));
    }

    /// Takes all steps of a request that are due.
    fn take_steps(&mut self, id: RequestId) {
        let seed = self.seed;
        loop {
            match self.engine.pick(id) {
                Step::Wait => return,
                Step::Attempt(index, attempt) => {
                    assert!(
                        self.open.contains_key(&id),
                        "seed {seed}: sent on after its end"
                    );
                    let lasts = Span::of_ms(self.chance.random_range(1.0..400.0));
                    self.in_flight.push(InFlight {
                        ends: self.now + lasts,
                        request: id,
                        index,
                        host: attempt.host,
                    });
                }
                Step::Cancel(index) => self.cancel(id, index),
                Step::Reject(_) | Step::Fail => {
                    let Some(deadline) = self.open.remove(&id) else {
                        panic!("seed {seed}: two ends")
                    };
                    assert!(
                        self.now <= deadline + self.tick * 2.0,
                        "seed {seed}: {id:?} too late"
                    );
                }
            }
        }
    }

    fn cancel(&mut self, id: RequestId, index: AttemptIndex) {
        let seed = self.seed;
        assert!(
            self.may_cancel,
            "seed {seed}: cancelled where that is not allowed"
        );
        self.in_flight
            .retain(|attempt| (attempt.request, attempt.index) != (id, index));
        if self.open.contains_key(&id) {
            let host = HostId("s-0000ca00".into());
            let ended = end(id, index, host, AttemptOutcome::Cancelled);
            self.engine.report(self.now, Input::AttemptEnded(ended));
        }
    }

    /// Ends the attempts whose time has come, each in some way.
    fn end_attempts(&mut self) {
        let now = self.now;
        let ended: Vec<InFlight> = self
            .in_flight
            .extract_if(.., |attempt| attempt.ends <= now)
            .collect();
        for attempt in ended {
            let outcome = OUTCOMES[self.chance.random_range(0..OUTCOMES.len())];
            if !self.open.contains_key(&attempt.request) {
                continue;
            }
            if outcome == AttemptOutcome::Answered {
                self.open.remove(&attempt.request);
            }
            let ended = end(attempt.request, attempt.index, attempt.host, outcome);
            self.engine.report(now, Input::AttemptEnded(ended));
        }
    }
}

/// How an attempt may end.
const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Answered,
    AttemptOutcome::Errored,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::NotConnected,
    AttemptOutcome::Broken,
    AttemptOutcome::Stale,
    AttemptOutcome::NotSent,
    AttemptOutcome::NoCopy,
];

/// Two caches, the origin and so many parents.
fn hosts(parents: u64, start: Time) -> Vec<Endpoint> {
    let mut hosts = vec![
        listed("s-0000ca00", Role::Cache, 0, None),
        listed("s-0000ca01", Role::Cache, 0, Some(start)),
        listed("s-00000001", Role::Origin, 0, None),
    ];
    hosts.extend(
        (0..parents).map(|n| listed(&format!("s-00009a0{n}"), Role::Parent, 0, Some(start))),
    );
    hosts
}

// Hosts that answer none, some, or everything with an error: each request has its one end by its deadline.
#[test]
fn whatever_the_settings_each_request_is_answered_once_and_by_its_deadline() {
    for seed in 0..400 {
        let mut trial = Trial::start(seed);
        let start = trial.now;
        let last = trial.longest_wait_ms() + 500.0;
        let mut requests = 0;
        while trial.now.since(start).ms() < last {
            if requests < REQUESTS {
                trial.request(requests);
                requests += 1;
            }
            trial.engine.tick(trial.now);
            for id in (0..requests).map(RequestId) {
                trial.take_steps(id);
            }
            trial.end_attempts();
            trial.now = trial.now + Span::of_ms(1.0);
        }
        let open = &trial.open;
        assert!(open.is_empty(), "seed {seed}: {open:?} never ended");
    }
}

fn end(
    request: RequestId,
    index: AttemptIndex,
    host: HostId,
    outcome: AttemptOutcome,
) -> AttemptEnded {
    let (took, fill, report) = (
        Span::of_ms(5.0),
        FillOutcome::Nothing,
        LoadReport::default(),
    );
    AttemptEnded {
        request,
        index,
        host,
        outcome,
        took,
        closed: false,
        fill,
        waited: None,
        report,
    }
}

// The real process under some of them: each class gets its answers in time, and a planned end is one.
#[test]
fn the_process_serves_under_settings_of_any_kind() {
    for seed in [1, 4, 7, 12, 18, 29] {
        let settings = draw(seed);
        let mut world = World::with_config(2, |config| {
            let parents = seed % 3 > 0;
            let hosts = config["known"]["updates"][0]["endpoints"]["hosts"]
                .as_array_mut()
                .unwrap();
            hosts.retain(|host| parents || host["class"] != "parent");
            if settings["zones"].as_array().unwrap().len() == 1 {
                for host in hosts {
                    host["site"] = "here".into();
                }
            }
            config["settings"] = settings.clone();
        });
        for class in settings["request_classes"].as_array().unwrap() {
            let wait = class["deadline_ms"].as_f64().unwrap().min(2500.0) as u64;
            let mut client = world.client();
            let asked = Instant::now();
            client
                .request(class["name"].as_str().unwrap(), KEY, wait, b"")
                .unwrap();
            let answer = client.answer().unwrap();
            assert!(
                !matches!(answer, Answer::Alive { .. }),
                "seed {seed}: {answer:?}"
            );
            assert!(
                asked.elapsed() < Duration::from_millis(wait + 150),
                "seed {seed}, {class}"
            );
            assert!(
                client.quiet_for(Duration::from_millis(20)),
                "seed {seed}: one answer"
            );
        }
        world.terminate();
        assert!(world.process.wait().unwrap().success(), "seed {seed}");
    }
}

/// A place in the configuration, what is put there, and two words of the line that says what is wrong with it.
struct Refused {
    place: &'static str,
    value: Value,
    words: [&'static str; 2],
}

fn refused(place: &'static str, value: impl Into<Value>, words: [&'static str; 2]) -> Refused {
    Refused {
        place,
        value: value.into(),
        words,
    }
}

const FIRST_CLASS_NAME: &str = "/settings/request_classes/0/name";
const FIRST_CLASS_EFFECT: &str = "/settings/request_classes/0/effect";
const FIRST_CLASS_DEADLINE: &str = "/settings/request_classes/0/deadline_ms";

fn refused_settings() -> Vec<Refused> {
    let class = "/settings/request_classes/0/objective_ms";
    let timeout = "/settings/allowed/connect_timeout_ms";
    let range = "0 to 1e12";
    vec![
        refused(FIRST_CLASS_EFFECT, "twice", ["effect", "twice"]),
        refused(FIRST_CLASS_EFFECT, Value::Null, ["effect", "missing"]),
        refused(FIRST_CLASS_DEADLINE, -1, ["deadline_ms", range]),
        refused(FIRST_CLASS_DEADLINE, 1e300, ["deadline_ms", range]),
        refused(class, "soon", ["objective_ms", range]),
        refused(FIRST_CLASS_NAME, "a page", ["name", "space"]),
        refused(FIRST_CLASS_NAME, "a,b=c", ["name", "comma"]),
        refused(FIRST_CLASS_NAME, "", ["name", "0 bytes"]),
        refused(FIRST_CLASS_NAME, "n".repeat(300), ["name", "300 bytes"]),
        refused(FIRST_CLASS_NAME, "page", ["name", "two classes"]),
        refused(
            FIRST_CLASS_NAME,
            "alive",
            ["name", "whether a dispatcher is up"],
        ),
        refused(
            "/settings/request_classes",
            json!([]),
            ["request_classes", "no class"],
        ),
        refused("/settings/zone", "nowhere", ["zone", "nowhere"]),
        refused("/settings/tick_ms", Value::Null, ["tick_ms", "missing"]),
        refused(timeout, 1e200, ["connect_timeout_ms", range]),
        refused(
            "/settings/request_classes/2/effect",
            "deduplicated",
            ["key_scope", "None"],
        ),
        refused("/limits/sockets", 12, ["sockets", "12"]),
        refused("/limits/memory_mb", 0, ["memory_mb is 0,", "more than 0"]),
    ]
}

// One line that names the field and what is wrong, and exit code 1.
#[test]
fn settings_that_cannot_be_served_are_refused_by_name() {
    for Refused {
        place,
        value,
        words,
    } in refused_settings()
    {
        let mut config: Value = serde_json::from_str(CONFIG).unwrap();
        config["listen"] = "127.0.0.1:0".into();
        *config.pointer_mut(place).unwrap() = value;
        let mut process = command(&config.to_string()).spawn().unwrap();
        let started = Instant::now();
        while process.try_wait().unwrap().is_none() && started.elapsed() < WAIT_TIMEOUT {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = process.kill(); // one that serves all the same
        let output = process.wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{words:?}: {text}");
        assert!(
            text.lines().count() == 1 && words.iter().all(|word| text.contains(word)),
            "{words:?}: {text}"
        );
    }
}
