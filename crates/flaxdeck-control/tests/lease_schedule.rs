//! An amount promised until a time, against the plain maximum of all promises.

use flaxdeck::Time;
use flaxdeck_control::{LeaseSchedule, QuotaFraction};
use proptest::prelude::*;

proptest! {
    #[test]
    fn at_any_time_it_tells_the_largest_promise_that_holds(
        promises in prop::collection::vec((0u32..20, 1u64..21), 0..30),
        looks in prop::collection::vec(0u64..22, 1..10),
    ) {
        let at = |time: u64| Time::at_ms(time as f64);
        let mut stairs = LeaseSchedule::default();
        for (amount, until) in promises.iter() {
            stairs.add(QuotaFraction(*amount), at(*until));
        }
        for look in looks {
            let plain = promises.iter().filter(|(_, until)| *until > look).map(|(amount, _)| *amount).max();
            prop_assert_eq!(stairs.amount_at(at(look)), QuotaFraction(plain.unwrap_or(0)));
        }
        // Each step holds from the end before it on, the first one from 0.
        let ends: Vec<Time> = stairs.step_ends().collect();
        prop_assert!(ends.windows(2).all(|pair| pair[0] < pair[1]));
        let begins = std::iter::once(at(0)).chain(ends.iter().copied());
        let amounts: Vec<QuotaFraction> = begins.take(ends.len()).map(|begin| stairs.amount_at(begin)).collect();
        prop_assert!(amounts.windows(2).all(|pair| pair[0] > pair[1]));
    }
}
