//! The coordinator is down for 8 s, into the start of a release, and slow when it is back. No cache host may get new
//! work later than the grace after it counts as told that the host drains.

use std::io;
use std::time::Duration;

use super::{Dispatcher, check_running, drains, start_dispatchers, wait_until};
use crate::client::Ask;
use crate::coordinator::{Coordinator, Event, Line};
use crate::host::{Host, Reply, Want};
use crate::record::unix_ms;
use crate::world::{CACHE, CAMPUS, HUB, ORIGIN, PARENT, Rules, body};
use crate::{Play, Verdict};

const KB: f64 = 350.0;
/// Between two requests of the clients of one dispatcher.
const REQUEST_EVERY_MS: f64 = 25.0;
/// How long the coordinator is down.
const DOWN_MS: f64 = 8_000.0;
/// From one event to the next while the coordinator is slow.
const PACE: Duration = Duration::from_millis(500);
/// When it goes down, from the start of the clients.
const DOWN_AT_MS: f64 = 3_000.0;
/// The end of the run, from the start of the clients.
const END_MS: f64 = 17_000.0;

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
    let rules = Rules::USUAL;
    let host = |id| Host::start(id, &play.record, answer);
    let caches = [host(0xca01)?, host(0xca02)?, host(0xca03)?, host(0xca04)?];
    let successors = [host(0xca11)?, host(0xca12)?];
    let (parent, origin) = (host(0x9a01)?, host(0x0001)?);
    let line = |cache: &Host| Line::of(cache, CAMPUS, CACHE, 8.0);
    let mut list: Vec<Line> = caches.iter().map(line).collect();
    list.push(Line::of(&parent, HUB, PARENT, 12.0));
    list.push(Line::of(&origin, HUB, ORIGIN, 12.0));
    let coordinator = Coordinator::start(&play.record, vec![Event::List(list)])?;
    let mut dispatchers = start_dispatchers(play, &rules, &coordinator)?;

    let start = play.record.now();
    // The release: each successor joins cold, then the host that it replaces begins to drain. The old hosts go on
    // running to the end of the day, as they may.
    let mut release = Vec::new();
    for (place, successor) in successors.iter().enumerate() {
        let at = DOWN_AT_MS + 100.0 + 200.0 * place as f64;
        release.push((at, line(successor), true));
        release.push((at + 100.0, line(&caches[place]).draining(), false));
    }
    let mut release = release.into_iter().peekable();
    let mut draining = Vec::new();
    let (mut is_down, mut is_back, mut next, mut key) = (false, !play.trouble, 0.0, 0u64);
    while next < END_MS {
        wait_until(play, start + next);
        if play.trouble && !is_down && next >= DOWN_AT_MS {
            is_down = true;
            coordinator.go_down();
        }
        if !is_back && next >= DOWN_AT_MS + DOWN_MS {
            is_back = true;
            coordinator.set_pace(PACE);
            coordinator.come_back()?;
        }
        while let Some((_, line, is_new)) = release.next_if(|(at, ..)| *at <= next) {
            let line = if is_new {
                Line {
                    born_ms: unix_ms(),
                    ..line
                }
            } else {
                line
            };
            let id = line.id;
            let number = coordinator.add(Event::Changes(vec![line]));
            if !is_new {
                draining.push((id, number));
            }
        }
        for Dispatcher { clients, .. } in &mut dispatchers {
            key = key % 60 + 1;
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
