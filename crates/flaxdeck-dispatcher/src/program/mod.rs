//! The process: start, signals, logger, counters.

mod logger;
mod start;

use std::rc::Rc;
use std::time::Duration;

use flaxdeck::words::Span;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, interval, sleep};

use crate::routing::{Router, accept};
use crate::transport::clock::Clock;
use crate::transport::listener::Listener;
use crate::transport::tally;

/// Between lines of counters in the log.
const COUNTERS: Duration = Duration::from_secs(10);
/// After SIGTERM new clients go on coming for 0.4 s and pulls for 0.2 s more; the rest is for late ones.
const STAYS: Duration = Duration::from_millis(1000);
/// SIGKILL comes no sooner than 3.7 s after SIGTERM, so every pull has its answer before that.
const ENDS: Span = Span::from_ms(3500);
/// Between looks whether all is answered.
const LOOK: Duration = Duration::from_millis(10);

pub fn run() -> Result<(), String> {
    logger::start();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    let ended = LocalSet::new().block_on(&runtime, serve());
    log::logger().flush();
    ended
}

async fn serve() -> Result<(), String> {
    let clock = Clock::start();
    let start::Start { address, feed, known, terms, names, carriage, bounds, seed } = start::read()?;
    let mut asked_to_end = signal(SignalKind::terminate()).map_err(|error| format!("no signals: {error}"))?;
    let router = Router::new(clock, seed, terms, names, carriage, bounds);
    known.into_iter().for_each(|event| router.told(event));
    let listener = Listener::open(address).map_err(|error| format!("cannot listen at {address}: {error}"))?;
    let at = listener.address().map_err(|error| format!("cannot listen at {address}: {error}"))?;
    spawn_local(router.clone().follow(feed));
    spawn_local(router.clone().keep_time());
    spawn_local(router.clone().sweep());
    spawn_local(log_counters(router.clone()));
    spawn_local(accept(router.clone(), listener));
    log::info!("listening at {at}, {bounds:?}");
    asked_to_end.recv().await;
    let told = Instant::now();
    log::info!("asked to end");
    router.end_by(clock.now() + ENDS);
    while told.elapsed() < STAYS || router.load()[0] > 0 {
        sleep(LOOK).await;
    }
    log_line(&router);
    Ok(())
}

fn log_line(router: &Router) {
    let [pulls, clients, hosts] = router.load();
    log::info!("open: pulls={pulls} clients={clients} hosts={hosts}; counted: {}", tally::line());
}

async fn log_counters(router: Rc<Router>) {
    let mut ticks = interval(COUNTERS);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        log_line(&router);
    }
}
