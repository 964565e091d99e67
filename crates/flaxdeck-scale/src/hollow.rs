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

use crate::in_force::Notes;
use crate::messages::{HollowOrders, HollowReply};
use crate::processes::{self, Input};

/// Between the starts of two forwarders of one process, so that their connections don't come all at once.
const BETWEEN_STARTS: Duration = Duration::from_millis(4);
/// Between looks how many are current.
const LOOK: Duration = Duration::from_millis(100);

type SharedNotes = Rc<RefCell<Notes>>;

/// Runs until standard input closes. `guidelines` tells each forwarder, by the name that it stands for, what its plan
/// says.
pub fn run(
    orders: &HollowOrders,
    guidelines: impl Fn(&str) -> ControlClientOptions,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    LocalSet::new().block_on(&runtime, serve(orders, guidelines))
}

async fn serve(
    orders: &HollowOrders,
    guidelines: impl Fn(&str) -> ControlClientOptions,
) -> Result<(), String> {
    let mut input = Input::<()>::start();
    let configuration = configuration(orders)?;
    let notes = Notes::create(&orders.in_force);
    let notes: SharedNotes = Rc::new(RefCell::new(
        notes.map_err(|error| format!("no notes: {error}"))?,
    ));
    counters_file::spawn(orders.counters.clone());
    let (mut forwarders, begun) = (Vec::new(), Rc::new(Cell::new(0)));
    for number in orders.first..orders.first + orders.count {
        let mut guidelines = guidelines(&format!("hollow-{number}"));
        guidelines.counters = None;
        let planners = guidelines.planners.len();
        let mut configuration = configuration.clone();
        configuration["seed"] = format!("{:016x}", orders.seed ^ u64::from(number) << 16).into();
        let watcher = watcher(number, notes.clone(), begun.clone());
        let forwarder = HollowForwarder::start(&configuration, guidelines, number, watcher)
            .map_err(|error| error.to_string())?;
        forwarders.push((forwarder, planners));
        sleep(BETWEEN_STARTS).await;
    }
    let (mut ticks, mut told) = (interval(LOOK), 0);
    loop {
        tokio::select! {
            order = input.next() => if order.is_none() { break },
            _ = ticks.tick() => {
                let connected = |(forwarder, planners): &&(HollowForwarder, usize)| {
                    forwarder.connected_planners() == *planners
                };
                let current = forwarders.iter().filter(connected).count().min(begun.get()) as u32;
                if current != told {
                    processes::say(&HollowReply::Current(current));
                    told = current;
                }
            }
        }
    }
    notes
        .borrow_mut()
        .flush()
        .map_err(|error| format!("notes can't be written: {error}"))
}

fn configuration(orders: &HollowOrders) -> Result<Value, String> {
    let path = orders.configuration.display();
    let text = std::fs::read(&orders.configuration).map_err(|error| format!("{path}: {error}"))?;
    serde_json::from_slice(&text).map_err(|error| format!("{path}: {error}"))
}

/// Notes what comes into force at one forwarder, and counts it among those that have begun with the first of it.
fn watcher(number: u32, notes: SharedNotes, begun: Rc<Cell<usize>>) -> EventListener {
    let first = Cell::new(true);
    Box::new(move |what| {
        if first.replace(false) {
            begun.set(begun.get() + 1);
        }
        if let Err(error) = notes.borrow_mut().note(number, what) {
            log::error!("a note can't be written: {error}");
        }
    })
}
