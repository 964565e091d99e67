//! Settings of others: whatever they say within the platform's form, the module answers each request once and in time,
//! and the process serves or says in one line what it can't.

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
use world::*;

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

/// Settings within the platform's form, drawn from a seed.
fn draw(seed: u64) -> Value {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut one_of = |of: &[f64]| of[chance.random_range(0..of.len())];
    let count = one_of(&[1.0, 2.0, 3.0, 5.0]) as usize;
    let classes: Vec<Value> = (0..count)
        .map(|at| {
            let mut class = json!({
                "name": NAMES[(at * 3 + seed as usize) % NAMES.len()],
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
        })
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

// Hosts that answer none, some, or everything with an error: each request has its one end by its deadline.
#[test]
fn whatever_the_settings_each_request_is_answered_once_and_by_its_deadline() {
    for seed in 0..400 {
        let settings = draw(seed);
        let (terms, names) =
            flaxdeck_terms::read(&Fields::of(&settings, "settings").unwrap()).unwrap();
        let (tick, classes, cancels) = (terms.tick, names.classes.len(), terms.may_cancel);
        let start = Time::at_ms(1e9);
        let mut engine = PolledEngine::start(start, seed, terms);
        let parents = seed % 3; // none at every third
        let mut hosts = vec![
            listed("s-0000ca00", Role::Cache, 0, None),
            listed("s-0000ca01", Role::Cache, 0, Some(start)),
            listed("s-00000001", Role::Origin, 0, None),
        ];
        hosts.extend(
            (0..parents).map(|n| listed(&format!("s-00009a0{n}"), Role::Parent, 0, Some(start))),
        );
        engine.report(start, Input::EndpointList(ListKind::Full, hosts));
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut open: BTreeMap<RequestId, (Time, u32)> = BTreeMap::new();
        let mut out: Vec<(Time, RequestId, AttemptIndex, HostId)> = Vec::new();
        let deadlines: Vec<f64> = (0..classes)
            .map(|at| {
                settings["request_classes"][at]["deadline_ms"]
                    .as_f64()
                    .unwrap()
            })
            .collect();
        let (mut now, mut next) = (start, 0);
        let last = deadlines
            .iter()
            .fold(0.0, |a: f64, b| a.max(*b))
            .min(3000.0);
        while now.since(start).ms() < last + 500.0 {
            if next < 40 {
                let class = next as usize % classes;
                let deadline = now + Span::of_ms(deadlines[class].min(last));
                let (object, id) = (ObjectId(chance.random_range(0..10)), RequestId(next));
                let (class, group) = (ClassId(class), GroupId(3));
                let size_kb = Some(chance.random_range(1.0..3000.0)).filter(|_| seed % 2 == 0);
                let request = Request {
                    id,
                    class,
                    object,
                    part: 0,
                    group,
                    size_kb,
                    deadline,
                    again: false,
                };
                open.insert(id, (deadline, 0));
                engine.report(now, Input::RequestArrived(request));
                next += 1;
            }
            engine.tick(now);
            for id in (0..next).map(RequestId) {
                loop {
                    match engine.pick(id) {
                        Step::Wait => break,
                        Step::Attempt(index, attempt) => {
                            assert!(open.contains_key(&id), "seed {seed}: sent on after its end");
                            out.push((
                                now + Span::of_ms(chance.random_range(1.0..400.0)),
                                id,
                                index,
                                attempt.host,
                            ));
                        }
                        Step::Cancel(index) => {
                            assert!(cancels, "seed {seed}: cancelled where that is not allowed");
                            out.retain(|(_, of, at, _)| (*of, *at) != (id, index));
                            if open.contains_key(&id) {
                                let host = HostId("s-0000ca00".into());
                                engine.report(
                                    now,
                                    Input::AttemptEnded(end(
                                        id,
                                        index,
                                        host,
                                        AttemptOutcome::Cancelled,
                                    )),
                                );
                            }
                        }
                        Step::Reject(_) | Step::Fail => {
                            let (deadline, _) = open
                                .remove(&id)
                                .unwrap_or_else(|| panic!("seed {seed}: two ends"));
                            assert!(now <= deadline + tick * 2.0, "seed {seed}: {id:?} too late");
                        }
                    }
                }
            }
            for (_, id, index, host) in out
                .extract_if(.., |(at, ..)| *at <= now)
                .collect::<Vec<_>>()
            {
                let outcome = [
                    AttemptOutcome::Answered,
                    AttemptOutcome::Errored,
                    AttemptOutcome::Rejected,
                    AttemptOutcome::TimedOut,
                    AttemptOutcome::NotConnected,
                    AttemptOutcome::Broken,
                    AttemptOutcome::Stale,
                    AttemptOutcome::NotSent,
                    AttemptOutcome::NoCopy,
                ][chance.random_range(0..9)];
                if open.contains_key(&id) {
                    if outcome == AttemptOutcome::Answered {
                        open.remove(&id);
                    }
                    engine.report(now, Input::AttemptEnded(end(id, index, host, outcome)));
                }
            }
            now = now + Span::of_ms(1.0);
        }
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
        let mut world = World::with(2, |config| {
            let parents = seed % 3 > 0;
            let hosts = config["known"]["updates"][0]["endpoints"]["hosts"]
                .as_array_mut()
                .unwrap();
            hosts.retain(|host| parents || host["class"] != "parent");
            if settings["zones"].as_array().unwrap().len() == 1 {
                hosts
                    .iter_mut()
                    .for_each(|host| host["site"] = "here".into());
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

// One line that names the field and what is wrong, and exit code 1.
#[test]
fn settings_that_cannot_be_served_are_refused_by_name() {
    let class = |field: &'static str, value: Value| {
        move |config: &mut Value| config["settings"]["request_classes"][0][field] = value.clone()
    };
    type Spoil = Box<dyn Fn(&mut Value)>;
    let rows: Vec<(Spoil, [&str; 2])> = vec![
        (
            Box::new(class("effect", "twice".into())),
            ["effect", "twice"],
        ),
        (
            Box::new(class("effect", Value::Null)),
            ["effect", "missing"],
        ),
        (
            Box::new(class("deadline_ms", (-1).into())),
            ["deadline_ms", "0 to 1e12"],
        ),
        (
            Box::new(class("deadline_ms", 1e300.into())),
            ["deadline_ms", "0 to 1e12"],
        ),
        (
            Box::new(class("objective_ms", "soon".into())),
            ["objective_ms", "0 to 1e12"],
        ),
        (Box::new(class("name", "a page".into())), ["name", "space"]),
        (Box::new(class("name", "a,b=c".into())), ["name", "comma"]),
        (Box::new(class("name", "".into())), ["name", "0 bytes"]),
        (
            Box::new(class("name", "n".repeat(300).into())),
            ["name", "300 bytes"],
        ),
        (
            Box::new(class("name", "page".into())),
            ["name", "two classes"],
        ),
        (
            Box::new(class("name", "alive".into())),
            ["name", "whether a dispatcher is up"],
        ),
        (
            Box::new(|config| config["settings"]["request_classes"] = json!([])),
            ["request_classes", "no class"],
        ),
        (
            Box::new(|config| config["settings"]["zone"] = "nowhere".into()),
            ["zone", "nowhere"],
        ),
        (
            Box::new(|config| config["settings"]["tick_ms"] = Value::Null),
            ["tick_ms", "missing"],
        ),
        (
            Box::new(|config| config["settings"]["allowed"]["connect_timeout_ms"] = 1e200.into()),
            ["connect_timeout_ms", "0 to 1e12"],
        ),
        (
            Box::new(|config| {
                config["settings"]["request_classes"][2]["effect"] = "deduplicated".into()
            }),
            ["key_scope", "None"],
        ),
        (
            Box::new(|config| config["limits"]["sockets"] = 12.into()),
            ["sockets", "12"],
        ),
        (
            Box::new(|config| config["limits"]["memory_mb"] = 0.into()),
            ["memory_mb", "nothing fits"],
        ),
    ];
    for (spoil, words) in rows {
        let mut config: Value = serde_json::from_str(CONFIG).unwrap();
        config["listen"] = "127.0.0.1:0".into();
        spoil(&mut config);
        let mut process = command(&config.to_string()).spawn().unwrap();
        let started = Instant::now();
        while process.try_wait().unwrap().is_none() && started.elapsed() < SOON {
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
