//! The coordinator: numbered frames to whoever asks from a number on, and a frame without an event each second.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::world::{HostState, Kind, SharedState, State};

const QUIET: Duration = Duration::from_secs(1);

pub async fn serve(world: Arc<SharedState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let world = world.clone();
        tokio::spawn(async move { feed(&world, stream).await });
    }
}

async fn feed(world: &SharedState, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let run = world.lock().coordinator_run;
    let mut number = [0; 8];
    stream.read_exact(&mut number).await?;
    if !answers(world) {
        return Ok(());
    }
    let mut last = u64::from_be_bytes(number);
    loop {
        let notified = world.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let (news, mute) = {
            let state = world.lock();
            if state.coordinator_run != run {
                return Ok(());
            }
            (news(&state, last), state.mute)
        };
        if mute {
            notified.await;
            continue;
        }
        for (number, bytes) in &news {
            stream.write_all(bytes).await?;
            last = *number;
        }
        if news.is_empty() && timeout(QUIET, notified).await.is_err() {
            stream.write_all(&frame(last, 0, &[])).await?;
        }
    }
}

/// Whether a call is answered; one over what the coordinator serves finds its connection closed.
fn answers(world: &SharedState) -> bool {
    let (now, every) = (world.now(), 1000.0 / world.layout.lists_per_s);
    let mut state = world.lock();
    let taken = state.next_call <= now;
    if taken {
        state.next_call = now.max(state.next_call) + every;
    }
    let interval = state.interval(now);
    interval.list_calls += 1;
    interval.lists_refused += u32::from(!taken);
    taken
}

/// What follows that number; to who names one that was never given out, the whole list as it stands.
fn news(state: &State, last: u64) -> Vec<(u64, Vec<u8>)> {
    let whole = state
        .lists
        .last()
        .filter(|(number, _)| last > state.known && *number <= state.known);
    match whole {
        Some((_, list)) => vec![(state.known, frame(state.known, 1, list))],
        None => state
            .frames
            .iter()
            .filter(|(number, _)| *number > last)
            .cloned()
            .collect(),
    }
}

pub fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = (9 + payload.len()) as u32;
    [
        &length.to_be_bytes()[..],
        &number.to_be_bytes(),
        &[kind],
        payload,
    ]
    .concat()
}

/// A line of the list as the frames hold it.
pub fn record(world: &SharedState, id: &str, host: &HostState) -> Vec<u8> {
    let name = u32::from_str_radix(id.trim_start_matches("s-"), 16).unwrap_or(0);
    let mut record = name.to_be_bytes().to_vec();
    if let std::net::SocketAddr::V4(address) = host.address {
        record.extend(address.ip().octets());
        record.extend(address.port().to_be_bytes());
    }
    let (zone, kind) = match host.kind {
        Kind::Cache => (0, 0),
        Kind::Parent => (1, 1),
        Kind::Origin => (1, 2),
    };
    record.extend([host.state, zone, kind, 0, 0]);
    record.extend(((host.places * 1000.0) as u32).to_be_bytes());
    record.extend(host.started.map_or(0, |at| world.unix_ms(at)).to_be_bytes());
    record
}

/// All hosts that are listed.
pub fn whole(world: &SharedState, state: &State) -> Vec<u8> {
    let listed = state.hosts.iter().filter(|(_, host)| host.state < 2);
    listed
        .flat_map(|(id, host)| record(world, id, host))
        .collect()
}
