//! The main cache of one hub is lost and comes back cold and empty while pages that were purged together reach the last fifth
//! of their fresh time at the caches of three campuses. All that dispatchers have it asked for, fills included, must stay
//! within what a cold parent bears.

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
use crate::world::{CACHE, CAMPUS, HUB, KB_PER_S, ORIGIN, OTHER_HUB, PARENT, Rules, body};
use crate::{Play, Verdict};

// The sizes of the deployment, each from the ranges of the site. Work is in milliseconds of a transfer at full pace.

/// Requests a second, all of one workload.
const REQUESTS_PER_S: f64 = 200.0;
/// Their mean sending time.
const MEAN_MS: f64 = 98.0;
/// The load of the caches by this traffic, and with it their links at full load, in transfers.
const LOAD: f64 = 0.64;
const CACHES: u32 = 9;
const CAPACITY: f64 = REQUESTS_PER_S * MEAN_MS / 1000.0 / LOAD;
/// The part of it that is filled at full load.
const FILLED: f64 = 0.2;
/// The link of a main cache: 1.1 times the fills of 2.7 campuses, of which there are three.
const PARENT_WEIGHT: f64 = 1.1 * FILLED * CAPACITY * 2.7 / 3.0;

/// The fresh time of pages, and its last fifth.
const FRESH_MS: u64 = 12_000;
const AGEING_MS: u64 = FRESH_MS / 5 * 4;
/// Pages that each campus asks for in turn, once in 3.5 s each.
const PAGES_OF_CAMPUS: u64 = 187;
/// The group of all pages.
const PAGE_GROUP: u16 = 17;
/// One of so many requests is for a page that no cache holds.
const MISS: u64 = 5;

// The course of the run, from the start of the clients.

/// All pages are purged, and fetched anew as they are asked for.
const PURGED_AT_MS: f64 = 4_000.0;
/// The main cache of one hub is lost for 8.8 s.
const LOST_AT_MS: f64 = 5_200.0;
const BACK_AT_MS: f64 = 14_000.0;
/// From a change to when the coordinator has it.
const NOTICE_MS: f64 = 500.0;
const END_MS: f64 = 21_000.0;

const PARENT_ID: u32 = 0x9a01;
const OTHER_PARENT_ID: u32 = 0x9a02;
const ORIGIN_ID: u32 = 0x0001;

/// What the main cache was asked for.
#[derive(Clone, Copy)]
struct Fill {
    at: f64,
    /// Whether it renews a copy behind an answer.
    is_renewal: bool,
}

/// The parents and the origin as caches reach them.
#[derive(Clone)]
struct Sources {
    record: Record,
    /// What the main cache that is lost was asked for.
    fills: Arc<Mutex<Vec<Fill>>>,
    is_lost: Arc<Mutex<bool>>,
}

impl Sources {
    /// Asks a source for an object; whether it gives it.
    fn ask(&self, source: &str, want: &Want, is_renewal: bool) -> bool {
        let key = want.field("key");
        let is_lost = self.is_lost.lock().is_ok_and(|lost| *lost);
        if source == name(PARENT_ID) {
            if is_lost {
                self.record
                    .note(&format!("{source} is not reached for {key}"));
                return false;
            }
            if let Ok(mut fills) = self.fills.lock() {
                fills.push(Fill {
                    at: self.record.now(),
                    is_renewal,
                });
            }
        }
        let why = if is_renewal { "renewal" } else { "fill" };
        self.record
            .note(&format!("{source} is asked for {key}, {why}"));
        true
    }
}

/// The size of a page.
const KB: f64 = MEAN_MS * KB_PER_S / 1000.0;

/// One cache: its pages with the time at which the origin gave them out. A page that is being renewed is so once.
#[derive(Clone, Default)]
struct Cache {
    pages: Arc<Mutex<HashMap<String, u64>>>,
    renewing: Arc<Mutex<HashMap<String, ()>>>,
}

impl Cache {
    fn purge(&self) {
        if let Ok(mut pages) = self.pages.lock() {
            pages.clear();
        }
    }

    fn answer(&self, want: &Want, sources: &Sources) -> Reply {
        let (key, source) = (want.field("key"), want.field("fetch"));
        let now = unix_ms();
        let limit = want.field("newer").parse().ok().filter(|limit| *limit > 0);
        let pages = self.pages.lock().ok();
        let stamp = pages.and_then(|pages| pages.get(key).copied());
        let max_age = limit.unwrap_or(FRESH_MS);
        let reply = |word, how: &str, stamp: u64, bytes, ms| Reply {
            word,
            fields: format!(
                "how={how},version=a{stamp},stamp={stamp},stats=outstanding:1;x0:0.8;x1:0.9"
            ),
            body: bytes,
            after: Duration::from_millis(ms),
        };
        let bytes = || body(key, KB);
        match stamp.filter(|stamp| now.saturating_sub(*stamp) <= max_age) {
            Some(stamp) => {
                let is_ageing = now.saturating_sub(stamp) >= AGEING_MS;
                if is_ageing && want.handles("revalidate") && !source.is_empty() {
                    self.renew(want, sources);
                }
                reply("data", "hit", stamp, bytes(), 10)
            }
            None if source.is_empty() => reply("absent", "src_lacks", 0, Vec::new(), 2),
            None if sources.ask(source, want, false) => {
                if let Ok(mut pages) = self.pages.lock() {
                    pages.insert(key.to_owned(), now);
                }
                reply("data", "filled", now, bytes(), 60)
            }
            None => reply("full", "src_broke", 0, Vec::new(), 2),
        }
    }

    /// Fetches an ageing page anew behind the answer, from the source that the request names.
    fn renew(&self, want: &Want, sources: &Sources) {
        let Ok(mut renewing) = self.renewing.lock() else {
            return;
        };
        if renewing.insert(want.field("key").to_owned(), ()).is_some() {
            return;
        }
        let (cache, sources, want) = (self.clone(), sources.clone(), want.clone());
        spawn(move || {
            let key = want.field("key").to_owned();
            let is_given = sources.ask(want.field("fetch"), &want, true);
            sleep(Duration::from_millis(60));
            if is_given && let Ok(mut pages) = cache.pages.lock() {
                pages.insert(key.clone(), unix_ms());
            }
            if let Ok(mut renewing) = cache.renewing.lock() {
                renewing.remove(&key);
            }
        });
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Step {
    Purge,
    Lose,
    TellGone,
    Return,
    TellReady,
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let rules = Rules {
        dispatchers: 3,
        campuses: 3,
        ..Rules::USUAL
    };
    let sources = Sources {
        record: play.record.clone(),
        fills: Arc::default(),
        is_lost: Arc::default(),
    };
    let mut caches = Vec::new();
    let mut list = Vec::new();
    for number in 0..CACHES {
        let (cache, sources) = (Cache::default(), sources.clone());
        caches.push(cache.clone());
        let host = Host::start(0xca01 + number, &play.record, move |want| {
            cache.answer(want, &sources)
        })?;
        let campus = CAMPUS + (number % 3) as u8;
        list.push(Line::of(&host, campus, CACHE, CAPACITY / f64::from(CACHES)));
    }
    // Requests may also come straight to a parent or the origin.
    let direct = |id: u32| {
        let sources = sources.clone();
        Host::start(id, &play.record, move |want| {
            sources.ask(&name(id), want, false);
            Reply {
                word: "data",
                fields: format!("how=hit,version=a1,stamp={}", unix_ms()),
                body: body("direct", KB),
                after: Duration::from_millis(60),
            }
        })
    };
    let (parent, other) = (direct(PARENT_ID)?, direct(OTHER_PARENT_ID)?);
    let origin = direct(ORIGIN_ID)?;
    let parent_line = Line::of(&parent, HUB, PARENT, PARENT_WEIGHT);
    list.push(parent_line.clone());
    list.push(Line::of(&other, OTHER_HUB, PARENT, PARENT_WEIGHT));
    list.push(Line::of(&origin, OTHER_HUB, ORIGIN, 2.0 * PARENT_WEIGHT));
    let coordinator = Coordinator::start(&play.record, vec![Event::List(list)])?;
    let mut dispatchers = start_dispatchers(play, &rules, &coordinator)?;

    let start = play.record.now();
    let mut steps = vec![(PURGED_AT_MS, Step::Purge)];
    if play.trouble {
        steps.extend([
            (LOST_AT_MS, Step::Lose),
            (LOST_AT_MS + NOTICE_MS, Step::TellGone),
            (BACK_AT_MS, Step::Return),
            (BACK_AT_MS + NOTICE_MS, Step::TellReady),
        ]);
    }
    let mut steps = steps.into_iter().peekable();
    let (mut born, mut told) = (None, None);
    let mut number = 0u64;
    while number as f64 / REQUESTS_PER_S * 1000.0 < END_MS {
        let next = number as f64 / REQUESTS_PER_S * 1000.0;
        wait_until(play, start + next);
        while let Some((_, step)) = steps.next_if(|(at, _)| *at <= next) {
            match step {
                Step::Purge => {
                    caches.iter().for_each(Cache::purge);
                    coordinator.add(Event::PurgedGroup(PAGE_GROUP, unix_ms()));
                }
                Step::Lose | Step::Return => {
                    let is_back = step == Step::Return;
                    play.record.note(if is_back {
                        "the main cache is back"
                    } else {
                        "the main cache is lost"
                    });
                    if let Ok(mut lost) = sources.is_lost.lock() {
                        *lost = !is_back;
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
                        born_ms: born.map_or(0, |(_, unix)| unix),
                        ..parent_line.clone()
                    };
                    coordinator.add(Event::Changes(vec![line]));
                    told = Some(play.record.now());
                }
            }
        }
        let campus = number as usize % dispatchers.len();
        let place = number / dispatchers.len() as u64;
        let is_new = place.is_multiple_of(MISS);
        let known = 0x7f3a_0000 + (place - place / MISS) % PAGES_OF_CAMPUS;
        let ask = Ask {
            class: "course-page",
            key: if is_new { (1 << 40) + number } else { known },
            wait_ms: 2500,
            kb: KB,
            set: PAGE_GROUP.to_string(),
        };
        let Dispatcher { clients, .. } = &mut dispatchers[campus];
        clients.send(&ask)?;
        number += 1;
    }
    wait_until(play, start + END_MS + 6_100.0);
    check_running(&mut dispatchers)?;
    let requests = dispatchers.iter().flat_map(|one| one.clients.requests());
    let served = requests
        .filter(|request| matches!(request.answers[..], [(_, Answer::Served(_))]))
        .count();
    let fills = sources
        .fills
        .lock()
        .map(|fills| fills.clone())
        .unwrap_or_default();
    let mut verdict = judge(&rules, &fills, born.map(|(at, _)| at), told);
    verdict.summary = format!("{number} requests, {served} served; {}", verdict.summary);
    Ok(verdict)
}

/// Looks at every window that begins with a fill after dispatchers were told of the start: it may hold N + 2 x root of
/// N + 2 requests of mean work, N under 30 N + 3 x root of N + 3, N being what the settings allow the main cache then.
fn judge(rules: &Rules, fills: &[Fill], born: Option<f64>, told: Option<f64>) -> Verdict {
    let (Some(born), Some(told)) = (born, told) else {
        return Verdict {
            violations: Vec::new(),
            summary: format!(
                "the main cache was asked {} times and never cold",
                fills.len()
            ),
        };
    };
    let capacity = |at: f64| {
        let risen = (at - born) / rules.parent_warm_ms;
        (rules.parent_cold_from + (1.0 - rules.parent_cold_from) * risen).min(1.0)
    };
    let mut violations = Vec::new();
    let mut worst = (f64::NEG_INFINITY, String::new());
    for first in fills.iter().filter(|fill| fill.at >= told) {
        let end = first.at + rules.window_ms;
        let within = || {
            fills
                .iter()
                .filter(|fill| fill.at >= first.at && fill.at < end)
        };
        let asked = within().count() as f64;
        let renewals = within().filter(|fill| fill.is_renewal).count();
        let mean_capacity = (capacity(first.at) + capacity(end)) / 2.0;
        let work_ms = rules.parent_multiple * mean_capacity * PARENT_WEIGHT * rules.window_ms;
        let allowed = work_ms / MEAN_MS;
        let slack = if allowed < 30.0 {
            3.0 * allowed.sqrt() + 3.0
        } else {
            2.0 * allowed.sqrt() + 2.0
        };
        let line = format!(
            "from {:.0} ms on, {:.0} ms after its start, the main cache of {PARENT_WEIGHT:.1} transfers is asked for {asked} \
             fills in {:.0} ms, {renewals} of them renewals; N is {allowed:.1}, it falls over {:.1}",
            first.at,
            first.at - born,
            rules.window_ms,
            allowed + slack
        );
        let excess = asked - allowed - slack;
        if excess > worst.0 {
            worst = (excess, line.clone());
        }
        if excess > 0.0 {
            violations.push(line);
        }
    }
    Verdict {
        violations,
        summary: format!("the worst window: {}", worst.1),
    }
}
