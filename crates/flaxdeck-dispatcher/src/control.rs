//! The control side of a forwarder: the coordinator's watch, the conversations with planners, and the decision engine
//! that is told what comes. The program starts it before it listens; a hollow forwarder has nothing beside it.

use std::rc::Rc;

use flaxdeck::Span;
use flaxdeck_channel::watch::{Event, NumberedEvents, Watch};
use flaxdeck_control::messages::Epoch;
use flaxdeck_net::clock::Clock;
use flaxdeck_recovery::EventPosition;
use serde_json::Value;

use crate::program::start::Start;
use crate::program::{ConfigurationError, start};
pub use crate::routing::{AppliedEvents, EventListener};
use crate::routing::{ControlClientOptions, Router, StateDirectory, restore};

/// The control side of a forwarder that takes no clients, on the `LocalSet` of the thread that started it. It owns all
/// tasks that it has started: they end when it is dropped.
pub struct HollowForwarder {
    router: Rc<Router>,
}

impl HollowForwarder {
    /// Starts one from the platform's configuration, as the program does. `instance` tells it from others that start
    /// in the same millisecond; the listener is first told where it begins, if the configuration tells any event.
    ///
    /// # Errors
    ///
    /// If the configuration can't be used.
    pub fn start(
        configuration: &Value,
        options: ControlClientOptions,
        instance: u32,
        listener: EventListener,
    ) -> Result<HollowForwarder, ConfigurationError> {
        let start = start::parse(configuration, None, false)?;
        let clock = Clock::start();
        Ok(HollowForwarder {
            router: begin(start, clock, Some(options), instance, Some(listener)),
        })
    }

    /// Planners with a connection that is up.
    pub fn connected_planners(&self) -> usize {
        self.router.connected_planners()
    }
}

impl Drop for HollowForwarder {
    fn drop(&mut self) {
        self.router.stop_tasks();
    }
}

/// Starts the control side, with planners if there are options for them. `instance` tells this run from others of the
/// same moment. The caller owes [`Router::shut_down`].
pub(crate) fn begin(
    start: Start,
    clock: Clock,
    options: Option<ControlClientOptions>,
    instance: u32,
    listener: Option<EventListener>,
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
    if let Some(options) = options {
        let epoch = Epoch::new(clock.now(), instance);
        let directory = options.state_directory.clone();
        let lease_wait = options.session.lease_terms.forwarder_startup_wait();
        router.start_control_client(epoch, seed, options, &mut watch);
        if let Some(directory) = directory {
            known = restore_state(&router, &watch, clock, &directory, known, lease_wait);
        }
    }
    let last = watch.numbering().borrow().last();
    for (_, event) in known {
        router.apply_event(last, event);
    }
    if let Some(listener) = listener {
        router.set_listener(
            listener,
            Some(last).filter(|last| *last != EventPosition::NONE),
        );
    }
    router.start_tasks(watch);
    router
}

/// Applies what an earlier run stored, in place of or beside what the configuration tells; gives what of the
/// configuration is left to be applied, which is nothing.
fn restore_state(
    router: &Router,
    watch: &Watch,
    clock: Clock,
    directory: &StateDirectory,
    known: NumberedEvents,
    lease_wait: Span,
) -> NumberedEvents {
    let numbering = watch.numbering();
    let configured = numbering.borrow().last();
    let mut previous = restore(directory, clock, configured, lease_wait);
    let mut events = std::mem::take(&mut previous.events);
    match previous.position {
        Some(position) => numbering.borrow_mut().restore(clock.now(), position),
        None => events.extend(known.into_iter().map(|(_, event)| event)),
    }
    let last = numbering.borrow().last();
    // Before the hints about hosts, which need their endpoints, and stored as the first snapshot.
    for event in &events {
        router.apply_event(last, Event::clone(event));
    }
    router.adopt_stored_state(previous, directory, &events, last);
    NumberedEvents::new()
}
