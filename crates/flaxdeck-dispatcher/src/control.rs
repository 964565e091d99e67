//! The control side of a forwarder: the coordinator's watch, the sessions with planners, and the decision engine that
//! receives their events and guidance. The program starts it before it listens; a hollow forwarder consists of nothing
//! else.

use std::rc::Rc;

use flaxdeck::Span;
use flaxdeck_channel::watch::{Event, NumberedEvents, Watch};
use flaxdeck_control::messages::Epoch;
use flaxdeck_net::clock::Clock;
use flaxdeck_recovery::EventPosition;
use serde_json::Value;

use crate::program::start::Configuration;
use crate::program::{ConfigurationError, start};
pub use crate::routing::{AppliedEvents, EventListener};
use crate::routing::{ControlClientOptions, Router, StateDirectory, restore};

/// The control side of a forwarder that serves no clients. Its tasks run on the `LocalSet` of the thread that started
/// it and are aborted when it is dropped.
pub struct HollowForwarder {
    router: Rc<Router>,
}

impl HollowForwarder {
    /// Starts a hollow forwarder from the platform's configuration, as the program does. `instance` makes its epoch
    /// differ from those of others that start in the same millisecond. The listener is first notified of the last event
    /// that the configuration or the stored state holds, if there is one.
    ///
    /// # Errors
    ///
    /// If a field of the configuration is missing or invalid.
    pub fn start(
        configuration: &Value,
        options: ControlClientOptions,
        instance: u32,
        listener: EventListener,
    ) -> Result<HollowForwarder, ConfigurationError> {
        let configuration = start::parse(configuration, None, false)?;
        let clock = Clock::start();
        Ok(HollowForwarder {
            router: start_control_side(
                configuration,
                clock,
                Some(options),
                instance,
                Some(listener),
            ),
        })
    }

    /// Returns the number of planners with an open connection.
    pub fn connected_planners(&self) -> usize {
        self.router.connected_planners()
    }
}

impl Drop for HollowForwarder {
    fn drop(&mut self) {
        self.router.stop_tasks();
    }
}

/// Starts the control side, with planners if `options` are given. `instance` makes the epoch of this run differ from
/// those of others that start in the same millisecond. The caller has to call [`Router::shut_down`] at the end.
pub(crate) fn start_control_side(
    configuration: Configuration,
    clock: Clock,
    options: Option<ControlClientOptions>,
    instance: u32,
    listener: Option<EventListener>,
) -> Rc<Router> {
    let Configuration {
        mut watch,
        mut configured_events,
        terms,
        names,
        connection_terms,
        bounds,
        seed,
        flow_bytes_per_s,
        ..
    } = configuration;
    let router = Router::new(
        clock,
        seed,
        terms,
        names,
        connection_terms,
        bounds,
        flow_bytes_per_s,
    );
    // Before the first endpoint list is applied, so that from then on a guided forwarder uses no more than its own
    // quotas.
    if let Some(options) = options {
        let epoch = Epoch::new(clock.now(), instance);
        let directory = options.state_directory.clone();
        let lease_wait = options.session.lease_terms.forwarder_startup_wait();
        router.start_control_client(epoch, seed, options, &mut watch);
        if let Some(directory) = directory {
            configured_events = restore_state(
                &router,
                &watch,
                clock,
                &directory,
                configured_events,
                lease_wait,
            );
        }
    }
    let position = watch.numbering().borrow().last();
    for (_, event) in configured_events {
        router.apply_event(position, event);
    }
    if let Some(listener) = listener {
        let known = (position != EventPosition::NONE).then_some(position);
        router.set_listener(listener, known);
    }
    router.start_tasks(watch);
    router
}

/// Applies the state that an earlier run stored. Its endpoint list and position replace the configuration's events if
/// they are valid; otherwise the configuration's events are applied here too. Returns the configuration's events that
/// are still to be applied, which is always none.
fn restore_state(
    router: &Router,
    watch: &Watch,
    clock: Clock,
    directory: &StateDirectory,
    configured_events: NumberedEvents,
    lease_wait: Span,
) -> NumberedEvents {
    let numbering = watch.numbering();
    let configured = numbering.borrow().last();
    let mut previous = restore(directory, clock, configured, lease_wait);
    let mut events = std::mem::take(&mut previous.events);
    match previous.position {
        Some(position) => {
            if position.number > configured.number {
                router.note_outdated_configuration();
            }
            numbering.borrow_mut().restore(clock.now(), position);
        }
        None => events.extend(configured_events.into_iter().map(|(_, event)| event)),
    }
    let position = numbering.borrow().last();
    // The hints about hosts need their endpoints, so the events come first. They are also stored as the first snapshot.
    for event in &events {
        router.apply_event(position, Event::clone(event));
    }
    router.adopt_stored_state(previous, directory, &events, position);
    NumberedEvents::new()
}
