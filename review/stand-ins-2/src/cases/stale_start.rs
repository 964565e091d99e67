//! The coordinator is down for longer than events may be late, a cache host begins to drain, and a dispatcher is killed and
//! comes back with its last list. No cache host may get new work later than the grace after it counts as told.

use std::io;
use std::time::Duration;

use super::{Dispatcher, check_running, drains, start_dispatcher, start_dispatchers, wait_until};
use crate::client::Ask;
use crate::coordinator::{Coordinator, Event, Line};
use crate::host::{Host, Reply, Want};
use crate::process;
use crate::record::unix_ms;
use crate::world::{CACHE, CAMPUS, HUB, KINDS, ORIGIN, PARENT, Rules, ZONES, body};
use crate::{Play, Verdict};

const KB: f64 = 350.0;
/// Between two requests of the clients of one dispatcher.
const REQUEST_EVERY_MS: f64 = 25.0;
/// When the coordinator goes down, and for how long, from the start of the clients.
const DOWN_AT_MS: f64 = 3_000.0;
const DOWN_MS: f64 = 12_000.0;
/// When a cache host begins to drain.
const DRAINS_AT_MS: f64 = DOWN_AT_MS + 500.0;
/// The grace of the site.
const DRAIN_GRACE_MS: f64 = 2_000.0;
/// When one of three dispatchers is killed, and how long it is away.
const KILLED_AT_MS: f64 = DOWN_AT_MS + 1_000.0;
const AWAY_MS: f64 = 2_500.0;
const END_MS: f64 = DOWN_AT_MS + DOWN_MS + 2_000.0;

fn answer(_: &Want) -> Reply {
    Reply {
        word: "data",
        fields: format!(
            "how=hit,version=a1,stamp={},stats=outstanding:1;x0:0.9;x1:0.2",
            unix_ms()
        ),
        body: body("page", KB),
        after: Duration::from_millis(4),
    }
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let rules = Rules {
        dispatchers: 3,
        drain_grace_ms: DRAIN_GRACE_MS,
        ..Rules::USUAL
    };
    let host = |id| Host::start(id, &play.record, answer);
    let caches = [host(0xca01)?, host(0xca02)?, host(0xca03)?, host(0xca04)?];
    let (parent, origin) = (host(0x9a01)?, host(0x0001)?);
    let line = |cache: &Host| Line::of(cache, CAMPUS, CACHE, 8.0);
    let mut list: Vec<Line> = caches.iter().map(line).collect();
    list.push(Line::of(&parent, HUB, PARENT, 12.0));
    list.push(Line::of(&origin, HUB, ORIGIN, 12.0));
    let coordinator = Coordinator::start(&play.record, vec![Event::List(list)])?;
    let last_list = coordinator.known(&ZONES, &KINDS);
    let mut dispatchers = start_dispatchers(play, &rules, &coordinator)?;

    let start = play.record.now();
    let (mut is_down, mut is_back) = (false, !play.trouble);
    let (mut is_killed, mut is_restarted) = (!play.trouble, !play.trouble);
    let mut draining = Vec::new();
    let (mut next, mut key) = (0.0, 0u64);
    while next < END_MS {
        wait_until(play, start + next);
        if play.trouble && !is_down && next >= DOWN_AT_MS {
            is_down = true;
            coordinator.go_down();
        }
        if draining.is_empty() && next >= DRAINS_AT_MS {
            let number = coordinator.add(Event::Changes(vec![line(&caches[0]).draining()]));
            draining.push((caches[0].id, number));
        }
        if !is_killed && next >= KILLED_AT_MS {
            is_killed = true;
            dispatchers[0].process.kill();
            play.record.note("n0 is killed");
        }
        if !is_restarted && next >= KILLED_AT_MS + AWAY_MS {
            is_restarted = true;
            play.record.note("n0 comes back with its last list");
            let command = process::run_command(&play.root)?;
            let listen = dispatchers[0].listen;
            dispatchers[0] =
                start_dispatcher(play, &rules, &command, 0, listen, &coordinator, &last_list)?;
        }
        if !is_back && next >= DOWN_AT_MS + DOWN_MS {
            is_back = true;
            coordinator.come_back()?;
        }
        for (number, Dispatcher { clients, .. }) in dispatchers.iter_mut().enumerate() {
            if number == 0 && is_killed != is_restarted {
                continue;
            }
            key = key % 61 + 1;
            clients.send(&Ask {
                class: "course-page",
                key: 0x7f3a_0000 + key,
                wait_ms: 2500,
                kb: KB,
                set: (key % 17).to_string(),
            })?;
        }
        next += REQUEST_EVERY_MS;
    }
    wait_until(play, start + END_MS + 2_600.0);
    check_running(&mut dispatchers)?;
    Ok(drains::judge(&rules, &coordinator, &caches, &draining))
}
