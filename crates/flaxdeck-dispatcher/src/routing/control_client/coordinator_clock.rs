//! How far apart this process's clock and the coordinator's are, by events that have just happened.

use std::cell::{Cell, RefCell};

use flaxdeck::{Endpoint, ListKind, Observation, PeerHints, Span, Time};
use flaxdeck_channel::watch::Event;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_recovery::clocks;
use flaxdeck_recovery::clocks::ClockOffset;

use super::ControlClient;
use crate::routing::Router;

/// Owns the estimate of the offset. The endpoint records have starts by the coordinator's clock; what goes to the
/// decision engine is translated here.
#[derive(Default)]
pub(super) struct CoordinatorClock {
    offset: RefCell<ClockOffset>,
    /// The configuration's events are applied: those from now on have happened while this process ran.
    is_live: Cell<bool>,
}

/// A time that an event names, and how late it may have been announced.
struct AnnouncedTime {
    at: Time,
    late: Span,
}

impl CoordinatorClock {
    /// What is announced from now on has happened while this process ran.
    pub(super) fn go_live(&self) {
        self.is_live.set(true);
    }

    /// Whether it has.
    pub(super) fn is_live(&self) -> bool {
        self.is_live.get()
    }

    /// Takes in times that were just announced; whether the offset has changed by them.
    fn observe(&self, now: Time, times: &[AnnouncedTime]) -> bool {
        let mut offset = self.offset.borrow_mut();
        let mut changed = false;
        for time in times {
            changed |= offset.record_event(now, time.at, time.late);
        }
        changed
    }

    /// Puts the starts of endpoints by the own clock.
    pub(super) fn endpoints_by_own_clock(&self, endpoints: &mut [Endpoint]) {
        self.offset.borrow().endpoints_to_local(endpoints);
    }

    /// Puts the starts of observed hosts as they were announced.
    pub(super) fn observations_as_announced(&self, observations: &mut [Observation]) {
        self.offset
            .borrow()
            .observations_to_coordinator(observations);
    }

    /// Puts the starts in quotas by the own clock.
    pub(super) fn quotas_by_own_clock(&self, hints: &mut PeerHints) {
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
    /// An event that has just happened tells how far apart the clocks are.
    pub(in crate::routing) fn compare_clocks(&self, router: &Router, event: &Event) {
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
                late: clocks::MAX_PURGE_DELAY,
            }],
            Event::Hosts(ListKind::Delta, endpoints) => endpoints
                .iter()
                .filter(|endpoint| self.endpoints.has_restarted(&endpoint.listed))
                .filter_map(|endpoint| endpoint.listed.started)
                .map(|at| AnnouncedTime {
                    at,
                    late: clocks::MAX_START_DELAY,
                })
                .collect(),
            Event::Hosts(ListKind::Full, _) => Vec::new(),
        }
    }
}
