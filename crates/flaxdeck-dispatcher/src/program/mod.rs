//! The process: its start, signals, log and counters, and its graceful shutdown at SIGTERM.

mod error;
mod logger;
pub(crate) mod start;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::{Span, Time};
use flaxdeck_net::clock::Clock;
use flaxdeck_net::counters_file;
use flaxdeck_net::listener::{BoundAddress, Listener};
use flaxdeck_net::metrics::{self, Counter, count};
use serde_json::Value;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, interval, sleep};

use crate::control;
use crate::routing::{ControlClientOptions, Router, accept_clients};

pub use error::{ConfigurationError, RunError, StartError};

/// The interval at which the counters are logged.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(10);
/// The shortest time from SIGTERM to the end of the process: new clients go on connecting for 0.4 s and sending
/// requests for 0.2 s more; the rest is for late ones.
const MIN_SHUTDOWN: Duration = Duration::from_millis(700);
/// SIGKILL follows SIGTERM no sooner than after the longest wait of a client plus this.
const KILL_DELAY: Span = Span::from_ms(700);
/// The most that a client's longest wait counts for in that sum.
const MAX_LONGEST_WAIT: Span = Span::from_ms(3000);
/// The time reserved before the earliest SIGKILL, to write the last answers and to end the process.
const KILL_MARGIN: Span = Span::from_ms(200);
/// The fraction of the margin for writing the last answers, before connections are closed.
const ANSWERS_FRACTION: f64 = 0.5;
/// The fraction of the margin by whose end all connections have to be closed.
const CLOSING_FRACTION: f64 = 0.75;
/// The interval at which a shutdown checks what is still open.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The number of consecutive checks that must find nothing open, as a request may be read between two checks.
const MIN_IDLE_CHECKS: u32 = 3;

/// Runs a dispatcher without planners, as the platform starts it, until SIGTERM.
///
/// # Errors
///
/// If the configuration is invalid, or the process can't listen at its address; [`RunError`] has all reasons.
pub fn run() -> Result<(), RunError> {
    logger::start();
    let result = run_guided(None, None);
    log::logger().flush();
    result
}

/// Runs a dispatcher until SIGTERM, with planners if `control_client` is given. The caller has set up the log. Without
/// a path the configuration is the file that `GW_CONFIG` names.
///
/// # Errors
///
/// Those of [`run`].
pub fn run_guided(
    path: Option<&str>,
    control_client: Option<ControlClientOptions>,
) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(path, control_client))
}

/// The signals that the platform sends: SIGTERM and SIGHUP.
struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    fn catch() -> Result<Signals, RunError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(RunError::Signals)?,
            reload: signal(SignalKind::hangup()).map_err(RunError::Signals)?,
        })
    }
}

/// The running router, and what a reloaded configuration is compared with.
struct Running<'a> {
    path: Option<&'a str>,
    router: Rc<Router>,
    address: SocketAddr,
    settings: Value,
    is_guided: bool,
}

async fn serve(
    path: Option<&str>,
    control_client: Option<ControlClientOptions>,
) -> Result<(), RunError> {
    let clock = Clock::start();
    let mut signals = Signals::catch()?;
    let configuration = start::read(path, control_client.is_none())?;
    let address = configuration.address;
    let bounds = configuration.bounds;
    let longest_wait = configuration.connection_terms.longest_wait;
    let settings = configuration.settings.clone();
    let cannot_listen = |source: io::Error| RunError::Listen { address, source };
    // Bound before the control side starts: while an earlier process still listens at the address, this one must not
    // act as the same forwarder towards planners.
    let bound = BoundAddress::bind(address).map_err(cannot_listen)?;
    let counters = control_client
        .as_ref()
        .and_then(|control_client| control_client.counters.clone());
    let router = control::start_control_side(
        configuration,
        clock,
        control_client,
        std::process::id(),
        None,
    );
    if let Some(path) = counters {
        counters_file::spawn(path);
    }
    // A client that can't connect turns to another dispatcher. One that is accepted too early would stay here, for
    // rejections or for answers that rest on an unconfirmed endpoint list.
    tokio::select! {
        () = router.wait_until_ready() => {}
        _ = signals.terminate.recv() => return Ok(()),
    }
    let listener = bound.listen().map_err(cannot_listen)?;
    let local_address = listener.local_addr().map_err(cannot_listen)?;
    let _tasks = start_tasks(&router, listener);
    log::info!("listening at {local_address}, {bounds:?}");
    let running = Running {
        path,
        address,
        settings,
        is_guided: router.is_guided(),
        router,
    };
    running.handle_signals(&mut signals).await;
    shut_down(&running.router, clock, longest_wait).await;
    Ok(())
}

/// Starts the tasks that serve clients. They are aborted when the set is dropped, so the caller keeps it until the
/// router has shut down.
fn start_tasks(router: &Rc<Router>, listener: Listener) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn_local(router.clone().close_idle_host_connections());
    tasks.spawn_local(log_counters(router.clone()));
    tasks.spawn_local(accept_clients(router.clone(), listener));
    tasks
}

/// Answers open requests and those that still arrive, then closes all connections, all before the earliest SIGKILL.
async fn shut_down(router: &Router, clock: Clock, longest_wait: Span) {
    log::info!("asked to end");
    let kill_after = longest_wait.min(MAX_LONGEST_WAIT) + KILL_DELAY;
    let answers_by = clock.now() + kill_after.saturating_sub(KILL_MARGIN);
    router.set_shutdown_deadline(answers_by);
    wait_until_idle(router, clock, answers_by + KILL_MARGIN * ANSWERS_FRACTION).await;
    router.close_clients();
    let closed_by = answers_by + KILL_MARGIN * CLOSING_FRACTION;
    while !router.has_no_clients() && clock.now() < closed_by {
        sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    log_load(router);
    router.shut_down();
}

/// Waits for at least [`MIN_SHUTDOWN`], and then until nothing is left to be answered, or until the given time.
async fn wait_until_idle(router: &Router, clock: Clock, until: Time) {
    let started = Instant::now();
    let mut idle_checks = 0;
    while started.elapsed() < MIN_SHUTDOWN || (idle_checks < MIN_IDLE_CHECKS && clock.now() < until)
    {
        sleep(SHUTDOWN_CHECK_INTERVAL).await;
        idle_checks = if router.is_idle() { idle_checks + 1 } else { 0 };
    }
}

impl Running<'_> {
    /// Reloads the configuration at each SIGHUP, until SIGTERM.
    async fn handle_signals(&self, signals: &mut Signals) {
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return,
                _ = signals.reload.recv() => self.reload(),
            }
        }
    }

    /// Reads the configuration again. The coordinator, its events and the limits take effect at once. Other changes
    /// need a restart and are logged; an invalid configuration changes nothing.
    fn reload(&self) {
        let later = match start::read(self.path, !self.is_guided) {
            Ok(later) => later,
            Err(error) => {
                count(Counter::reloads_refused);
                log::warn!(
                    "reloading the configuration failed, the previous one stays in use: {error}"
                );
                return;
            }
        };
        if later.address != self.address {
            log::warn!(
                "another address to listen at takes effect at the next start: {}, now {}",
                later.address,
                self.address
            );
        }
        // The events of a configuration refer to names of its settings by index. With other settings the indices may
        // differ from the running ones, so only events that the coordinator sends are applied then.
        let has_same_settings = later.settings == self.settings;
        if !has_same_settings {
            log::warn!("other settings take effect at the next start");
        }
        count(Counter::reloads);
        log::info!("configuration read again, {:?}", later.bounds);
        let configured_events = if has_same_settings {
            later.configured_events
        } else {
            Vec::new()
        };
        self.router
            .reload(later.bounds, later.watch, configured_events);
    }
}

/// Logs the numbers of open requests and connections, the counters, and the state of the sessions with planners.
fn log_load(router: &Router) {
    let [requests, clients, hosts] = router.load();
    log::info!(
        "open: requests={requests} clients={clients} hosts={hosts}; counted: {}",
        metrics::line()
    );
    if let Some(line) = router.guidance_status() {
        log::info!("{line}");
    }
}

async fn log_counters(router: Rc<Router>) {
    let mut ticks = interval(COUNTERS_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        log_load(&router);
    }
}
