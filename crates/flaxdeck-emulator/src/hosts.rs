//! Cache hosts, parents and the origin: the line protocol on sockets, and behind it places, cold ramps, copies and
//! falling over. Fills go from host to host within the process.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use flaxdeck_invariants::{RecordEntry, RecordedEvent};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until};

use crate::world::{FailureMode, KB_PER_MS, Kind, SharedState, body_of, kb_of};

/// Requests a place may have waiting before it says `full`.
const QUEUE: f64 = 6.0;
/// Milliseconds until hosts have dropped by themselves what was purged.
const SETTLES: f64 = 5_000.0;
/// Milliseconds that the start of a transfer takes beside its bytes.
const START: f64 = 1.0;

/// Serves one host's listener until its run ends.
pub async fn serve(world: Arc<SharedState>, id: String, listener: TcpListener, run: u64) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = over(&world, &id, run) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        if !let_in(&world, &id) {
            continue;
        }
        let (world, id) = (world.clone(), id.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = attend(&world, &id, stream) => {}
                () = over(&world, &id, run) => {}
            }
            if let Some(host) = world
                .lock()
                .hosts
                .get_mut(&id)
                .filter(|host| host.run == run)
            {
                host.connections = host.connections.saturating_sub(1);
            }
        });
    }
}

/// Whether a host takes one more connection; books it.
fn let_in(world: &SharedState, id: &str) -> bool {
    let (now, most) = (world.now(), world.layout.host_connections);
    let mut state = world.lock();
    let Some(host) = state.hosts.get_mut(id) else {
        return false;
    };
    let taken = host.connections < most;
    host.connections += u32::from(taken);
    let held = host.connections;
    let interval = state.interval(now);
    interval.connects += 1;
    interval.turned_away += u32::from(!taken);
    interval.held_most = interval.held_most.max(held);
    taken
}

async fn over(world: &SharedState, id: &str, run: u64) {
    loop {
        let notified = world.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        if world
            .lock()
            .hosts
            .get(id)
            .is_none_or(|host| host.run != run || !host.up)
        {
            return;
        }
        notified.await;
    }
}

async fn attend(world: &Arc<SharedState>, id: &str, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read);
    let mut held_over: Option<String> = None;
    loop {
        let line = match held_over.take() {
            Some(line) => line,
            None => next_line(&mut lines).await?,
        };
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["want", request, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0).min(100_000) + 2];
                lines.read_exact(&mut body).await?;
                let fields: HashMap<String, String> = fields
                    .split(',')
                    .filter_map(|field| field.split_once('='))
                    .map(|(name, value)| (name.to_owned(), value.to_owned()))
                    .collect();
                let answer = tokio::select! {
                    answer = answer(world, id, &fields, request) => answer,
                    line = next_line(&mut lines) => {
                        held_over = Some(line?);
                        leave(world, id);
                        continue;
                    }
                };
                let Some((word, told, body)) = answer else {
                    continue;
                };
                let head = format!("{request} {word} {told} {}\r\n", body.len());
                write
                    .write_all(&[head.as_bytes(), &body, b"\r\n"].concat())
                    .await?;
            }
            ["there", tag] => {
                write
                    .write_all(format!("{tag} well - 0\r\n\r\n").as_bytes())
                    .await?
            }
            _ => {}
        }
    }
}

async fn next_line(lines: &mut BufReader<OwnedReadHalf>) -> io::Result<String> {
    let mut line = Vec::new();
    // Not cancel-safe alone, but a half line is only lost with the connection's own end or a request's.
    if lines.read_until(b'\n', &mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn leave(world: &SharedState, id: &str) {
    if let Some(host) = world.lock().hosts.get_mut(id) {
        host.in_hand = host.in_hand.saturating_sub(1);
    }
}

/// What a fill or an own answer comes to at one host.
enum Taken {
    /// Its place is done with it at that time.
    Until(f64),
    Full,
    Failed,
    Gone,
    Silent,
}

/// Takes work of so many KB at a host: books it, finds a place, and has the host fall over where it is too much.
fn take(world: &SharedState, id: &str, kb: f64) -> Taken {
    let now = world.now();
    let mut state = world.lock();
    let state = &mut *state;
    let Some(host) = state.hosts.get_mut(id).filter(|host| host.up) else {
        return Taken::Gone;
    };
    let work = kb / KB_PER_MS + START;
    state.record.push(RecordEntry {
        at_ms: now,
        event: RecordedEvent::WorkArrived {
            host: id.to_owned(),
        },
    });
    match host.failure_mode {
        FailureMode::Silent => return Taken::Silent,
        FailureMode::Fail => return Taken::Failed,
        _ => {}
    }
    let pace = world.part(host, now);
    let slow = if let FailureMode::Slow(times) = host.failure_mode {
        times
    } else {
        1.0
    };
    // A cold host has fewer places, the last of them a slower one.
    let capacity = (pace * host.places).max(0.2);
    let places = (capacity.ceil() as usize).clamp(1, host.busy.len());
    let place = host.busy[..places]
        .iter_mut()
        .min_by(|a, b| a.total_cmp(b))
        .expect("a host has a place");
    let took = work * slow * places as f64 / capacity;
    if *place - now > QUEUE * took {
        return Taken::Full;
    }
    *place = place.max(now) + took;
    let until = *place;
    host.handled += 1;
    host.work.push_back((now, work));
    host.spent += work;
    while let Some((_, old)) = host
        .work
        .front()
        .copied()
        .filter(|(at, _)| *at <= now - world.layout.fall_ms)
    {
        host.spent -= old;
        host.work.pop_front();
    }
    state.record.push(RecordEntry {
        at_ms: now,
        event: RecordedEvent::WorkRequested {
            host: id.to_owned(),
            cost_ms: work,
        },
    });
    let bears = world.layout.factor * pace * host.places * world.layout.fall_ms;
    if pace < 1.0 && host.spent > bears {
        (host.up, host.run) = (false, host.run + 1);
        state.fell_over += 1;
        world.changed.notify_waiters();
        return Taken::Gone;
    }
    Taken::Until(until)
}

/// The answer's word, fields and body; none if the host says nothing.
async fn answer(
    world: &Arc<SharedState>,
    id: &str,
    fields: &HashMap<String, String>,
    request: &str,
) -> Option<(&'static str, String, Vec<u8>)> {
    let field = |name: &str| fields.get(name).map_or("", String::as_str);
    let object = field("key").to_owned();
    let kb = kb_of(&object) as f64;
    {
        let mut state = world.lock();
        let host = state.hosts.get_mut(id)?;
        host.in_hand += 1;
    }
    let taken = take(world, id, kb);
    let mut told = "how=hit".to_owned();
    let ended = match taken {
        Taken::Until(until) => {
            let made = if field("class") == "submit" {
                world.record(RecordedEvent::EffectApplied {
                    effect: format!("{request} {object}"),
                });
                Ok(world.now())
            } else {
                copy(
                    world,
                    id,
                    &object,
                    field("fetch"),
                    field("newer"),
                    &mut told,
                )
                .await
            };
            sleep_until(world.instant(until)).await;
            made.map(|made| body_of(&object, made))
        }
        Taken::Full => Err(("full", "-".to_owned())),
        Taken::Failed => Err(("failed", "-".to_owned())),
        Taken::Gone | Taken::Silent => {
            std::future::pending::<()>().await;
            return None;
        }
    };
    let (now, in_hand) = (world.now(), {
        let mut state = world.lock();
        let host = state.hosts.get_mut(id)?;
        host.in_hand = host.in_hand.saturating_sub(1);
        host.in_hand
    });
    if ended.is_ok() && field("class") != "submit" {
        let mut state = world.lock();
        let cache = state
            .hosts
            .get(id)
            .is_some_and(|host| host.kind == Kind::Cache);
        let interval = state.interval(now);
        interval.cache_answers += u32::from(cache);
        interval.cache_hits += u32::from(cache && told == "how=hit");
    }
    let stats = format!("stats=outstanding:{in_hand};x0:0.5;x1:0.1");
    Some(match ended {
        Ok(body) => {
            let stamp = world.unix_ms(world.now());
            (
                "data",
                format!("version=v{object},stamp={stamp},{told},{stats}"),
                body,
            )
        }
        Err((word, told)) if told == "-" => (word, stats, Vec::new()),
        Err((word, told)) => (word, format!("{told},{stats}"), Vec::new()),
    })
}

/// A copy young enough, from what is held or filled: when it was made, or what came in the way.
async fn copy(
    world: &Arc<SharedState>,
    id: &str,
    object: &str,
    source: &str,
    newer: &str,
    told: &mut String,
) -> Result<f64, (&'static str, String)> {
    let oldest = newer
        .parse()
        .map_or(f64::NEG_INFINITY, |age: f64| world.now() - age);
    let (oldest, held) = {
        let state = world.lock();
        // Some time after a purge hosts have heard of it themselves.
        let settled = state
            .purged
            .get(object)
            .filter(|at| world.now() - **at > SETTLES);
        let oldest = settled.map_or(oldest, |at| oldest.max(*at));
        let host = state.hosts.get(id);
        let held = match host {
            Some(host) if host.kind == Kind::Origin => return Ok(world.now()),
            Some(host) => host
                .held
                .get(object)
                .copied()
                .filter(|made| *made >= oldest),
            None => None,
        };
        (oldest, held)
    };
    if let Some(made) = held {
        return Ok(made);
    }
    if source.is_empty() {
        return Err(("absent", "-".to_owned()));
    }
    let begun = world.now();
    let broke = |why: &str| ("full", format!("how={why},took={:.1}", world.now() - begun));
    let (made, via) = match fetch(world, source, object, oldest).await {
        Ok(filled) => filled,
        Err(why) => return Err(broke(why)),
    };
    let took = world.now() - begun;
    *told = format!(
        "how={},took={took:.1}",
        if via { "via_origin" } else { "filled" }
    );
    if let Some(host) = world.lock().hosts.get_mut(id) {
        host.held.insert(object.to_owned(), made);
    }
    Ok(made)
}

/// A fill from a parent or the origin: when the copy was made, and whether a parent had to ask the origin.
async fn fetch(
    world: &Arc<SharedState>,
    source: &str,
    object: &str,
    oldest: f64,
) -> Result<(f64, bool), &'static str> {
    let kb = kb_of(object) as f64;
    let wait = |ms: f64| sleep(std::time::Duration::from_secs_f64(ms / 1000.0));
    let taken = take(world, source, kb);
    {
        let now = world.now();
        let mut state = world.lock();
        let origin = state
            .hosts
            .get(source)
            .is_some_and(|host| host.kind == Kind::Origin);
        let interval = state.interval(now);
        interval.origin_fills += u32::from(origin && matches!(taken, Taken::Until(_)));
        interval.origin_refused += u32::from(origin && matches!(taken, Taken::Full));
    }
    let until = match taken {
        Taken::Until(until) => until,
        Taken::Full | Taken::Failed => return Err("src_refused"),
        Taken::Gone => return Err("src_broke"),
        Taken::Silent => {
            wait(1_500.0).await;
            return Err("src_broke");
        }
    };
    let (kind, held) = {
        let mut state = world.lock();
        let Some(host) = state.hosts.get(source) else {
            return Err("src_broke");
        };
        let found = (
            host.kind,
            host.held
                .get(object)
                .copied()
                .filter(|made| *made >= oldest),
        );
        state.fills_at_origin += u64::from(found.0 == Kind::Origin);
        found
    };
    let latency = if kind == Kind::Origin {
        world.layout.origin_latency
    } else {
        world.layout.parent_latency
    };
    wait(latency).await;
    let filled = match (kind, held) {
        (Kind::Origin, _) => (world.now(), false),
        (_, Some(made)) => (made, false),
        _ => {
            let origin = world
                .lock()
                .hosts
                .iter()
                .find(|(_, host)| host.kind == Kind::Origin)
                .map(|(id, _)| id.clone());
            let origin = origin.ok_or("origin_failed")?;
            let (made, _) = Box::pin(fetch(world, &origin, object, oldest))
                .await
                .map_err(|_| "origin_failed")?;
            if let Some(host) = world.lock().hosts.get_mut(source) {
                host.held.insert(object.to_owned(), made);
            }
            (made, true)
        }
    };
    sleep_until(world.instant(until)).await;
    Ok(filled)
}

/// Opens the listener of a host at its address, or at one that the system chooses.
pub fn open(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((TcpListener::from_std(listener)?, address))
}
