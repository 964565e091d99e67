//! Estimates the offset between the local clock and the coordinator's from the times in live events.

use std::cell::{Cell, RefCell};

use flaxdeck::{Endpoint, ListKind, Observation, PeerHints, Span, Time};
use flaxdeck_channel::watch::Event;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::clocks;
use flaxdeck_recovery::clocks::ClockOffset;

use super::ControlClient;
use crate::routing::Router;

/// Owns the estimate of the offset. The endpoint records hold start times by the coordinator's clock, which are
/// converted here for the decision engine.
#[derive(Default)]
pub(super) struct CoordinatorClock {
    offset: RefCell<ClockOffset>,
    /// Whether the configuration's events are applied, so that later ones are live.
    is_live: Cell<bool>,
}

/// A time that an event names, and the longest delay with which it may have been announced.
struct AnnouncedTime {
    at: Time,
    max_delay: Span,
}

impl CoordinatorClock {
    /// Marks all events from now on as live: they are announced while this process runs.
    pub(super) fn go_live(&self) {
        self.is_live.set(true);
    }

    /// Whether events are live.
    pub(super) fn is_live(&self) -> bool {
        self.is_live.get()
    }

    /// Updates the offset by times that were just announced. Returns whether it has changed.
    fn observe(&self, now: Time, times: &[AnnouncedTime]) -> bool {
        let mut offset = self.offset.borrow_mut();
        let mut changed = false;
        for time in times {
            changed |= offset.record_event(now, time.at, time.max_delay);
        }
        changed
    }

    /// Converts the start times of endpoints to the local clock.
    pub(super) fn endpoints_to_local(&self, endpoints: &mut [Endpoint]) {
        self.offset.borrow().endpoints_to_local(endpoints);
    }

    /// Converts the start times of observed hosts to the coordinator's clock.
    pub(super) fn observations_to_coordinator(&self, observations: &mut [Observation]) {
        self.offset
            .borrow()
            .observations_to_coordinator(observations);
    }

    /// Converts the start times in quotas to the local clock.
    pub(super) fn quotas_to_local(&self, hints: &mut PeerHints) {
        let offset = self.offset.borrow();
        let quotas = hints
            .hints
            .iter_mut()
            .filter_map(|hint| hint.quota.as_mut());
        for quota in quotas {
            quota.started = quota.started.map(|started| offset.to_local(started));
        }
    }
}

impl ControlClient {
    /// Updates the clock offset by the times in a live event. If it changes, it is logged, and all endpoints are
    /// reported to the decision engine again.
    pub(in crate::routing) fn update_clock_offset(&self, router: &Router, event: &Event) {
        let times = self.announced_times(event);
        if !self.coordinator_clock.observe(router.clock.now(), &times) {
            return;
        }
        count(Counter::clocks_apart);
        let ahead = self.coordinator_clock.offset.borrow().ahead_ms();
        log::error!("the wall clock is {ahead:.0} ms ahead of the coordinator's");
        router.report_endpoints(ListKind::Delta, self.endpoints.all());
    }

    fn announced_times(&self, event: &Event) -> Vec<AnnouncedTime> {
        match event {
            Event::Purged { made, .. } => vec![AnnouncedTime {
                at: *made,
                max_delay: clocks::MAX_PURGE_DELAY,
            }],
            Event::Hosts(ListKind::Delta, endpoints) => endpoints
                .iter()
                .filter(|endpoint| self.endpoints.has_restarted(&endpoint.listed))
                .filter_map(|endpoint| endpoint.listed.started)
                .map(|at| AnnouncedTime {
                    at,
                    max_delay: clocks::MAX_START_DELAY,
                })
                .collect(),
            Event::Hosts(ListKind::Full, _) => Vec::new(),
        }
    }
}
