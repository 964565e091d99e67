//! Starts the planner's tasks, owns them, and ends them at the first signal.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{io, process};

use flaxdeck_channel::authenticated::Key;
use flaxdeck_control::messages::Epoch;
use flaxdeck_control::planner::Planner;
use flaxdeck_net::budget::Budget;
use flaxdeck_net::clock::Clock;
use flaxdeck_net::listener::Listener;
use flaxdeck_net::log_limiter::LogLimiter;
use flaxdeck_net::{counters_file, metrics};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use crate::events::Events;
use crate::state::State;
use crate::{MAX_CONNECTIONS, RunError, Start, coordinator, publishing, session};

/// Time between log lines with counters.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Serves until SIGTERM or SIGINT is received. Owns all tasks, which end with it.
pub(crate) async fn serve<E>(start: Start) -> Result<(), RunError<E>> {
    let mut terminate = handle_signal(SignalKind::terminate())?;
    let mut interrupt = handle_signal(SignalKind::interrupt())?;
    let clock = Clock::start();
    let epoch = Epoch::new(clock.now(), process::id());
    let planner = Planner::start(clock.now(), epoch, start.lease_terms, start.own);
    let events = Events::start(clock.now(), start.cadence, start.watch.names());
    let state = Rc::new(State::new(clock, planner, events));
    for (_, event) in start.known {
        state.apply_list(event);
    }
    state.restart_log_at(start.watch.numbering().borrow().last());
    let listener =
        Listener::bind(start.listen).map_err(|error| listen_error(start.listen, error))?;
    let address = listener
        .local_addr()
        .map_err(|error| listen_error(start.listen, error))?;
    let mut tasks = JoinSet::new();
    tasks.spawn_local(coordinator::follow(state.clone(), start.watch));
    tasks.spawn_local(accept(state.clone(), start.key, listener));
    tasks.spawn_local(publishing::publish(state.clone()));
    tasks.spawn_local(log_counters(state.clone()));
    if let Some(path) = start.counters {
        counters_file::spawn(path);
    }
    let lease_terms = start.lease_terms;
    tracing::info!(
        planner = start.name,
        epoch = epoch.0,
        "listening at {address}, {lease_terms:?}"
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log_counters_once(&state);
    tracing::info!("asked to end; granted quotas expire by themselves");
    tasks.shutdown().await;
    Ok(())
}

fn handle_signal<E>(kind: SignalKind) -> Result<Signal, RunError<E>> {
    signal(kind).map_err(RunError::Signals)
}

fn listen_error<E>(address: SocketAddr, error: io::Error) -> RunError<E> {
    RunError::Listen { address, error }
}

/// Accepts forwarders until the task is aborted. Owns their sessions, which end with it.
async fn accept(state: Rc<State>, key: Key, listener: Listener) {
    let budget = Budget::new(MAX_CONNECTIONS);
    let mut sessions = JoinSet::new();
    let error_log = LogLimiter::default();
    loop {
        let permit = budget.acquire_many(1).await;
        // Removes ended sessions, so that the set does not grow.
        while sessions.try_join_next().is_some() {}
        match listener.accept().await {
            Ok(stream) => {
                sessions.spawn_local(session::serve(state.clone(), key.clone(), stream, permit));
            }
            Err(error) => {
                if error_log.admits() {
                    tracing::warn!(%error, "accept");
                }
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn log_counters(state: Rc<State>) {
    let mut ticks = interval(LOG_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        log_counters_once(&state);
    }
}

fn log_counters_once(state: &State) {
    state.log_status();
    tracing::info!("traffic: {}", metrics::line());
}
