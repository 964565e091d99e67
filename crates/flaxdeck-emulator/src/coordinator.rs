//! The coordinator: sends each connection the numbered frames after the number that it asks from, and a heartbeat each
//! second.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout_at};

use crate::state::{HostKind, HostState, Numbered, SharedState, State};

/// The time between two heartbeat frames on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The size of a frame's header after its length field: the number and the kind.
const HEADER_BYTES: usize = 9;

/// The kinds of frames; the discriminants are the values on the wire.
#[derive(Clone, Copy)]
pub(crate) enum FrameKind {
    Heartbeat = 0,
    FullList = 1,
    HostChange = 2,
    Purge = 3,
}

/// Accepts connections to the coordinator and serves each in a task.
pub(crate) async fn serve(world: Arc<SharedState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let world = world.clone();
        tokio::spawn(async move { send_events(&world, stream).await });
    }
}

async fn send_events(world: &SharedState, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let incarnation = world.lock().coordinator_incarnation;
    let mut number = [0; 8];
    stream.read_exact(&mut number).await?;
    if !admit_call(world) {
        return Ok(());
    }
    let mut last = u64::from_be_bytes(number);
    let mut next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
    loop {
        let notified = world.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let (frames, silent, pace) = {
            let state = world.lock();
            if state.coordinator_incarnation != incarnation {
                return Ok(());
            }
            let pace = state.coordinator_pace;
            // With a pace, one frame at a time, so that a change of the coordinator applies to the next one.
            let limit = if pace.is_zero() { usize::MAX } else { 1 };
            let mut frames = frames_after(&state, last);
            frames.truncate(limit);
            (frames, state.coordinator_silent, pace)
        };
        if silent {
            notified.await;
            continue;
        }
        for frame in &frames {
            stream.write_all(&frame.content).await?;
            last = frame.number;
            if !pace.is_zero() {
                sleep(pace).await;
            }
        }
        if frames.is_empty() && timeout_at(next_heartbeat, notified).await.is_err() {
            let heartbeat = frame(last, FrameKind::Heartbeat, &[]);
            stream.write_all(&heartbeat).await?;
            next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        }
    }
}

/// Counts a call and returns whether it is within the coordinator's call rate; the connections of others are closed.
fn admit_call(world: &SharedState) -> bool {
    let now_ms = world.now();
    let interval_ms = 1000.0 / world.layout.coordinator_calls_per_s;
    let mut state = world.lock();
    let admitted = state.next_coordinator_call_ms <= now_ms;
    if admitted {
        state.next_coordinator_call_ms = now_ms.max(state.next_coordinator_call_ms) + interval_ms;
    }
    let interval = state.interval(now_ms);
    interval.coordinator_calls += 1;
    interval.coordinator_calls_refused += u32::from(!admitted);
    admitted
}

/// Returns the frames after the number `last`, or the current full list if `last` is higher than any number given out.
fn frames_after(state: &State, last: u64) -> Vec<Numbered<Vec<u8>>> {
    let number = state.last_event;
    let list = state.lists.last().filter(|list| list.number <= number);
    match list {
        Some(list) if last > number => vec![Numbered {
            number,
            content: frame(number, FrameKind::FullList, &list.content),
        }],
        _ => {
            let frames = state.frames.iter();
            frames
                .filter(|frame| frame.number > last)
                .cloned()
                .collect()
        }
    }
}

/// Encodes a frame: length, number, kind and payload.
pub(crate) fn frame(number: u64, kind: FrameKind, payload: &[u8]) -> Vec<u8> {
    let length = (HEADER_BYTES + payload.len()) as u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind as u8);
    frame.extend(payload);
    frame
}

/// Encodes a host's entry of the list as frames contain it.
pub(crate) fn list_entry(world: &SharedState, id: &str, host: &HostState) -> Vec<u8> {
    let number = u32::from_str_radix(id.trim_start_matches("s-"), 16).unwrap_or(0);
    let mut entry = number.to_be_bytes().to_vec();
    if let SocketAddr::V4(address) = host.address {
        entry.extend(address.ip().octets());
        entry.extend(address.port().to_be_bytes());
    }
    let (zone, kind) = match host.kind {
        HostKind::Cache => (0, 0),
        HostKind::Parent => (1, 1),
        HostKind::Origin => (1, 2),
    };
    let started_unix_ms = host.started_ms.map_or(0, |at_ms| world.unix_ms(at_ms));
    entry.extend([host.health as u8, zone, kind, 0, 0]);
    entry.extend(((host.slots * 1000.0) as u32).to_be_bytes());
    entry.extend(started_unix_ms.to_be_bytes());
    entry
}

/// Encodes the list of all hosts as frames contain it.
pub(crate) fn full_list(world: &SharedState, state: &State) -> Vec<u8> {
    let entry = |(id, host): (&String, &HostState)| list_entry(world, id, host);
    state.hosts.iter().flat_map(entry).collect()
}
