//! The process: start, signals, logger, counters.

mod logger;
pub(crate) mod start;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::Span;
use serde_json::Value;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, interval, sleep};

use crate::control;
use crate::routing::{ControlClientOptions, Router, accept};
use flaxdeck_net::clock::Clock;
use flaxdeck_net::counters_file;
use flaxdeck_net::listener::BoundAddress;
use flaxdeck_net::metrics::{self, Counter, count};

/// Between lines of counters in the log.
const COUNTERS: Duration = Duration::from_secs(10);
/// After SIGTERM new clients go on coming for 0.4 s and requests for 0.2 s more; the rest is for late ones.
const STAYS: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner after SIGTERM than the longest wait of a client and this together.
const BEFORE_KILL: Span = Span::from_ms(700);
/// A longest wait over this counts as this.
const MAX_WAIT: Span = Span::from_ms(3000);
/// Before the earliest SIGKILL: for answers to be written and the process to end.
const SPARE: Span = Span::from_ms(200);
/// Between looks whether all is answered.
const LOOK: Duration = Duration::from_millis(10);
/// Looks in a row that have to find nothing left: a request may be read between two.
const LOOKS: u32 = 3;

/// One dispatcher by itself, as the platform starts it.
pub fn run() -> Result<(), String> {
    logger::start();
    let ended = run_guided(None, None);
    log::logger().flush();
    ended
}

/// A dispatcher that planners guide, if guidelines say so; the caller has set up the log. Without a path the
/// configuration is the one that `GW_CONFIG` names.
pub fn run_guided(
    path: Option<&str>,
    guidelines: Option<ControlClientOptions>,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    LocalSet::new().block_on(&runtime, serve(path, guidelines))
}

async fn serve(path: Option<&str>, guidelines: Option<ControlClientOptions>) -> Result<(), String> {
    let clock = Clock::start();
    let signals = |kind| signal(kind).map_err(|error| format!("no signals: {error}"));
    let (mut asked_to_end, mut asked_to_reload) = (
        signals(SignalKind::terminate())?,
        signals(SignalKind::hangup())?,
    );
    let start = start::read(path, guidelines.is_none())?;
    let (address, carriage, bounds, settings) = (
        start.address,
        start.carriage,
        start.bounds,
        start.settings.clone(),
    );
    let refused = |error| format!("cannot listen at {address}: {error}");
    // Taken before anything is said in its name: while an earlier run still listens there, this one is none.
    let claim = BoundAddress::bind(address).map_err(refused)?;
    let counters = guidelines
        .as_ref()
        .and_then(|guidelines| guidelines.counters.clone());
    let router = control::begin(start, clock, guidelines, std::process::id(), None);
    let guided = router.is_guided();
    counters.into_iter().for_each(counters_file::spawn);
    // A client that finds nobody listening turns to another dispatcher; a guess or a rejection would keep it here.
    tokio::select! {
        () = router.wait_until_ready() => {}
        _ = asked_to_end.recv() => return Ok(()),
    }
    let listener = claim.listen().map_err(refused)?;
    let at = listener.local_addr().map_err(refused)?;
    spawn_local(router.clone().sweep());
    spawn_local(log_counters(router.clone()));
    spawn_local(accept(router.clone(), listener));
    log::info!("listening at {at}, {bounds:?}");
    loop {
        tokio::select! {
            _ = asked_to_end.recv() => break,
            _ = asked_to_reload.recv() => reload(path, &router, address, &settings, guided),
        }
    }
    let told = Instant::now();
    log::info!("asked to end");
    let ends = clock.now() + (carriage.longest_wait.min(MAX_WAIT) + BEFORE_KILL).less(SPARE);
    router.end_by(ends);
    let mut rests = 0;
    while told.elapsed() < STAYS || (rests < LOOKS && clock.now() < ends + SPARE * 0.5) {
        sleep(LOOK).await;
        rests = if router.at_rest() { rests + 1 } else { 0 };
    }
    router.end_clients();
    while !router.is_alone() && clock.now() < ends + SPARE * 0.75 {
        sleep(LOOK).await;
    }
    log_line(&router);
    router.shut_down();
    Ok(())
}

/// Reads the configuration again. The coordinator, its events and the limits change in place; what can't is
/// said, and one that can't be used changes nothing.
fn reload(
    path: Option<&str>,
    router: &Router,
    address: SocketAddr,
    settings: &Value,
    guided: bool,
) {
    let later = match start::read(path, !guided) {
        Ok(later) => later,
        Err(why) => {
            count(Counter::reloads_refused);
            return log::warn!("asked to read the configuration again, the old one stays: {why}");
        }
    };
    if later.address != address {
        log::warn!("another address to listen at takes effect at the next start");
    }
    // Places in lists of names may have moved, so the events count as told by the coordinator only.
    let same = later.settings == *settings;
    if !same {
        log::warn!("other settings take effect at the next start");
    }
    count(Counter::reloads);
    log::info!("configuration read again, {:?}", later.bounds);
    router.reload(
        later.bounds,
        later.watch,
        if same { later.known } else { Vec::new() },
    );
}

fn log_line(router: &Router) {
    let [requests, clients, hosts] = router.load();
    log::info!(
        "open: requests={requests} clients={clients} hosts={hosts}; counted: {}",
        metrics::line()
    );
    router
        .guidance_line()
        .into_iter()
        .for_each(|line| log::info!("{line}"));
}

async fn log_counters(router: Rc<Router>) {
    let mut ticks = interval(COUNTERS);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        log_line(&router);
    }
}
