//! Combines several promises of one party to another, each of an amount until some time. At any time the largest
//! promise that still holds counts.

use flaxdeck::Time;

use crate::QuotaFraction;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Step {
    until: Time,
    amount: QuotaFraction,
}

/// A step function of time: steps with increasing ends and decreasing amounts. Each step has the largest amount that is
/// promised until its end.
///
/// [`add`](LeaseSchedule::add) and [`amount_at`](LeaseSchedule::amount_at) take time linear in the number of
/// steps. There are few: renewing a promise with the same amount replaces its step, and a promise is removed if another
/// has both a larger amount and a later end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseSchedule {
    steps: Vec<Step>,
}

impl LeaseSchedule {
    /// Adds a promise of `amount` until `until`; earlier promises still hold.
    pub fn add(&mut self, amount: QuotaFraction, until: Time) {
        if amount == QuotaFraction::NONE || self.covers(amount, until) {
            return;
        }
        self.steps
            .retain(|step| step.until > until || step.amount > amount);
        let index = self.steps.partition_point(|step| step.until < until);
        self.steps.insert(index, Step { until, amount });
    }

    fn covers(&self, amount: QuotaFraction, until: Time) -> bool {
        self.steps
            .iter()
            .any(|step| step.until >= until && step.amount >= amount)
    }

    /// Returns the amount promised at `time`. A promise no longer holds at its end.
    pub fn amount_at(&self, time: Time) -> QuotaFraction {
        self.steps
            .iter()
            .find(|step| step.until > time)
            .map_or(QuotaFraction::NONE, |step| step.amount)
    }

    /// Returns the times at which the amount decreases.
    pub fn step_ends(&self) -> impl Iterator<Item = Time> {
        self.steps.iter().map(|step| step.until)
    }

    /// Removes expired promises; returns true if none is left.
    pub fn prune(&mut self, now: Time) -> bool {
        self.steps.retain(|step| step.until > now);
        self.steps.is_empty()
    }
}
