//! An amount promised until a time, with smaller amounts for longer: what several promises of one party to the same
//! other come to when the largest one counts.

use flaxdeck::Time;

use crate::QuotaFraction;

/// Steps by their ends, rising; amounts fall, so that each step tells the most that holds until its end.
///
/// `add` and `at` take time linear in the steps, of which there are few: a promise renewed with the same amount
/// replaces its own step, and one that is passed in both by another is forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseSchedule {
    steps: Vec<(Time, QuotaFraction)>,
}

impl LeaseSchedule {
    /// So much until then, beside all that was promised before: the larger counts at any time.
    pub fn add(&mut self, amount: QuotaFraction, until: Time) {
        if amount == QuotaFraction::NONE || self.at_least(amount, until) {
            return;
        }
        self.steps
            .retain(|(end, other)| *end > until || *other > amount);
        let place = self.steps.partition_point(|(end, _)| *end < until);
        self.steps.insert(place, (until, amount));
    }

    fn at_least(&self, amount: QuotaFraction, until: Time) -> bool {
        self.steps
            .iter()
            .any(|(end, other)| *end >= until && *other >= amount)
    }

    /// What is promised at that time; an end itself is no part of its promise.
    pub fn at(&self, time: Time) -> QuotaFraction {
        self.steps
            .iter()
            .find(|(end, _)| *end > time)
            .map_or(QuotaFraction::NONE, |(_, amount)| *amount)
    }

    /// The times at which the amount falls.
    pub fn ends(&self) -> impl Iterator<Item = Time> {
        self.steps.iter().map(|(end, _)| *end)
    }

    /// Forgets what has ended; true if nothing is left.
    pub fn prune(&mut self, now: Time) -> bool {
        self.steps.retain(|(end, _)| *end > now);
        self.steps.is_empty()
    }
}
