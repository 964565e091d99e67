//! Decides when a forwarder has to connect to the coordinator itself, because no planner delivers events.

use flaxdeck::hash::mix;
use flaxdeck::{Span, Time};

use crate::cadence::Cadence;

/// Added to the silence timeout, after which the forwarder switches planners: if nothing was delivered by then, no
/// planner delivers. Without another planner to switch to there is nothing to wait for.
const NO_DELIVERY_MARGIN: Span = Span::from_ms(500);
/// The minimum wait without any connection, which leaves time for a planner to be connected again at once.
const MIN_DISCONNECTED_WAIT: Span = Span::from_ms(100);
/// All forwarders of a planner lose it at the same moment, so each waits up to this much longer before it connects to
/// the coordinator. The delay until a purge is applied may include the wait for a batch, this wait, and the time to
/// connect.
const MAX_WAIT_JITTER: Span = Span::from_ms(300);
/// The coordinator is no longer needed once planners have delivered for this long without interruption.
const STABLE_AFTER: Span = Span::from_ms(2_000);

/// A period in which planners delivered without interruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DeliveryPeriod {
    since: Time,
    last: Time,
    /// The period follows one in which the coordinator was needed.
    after_interruption: bool,
}

/// Tracks whether events have to come from the coordinator, by the times of the planners' deliveries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CoordinatorNeed {
    cadence: Cadence,
    started: Time,
    /// The margin once a planner has delivered.
    no_delivery_margin: Span,
    /// How long this forwarder waits without any connection before it needs the coordinator.
    disconnected_wait: Span,
    delivery_period: Option<DeliveryPeriod>,
    /// Since when no planner has been connected; cleared by the next delivery.
    disconnected_since: Option<Time>,
}

impl CoordinatorNeed {
    /// Creates the tracker of a forwarder that has just started with that many planners. `preference` differs between
    /// forwarders and determines the jitter.
    pub(super) fn new(
        now: Time,
        cadence: Cadence,
        preference: u64,
        planners: u32,
    ) -> CoordinatorNeed {
        let jitter_fraction = mix(preference) as f64 / u64::MAX as f64;
        CoordinatorNeed {
            cadence,
            started: now,
            no_delivery_margin: if planners > 1 {
                NO_DELIVERY_MARGIN
            } else {
                Span::ZERO
            },
            disconnected_wait: MIN_DISCONNECTED_WAIT + MAX_WAIT_JITTER * jitter_fraction,
            delivery_period: None,
            disconnected_since: None,
        }
    }

    /// Records a useful delivery of a planner.
    pub(super) fn delivered(&mut self, now: Time) {
        let is_interrupted = self.is_interrupted(now);
        self.disconnected_since = None;
        self.delivery_period = match self.delivery_period {
            Some(delivery_period) if !is_interrupted => Some(DeliveryPeriod {
                last: now,
                ..delivery_period
            }),
            _ => Some(DeliveryPeriod {
                since: now,
                last: now,
                after_interruption: is_interrupted,
            }),
        };
    }

    /// Records that the last connection with a planner has ended.
    pub(super) fn disconnected(&mut self, now: Time) {
        self.disconnected_since.get_or_insert(now);
    }

    /// Returns whether the coordinator is needed: no planner has delivered for a short time, or planners have only just
    /// resumed delivery.
    pub(super) fn is_needed(&self, now: Time) -> bool {
        let resumed_period = self
            .delivery_period
            .filter(|delivery_period| delivery_period.after_interruption);
        self.is_interrupted(now)
            || resumed_period
                .is_some_and(|delivery_period| now.since(delivery_period.since) < STABLE_AFTER)
    }

    fn is_interrupted(&self, now: Time) -> bool {
        now >= self.silence_deadline() || self.disconnected_deadline().is_some_and(|at| now >= at)
    }

    /// Returns the times at which [`is_needed`](CoordinatorNeed::is_needed) may change if nothing is received before.
    pub(super) fn possible_change_times(&self) -> impl Iterator<Item = Time> {
        let stable_at = self
            .delivery_period
            .map(|delivery_period| delivery_period.since + STABLE_AFTER);
        [
            Some(self.silence_deadline()),
            self.disconnected_deadline(),
            stable_at,
        ]
        .into_iter()
        .flatten()
    }

    fn silence_deadline(&self) -> Time {
        let timeout = self.cadence.silence_timeout();
        match self.delivery_period {
            Some(delivery_period) => delivery_period.last + timeout + self.no_delivery_margin,
            None => self.started + timeout + NO_DELIVERY_MARGIN,
        }
    }

    fn disconnected_deadline(&self) -> Option<Time> {
        self.disconnected_since
            .map(|since| since + self.disconnected_wait)
    }
}
