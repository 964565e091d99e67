//! An amount promised until a time, and smaller amounts for longer: what several promises of one party to another come
//! to when the largest one counts at any time.

use flaxdeck::Time;

use crate::QuotaFraction;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Step {
    until: Time,
    amount: QuotaFraction,
}

/// Steps with rising ends and falling amounts, so that each tells the most that holds until its end.
///
/// [`add`](LeaseSchedule::add) and [`amount_at`](LeaseSchedule::amount_at) take time linear in the steps, of which there
/// are few: a promise that is renewed with the same amount replaces its own step, and one that another exceeds in both
/// amount and end is forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseSchedule {
    steps: Vec<Step>,
}

impl LeaseSchedule {
    /// Promises so much until then, beside all that was promised before.
    pub fn add(&mut self, amount: QuotaFraction, until: Time) {
        if amount == QuotaFraction::NONE || self.covers(amount, until) {
            return;
        }
        self.steps
            .retain(|step| step.until > until || step.amount > amount);
        let place = self.steps.partition_point(|step| step.until < until);
        self.steps.insert(place, Step { until, amount });
    }

    fn covers(&self, amount: QuotaFraction, until: Time) -> bool {
        self.steps
            .iter()
            .any(|step| step.until >= until && step.amount >= amount)
    }

    /// What is promised at that time. A promise does not hold at its end any more.
    pub fn amount_at(&self, time: Time) -> QuotaFraction {
        self.steps
            .iter()
            .find(|step| step.until > time)
            .map_or(QuotaFraction::NONE, |step| step.amount)
    }

    /// The times at which the amount falls.
    pub fn step_ends(&self) -> impl Iterator<Item = Time> {
        self.steps.iter().map(|step| step.until)
    }

    /// Forgets what has ended; true if nothing is left.
    pub fn prune(&mut self, now: Time) -> bool {
        self.steps.retain(|step| step.until > now);
        self.steps.is_empty()
    }
}
