//! The coordinator: numbered frames to whoever asks from a number on, and a frame without an event each second.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::state::{HostKind, HostState, Numbered, SharedState, State};

/// Without events for so long, a frame without one says that the coordinator is there.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// The places in a frame's header beside its length: the number and the kind.
const HEADER_BYTES: usize = 9;

/// The kinds of frames, by their numbers on the wire.
#[derive(Clone, Copy)]
pub(crate) enum FrameKind {
    Heartbeat = 0,
    FullList = 1,
    HostChange = 2,
    Purge = 3,
}

/// Serves the coordinator's listener.
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
    loop {
        let notified = world.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let (frames, silent) = {
            let state = world.lock();
            if state.coordinator_incarnation != incarnation {
                return Ok(());
            }
            (frames_after(&state, last), state.coordinator_silent)
        };
        if silent {
            notified.await;
            continue;
        }
        for frame in &frames {
            stream.write_all(&frame.content).await?;
            last = frame.number;
        }
        if frames.is_empty() && timeout(HEARTBEAT, notified).await.is_err() {
            let heartbeat = frame(last, FrameKind::Heartbeat, &[]);
            stream.write_all(&heartbeat).await?;
        }
    }
}

/// Whether a call is answered; one over what the coordinator serves finds its connection closed.
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

/// What follows that number; to who names one that was never given out, the whole list as it stands.
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

/// A frame: its length, its number, its kind, and what it holds.
pub(crate) fn frame(number: u64, kind: FrameKind, payload: &[u8]) -> Vec<u8> {
    let length = (HEADER_BYTES + payload.len()) as u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind as u8);
    frame.extend(payload);
    frame
}

/// A line of the list as the frames hold it.
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
    let started_ms = host.started_ms.map_or(0, |at_ms| world.unix_ms(at_ms));
    entry.extend([host.health as u8, zone, kind, 0, 0]);
    entry.extend(((host.slots * 1000.0) as u32).to_be_bytes());
    entry.extend(started_ms.to_be_bytes());
    entry
}

/// All hosts as the frames hold them.
pub(crate) fn full_list(world: &SharedState, state: &State) -> Vec<u8> {
    let entry = |(id, host): (&String, &HostState)| list_entry(world, id, host);
    state.hosts.iter().flat_map(entry).collect()
}
