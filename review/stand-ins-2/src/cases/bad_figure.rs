//! A bad client names a group that is out of range. It is owed a refusal, an error or a close, and never 'served'.

use std::io;
use std::time::Duration;

use super::{check_running, start_dispatchers, wait_until};
use crate::client::{Answer, Ask};
use crate::coordinator::{Coordinator, Event, Line};
use crate::host::{Host, Reply, Want};
use crate::record::unix_ms;
use crate::world::{CACHE, CAMPUS, HUB, ORIGIN, PARENT, Rules, body};
use crate::{Play, Verdict};

const KB: f64 = 350.0;
const REQUESTS: u64 = 40;
const REQUEST_EVERY_MS: f64 = 50.0;
/// The groups that the page allows end with 255.
const OUT_OF_RANGE: [&str; 4] = ["256", "300", "65536", "18446744073709551615"];

fn answer(_: &Want) -> Reply {
    Reply {
        word: "data",
        fields: format!("how=hit,version=a1,stamp={}", unix_ms()),
        body: body("page", KB),
        after: Duration::from_millis(4),
    }
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let rules = Rules::USUAL;
    let host = |id| Host::start(id, &play.record, answer);
    let caches = [host(0xca01)?, host(0xca02)?];
    let (parent, origin) = (host(0x9a01)?, host(0x0001)?);
    let mut list: Vec<Line> = caches
        .iter()
        .map(|cache| Line::of(cache, CAMPUS, CACHE, 8.0))
        .collect();
    list.push(Line::of(&parent, HUB, PARENT, 12.0));
    list.push(Line::of(&origin, HUB, ORIGIN, 12.0));
    let coordinator = Coordinator::start(&play.record, vec![Event::List(list)])?;
    let mut dispatchers = start_dispatchers(play, &rules, &coordinator)?;

    let start = play.record.now();
    let mut bad = Vec::new();
    for number in 0..REQUESTS {
        wait_until(play, start + number as f64 * REQUEST_EVERY_MS);
        let is_bad = play.trouble && number % 2 == 1;
        let set = if is_bad {
            OUT_OF_RANGE[(number / 2) as usize % OUT_OF_RANGE.len()].to_owned()
        } else {
            (number % 256).to_string()
        };
        let id = dispatchers[0].clients.send(&Ask {
            class: "course-page",
            key: 0x7f3a_0000 + number,
            wait_ms: 2500,
            kb: KB,
            set: set.clone(),
        })?;
        if is_bad {
            bad.push((id, set));
        }
    }
    wait_until(play, start + REQUESTS as f64 * REQUEST_EVERY_MS + 3_000.0);
    check_running(&mut dispatchers)?;
    let requests = dispatchers[0].clients.requests();
    let is_served = |id: &str| {
        requests.iter().any(|one| {
            one.id == id
                && one
                    .answers
                    .iter()
                    .any(|(_, answer)| matches!(answer, Answer::Served(_)))
        })
    };
    let violations = bad
        .iter()
        .filter(|(id, _)| is_served(id))
        .map(|(id, set)| format!("request {id} with set={set} is answered 'served'"))
        .collect();
    let served = requests.iter().filter(|one| is_served(&one.id)).count();
    Ok(Verdict {
        violations,
        summary: format!(
            "{} requests, {} of them bad, {served} served",
            requests.len(),
            bad.len()
        ),
    })
}
