//! Of two planners of a plan with digests one is killed, later the other falls silent, and an object is purged. No request
//! that the forwarder sends later than the grace after the purge may be answered from an older copy. Not one of the cases:
//! see REPORT-2.md.

use std::fs;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{check_running, start_dispatcher, wait_until};
use crate::client::{Answer, Ask};
use crate::coordinator::{Coordinator, Event, Line};
use crate::host::{Host, Reply, Want};
use crate::process::{self, Process};
use crate::record::unix_ms;
use crate::world::{CACHE, CAMPUS, HUB, KINDS, ORIGIN, PARENT, Rules, SLACK_MS, ZONES, body};
use crate::{Play, Verdict};

const KB: f64 = 350.0;
const REQUEST_EVERY_MS: f64 = 10.0;
/// One planner is killed, the other is stopped and goes on, from the start of the clients.
const KILLED_AT_MS: f64 = 5_000.0;
const STOPPED_AT_MS: f64 = 14_000.0;
const SILENT_MS: f64 = 4_000.0;
/// From the stop to the purge.
const PURGED_AFTER_MS: f64 = 250.0;
const END_MS: f64 = 20_000.0;
const DROPPED_AFTER_MS: u64 = 5_800;
const FRESH_MS: u64 = 12_000;
const PURGED: u64 = 0x7f3a_0001;

fn answer(purged_at: &Mutex<Option<u64>>, want: &Want) -> Reply {
    let now = unix_ms();
    let limit = want
        .field("newer")
        .parse()
        .ok()
        .filter(|limit| *limit > 0)
        .unwrap_or(FRESH_MS);
    let made = purged_at.lock().ok().and_then(|made| *made);
    // The copy that all caches hold is 3 s older than the purge, and gone some time after it.
    let old = made
        .filter(|made| now < made + DROPPED_AFTER_MS)
        .map(|made| made - 3_000);
    let stamp = old.filter(|stamp| now - stamp <= limit).unwrap_or(now);
    Reply {
        word: "data",
        fields: format!("how=hit,version=a{stamp},stamp={stamp}"),
        body: body(&format!("stamp={stamp} "), KB),
        after: Duration::from_millis(4),
    }
}

fn stamp_of(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    text.strip_prefix("stamp=")
        .and_then(|rest| rest.split(' ').next())
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(u64::MAX)
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let rules = Rules {
        dispatchers: 1,
        ..Rules::USUAL
    };
    let purged_at: Arc<Mutex<Option<u64>>> = Arc::default();
    let host = |id| {
        let purged_at = purged_at.clone();
        Host::start(id, &play.record, move |want| answer(&purged_at, want))
    };
    let caches = [host(0xca01)?, host(0xca02)?];
    let (parent, origin) = (host(0x9a01)?, host(0x0001)?);
    let mut list: Vec<Line> = caches
        .iter()
        .map(|cache| Line::of(cache, CAMPUS, CACHE, 8.0))
        .collect();
    list.push(Line::of(&parent, HUB, PARENT, 12.0));
    list.push(Line::of(&origin, HUB, ORIGIN, 12.0));
    let coordinator = Coordinator::start(&play.record, vec![Event::List(list)])?;
    let known = coordinator.known(&ZONES, &KINDS);

    fs::write(play.folder.0.join("two-levels.key"), "5b".repeat(32))?;
    let addresses = [process::free_address()?, process::free_address()?];
    let plan = format!(
        r#"(plan
  (key-file "two-levels.key")
  (planners (planner (name p1) (listen "{}")) (planner (name p2) (listen "{}")))
  (events (by digest) (batch-ms 100))
  (log (format text) (levels "info")))
"#,
        addresses[0], addresses[1]
    );
    let plan = play.folder.write("two-levels.plan", &plan)?;
    let config = rules.configuration(7, addresses[0], coordinator.address, &known);
    let config = play.folder.write("planners.json", &config)?;
    let mut planners = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let name = format!("p{}", number + 1);
        let command = format!(
            "exec target/release/flaxdeck plan --config {} --plan {} --name {name}",
            config.display(),
            plan.display()
        );
        let log = format!("{name}.log");
        planners.push(Process::start(
            &play.root,
            &play.folder,
            &command,
            &[],
            &log,
        )?);
        process::wait_until_ready(*address)?;
    }
    let command = format!(
        "exec target/release/flaxdeck forward --plan {}",
        plan.display()
    );
    let listen = process::free_address()?;
    let mut forwarders = vec![start_dispatcher(
        play,
        &rules,
        &command,
        0,
        listen,
        &coordinator,
        &known,
    )?];

    let start = play.record.now();
    let mut is_killed = !play.trouble;
    let (mut is_stopped, mut is_continued) = (!play.trouble, !play.trouble);
    let mut told = None;
    let mut next = 0.0;
    while next < END_MS {
        wait_until(play, start + next);
        if !is_killed && next >= KILLED_AT_MS {
            is_killed = true;
            play.record.note("p2 is killed");
            planners[1].kill();
        }
        if !is_stopped && next >= STOPPED_AT_MS {
            is_stopped = true;
            play.record.note("p1 is stopped");
            planners[0].signal("STOP")?;
        }
        if told.is_none() && next >= STOPPED_AT_MS + PURGED_AFTER_MS {
            let made = unix_ms();
            if let Ok(mut purged_at) = purged_at.lock() {
                *purged_at = Some(made);
            }
            coordinator.add(Event::PurgedObject(PURGED, made));
            told = Some((play.record.now(), made));
        }
        if !is_continued && next >= STOPPED_AT_MS + SILENT_MS {
            is_continued = true;
            play.record.note("p1 goes on");
            planners[0].signal("CONT")?;
        }
        forwarders[0].clients.send(&Ask {
            class: "course-page",
            key: PURGED,
            wait_ms: 2500,
            kb: KB,
            set: "17".to_owned(),
        })?;
        next += REQUEST_EVERY_MS;
    }
    wait_until(play, start + END_MS + 2_600.0);
    check_running(&mut forwarders)?;
    let Some((told, made)) = told else {
        return Err(io::Error::other("nothing was purged"));
    };
    let heeded = told + rules.purge_grace_ms + SLACK_MS;
    let wants: Vec<Want> = caches.iter().flat_map(Host::received).collect();
    let mut violations = Vec::new();
    for request in forwarders[0].clients.requests() {
        let sent = wants
            .iter()
            .filter(|want| want.id == request.id)
            .map(|want| want.at);
        let first_sent = sent.fold(f64::INFINITY, f64::min);
        let old = request
            .answers
            .iter()
            .any(|(_, answer)| matches!(answer, Answer::Served(body) if stamp_of(body) < made));
        if old && first_sent > heeded {
            violations.push(format!(
                "request {}, sent {:.0} ms after the grace, is answered from a copy older than the purge",
                request.id,
                first_sent - heeded
            ));
        }
    }
    Ok(Verdict {
        summary: format!("purged at {told:.0} ms, to be heeded from {heeded:.0} ms on"),
        violations,
    })
}
