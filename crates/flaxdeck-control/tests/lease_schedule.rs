//! Checks a lease schedule against the maximum over a plain list of all promises.

use flaxdeck::Time;
use flaxdeck_control::{LeaseSchedule, QuotaFraction};
use proptest::prelude::*;

proptest! {
    #[test]
    fn amount_at_any_time_is_the_largest_promise_that_holds(
        promises in prop::collection::vec((0u32..20, 1u64..21), 0..30),
        times in prop::collection::vec(0u64..22, 1..10),
    ) {
        let at = |time: u64| Time::at_ms(time as f64);
        let mut schedule = LeaseSchedule::default();
        for (amount, until) in promises.iter() {
            schedule.add(QuotaFraction(*amount), at(*until));
        }
        for time in times {
            let largest = promises.iter().filter(|(_, until)| *until > time).map(|(amount, _)| *amount).max();
            prop_assert_eq!(schedule.amount_at(at(time)), QuotaFraction(largest.unwrap_or(0)));
        }
        // Each step begins at the end of the previous one, the first step at 0.
        let ends: Vec<Time> = schedule.step_ends().collect();
        prop_assert!(ends.windows(2).all(|pair| pair[0] < pair[1]));
        let begins = std::iter::once(at(0)).chain(ends.iter().copied());
        let amounts: Vec<QuotaFraction> = begins.take(ends.len()).map(|begin| schedule.amount_at(begin)).collect();
        prop_assert!(amounts.windows(2).all(|pair| pair[0] > pair[1]));
    }
}
