//! A parent dies and comes back cold and empty while the copies at the caches reach the last fifth of their fresh time.
//! All that dispatchers have it asked for, fills included, must stay within what a cold parent bears.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use super::{Dispatcher, check_running, start_dispatchers, wait_until};
use crate::client::{Answer, Ask};
use crate::coordinator::{Coordinator, Event, Health, Line};
use crate::host::{Host, Reply, Want, name};
use crate::record::{Record, unix_ms};
use crate::world::{CACHE, CAMPUS, HUB, KB_PER_S, ORIGIN, PARENT, Rules, body};
use crate::{Play, Verdict};

/// The size of every page, and with it the mean of the class.
const KB: f64 = 660.0;
/// The mean sending time of the class.
const MEAN_MS: f64 = KB / KB_PER_S * 1000.0;
/// The fresh time of the class, and its last fifth.
const FRESH_MS: u64 = 12_000;
const AGEING_MS: u64 = FRESH_MS / 5 * 4;
/// The link of the parent, in transfers.
const PARENT_WEIGHT: f64 = 5.0;
const OBJECTS: u64 = 200;
/// Between two requests of all clients: 80 pages a second.
const REQUEST_EVERY_MS: f64 = 12.5;
/// The parents of the hub, here one, are lost for 8.8 s; when they are back the copies at the caches have begun to age.
const DEAD_AT_MS: f64 = 900.0;
const BACK_AT_MS: f64 = 9_700.0;
/// From a change to when the coordinator has it.
const NOTICE_MS: f64 = 500.0;
const END_MS: f64 = 16_000.0;

const PARENT_ID: u32 = 0x9a01;
const ORIGIN_ID: u32 = 0x0001;

/// What a parent or the origin was asked for.
#[derive(Clone, Copy)]
struct Fill {
    at: f64,
    source: u32,
    /// Whether it renews a copy behind an answer.
    is_renewal: bool,
}

/// The caches' view of their sources: what is filled from where, and when.
#[derive(Clone)]
struct Sources {
    record: Record,
    fills: Arc<Mutex<Vec<Fill>>>,
    is_parent_dead: Arc<Mutex<bool>>,
}

impl Sources {
    /// Asks a source for an object; whether it gives it.
    fn ask(&self, source: &str, key: &str, is_renewal: bool) -> bool {
        let id = [PARENT_ID, ORIGIN_ID]
            .into_iter()
            .find(|id| name(*id) == source);
        let is_dead = self.is_parent_dead.lock().is_ok_and(|dead| *dead);
        let Some(id) = id.filter(|id| *id != PARENT_ID || !is_dead) else {
            self.record
                .note(&format!("{source} is not reached for {key}"));
            return false;
        };
        let why = if is_renewal { "renewal" } else { "fill" };
        self.record
            .note(&format!("{source} is asked for {key}, {why}"));
        if let Ok(mut fills) = self.fills.lock() {
            fills.push(Fill {
                at: self.record.now(),
                source: id,
                is_renewal,
            });
        }
        true
    }
}

/// One cache: its copies with the time at which the origin gave them out; an object that is being renewed is so once.
#[derive(Clone, Default)]
struct Cache {
    copies: Arc<Mutex<HashMap<String, u64>>>,
    renewing: Arc<Mutex<HashMap<String, ()>>>,
}

impl Cache {
    fn answer(&self, want: &Want, sources: &Sources) -> Reply {
        let key = want.field("key").to_owned();
        let limit = match want.field("newer").parse() {
            Ok(0) | Err(_) => FRESH_MS,
            Ok(limit) => limit,
        };
        let stamp = self
            .copies
            .lock()
            .ok()
            .and_then(|copies| copies.get(&key).copied());
        let age = stamp.map(|stamp| unix_ms().saturating_sub(stamp));
        let source = want.field("fetch").to_owned();
        let reply = |word, how: &str, stamp: u64, body, ms| Reply {
            word,
            fields: format!(
                "how={how},version=a{stamp},stamp={stamp},stats=outstanding:1;x0:0.9;x1:0.2"
            ),
            body,
            after: Duration::from_millis(ms),
        };
        match (stamp, age) {
            (Some(stamp), Some(age)) if age <= limit => {
                if age >= AGEING_MS && want.handles("revalidate") && !source.is_empty() {
                    self.renew(&key, &source, sources);
                }
                reply("data", "hit", stamp, body(&key, KB), 4)
            }
            _ if source.is_empty() => reply("absent", "src_lacks", 0, Vec::new(), 2),
            _ if sources.ask(&source, &key, false) => {
                let stamp = unix_ms();
                if let Ok(mut copies) = self.copies.lock() {
                    copies.insert(key.clone(), stamp);
                }
                reply("data", "filled", stamp, body(&key, KB), 30)
            }
            _ => reply("full", "src_broke", 0, Vec::new(), 2),
        }
    }

    /// Fetches an ageing copy anew behind the answer.
    fn renew(&self, key: &str, source: &str, sources: &Sources) {
        let Ok(mut renewing) = self.renewing.lock() else {
            return;
        };
        if renewing.insert(key.to_owned(), ()).is_some() {
            return;
        }
        let (cache, sources) = (self.clone(), sources.clone());
        let (key, source) = (key.to_owned(), source.to_owned());
        spawn(move || {
            let is_given = sources.ask(&source, &key, true);
            sleep(Duration::from_millis(30));
            if is_given && let Ok(mut copies) = cache.copies.lock() {
                copies.insert(key.clone(), unix_ms());
            }
            if let Ok(mut renewing) = cache.renewing.lock() {
                renewing.remove(&key);
            }
        });
    }
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let rules = Rules::USUAL;
    let sources = Sources {
        record: play.record.clone(),
        fills: Arc::default(),
        is_parent_dead: Arc::default(),
    };
    let cache = |id| {
        let (cache, sources) = (Cache::default(), sources.clone());
        Host::start(id, &play.record, move |want| cache.answer(want, &sources))
    };
    let caches = [cache(0xca01)?, cache(0xca02)?, cache(0xca03)?];
    // Pages may also come straight to the parent or the origin.
    let direct = |id: u32| {
        let sources = sources.clone();
        Host::start(id, &play.record, move |want| {
            sources.ask(&name(id), want.field("key"), false);
            Reply {
                word: "data",
                fields: format!("how=hit,version=a1,stamp={}", unix_ms()),
                body: body("page", KB),
                after: Duration::from_millis(30),
            }
        })
    };
    let (parent, origin) = (direct(PARENT_ID)?, direct(ORIGIN_ID)?);
    let mut list: Vec<Line> = caches
        .iter()
        .map(|cache| Line::of(cache, CAMPUS, CACHE, 8.0))
        .collect();
    let parent_line = Line::of(&parent, HUB, PARENT, PARENT_WEIGHT);
    list.extend([parent_line.clone(), Line::of(&origin, HUB, ORIGIN, 12.0)]);
    let coordinator = Coordinator::start(&play.record, vec![Event::List(list)])?;
    let mut dispatchers = start_dispatchers(play, &rules, &coordinator)?;

    let start = play.record.now();
    let mut steps = Vec::new();
    if play.trouble {
        steps = vec![
            (DEAD_AT_MS, Step::Die),
            (DEAD_AT_MS + NOTICE_MS, Step::TellGone),
            (BACK_AT_MS, Step::Return),
            (BACK_AT_MS + NOTICE_MS, Step::TellReady),
        ];
    }
    let mut steps = steps.into_iter().peekable();
    let (mut born, mut told) = (None, None);
    let (mut next, mut key) = (0.0, 0u64);
    while next < END_MS {
        wait_until(play, start + next);
        while let Some((_, step)) = steps.next_if(|(at, _)| *at <= next) {
            let born_ms = born.map_or(0, |(_, unix)| unix);
            match step {
                Step::Die | Step::Return => {
                    let is_back = step == Step::Return;
                    play.record.note(if is_back {
                        "the parent is back"
                    } else {
                        "the parent dies"
                    });
                    if let Ok(mut dead) = sources.is_parent_dead.lock() {
                        *dead = !is_back;
                    }
                    if is_back {
                        born = Some((play.record.now(), unix_ms()));
                    }
                }
                Step::TellGone => {
                    let line = Line {
                        health: Health::Gone,
                        ..parent_line.clone()
                    };
                    coordinator.add(Event::Changes(vec![line]));
                }
                Step::TellReady => {
                    let line = Line {
                        born_ms,
                        ..parent_line.clone()
                    };
                    coordinator.add(Event::Changes(vec![line]));
                    told = Some(play.record.now());
                }
            }
        }
        let turn = (key as usize) % dispatchers.len();
        let Dispatcher { clients, .. } = &mut dispatchers[turn];
        clients.send(&Ask {
            class: "course-page",
            key: 0x7f3a_0000 + key % OBJECTS,
            wait_ms: 2500,
            kb: KB,
            set: (key % 17).to_string(),
        })?;
        key += 1;
        next += REQUEST_EVERY_MS;
    }
    wait_until(play, start + END_MS + 2_600.0);
    check_running(&mut dispatchers)?;
    let served = dispatchers
        .iter()
        .flat_map(|one| one.clients.requests())
        .filter(|request| matches!(request.answers[..], [(_, Answer::Served(_))]))
        .count();
    let fills = sources
        .fills
        .lock()
        .map(|fills| fills.clone())
        .unwrap_or_default();
    Ok(judge(&rules, &fills, born.map(|(at, _)| at), told, served))
}

#[derive(PartialEq)]
enum Step {
    Die,
    TellGone,
    Return,
    TellReady,
}

/// Looks at every window that begins with a fill after dispatchers were told of the start: it may hold N + 2 x root of
/// N + 2 requests of mean work, N under 30 N + 3 x root of N + 3, N being what the settings allow the parent then.
fn judge(
    rules: &Rules,
    fills: &[Fill],
    born: Option<f64>,
    told: Option<f64>,
    served: usize,
) -> Verdict {
    let parent: Vec<&Fill> = fills
        .iter()
        .filter(|fill| fill.source == PARENT_ID)
        .collect();
    let renewals = parent.iter().filter(|fill| fill.is_renewal).count();
    let mut summary = format!(
        "{served} requests served; the parent was asked {} times, {renewals} of them renewals",
        parent.len()
    );
    let (Some(born), Some(told)) = (born, told) else {
        return Verdict {
            violations: Vec::new(),
            summary,
        };
    };
    let capacity = |at: f64| {
        let risen = (at - born) / rules.parent_warm_ms;
        (rules.parent_cold_from + (1.0 - rules.parent_cold_from) * risen).min(1.0)
    };
    let mut violations = Vec::new();
    let mut worst = String::new();
    let mut worst_excess = f64::NEG_INFINITY;
    for first in parent.iter().filter(|fill| fill.at >= told) {
        let end = first.at + rules.window_ms;
        let count = parent
            .iter()
            .filter(|fill| fill.at >= first.at && fill.at < end)
            .count() as f64;
        let mean_capacity = (capacity(first.at) + capacity(end)) / 2.0;
        let allowed =
            rules.parent_multiple * mean_capacity * PARENT_WEIGHT * rules.window_ms / MEAN_MS;
        let slack = if allowed < 30.0 {
            3.0 * allowed.sqrt() + 3.0
        } else {
            2.0 * allowed.sqrt() + 2.0
        };
        let line = format!(
            "from {:.0} ms on, {:.0} ms after its start, the parent is asked {count} times in {:.0} ms; N is {allowed:.1}, \
             it falls over {:.1}",
            first.at,
            first.at - born,
            rules.window_ms,
            allowed + slack
        );
        let excess = count - allowed - slack;
        if excess > worst_excess {
            worst_excess = excess;
            worst = line.clone();
        }
        if excess > 0.0 {
            violations.push(line);
        }
    }
    summary.push_str("\nthe worst window: ");
    summary.push_str(&worst);
    Verdict {
        violations,
        summary,
    }
}
