//! Settings of other deployments: with any settings within the platform's format, the decision engine answers each
//! request once and in time, and the process serves, or reports in one line what it does not support.

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

/// Returns a request class of that name with random fields; `one_of` draws one of several values.
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

/// Returns random settings within the platform's format, drawn from a seed.
fn draw_settings(seed: u64) -> Value {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut one_of = |of: &[f64]| of[rng.random_range(0..of.len())];
    let count = one_of(&[1.0, 2.0, 3.0, 5.0]) as usize;
    let classes: Vec<Value> = (0..count)
        .map(|at| draw_class(NAMES[(at * 3 + seed as usize) % NAMES.len()], &mut one_of))
        .collect();
    let mut flag = |of: f64| one_of(&[0.0, 1.0]) < of;
    let goes_through: Vec<bool> = (0..count).map(|_| flag(0.5)).collect();
    let has_parts: Vec<bool> = (0..count).map(|_| flag(0.5)).collect();
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
            "class_parts": has_parts, "goes_through": goes_through, "client_kb_per_s": one_of(&[0.0, 50.0, 11_000.0]),
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

fn endpoint(name: &str, role: Role, zone: usize, started: Option<Time>) -> Endpoint {
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

/// The number of requests, which arrive one after the other.
const REQUESTS: u64 = 40;

/// An attempt in flight, with the time at which it ends.
struct InFlight {
    ends: Time,
    request: RequestId,
    index: AttemptIndex,
    host: HostId,
}

/// One decision engine with random settings, and hosts whose attempts end with random outcomes.
struct Trial {
    seed: u64,
    rng: Pcg64Mcg,
    engine: PolledEngine,
    now: Time,
    tick: Span,
    may_cancel: bool,
    /// The timeout of the requests of each class, in milliseconds.
    timeouts_ms: Vec<f64>,
    /// The deadlines of the requests that have no answer yet.
    open: BTreeMap<RequestId, Time>,
    in_flight: Vec<InFlight>,
}

impl Trial {
    fn start(seed: u64) -> Trial {
        let settings = draw_settings(seed);
        let fields = Fields::of(&settings, "settings").unwrap();
        let (terms, names) = flaxdeck_terms::read(&fields).unwrap();
        let (tick, may_cancel) = (terms.tick, terms.may_cancel);
        let now = Time::at_ms(1e9);
        let mut engine = PolledEngine::start(now, seed, terms);
        let hosts = hosts(seed % 3, now); // every third seed has no parent
        engine.report(now, Input::EndpointList(ListKind::Full, hosts));
        let deadline_ms = |at: usize| settings["request_classes"][at]["deadline_ms"].as_f64();
        let deadlines: Vec<f64> = (0..names.classes.len())
            .map(|at| deadline_ms(at).unwrap())
            .collect();
        let longest = deadlines.iter().copied().fold(0.0, f64::max).min(3000.0);
        Trial {
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            engine,
            now,
            tick,
            may_cancel,
            timeouts_ms: deadlines.iter().map(|ms| ms.min(longest)).collect(),
            open: BTreeMap::new(),
            in_flight: Vec::new(),
        }
    }

    fn longest_timeout_ms(&self) -> f64 {
        self.timeouts_ms.iter().copied().fold(0.0, f64::max)
    }

    /// Reports a new request.
    fn request(&mut self, number: u64) {
        let class = number as usize % self.timeouts_ms.len();
        let deadline = self.now + Span::of_ms(self.timeouts_ms[class]);
        let id = RequestId(number);
        let object = ObjectId(self.rng.random_range(0..10));
        let size_kb = self.rng.random_range(1.0..3000.0);
        self.open.insert(id, deadline);
        let request = Request {
            id,
            class: ClassId(class),
            object,
            part: 0,
            group: GroupId(3),
            size_kb: Some(size_kb).filter(|_| self.seed.is_multiple_of(2)),
            deadline,
            is_retry: false,
        };
        self.engine.report(self.now, Input::RequestArrived(request));
    }

    /// Executes all steps that the decision engine has for a request.
    fn take_steps(&mut self, id: RequestId) {
        let seed = self.seed;
        loop {
            match self.engine.pick(id) {
                Step::Wait => return,
                Step::Attempt(index, attempt) => {
                    assert!(
                        self.open.contains_key(&id),
                        "seed {seed}: an attempt starts for {id:?}, which is answered"
                    );
                    let duration = Span::of_ms(self.rng.random_range(1.0..400.0));
                    self.in_flight.push(InFlight {
                        ends: self.now + duration,
                        request: id,
                        index,
                        host: attempt.host,
                    });
                }
                Step::Cancel(index) => self.cancel(id, index),
                Step::Reject(_) | Step::Fail => {
                    let Some(deadline) = self.open.remove(&id) else {
                        panic!("seed {seed}: {id:?} is answered twice")
                    };
                    assert!(
                        self.now <= deadline + self.tick * 2.0,
                        "seed {seed}: {id:?} is answered at {:?}, over two ticks after its deadline {deadline:?}",
                        self.now
                    );
                }
            }
        }
    }

    fn cancel(&mut self, id: RequestId, index: AttemptIndex) {
        let seed = self.seed;
        assert!(
            self.may_cancel,
            "seed {seed}: an attempt of {id:?} is cancelled, which the settings don't allow"
        );
        self.in_flight
            .retain(|attempt| (attempt.request, attempt.index) != (id, index));
        if self.open.contains_key(&id) {
            let host = HostId("s-0000ca00".into());
            let ended = attempt_ended(id, index, host, AttemptOutcome::Cancelled);
            self.engine.report(self.now, Input::AttemptEnded(ended));
        }
    }

    /// Ends the attempts that are due, each with a random outcome.
    fn end_attempts(&mut self) {
        let now = self.now;
        let ended: Vec<InFlight> = self
            .in_flight
            .extract_if(.., |attempt| attempt.ends <= now)
            .collect();
        for attempt in ended {
            let outcome = OUTCOMES[self.rng.random_range(0..OUTCOMES.len())];
            if !self.open.contains_key(&attempt.request) {
                continue;
            }
            if outcome == AttemptOutcome::Answered {
                self.open.remove(&attempt.request);
            }
            let ended = attempt_ended(attempt.request, attempt.index, attempt.host, outcome);
            self.engine.report(now, Input::AttemptEnded(ended));
        }
    }
}

/// The outcomes that an attempt may have.
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

/// Returns two caches, the origin and `parents` parents.
fn hosts(parents: u64, start: Time) -> Vec<Endpoint> {
    let mut hosts = vec![
        endpoint("s-0000ca00", Role::Cache, 0, None),
        endpoint("s-0000ca01", Role::Cache, 0, Some(start)),
        endpoint("s-00000001", Role::Origin, 0, None),
    ];
    hosts.extend(
        (0..parents).map(|n| endpoint(&format!("s-00009a0{n}"), Role::Parent, 0, Some(start))),
    );
    hosts
}

// Attempts end with random outcomes, and still each request is answered exactly once, by its deadline.
#[test]
fn whatever_the_settings_each_request_is_answered_once_and_by_its_deadline() {
    for seed in 0..400 {
        let mut trial = Trial::start(seed);
        let start = trial.now;
        let last = trial.longest_timeout_ms() + 500.0;
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
        assert!(
            open.is_empty(),
            "seed {seed}: these requests have no answer: {open:?}"
        );
    }
}

fn attempt_ended(
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
        actual_kb: None,
        unchanged: false,
        report,
    }
}

// The real process with some of these settings: each class gets one answer in time, and a shutdown exits cleanly.
#[test]
fn the_process_serves_under_settings_of_any_kind() {
    for seed in [1, 4, 7, 12, 18, 29] {
        let settings = draw_settings(seed);
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
            let timeout_ms = class["deadline_ms"].as_f64().unwrap().min(2500.0) as u64;
            let mut client = world.client();
            let sent = Instant::now();
            client
                .request(class["name"].as_str().unwrap(), KEY, timeout_ms, b"")
                .unwrap();
            let answer = client.answer().unwrap();
            assert!(
                !matches!(answer, Answer::Alive { .. }),
                "seed {seed}: not an answer to a request: {answer:?}"
            );
            assert!(
                sent.elapsed() < Duration::from_millis(timeout_ms + 150),
                "seed {seed}: the answer took {:?} for the class {class}",
                sent.elapsed()
            );
            assert!(
                client.quiet_for(Duration::from_millis(20)),
                "seed {seed}: something follows the answer"
            );
        }
        world.terminate();
        assert!(
            world.process.wait().unwrap().success(),
            "seed {seed}: the shutdown failed"
        );
    }
}

/// An invalid value in the configuration, with two texts that the error message has to contain.
struct InvalidValue {
    /// The JSON pointer to the field.
    pointer: &'static str,
    value: Value,
    expected: [&'static str; 2],
}

fn invalid(
    pointer: &'static str,
    value: impl Into<Value>,
    expected: [&'static str; 2],
) -> InvalidValue {
    InvalidValue {
        pointer,
        value: value.into(),
        expected,
    }
}

const FIRST_CLASS_NAME: &str = "/settings/request_classes/0/name";
const FIRST_CLASS_EFFECT: &str = "/settings/request_classes/0/effect";
const FIRST_CLASS_DEADLINE: &str = "/settings/request_classes/0/deadline_ms";

fn invalid_values() -> Vec<InvalidValue> {
    let objective = "/settings/request_classes/0/objective_ms";
    let timeout = "/settings/allowed/connect_timeout_ms";
    let range = "0 to 1e12";
    vec![
        invalid(FIRST_CLASS_EFFECT, "twice", ["effect", "twice"]),
        invalid(FIRST_CLASS_EFFECT, Value::Null, ["effect", "missing"]),
        invalid(FIRST_CLASS_DEADLINE, -1, ["deadline_ms", range]),
        invalid(FIRST_CLASS_DEADLINE, 1e300, ["deadline_ms", range]),
        invalid(objective, "soon", ["objective_ms", range]),
        invalid(FIRST_CLASS_NAME, "a page", ["name", "space"]),
        invalid(FIRST_CLASS_NAME, "a,b=c", ["name", "comma"]),
        invalid(FIRST_CLASS_NAME, "", ["name", "0 bytes"]),
        invalid(FIRST_CLASS_NAME, "n".repeat(300), ["name", "300 bytes"]),
        invalid(FIRST_CLASS_NAME, "page", ["name", "two classes"]),
        invalid(
            FIRST_CLASS_NAME,
            "alive",
            ["name", "whether a dispatcher is up"],
        ),
        invalid(
            "/settings/request_classes",
            json!([]),
            ["request_classes", "no class"],
        ),
        invalid("/settings/zone", "nowhere", ["zone", "nowhere"]),
        invalid("/settings/tick_ms", Value::Null, ["tick_ms", "missing"]),
        invalid(timeout, 1e200, ["connect_timeout_ms", range]),
        invalid(
            "/settings/request_classes/2/effect",
            "deduplicated",
            ["key_scope", "None"],
        ),
        invalid("/limits/sockets", 12, ["sockets", "12"]),
        invalid("/limits/memory_mb", 0, ["memory_mb is 0,", "more than 0"]),
    ]
}

// The process reports in one line which field is wrong and why, and exits with code 1.
#[test]
fn invalid_settings_are_reported_with_the_name_of_the_field() {
    for InvalidValue {
        pointer,
        value,
        expected,
    } in invalid_values()
    {
        let mut config: Value = serde_json::from_str(CONFIG).unwrap();
        config["listen"] = "127.0.0.1:0".into();
        *config.pointer_mut(pointer).unwrap() = value;
        let mut process = command(&config.to_string()).spawn().unwrap();
        let started = Instant::now();
        while process.try_wait().unwrap().is_none() && started.elapsed() < WAIT_TIMEOUT {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = process.kill(); // a process that serves in spite of the invalid value
        let output = process.wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            output.status.code(),
            Some(1),
            "exit code with an invalid {pointer}: {text}"
        );
        assert!(
            text.lines().count() == 1 && expected.iter().all(|part| text.contains(part)),
            "expected one line with {expected:?}: {text}"
        );
    }
}
