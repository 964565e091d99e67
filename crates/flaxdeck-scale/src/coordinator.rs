//! The stand-in coordinator, which runs as a separate process. It publishes events on an open-loop schedule and sends
//! them as numbered frames to each connection, from the number on that the client names, and a heartbeat frame each
//! second. Frames are buffered in a bounded queue shared by all connections, so that a connection
//! costs no more than sending what is new to it.

mod schedule;
mod state;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck_net::counters_file;
use flaxdeck_net::listener::Listener;
use flaxdeck_net::metrics::{Counter, count_message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::delivery::write_events;
use crate::error::RunError;
use crate::messages::{CoordinatorOrder, CoordinatorOrders, CoordinatorReply};
use crate::processes::{Input, write_message};
use schedule::Schedule;
use state::{Batch, FrameKind, State, frame};

/// The time between two heartbeats on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

type Shared = Rc<RefCell<State>>;

/// Runs until standard input closes.
///
/// # Errors
///
/// If the coordinator can't listen, the settings are invalid, or a file can't be written.
pub fn run(orders: CoordinatorOrders) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(orders))
}

async fn serve(orders: CoordinatorOrders) -> Result<(), RunError> {
    let mut input = Input::<CoordinatorOrder>::start();
    let state = State::new(&orders)?;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any_port).map_err(RunError::Listen)?;
    let address = listener.local_addr().map_err(RunError::Listen)?;
    let state: Shared = Rc::new(RefCell::new(state));
    counters_file::spawn(orders.counters);
    spawn_local(accept(state.clone(), listener));
    write_message(&CoordinatorReply::Listening(address));
    let mut schedule = Schedule::new(orders.seed, orders.purges_per_s, orders.host_changes_per_s);
    loop {
        let due = schedule.next_due();
        tokio::select! {
            order = input.next() => match order {
                Some(order) => apply_order(&state, &mut schedule, order)?,
                None => break,
            },
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                schedule.publish_due(&mut state.borrow_mut());
            }
        }
    }
    let state = state.borrow();
    write_events(&orders.events, state.published()).map_err(RunError::WriteEvents)
}

fn apply_order(
    state: &Shared,
    schedule: &mut Schedule,
    order: CoordinatorOrder,
) -> Result<(), RunError> {
    let mut state = state.borrow_mut();
    match order {
        CoordinatorOrder::Begin => schedule.begin(),
        CoordinatorOrder::Stop => {
            schedule.stop();
            let last = state.last();
            write_message(&CoordinatorReply::Stopped { last });
        }
        CoordinatorOrder::PurgeRateTimes(factor) => schedule.set_purge_factor(factor),
        CoordinatorOrder::Silent(silent) => state.set_silent(silent),
        CoordinatorOrder::Forget => state.restart(),
        CoordinatorOrder::Purge { object } => state.purge(object),
        CoordinatorOrder::WriteKnown(path) => {
            let known = state.known_events().to_string();
            std::fs::write(&path, known).map_err(RunError::file(&path))?;
            write_message(&CoordinatorReply::Written);
        }
    }
    Ok(())
}

async fn accept(state: Shared, listener: Listener) {
    loop {
        let Ok(stream) = listener.accept().await else {
            continue;
        };
        spawn_local(send_events(state.clone(), stream));
    }
}

/// Sends events to one connection until it fails or the coordinator restarts. The caller ignores errors: the client may
/// close its connection at any time.
async fn send_events(state: Shared, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut status = state.borrow().subscribe();
    let incarnation = status.borrow_and_update().incarnation;
    let mut after = stream.read_u64().await?;
    count_message(
        [Counter::feed_messages_in, Counter::feed_bytes_in],
        size_of::<u64>(),
    );
    let mut next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
    loop {
        let now = *status.borrow_and_update();
        if now.incarnation != incarnation {
            return Ok(());
        }
        if now.silent {
            // Can't fail: the state, which owns the sender, outlives the connection.
            let _ = status.changed().await;
        } else if now.last != after {
            let batch = state.borrow().batch_after(after);
            after = batch.last;
            count_sent(&batch);
            stream.write_all(&batch.bytes).await?;
        } else if timeout_at(next_heartbeat, status.changed()).await.is_err() {
            let heartbeat = Batch {
                bytes: frame(after, FrameKind::Heartbeat, &[]).to_vec(),
                frames: 1,
                last: after,
            };
            count_sent(&heartbeat);
            stream.write_all(&heartbeat.bytes).await?;
            next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        }
    }
}

/// Counts each frame of a batch as one message; the bytes of all frames are counted with the last one.
fn count_sent(batch: &Batch) {
    let counters = [Counter::feed_messages_out, Counter::feed_bytes_out];
    for _ in 1..batch.frames {
        count_message(counters, 0);
    }
    count_message(counters, batch.bytes.len());
}
