//! When a forwarder has to hear the coordinator itself, because no planner delivers events.

use flaxdeck::hash::mix;
use flaxdeck::{Span, Time};

use crate::cadence::Cadence;

/// The coordinator is needed so long after a planner should have been left for another: by then none delivers.
const NONE_DELIVERS: Span = Span::from_ms(500);
/// With no conversation left there is nobody to wait for but a planner that is reached again at once.
const NONE_CONNECTED: Span = Span::from_ms(100);
/// All forwarders of a planner lose it at the same instant, so each waits up to so much longer before it calls the
/// coordinator. A purge may wait for a batch, for this and for the call before it is in force.
const SPREAD: Span = Span::from_ms(300);
/// It is needed no more once planners have delivered for so long without a gap.
const DELIVERS_AGAIN: Span = Span::from_ms(2_000);

/// An unbroken time in which planners delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Served {
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
    /// How long this forwarder waits without any conversation.
    patience: Span,
    served: Option<Served>,
    /// Since when no planner was connected; none from the next delivery on.
    unconnected: Option<Time>,
}

impl CoordinatorNeed {
    /// Of a forwarder that has just started; `preference` differs from forwarder to forwarder.
    pub(super) fn new(now: Time, cadence: Cadence, preference: u64) -> CoordinatorNeed {
        let share = mix(preference) as f64 / u64::MAX as f64;
        CoordinatorNeed {
            cadence,
            started: now,
            patience: NONE_CONNECTED + SPREAD * share,
            served: None,
            unconnected: None,
        }
    }

    /// A planner has delivered what was of use.
    pub(super) fn delivered(&mut self, now: Time) {
        let interrupted = self.is_interrupted(now);
        self.unconnected = None;
        self.served = match self.served {
            Some(served) if !interrupted => Some(Served {
                last: now,
                ..served
            }),
            _ => Some(Served {
                since: now,
                last: now,
                after_need: interrupted,
            }),
        };
    }

    /// The last conversation with a planner has ended.
    pub(super) fn unconnected(&mut self, now: Time) {
        self.unconnected.get_or_insert(now);
    }

    /// Whether the coordinator is needed: no planner has delivered for a short time, or planners have only just begun to
    /// again.
    pub(super) fn is_needed(&self, now: Time) -> bool {
        let begun_again = self.served.filter(|served| served.after_need);
        self.is_interrupted(now)
            || begun_again.is_some_and(|served| now.since(served.since) < DELIVERS_AGAIN)
    }

    fn is_interrupted(&self, now: Time) -> bool {
        now >= self.silent_at() || self.unconnected_at().is_some_and(|at| now >= at)
    }

    /// When [`is_needed`](CoordinatorNeed::is_needed) may change if nothing comes until then.
    pub(super) fn changes_at(&self) -> impl Iterator<Item = Time> {
        let again = self.served.map(|served| served.since + DELIVERS_AGAIN);
        [Some(self.silent_at()), self.unconnected_at(), again]
            .into_iter()
            .flatten()
    }

    fn silent_at(&self) -> Time {
        let last = self.served.map_or(self.started, |served| served.last);
        last + self.cadence.silent_after() + NONE_DELIVERS
    }

    fn unconnected_at(&self) -> Option<Time> {
        self.unconnected.map(|since| since + self.patience)
    }
}
