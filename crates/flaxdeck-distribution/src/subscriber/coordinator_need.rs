//! When a forwarder has to hear the coordinator itself, because no planner delivers events.

use flaxdeck::hash::mix;
use flaxdeck::{Span, Time};

use crate::cadence::Cadence;

/// The coordinator is needed so long after a planner should have been left for another: by then none delivers.
const NO_DELIVERY_MARGIN: Span = Span::from_ms(500);
/// With no connection left there is nobody to wait for but a planner that is reached again at once.
const MIN_DISCONNECTED_WAIT: Span = Span::from_ms(100);
/// All forwarders of a planner lose it at the same instant, so each waits up to so much longer before it connects to
/// the coordinator. A purge may wait for a batch, for this and for the connection before it is applied.
const MAX_EXTRA_WAIT: Span = Span::from_ms(300);
/// It is needed no more once planners have delivered for so long without a gap.
const STABLE_AFTER: Span = Span::from_ms(2_000);

/// An unbroken time in which planners delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Service {
    since: Time,
    last: Time,
    /// The coordinator was needed before it.
    after_need: bool,
}

/// Whether events have to come from the coordinator, by when planners delivered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CoordinatorNeed {
    cadence: Cadence,
    started: Time,
    /// How long this forwarder waits without any connection.
    disconnected_wait: Span,
    service: Option<Service>,
    /// Since when no planner was connected; none from the next delivery on.
    disconnected_since: Option<Time>,
}

impl CoordinatorNeed {
    /// Of a forwarder that has just started; `preference` differs from forwarder to forwarder.
    pub(super) fn new(now: Time, cadence: Cadence, preference: u64) -> CoordinatorNeed {
        let share = mix(preference) as f64 / u64::MAX as f64;
        CoordinatorNeed {
            cadence,
            started: now,
            disconnected_wait: MIN_DISCONNECTED_WAIT + MAX_EXTRA_WAIT * share,
            service: None,
            disconnected_since: None,
        }
    }

    /// A planner has delivered what was of use.
    pub(super) fn delivered(&mut self, now: Time) {
        let is_interrupted = self.is_interrupted(now);
        self.disconnected_since = None;
        self.service = match self.service {
            Some(service) if !is_interrupted => Some(Service {
                last: now,
                ..service
            }),
            _ => Some(Service {
                since: now,
                last: now,
                after_need: is_interrupted,
            }),
        };
    }

    /// The last connection with a planner has ended.
    pub(super) fn disconnected(&mut self, now: Time) {
        self.disconnected_since.get_or_insert(now);
    }

    /// Whether the coordinator is needed: no planner has delivered for a short time, or planners have only just begun to
    /// again.
    pub(super) fn is_needed(&self, now: Time) -> bool {
        let resumed = self.service.filter(|service| service.after_need);
        self.is_interrupted(now)
            || resumed.is_some_and(|service| now.since(service.since) < STABLE_AFTER)
    }

    fn is_interrupted(&self, now: Time) -> bool {
        now >= self.silent_at() || self.disconnected_at().is_some_and(|at| now >= at)
    }

    /// When [`is_needed`](CoordinatorNeed::is_needed) may change if nothing comes until then.
    pub(super) fn changes_at(&self) -> impl Iterator<Item = Time> {
        let again = self.service.map(|service| service.since + STABLE_AFTER);
        [Some(self.silent_at()), self.disconnected_at(), again]
            .into_iter()
            .flatten()
    }

    fn silent_at(&self) -> Time {
        let last = self.service.map_or(self.started, |service| service.last);
        last + self.cadence.silence_timeout() + NO_DELIVERY_MARGIN
    }

    fn disconnected_at(&self) -> Option<Time> {
        self.disconnected_since
            .map(|since| since + self.disconnected_wait)
    }
}
