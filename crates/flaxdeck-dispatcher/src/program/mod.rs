//! The process: start, signals, log, counters, and the end of all that at SIGTERM.

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

/// Between lines of counters in the log.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(10);
/// How long the process stays at least after SIGTERM: new clients go on coming for 0.4 s and requests for 0.2 s more; the
/// rest is for late ones.
const MIN_SHUTDOWN: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner after SIGTERM than the longest wait of a client and this together.
const KILL_DELAY: Span = Span::from_ms(700);
/// A longest wait over this counts as this.
const MAX_LONGEST_WAIT: Span = Span::from_ms(3000);
/// Before the earliest SIGKILL: for answers to be written and the process to end.
const KILL_MARGIN: Span = Span::from_ms(200);
/// The part of the margin in which the last answers are given, before connections are closed.
const ANSWERS_PART: f64 = 0.5;
/// The part of the margin by whose end all connections are closed.
const CLOSING_PART: f64 = 0.75;
/// Between looks whether all is answered.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Looks in a row that have to find nothing left: a request may be read between two.
const MIN_IDLE_LOOKS: u32 = 3;

/// One dispatcher by itself, as the platform starts it.
///
/// # Errors
///
/// A configuration that can't be used, or an address that can't be had.
pub fn run() -> Result<(), RunError> {
    logger::start();
    let ended = run_guided(None, None);
    log::logger().flush();
    ended
}

/// A dispatcher that planners guide, if control_client say so; the caller has set up the log. Without a path the configuration
/// is the one that `GW_CONFIG` names.
///
/// # Errors
///
/// As [`run`].
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

/// The signals that the platform sends.
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

/// What a later configuration is compared with.
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
    let start = start::read(path, control_client.is_none())?;
    let address = start.address;
    let bounds = start.bounds;
    let longest_wait = start.connection_terms.longest_wait;
    let settings = start.settings.clone();
    let cannot_listen = |source: io::Error| RunError::Listen { address, source };
    // Bound before anything is said in its name: while an earlier run still listens there, this one is none.
    let bound = BoundAddress::bind(address).map_err(cannot_listen)?;
    let counters = control_client
        .as_ref()
        .and_then(|control_client| control_client.counters.clone());
    let router =
        control::start_control_side(start, clock, control_client, std::process::id(), None);
    if let Some(path) = counters {
        counters_file::spawn(path);
    }
    // A client that finds nobody listening turns to another dispatcher; a guess or a rejection would keep it here.
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
    running.until_terminated(&mut signals).await;
    shut_down(&running.router, clock, longest_wait).await;
    Ok(())
}

/// Starts what serves clients. The tasks end with the set, which the caller keeps until the router has shut down.
fn start_tasks(router: &Rc<Router>, listener: Listener) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn_local(router.clone().close_idle_host_connections());
    tasks.spawn_local(log_counters(router.clone()));
    tasks.spawn_local(accept_clients(router.clone(), listener));
    tasks
}

/// Answers what is open and whoever still comes, then closes all connections, all before the earliest SIGKILL.
async fn shut_down(router: &Router, clock: Clock, longest_wait: Span) {
    log::info!("asked to end");
    let kill_after = longest_wait.min(MAX_LONGEST_WAIT) + KILL_DELAY;
    let answers_by = clock.now() + kill_after.saturating_sub(KILL_MARGIN);
    router.set_shutdown_deadline(answers_by);
    wait_until_idle(router, clock, answers_by + KILL_MARGIN * ANSWERS_PART).await;
    router.close_clients();
    let closed_by = answers_by + KILL_MARGIN * CLOSING_PART;
    while !router.has_no_clients() && clock.now() < closed_by {
        sleep(LOOK_INTERVAL).await;
    }
    log_load(router);
    router.shut_down();
}

/// Waits for [`MIN_SHUTDOWN`] and until nothing is left to be answered, or until that time.
async fn wait_until_idle(router: &Router, clock: Clock, until: Time) {
    let started = Instant::now();
    let mut idle_looks = 0;
    while started.elapsed() < MIN_SHUTDOWN || (idle_looks < MIN_IDLE_LOOKS && clock.now() < until) {
        sleep(LOOK_INTERVAL).await;
        idle_looks = if router.is_idle() { idle_looks + 1 } else { 0 };
    }
}

impl Running<'_> {
    async fn until_terminated(&self, signals: &mut Signals) {
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return,
                _ = signals.reload.recv() => self.reload(),
            }
        }
    }

    /// Reads the configuration again. The coordinator, its events and the limits change in place; what can't is said, and
    /// one that can't be used changes nothing.
    fn reload(&self) {
        let later = match start::read(self.path, !self.is_guided) {
            Ok(later) => later,
            Err(error) => {
                count(Counter::reloads_refused);
                log::warn!("asked to read the configuration again, the old one stays: {error}");
                return;
            }
        };
        if later.address != self.address {
            log::warn!("another address to listen at takes effect at the next start");
        }
        // Places in lists of names may have moved, so the events count as told by the coordinator only.
        let has_same_settings = later.settings == self.settings;
        if !has_same_settings {
            log::warn!("other settings take effect at the next start");
        }
        count(Counter::reloads);
        log::info!("configuration read again, {:?}", later.bounds);
        let known = if has_same_settings {
            later.known
        } else {
            Vec::new()
        };
        self.router.reload(later.bounds, later.watch, known);
    }
}

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
