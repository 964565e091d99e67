//! An open-loop schedule of events: an event's time does not depend on the delivery of earlier ones.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use super::state::State;

/// Random arrival times of one kind of event, with exponentially distributed gaps.
struct Arrivals {
    per_s: f64,
    factor: f64,
    next: Option<Instant>,
}

impl Arrivals {
    fn new(per_s: f64) -> Arrivals {
        Arrivals {
            per_s,
            factor: 1.0,
            next: None,
        }
    }

    /// Draws the time of the next event after a time; none at a rate of 0.
    fn draw_next(&mut self, after: Instant, rng: &mut Pcg64Mcg) {
        let per_s = self.per_s * self.factor;
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / per_s;
        self.next = (per_s > 0.0).then(|| after + Duration::from_secs_f64(gap_s));
    }
}

/// The schedule of purges and host changes.
pub(super) struct Schedule {
    rng: Pcg64Mcg,
    purges: Arrivals,
    changes: Arrivals,
}

impl Schedule {
    /// Creates a schedule without events until [`Schedule::begin`] is called.
    pub(super) fn new(seed: u64, purges_per_s: f64, changes_per_s: f64) -> Schedule {
        Schedule {
            rng: Pcg64Mcg::seed_from_u64(seed),
            purges: Arrivals::new(purges_per_s),
            changes: Arrivals::new(changes_per_s),
        }
    }

    pub(super) fn begin(&mut self) {
        let now = Instant::now();
        self.purges.draw_next(now, &mut self.rng);
        self.changes.draw_next(now, &mut self.rng);
    }

    pub(super) fn stop(&mut self) {
        self.purges.next = None;
        self.changes.next = None;
    }

    /// Multiplies the purge rate by a factor; the next purge, whose time is already drawn, is not moved.
    pub(super) fn set_purge_factor(&mut self, factor: f64) {
        self.purges.factor = factor;
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        let times = [self.purges.next, self.changes.next];
        times.into_iter().flatten().min()
    }

    /// Publishes all events that are due.
    pub(super) fn publish_due(&mut self, state: &mut State) {
        let now = Instant::now();
        while let Some(at) = self.purges.next.filter(|at| *at <= now) {
            state.purge(self.rng.random());
            self.purges.draw_next(at, &mut self.rng);
        }
        while let Some(at) = self.changes.next.filter(|at| *at <= now) {
            let host = self.rng.random_range(state.changing_hosts());
            state.change_host(host);
            self.changes.draw_next(at, &mut self.rng);
        }
    }
}
