//! A process of hollow forwarders: each the real control side of a forwarder, and nothing of its request path.

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

/// Between the starts of two forwarders of one process, so that their connections don't come all at once.
const START_INTERVAL: Duration = Duration::from_millis(4);
/// Between looks how many are current.
const POLL: Duration = Duration::from_millis(100);
/// A forwarder's number stands above this bit of its seed.
const SEED_NUMBER_BITS: u32 = 16;

type SharedLog = Rc<RefCell<InForceLog>>;

/// A started forwarder, with the number of planners of its plan.
struct Started {
    forwarder: HollowForwarder,
    planners: usize,
}

impl Started {
    fn is_connected(&self) -> bool {
        self.forwarder.connected_planners() == self.planners
    }
}

/// Runs until standard input closes. `options` tells each forwarder, by the name that it stands for, what its plan
/// says.
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
    let with_events = Rc::new(Cell::new(0));
    let mut forwarders = Vec::new();
    for number in orders.first..orders.first + orders.count {
        let options = options(&format!("hollow-{number}"));
        let listener = listener(number, log.clone(), with_events.clone());
        let configuration = seeded(&configuration, orders.seed, number);
        forwarders.push(start_forwarder(&configuration, options, number, listener)?);
        sleep(START_INTERVAL).await;
    }
    let mut ticks = interval(POLL);
    let mut reported = 0;
    loop {
        tokio::select! {
            order = input.next() => if order.is_none() { break },
            _ = ticks.tick() => {
                let connected = forwarders.iter().filter(|one| one.is_connected()).count();
                let current = connected.min(with_events.get()) as u32;
                if current != reported {
                    processes::say(&HollowReply::Current(current));
                    reported = current;
                }
            }
        }
    }
    log.borrow_mut().flush().map_err(RunError::WriteLog)
}

/// The configuration of one forwarder, whose seed is its own.
fn seeded(configuration: &Value, seed: u64, number: u32) -> Value {
    let seed = seed ^ u64::from(number) << SEED_NUMBER_BITS;
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

/// Logs what comes into force at one forwarder, and counts it among those with events at the first of it.
fn listener(number: u32, entries: SharedLog, with_events: Rc<Cell<usize>>) -> EventListener {
    let is_first = Cell::new(true);
    Box::new(move |in_force| {
        if is_first.replace(false) {
            with_events.set(with_events.get() + 1);
        }
        if let Err(error) = entries.borrow_mut().write(number, in_force) {
            log::error!("a note can't be written: {error}");
        }
    })
}
