//! Starts the built dispatcher in a toy world and speaks to it over loopback.

mod world;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flaxdeck_toy::{Answer, Client, Coordinator, Manner, request_message};
use serde_json::Value;
use world::*;

#[test]
fn a_request_is_served_with_the_bytes_of_the_host_and_its_fields_go_on_unchanged() {
    let world = World::start(1);
    let mut client = world.client();
    let alive = client.alive().unwrap();
    assert_eq!(client.answer().unwrap(), Answer::Alive { call: alive });
    let call = client.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&client.answer().unwrap(), KEY));
    let line = &world.caches[0].heard("want")[0].0;
    for part in [
        &*format!("want {} ", client.id(call)),
        "class=page,",
        &format!("key={KEY},"),
        "part=0,",
        "fetch=s-00009a01,",
    ] {
        assert!(line.contains(part), "{part} in {line}");
    }
}

#[test]
fn messages_may_be_cut_anywhere_and_joined() {
    let world = World::start(1);
    let mut client = world.client();
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("slice", "0"),
        ("set", "17"),
    ];
    let message = request_message(300, "page", &fields, b"");
    message
        .iter()
        .for_each(|byte| client.send(&[*byte]).unwrap());
    assert!(served(&client.answer().unwrap(), KEY));
    let other = [("id", "9b1f03aa5c7e2d42"), fields[1], fields[2], fields[3]];
    client
        .send(
            &[
                message.clone(),
                request_message(70_000, "page", &other, b""),
            ]
            .concat(),
        )
        .unwrap();
    assert!(served(&client.answer().unwrap(), KEY) && served(&client.answer().unwrap(), KEY));
}

#[test]
fn the_clients_own_copy_may_be_the_one() {
    let world = World::start(1);
    world.caches[0].set(Manner::Unchanged("4be0c1927d55a6f3"));
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("seen", "4be0c1927d55a6f3"),
    ];
    let mut client = world.client();
    client
        .send(&request_message(1, "page", &fields, b""))
        .unwrap();
    let current = BTreeMap::from([("current".into(), "1".into())]);
    assert_eq!(
        client.answer().unwrap(),
        Answer::Served {
            call: 1,
            body: vec![],
            fields: current
        }
    );
    assert!(
        world.caches[0].heard("want")[0]
            .0
            .contains("holds=4be0c1927d55a6f3")
    );
}

// A host that names another copy, none, or what no tag looks like: the client gets the whole object, not its old copy.
#[test]
fn a_copy_that_the_host_does_not_name_is_not_the_clients() {
    for named in ["4be0c1927d55a6f4", "", "%%", "4be0c1927d55a6f3x"] {
        let world = World::start(1);
        world
            .caches
            .iter()
            .for_each(|cache| cache.set(Manner::Unchanged(named)));
        let fields = [
            ("id", "9b1f03aa5c7e2d41"),
            ("wait", "2500"),
            ("key", KEY),
            ("seen", "4be0c1927d55a6f3"),
        ];
        let mut client = world.client();
        client
            .send(&request_message(1, "page", &fields, b""))
            .unwrap();
        assert!(served(&client.answer().unwrap(), KEY), "{named}");
        let heard: Vec<String> = world
            .caches
            .iter()
            .flat_map(|cache| cache.heard("want"))
            .map(|(line, _)| line)
            .collect();
        assert!(
            heard.len() == 2 && heard.iter().filter(|line| line.contains("holds=")).count() == 1,
            "{heard:?}"
        );
    }
}

// What is known of how an attempt ended decides whether an at-most-once request may be sent again or rejected.
#[test]
fn an_at_most_once_request_is_sent_again_or_rejected_only_if_nothing_ran() {
    let rows = [
        (Manner::Say("full"), true),
        (Manner::Say("absent"), true),
        (Manner::Say("moot"), true),
        (Manner::Say("failed"), false),
        (Manner::Break, false),
        (Manner::BreakInAnswer, false),
        (Manner::Garble, false),
        (Manner::Silent, false),
    ];
    for (manner, again) in rows {
        let world = World::start(1);
        world.origin.set(manner);
        let answer = world.request("submit", KEY, 900, b"a form");
        assert_eq!(
            word(answer),
            if again { "Backoff" } else { "Lost" },
            "{manner:?}"
        );
        let heard = world.origin.heard("want");
        assert_eq!(heard.len() > 1, again, "{manner:?}: {heard:?}");
        assert!(heard.iter().all(|(_, body)| body == b"a form"));
    }
    let world = World::start(1);
    assert_eq!(
        word(world.request("submit", KEY, 900, b"a form"))
            .split(' ')
            .next(),
        Some("Served")
    );
    world.origin.kill();
    assert_eq!(
        word(world.request("submit", KEY, 900, b"a form")),
        "Backoff",
        "nothing reaches a dead host"
    );
    assert_eq!(world.origin.heard("want").len(), 1);
}

#[test]
fn requests_move_past_a_host_that_dies_and_one_that_fails() {
    for manner in [
        None,
        Some(Manner::Say("failed")),
        Some(Manner::Break),
        Some(Manner::Garble),
    ] {
        let world = World::start(2);
        (0..8).for_each(|n| assert!(served(&world.request("page", &key(n), 2000, b""), &key(n))));
        match manner {
            Some(manner) => world.caches[0].set(manner),
            None => world.caches[0].kill(),
        }
        (0..8).for_each(|n| {
            assert!(
                served(&world.request("page", &key(n), 2000, b""), &key(n)),
                "{manner:?}"
            )
        });
    }
}

#[test]
fn a_silent_host_holds_up_no_request_of_another() {
    let world = World::start(2);
    world.caches[0].set(Manner::Silent);
    let mut client = world.client();
    let answers = request_together(&mut client, 16, 2400);
    let silent: Vec<String> = world.caches[0]
        .heard("want")
        .into_iter()
        .map(|(line, _)| line)
        .collect();
    assert!(!silent.is_empty(), "some belong to the silent host");
    for n in (0..16).filter(|n| !silent.iter().any(|line| line.contains(&key(*n)))) {
        assert!(
            answers.iter().any(|answer| served(answer, &key(n))),
            "{n} does not belong to it"
        );
    }
    wait_for("given up at the silent host", || {
        !world.caches[0].heard("never_mind").is_empty()
    });
}

#[test]
fn without_second_copies_a_request_is_taken_back_from_a_silent_host_and_served_elsewhere() {
    let world = World::with(2, |config| {
        config["settings"]["allowed"]["may_duplicate"] = false.into()
    });
    world.caches[0].set(Manner::Silent);
    let mut client = world.client();
    let answers = request_together(&mut client, 16, 2400);
    for n in 0..16 {
        assert!(answers.iter().any(|answer| served(answer, &key(n))), "{n}");
    }
    assert!(
        !world.caches[0].heard("want").is_empty(),
        "some belong to the silent host"
    );
    wait_for("given up there", || {
        !world.caches[0].heard("never_mind").is_empty()
    });
}

#[test]
fn a_request_taken_back_gets_no_answer_and_its_late_one_is_nobodys() {
    let world = World::start(1);
    world.caches[0].set(Manner::Late(400));
    let mut client = world.client();
    let call = client.request("page", KEY, 2400, b"").unwrap();
    wait_for("handed off", || !world.caches[0].heard("want").is_empty());
    client.cancel(call).unwrap();
    wait_for("given up", || {
        !world.caches[0].heard("never_mind").is_empty()
    });
    assert!(client.quiet_for(Duration::from_millis(600)));
    world.caches[0].set(Manner::Serve);
    for n in 0..4 {
        client.request("page", &key(n), 2000, b"").unwrap();
        assert!(served(&client.answer().unwrap(), &key(n)));
    }
}

#[test]
fn requests_taken_back_in_the_same_breath_reach_no_host() {
    let world = World::start(1);
    let mut client = world.client();
    let breath = |call: u8| {
        let id = format!("{call:016x}");
        let fields = [("id", &*id), ("wait", "2500"), ("key", KEY), ("slice", "0")];
        let request = request_message(call.into(), "page", &fields, b"");
        [&request[..], b"\x93\x02\xadcancelRequest\x91", &[call]].concat()
    };
    client
        .send(&(1..30).flat_map(breath).collect::<Vec<u8>>())
        .unwrap();
    assert!(client.quiet_for(Duration::from_millis(200)));
    assert!(world.caches[0].heard("want").is_empty());
    client.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&client.answer().unwrap(), KEY));
}

#[test]
fn a_client_that_leaves_takes_its_requests_with_it() {
    let world = World::start(1);
    world.caches[0].set(Manner::Silent);
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    wait_for("handed off", || !world.caches[0].heard("want").is_empty());
    drop(client);
    wait_for("given up", || {
        !world.caches[0].heard("never_mind").is_empty()
    });
}

#[test]
fn nothing_new_goes_to_a_host_that_drains() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    assert!(!world.spares(&draining));
    world.coordinator.change(&draining, 1, 0, 0);
    wait_for("the drain is heeded", || world.spares(&draining));
    let before = draining.heard("want").len();
    (0..32).for_each(|n| assert!(served(&world.request("page", &key(n), 2000, b""), &key(n))));
    assert_eq!(draining.heard("want").len(), before);
}

#[test]
fn a_feed_that_broke_or_lost_an_event_is_asked_again() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    assert!(!world.spares(&draining));
    world.coordinator.hang_up();
    world.coordinator.change(&draining, 1, 0, 0);
    wait_for("a drain told while nobody was connected", || {
        world.spares(&draining)
    });
    world.coordinator.lose_one();
    world.coordinator.change(&draining, 0, 0, 0);
    wait_for("its end, told after a gap", || !world.spares(&draining));
}

// Its events count as told 4 s after its last word.
#[test]
fn a_coordinator_that_stops_without_a_close_is_asked_again_in_time() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    world.coordinator.change(&draining, 0, 0, 0); // its last word
    thread::sleep(Duration::from_millis(100));
    world.coordinator.stop();
    let stopped = Instant::now();
    world.coordinator.change(&draining, 1, 0, 0);
    assert!(!world.spares(&draining));
    wait_for("a drain told after the stop", || world.spares(&draining));
    assert!(
        stopped.elapsed() < Duration::from_millis(3200),
        "{:?}",
        stopped.elapsed()
    );
}

#[test]
fn a_new_configuration_is_read_under_load_and_a_bad_one_changes_nothing() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    assert!(!world.spares(&draining));
    world.coordinator.change(&draining, 1, 0, 0);
    wait_for("event 2 is heeded", || world.spares(&draining));
    world.caches[1].set(Manner::Late(600));
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    let mut config: Value = serde_json::from_str(&world.config).unwrap();
    for bad in ["{]", "{}", &world.config.replace("127.0.0.1", "nowhere")] {
        std::fs::write(&world.path, bad).unwrap();
        world.signal("HUP");
        thread::sleep(Duration::from_millis(50));
    }
    let mut later = Coordinator::start("127.0.0.1:0", 2).unwrap();
    config["coordinator"] = later.address.to_string().into();
    std::fs::write(&world.path, config.to_string()).unwrap();
    world.signal("HUP");
    later.change(&draining, 0, 0, 0);
    assert!(
        served(&client.answer().unwrap(), KEY),
        "an open request notices nothing"
    );
    wait_for("event 3 comes from the later coordinator", || {
        !world.spares(&draining)
    });
    later.change(&draining, 1, 0, 0);
    wait_for("and event 4", || world.spares(&draining));
    assert!(world.process.try_wait().unwrap().is_none());
}

#[test]
fn after_a_purge_only_younger_copies_are_asked_for() {
    let mut world = World::start(1);
    assert!(served(&world.request("page", KEY, 2000, b""), KEY));
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
        - 100;
    world
        .coordinator
        .purge_object(u64::from_str_radix(KEY, 16).unwrap(), unix);
    let newer = |world: &World| {
        let lines = world.caches[0].heard("want");
        lines
            .iter()
            .filter_map(|(line, _)| {
                line.split("newer=")
                    .nth(1)?
                    .split([',', ' '])
                    .next()?
                    .parse()
                    .ok()
            })
            .max()
    };
    wait_for("the purge is heeded", || {
        drop(world.request("page", KEY, 2000, b""));
        newer(&world).is_some()
    });
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
        - unix;
    let newer = newer(&world).unwrap();
    assert!(
        (1..=since).contains(&newer),
        "{newer} ms is from before the purge, {since} ms ago"
    );
    drop(world.request("page", &key(9), 2000, b""));
    assert!(
        !world.caches[0]
            .heard("want")
            .last()
            .unwrap()
            .0
            .contains("newer="),
        "other objects are left alone"
    );
}

#[test]
fn what_is_malformed_harms_only_its_own_connection() {
    let world = World::start(1);
    let mut good = world.client();
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0x94, 0, 1, 0xdb, 0xff, 0xff, 0xff, 0xff],
        &[0xc1],
    ] {
        let mut bad = world.client();
        bad.send(bytes).unwrap();
        assert!(bad.ended());
    }
    let whole = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("slice", "0"),
    ];
    let with = |at: usize, value: &'static str| {
        let mut fields = whole;
        fields[at].1 = value;
        request_message(9, "page", &fields, b"")
    };
    let bad = [
        request_message(9, "nothing-known", &whole, b""),
        request_message(9, "page", &whole[1..], b""),
        with(0, "9b1f, wait=1 0\r\n"),
        with(1, "soon"),
        with(2, "7f3a9c21e0b4d65g"),
        with(3, "-1"),
        request_message(
            9,
            "page",
            &[whole[0], whole[1], whole[2], ("seen", "a,b=c d")],
            b"",
        ),
    ];
    for message in bad {
        good.send(&message).unwrap();
        assert!(
            matches!(good.answer().unwrap(), Answer::Error { call: 9, word, .. } if word != "Backoff")
        );
    }
    assert!(world.hosts().all(|host| host.heard("want").is_empty()));
    good.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&good.answer().unwrap(), KEY));
}

#[test]
fn a_client_that_never_sends_a_whole_message_is_closed_in_time() {
    let world = World::start(1);
    let (mut silent, mut half, mut idle) = (world.client(), world.client(), world.client());
    let start = Instant::now();
    half.send(&request_message(1, "submit", &[("id", "9b1f03aa5c7e2d41")], &[7; 400])[..200])
        .unwrap();
    idle.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&idle.answer().unwrap(), KEY));
    assert!(silent.ended() && half.ended());
    assert!(
        start.elapsed() < Duration::from_millis(2900),
        "{:?}",
        start.elapsed()
    );
    idle.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&idle.answer().unwrap(), KEY), "an idle one may stay");
}

#[test]
fn connections_that_say_nothing_make_room_before_any_that_asked() {
    let world = World::with(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    let mut usual = world.client();
    usual.request("page", KEY, 2400, b"").unwrap();
    assert!(served(&usual.answer().unwrap(), KEY));
    let silent: Vec<Client> = (0..17).map(|_| world.client()).collect();
    thread::sleep(Duration::from_millis(300));
    let later: Vec<Client> = (0..10).map(|_| world.client()).collect();
    let ask = |(n, mut client): (u32, Client)| {
        client.request("page", &key(n), 2400, b"").unwrap();
        assert!(served(&client.answer().unwrap(), &key(n)));
        client
    };
    let later: Vec<Client> = (0..).zip(later).map(ask).collect();
    usual.request("page", KEY, 2400, b"").unwrap();
    assert!(served(&usual.answer().unwrap(), KEY));
    drop((silent, later));
}

// A machine that stands still for a while leaves what its clients said unread, and them looking silent.
#[test]
fn clients_that_spoke_while_the_process_stood_still_are_not_taken_for_silent() {
    let world = World::with(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    let mut clients: Vec<Client> = (0..20).map(|_| world.client()).collect();
    thread::sleep(Duration::from_millis(100));
    let waiting: Vec<Client> = (0..5).map(|_| world.client()).collect();
    thread::sleep(Duration::from_millis(20));
    world.signal("STOP");
    for (n, client) in (0..).zip(&mut clients) {
        client.request("page", &key(n), 2400, b"").unwrap();
    }
    thread::sleep(Duration::from_millis(400));
    world.signal("CONT");
    for (n, client) in (0..).zip(&mut clients) {
        assert!(served(&client.answer().unwrap(), &key(n)), "request {n}");
    }
    drop(waiting);
}

// Budget for one connection in 6 ms would take over two seconds for these.
#[test]
fn room_for_a_client_is_made_at_once() {
    let world = World::with(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    let start = Instant::now();
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..400 {
        let mut client = world.client();
        client.alive().unwrap();
        client.answer().unwrap();
        clients.push(client);
    }
    assert!(
        start.elapsed() < Duration::from_millis(1800),
        "{:?}",
        start.elapsed()
    );
}

#[test]
fn a_planned_end_takes_in_whoever_still_waits_to_be_accepted() {
    let mut world = World::with(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    world.terminate();
    thread::sleep(Duration::from_millis(560));
    let silent: Vec<Client> = (0..20).map(|_| world.client()).collect();
    let mut clients: Vec<Client> = (0..5).map(|_| world.client()).collect();
    for (n, client) in (0..).zip(&mut clients) {
        client.request("page", &key(n), 2400, b"").unwrap();
    }
    clients
        .iter_mut()
        .for_each(|client| drop(client.answer().unwrap()));
    assert!(world.process.wait().unwrap().success());
    drop(silent);
}

#[test]
fn a_request_under_the_id_of_an_open_one_is_no_business_of_the_hosts() {
    let world = World::start(1);
    world.origin.set(Manner::Late(300));
    let fields = |key| {
        [
            ("id", "9b1f03aa5c7e2d41"),
            ("wait", "2500"),
            ("key", key),
            ("slice", "0"),
        ]
    };
    let (mut first, mut second) = (world.client(), world.client());
    first
        .send(&request_message(1, "submit", &fields(KEY), b"a form"))
        .unwrap();
    wait_for("handed off", || !world.origin.heard("want").is_empty());
    second
        .send(&request_message(
            1,
            "submit",
            &fields("0000000000000001"),
            b"another",
        ))
        .unwrap();
    assert_eq!(word(second.answer().unwrap()), "Lost");
    assert!(matches!(first.answer().unwrap(), Answer::Served { body, .. } if body == b"a form"));
    assert_eq!(world.origin.heard("want").len(), 1);
    second
        .send(&request_message(2, "submit", &fields(KEY), b"a form"))
        .unwrap();
    assert!(
        matches!(second.answer().unwrap(), Answer::Served { .. }),
        "it is free again"
    );
}

#[test]
fn an_answer_among_others_that_nobody_asked_for_is_still_good() {
    let world = World::start(1);
    world.hosts().for_each(|host| host.set(Manner::Extra));
    for n in 0..6 {
        assert!(served(&world.request("page", &key(n), 900, b""), &key(n)));
        assert!(
            matches!(world.request("submit", &key(n), 900, b"a form"), Answer::Served { body, .. } if body == b"a form")
        );
    }
    assert_eq!(world.origin.heard("want").len(), 6);
}

#[test]
fn connections_that_die_while_idle_cost_no_write_and_move_no_object() {
    let world = World::start(2);
    world.hosts().for_each(|host| host.set(Manner::Once));
    for _ in 0..8 {
        assert!(matches!(
            world.request("submit", KEY, 900, b"a form"),
            Answer::Served { .. }
        ));
        assert!(served(&world.request("page", KEY, 2000, b""), KEY));
    }
    assert_eq!(world.origin.heard("want").len(), 8);
    let mut at: Vec<usize> = world
        .caches
        .iter()
        .map(|cache| cache.heard("want").len())
        .collect();
    at.sort();
    assert_eq!(at, [0, 8], "the object stays where it belongs");
}

#[test]
fn sigterm_leaves_nothing_unanswered() {
    let mut world = World::start(1);
    world.caches[0].set(Manner::Late(600));
    let mut early = world.client();
    early.request("page", KEY, 2400, b"").unwrap();
    wait_for("handed off", || !world.caches[0].heard("want").is_empty());
    world.terminate();
    let mut late = world.client();
    late.request("page", &key(1), 2400, b"").unwrap();
    assert!(served(&early.answer().unwrap(), KEY));
    assert!(served(&late.answer().unwrap(), &key(1)));
    assert!(world.process.wait().unwrap().success());
}

// A request may wait for longer than a planned restart leaves.
#[test]
fn sigterm_cuts_short_what_would_outlast_the_process() {
    let mut world = World::start(1);
    world.hosts().for_each(|host| host.set(Manner::Silent));
    let mut client = world.client();
    client.request("clip", KEY, 30_000, b"").unwrap();
    wait_for("handed off", || !world.caches[0].heard("want").is_empty());
    let told = Instant::now();
    world.terminate();
    assert_eq!(word(client.answer().unwrap()), "Backoff");
    assert!(world.process.wait().unwrap().success());
    assert!(told.elapsed() < Duration::from_millis(3700));
}

// SIGKILL comes the sooner, the shorter the longest deadline of the settings is.
#[test]
fn short_deadlines_of_the_settings_bring_the_planned_end_forward() {
    let mut world = World::with(1, |config| {
        for class in config["settings"]["request_classes"]
            .as_array_mut()
            .unwrap()
        {
            class["deadline_ms"] = 900.into();
        }
    });
    world.hosts().for_each(|host| host.set(Manner::Silent));
    let mut client = world.client();
    client.request("clip", KEY, 30_000, b"").unwrap();
    wait_for("handed off", || !world.caches[0].heard("want").is_empty());
    let told = Instant::now();
    world.terminate();
    assert_eq!(word(client.answer().unwrap()), "Backoff");
    assert!(world.process.wait().unwrap().success());
    assert!(
        told.elapsed() < Duration::from_millis(1600),
        "{:?}",
        told.elapsed()
    );
}

#[test]
fn a_planned_end_with_an_attempt_still_out_ends_well() {
    let mut world = World::with(1, |config| {
        config["settings"]["allowed"]["cancel"] = false.into()
    });
    world.caches[0].set(Manner::Silent);
    let mut client = world.client();
    let call = client.request("clip", KEY, 30_000, b"").unwrap();
    wait_for("handed off", || !world.caches[0].heard("want").is_empty());
    client.cancel(call).unwrap();
    assert!(client.quiet_for(Duration::from_millis(100)));
    world.terminate();
    assert!(world.process.wait().unwrap().success());
}

#[test]
fn clients_past_their_third_of_the_descriptors_cost_the_longest_idle_its_connection() {
    let world = World::with(1, |config| config["limits"]["sockets"] = 60.into());
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..50 {
        let mut client = world.client();
        client.request("page", &key(n), 2400, b"").unwrap();
        assert!(served(&client.answer().unwrap(), &key(n)));
        clients.push(client);
    }
    assert!(clients[0].ended());
}

// How long a client has taken nothing counts from when something began to wait for it, however long its connection has
// been up by then, and whatever it says meanwhile.
#[test]
fn a_client_that_reads_late_and_speaks_meanwhile_is_not_taken_for_stalled() {
    let world = World::start(1);
    let mut clients: Vec<Client> = (0..10).map(|_| world.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| assert!(client.request("page", KEY, 2400, b"").is_ok()));
    clients
        .iter_mut()
        .for_each(|client| assert!(served(&client.answer().unwrap(), KEY)));
    thread::sleep(Duration::from_millis(3200));
    // The origin gives a write back: in all more than the system takes for a client that does not read. As more writes
    // come all the time, there is something to be read at the moment when something begins to wait.
    let tell = |mut client: Client| {
        thread::spawn(move || {
            let mut reads = client.again().unwrap();
            let writes = thread::spawn(move || {
                (0..250)
                    .filter(|_| client.request("submit", KEY, 2900, &[7; 40_000]).is_ok())
                    .count()
            });
            thread::sleep(Duration::from_millis(700));
            let answers = (0..250).take_while(|_| reads.answer().is_ok()).count();
            (writes.join().unwrap(), answers)
        })
    };
    let told: Vec<_> = clients.into_iter().map(tell).collect();
    for (n, client) in told.into_iter().enumerate() {
        assert_eq!(
            client.join().unwrap(),
            (250, 250),
            "client {n} lost its connection"
        );
    }
}

// A write comes in pieces; one whose first piece has been read is no idle connection's.
#[test]
fn a_client_midway_through_a_write_is_not_closed_to_make_room() {
    let world = World::with(1, |config| config["limits"]["sockets"] = 60.into());
    let mut writes = world.client();
    writes.request("page", KEY, 2400, b"").unwrap();
    assert!(served(&writes.answer().unwrap(), KEY));
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("slice", "0"),
    ];
    let message = request_message(9, "submit", &fields, &[7; 4000]);
    writes.send(&message[..1000]).unwrap();
    thread::sleep(Duration::from_millis(50));
    let later: Vec<Client> = (0..40)
        .map(|n| {
            let mut client = world.client();
            client.request("page", &key(n), 2400, b"").unwrap();
            assert!(served(&client.answer().unwrap(), &key(n)));
            client
        })
        .collect();
    writes.send(&message[1000..]).unwrap();
    assert!(matches!(writes.answer().unwrap(), Answer::Served { body, .. } if body == [7; 4000]));
    drop(later);
}

#[test]
fn a_client_that_takes_no_answers_costs_its_own_places_only() {
    let world = World::with(1, |config| config["limits"]["memory_mb"] = 30.into());
    let (mut deaf, mut well) = (world.client(), world.client());
    let big = vec![7; 40_000];
    // The origin gives a write back, so what the deaf client has not taken soon fills its connection.
    thread::spawn(move || while deaf.request("submit", KEY, 2400, &big).is_ok() {});
    let mut before = 0;
    wait_for("nothing more gets through", || {
        thread::sleep(Duration::from_millis(500));
        let (last, now) = (before, world.origin.heard("want").len());
        before = now;
        last == now && now > 0
    });
    for n in 0..4 {
        well.request("page", &key(n), 2400, b"").unwrap();
        assert!(served(&well.answer().unwrap(), &key(n)));
    }
}

#[test]
fn with_few_descriptors_for_hosts_every_request_still_gets_its_answer() {
    let world = World::with(1, |config| config["limits"]["sockets"] = 42.into()); // 4 for hosts
    world.hosts().for_each(|host| host.set(Manner::Late(50)));
    let mut client = world.client();
    let answers = request_together(&mut client, 24, 1500);
    let served = |n: &u32| answers.iter().any(|answer| served(answer, &key(*n)));
    assert!(
        (0..24).filter(served).count() >= 4,
        "what had a descriptor is served"
    );
}

// Counters at their largest, ten requests would fill this memory; at what they hold it takes all of these.
#[test]
fn requests_of_small_objects_fit_where_large_ones_would_not() {
    let world = World::with(1, |config| config["limits"]["memory_mb"] = 5.into());
    world.hosts().for_each(|host| host.set(Manner::Late(300)));
    let mut client = world.client();
    let answers = request_together(&mut client, 30, 2400);
    assert!((0..30).all(|n| answers.iter().any(|answer| served(answer, &key(n)))));
}

#[test]
fn requests_past_what_memory_holds_are_rejected() {
    let world = World::with(1, |config| config["limits"]["memory_mb"] = 0.5.into());
    world.hosts().for_each(|host| host.set(Manner::Late(300)));
    let mut client = world.client();
    let answers = request_together(&mut client, 20, 2400);
    let rejected = answers
        .iter()
        .filter(|answer| matches!(answer, Answer::Error { word, .. } if word == "Backoff"));
    assert!((10..20).contains(&rejected.count()));
}

#[test]
fn a_log_that_nobody_reads_holds_up_no_request() {
    let mut world = World::start(1);
    let mut unread = command(&world.config).spawn().unwrap();
    let mut lines = BufReader::new(unread.stderr.take().unwrap());
    let mut first = String::new();
    lines.read_line(&mut first).unwrap();
    std::mem::swap(&mut world.process, &mut unread);
    unread.kill().unwrap();
    unread.wait().unwrap();
    world.address = listening(&first).unwrap();
    let mut client = world.client();
    for _ in 0..1000 {
        client.request("page", KEY, 2400, b"").unwrap();
        assert!(
            served(&client.answer().unwrap(), KEY),
            "each writes two lines to a pipe that holds few"
        );
    }
}

#[test]
fn a_bad_start_says_why_in_one_line() {
    let fails = |mut command: Command, why: &str| {
        let output = command.output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && text.contains(why) && text.lines().count() == 1,
            "{text}"
        );
    };
    let mut bare = command("{}");
    bare.env_remove("GW_CONFIG");
    fails(bare, "GW_CONFIG is not set");
    fails(command("{]"), "is not JSON");
    fails(command("{}"), "field listen is missing");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config: Value = serde_json::from_str(CONFIG).unwrap();
    config["listen"] = taken.local_addr().unwrap().to_string().into();
    fails(command(&config.to_string()), "cannot listen");
}

#[test]
fn whatever_hosts_do_each_request_gets_one_answer_in_time_and_no_write_runs_twice() {
    let world = World::start(2);
    let manners = [
        Manner::Serve,
        Manner::Late(30),
        Manner::Say("full"),
        Manner::Say("failed"),
        Manner::Say("absent"),
        Manner::Say("moot"),
        Manner::Break,
        Manner::BreakInAnswer,
        Manner::Silent,
        Manner::Garble,
    ];
    for round in 0..20usize {
        let manner = |at: usize| manners[(round * 7 + at * 3 + round / 10) % manners.len()];
        world
            .hosts()
            .enumerate()
            .for_each(|(at, host)| host.set(manner(at)));
        let mut client = world.client();
        let start = Instant::now();
        let mut calls: Vec<u32> = Vec::new();
        for n in 0..8 {
            let (class, body) = if n == 7 {
                ("submit", &b"a form"[..])
            } else {
                ("page", &b""[..])
            };
            calls.push(
                client
                    .request(class, &key(round as u32 * 8 + n), 400, body)
                    .unwrap(),
            );
        }
        for _ in 0..8 {
            let call = match client.answer().unwrap() {
                Answer::Served { call, .. }
                | Answer::Error { call, .. }
                | Answer::Alive { call } => call,
            };
            let at = calls
                .iter()
                .position(|open| *open == call)
                .expect("an answer to what is open");
            calls.remove(at);
        }
        assert!(
            start.elapsed() < Duration::from_millis(1400),
            "round {round}: {:?}",
            start.elapsed()
        );
        assert!(client.quiet_for(Duration::from_millis(20)));
        let write = format!("class=submit,key={}", key(round as u32 * 8 + 7));
        let runs = world
            .origin
            .heard("want")
            .iter()
            .filter(|(line, _)| line.contains(&write))
            .count();
        let proof = matches!(manner(3), Manner::Say("full" | "absent" | "moot"));
        assert!(
            proof || runs <= 1,
            "round {round}: sent {runs} times to an origin that may have run it"
        );
    }
}

// Without its mark a deduplicated write is another one to its host, and its repeat would run again.
#[test]
fn a_clients_mark_against_repeats_goes_on_with_each_attempt() {
    let world = World::with(1, |config| {
        let class = &mut config["settings"]["request_classes"][2];
        class["effect"] = "deduplicated".into();
        class["key_scope"] = "all".into();
        class["memory_span_ms"] = 2500.into();
    });
    world.origin.set(Manner::Say("full"));
    let mark = "6ba245bd25e372d4b65f22998597a9da";
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "1500"),
        ("key", KEY),
        ("slice", "0"),
        ("once", mark),
    ];
    let mut client = world.client();
    client
        .send(&request_message(1, "submit", &fields, b"a form"))
        .unwrap();
    wait_for("attempts", || world.origin.heard("want").len() > 1);
    world.origin.set(Manner::Serve);
    assert!(matches!(client.answer().unwrap(), Answer::Served { body, .. } if body == b"a form"));
    let heard = world.origin.heard("want");
    assert!(
        heard
            .iter()
            .all(|(line, _)| line.contains(&format!(",once={mark} "))),
        "{heard:?}"
    );
    client
        .send(&request_message(
            2,
            "submit",
            &[fields[0], fields[1], fields[2], ("once", "a,b=c d")],
            b"",
        ))
        .unwrap();
    assert_eq!(word(client.answer().unwrap()), "once is no mark");
}
