//! Checks the totals per time slot against sums over all parties' promises.

use flaxdeck_control::QuotaFraction;
use flaxdeck_control::messages::Epoch;
use flaxdeck_control::quota_pool::{PromisedTotals, slot_start};
use proptest::prelude::*;

proptest! {
    #[test]
    fn totals_equal_the_sums_of_all_promises(
        promises in prop::collection::vec((0u64..40, 0u64..5, 1u32..1000, 0u64..30), 1..60),
    ) {
        let (mut totals, mut all_promises, mut now) = (PromisedTotals::default(), Vec::new(), 100);
        for (wait, party, amount, duration) in promises {
            now += wait / 8;
            totals.promise(now, Epoch(party), QuotaFraction(amount), now + duration);
            all_promises.push((party, now, now + duration, amount));
            if wait % 5 == 0 {
                totals.prune(slot_start(now));
            }
            for slot in now..now + 35 {
                let promised_by = |party: u64| {
                    let current = all_promises.iter().filter(|(p, _, end, _)| *p == party && *end > slot);
                    current.map(|(.., amount)| *amount).max().unwrap_or(0)
                };
                let sum: u32 = (0..5).map(promised_by).sum();
                prop_assert_eq!(totals.total_at(slot), QuotaFraction(sum));
                prop_assert_eq!(totals.promised_by(Epoch(party), slot), QuotaFraction(promised_by(party)));
            }
        }
    }
}
