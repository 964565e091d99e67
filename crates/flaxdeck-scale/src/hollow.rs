//! A process of hollow forwarders, each of which has the real control plane of a forwarder and no request path.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use flaxdeck_dispatcher::ControlClientOptions;
use flaxdeck_dispatcher::control::{EventListener, HollowForwarder};
use flaxdeck_net::counters_file;
use serde_json::Value;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep};

use crate::error::RunError;
use crate::in_force_log::InForceLog;
use crate::messages::{HollowOrders, HollowReply};
use crate::processes::{self, Input};

/// The interval between the starts of two forwarders of one process, so that they don't all connect at once.
const START_INTERVAL: Duration = Duration::from_millis(4);
/// How often the number of current forwarders is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The left shift by which a forwarder's number is mixed into its seed.
const SEED_NUMBER_SHIFT: u32 = 16;

type SharedLog = Rc<RefCell<InForceLog>>;

/// A started forwarder with the number of planners in its plan.
struct Started {
    forwarder: HollowForwarder,
    planners: usize,
}

impl Started {
    fn is_connected(&self) -> bool {
        self.forwarder.connected_planners() == self.planners
    }
}

/// Runs the forwarders until standard input closes. `options` returns the options of a forwarder, as its plan sets
/// them, by its name.
///
/// # Errors
///
/// If a file can't be read or written, or a forwarder doesn't start.
pub fn run(
    orders: &HollowOrders,
    options: impl Fn(&str) -> ControlClientOptions,
) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(orders, options))
}

async fn serve(
    orders: &HollowOrders,
    options: impl Fn(&str) -> ControlClientOptions,
) -> Result<(), RunError> {
    let mut input = Input::<()>::start();
    let configuration = read_configuration(orders)?;
    let log = InForceLog::create(&orders.in_force).map_err(RunError::CreateLog)?;
    let log: SharedLog = Rc::new(RefCell::new(log));
    counters_file::spawn(orders.counters.clone());
    let forwarders_with_events = Rc::new(Cell::new(0));
    let mut forwarders = Vec::new();
    for number in orders.first..orders.first + orders.count {
        let options = options(&format!("hollow-{number}"));
        let listener = log_events(number, log.clone(), forwarders_with_events.clone());
        let configuration = with_own_seed(&configuration, orders.seed, number);
        forwarders.push(start_forwarder(&configuration, options, number, listener)?);
        sleep(START_INTERVAL).await;
    }
    let mut ticks = interval(POLL_INTERVAL);
    let mut reported = 0;
    loop {
        tokio::select! {
            order = input.next() => if order.is_none() { break },
            _ = ticks.tick() => {
                let connected = forwarders.iter().filter(|forwarder| forwarder.is_connected()).count();
                let current = connected.min(forwarders_with_events.get()) as u32;
                if current != reported {
                    processes::write_message(&HollowReply::Current(current));
                    reported = current;
                }
            }
        }
    }
    log.borrow_mut().flush().map_err(RunError::WriteLog)
}

/// Returns the configuration of one forwarder, with a seed of its own.
fn with_own_seed(configuration: &Value, seed: u64, number: u32) -> Value {
    let seed = seed ^ u64::from(number) << SEED_NUMBER_SHIFT;
    let mut configuration = configuration.clone();
    configuration["seed"] = format!("{seed:016x}").into();
    configuration
}

fn start_forwarder(
    configuration: &Value,
    options: ControlClientOptions,
    number: u32,
    listener: EventListener,
) -> Result<Started, RunError> {
    let planners = options.planners.len();
    let options = ControlClientOptions {
        counters: None,
        ..options
    };
    let forwarder = HollowForwarder::start(configuration, options, number, listener)
        .map_err(|error| RunError::HollowForwarder(error.to_string()))?;
    Ok(Started {
        forwarder,
        planners,
    })
}

fn read_configuration(orders: &HollowOrders) -> Result<Value, RunError> {
    let path = &orders.configuration;
    let text = std::fs::read(path).map_err(RunError::file(path))?;
    serde_json::from_slice(&text).map_err(RunError::json(path))
}

/// Returns a listener that logs which events come into force at one forwarder; the first time, it also adds the
/// forwarder to the number of those with events.
fn log_events(
    number: u32,
    log: SharedLog,
    forwarders_with_events: Rc<Cell<usize>>,
) -> EventListener {
    let is_first = Cell::new(true);
    Box::new(move |in_force| {
        if is_first.replace(false) {
            forwarders_with_events.set(forwarders_with_events.get() + 1);
        }
        if let Err(error) = log.borrow_mut().write(number, in_force) {
            log::error!(
                "cannot write an entry of hollow forwarder {number} to the log of events in force: {error}"
            );
        }
    })
}
