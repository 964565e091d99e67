//! The control side of a forwarder: the coordinator's watch, the conversations with planners, and the decision module
//! that is told what comes. The program starts it before it listens; a hollow forwarder has nothing beside it.

use std::rc::Rc;

use flaxdeck_channel::watch::{Event, NumberedEvents, Watch};
use flaxdeck_control::messages::Epoch;
use flaxdeck_net::clock::Clock;
use flaxdeck_recovery::EventPosition;
use serde_json::Value;
use tokio::task::spawn_local;

use crate::program::start::{self, Start};
use crate::routing::{Guidelines, Keeps, Router, recall};
pub use crate::routing::{InForce, Watcher};
use flaxdeck::Span;

/// The control side of a forwarder that takes no clients, on the `LocalSet` of the thread that started it. It goes on
/// until the runtime ends, also when the handle is dropped.
pub struct HollowForwarder {
    router: Rc<Router>,
}

impl HollowForwarder {
    /// Starts one from the platform's configuration, as the program does. `instance` tells it from others that start
    /// in the same millisecond; the watcher is first told where it begins, if the configuration tells any event.
    pub fn start(
        configuration: &Value,
        guidelines: Guidelines,
        instance: u32,
        watcher: Watcher,
    ) -> Result<HollowForwarder, String> {
        let start = start::parse(configuration, None, false).map_err(|error| error.to_string())?;
        Ok(HollowForwarder {
            router: begin(
                start,
                Clock::start(),
                Some(guidelines),
                instance,
                Some(watcher),
            ),
        })
    }

    /// Planners with a conversation that is up.
    pub fn connected_planners(&self) -> usize {
        self.router.connected_planners()
    }
}

/// Starts the control side, guided if guidelines say so. `instance` tells this run from others of the same moment.
pub(crate) fn begin(
    start: Start,
    clock: Clock,
    guidelines: Option<Guidelines>,
    instance: u32,
    watcher: Option<Watcher>,
) -> Rc<Router> {
    let Start {
        mut watch,
        mut known,
        terms,
        names,
        connection_terms,
        bounds,
        seed,
        ..
    } = start;
    let router = Router::new(clock, seed, terms, names, connection_terms, bounds);
    // A guided forwarder keeps to what is its own from the first list on.
    if let Some(guidelines) = guidelines {
        let epoch = Epoch::new(clock.now(), instance);
        let (keeps, waits) = (
            guidelines.keeps.clone(),
            guidelines.stance.lease_terms.forwarder_waits(),
        );
        router.guide_by(epoch, seed, guidelines, &mut watch);
        if let Some(keeps) = keeps {
            retry_after(&router, &watch, clock, &keeps, &mut known, waits);
        }
    }
    let last = watch.numbering().borrow().last();
    known
        .into_iter()
        .for_each(|(_, event)| router.told(last, event));
    if let Some(watcher) = watcher {
        router.watch(
            watcher,
            Some(last).filter(|last| *last != EventPosition::NONE),
        );
    }
    spawn_local(router.clone().follow(watch));
    spawn_local(router.clone().keep_time());
    router
}

/// What an earlier run has kept, in place of or beside what the configuration tells.
fn retry_after(
    router: &Rc<Router>,
    watch: &Watch,
    clock: Clock,
    keeps: &Keeps,
    known: &mut NumberedEvents,
    waits: Span,
) {
    let mut recalled = recall(keeps, clock, watch.numbering().borrow().last(), waits);
    if let Some(event) = recalled.event {
        watch.numbering().borrow_mut().begin_at(clock.now(), event);
        known.clear();
    }
    let last = watch.numbering().borrow().last();
    known.splice(
        0..0,
        std::mem::take(&mut recalled.events)
            .into_iter()
            .map(|event| (last.number, event)),
    );
    // FillOutcome before the hints about hosts, and kept as the first snapshot.
    let events: Vec<Event> = std::mem::take(known)
        .into_iter()
        .map(|(_, event)| event)
        .collect();
    events
        .iter()
        .for_each(|event| router.told(last, event.clone()));
    router.take_up(recalled, keeps, &events, last);
}
