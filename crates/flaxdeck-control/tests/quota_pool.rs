//! The sums of many parties' staircases by slots, against adding all of them up.

use flaxdeck_control::QuotaFraction;
use flaxdeck_control::messages::Epoch;
use flaxdeck_control::quota_pool::{PromisedTotals, slot_start};
use proptest::prelude::*;

proptest! {
    #[test]
    fn the_sums_are_those_of_all_staircases(
        promises in prop::collection::vec((0u64..40, 0u64..5, 1u32..1000, 0u64..30), 1..60),
    ) {
        let (mut sums, mut plain, mut now) = (PromisedTotals::default(), Vec::new(), 100);
        for (wait, party, amount, lasts) in promises {
            now += wait / 8;
            sums.promise(now, Epoch(party), QuotaFraction(amount), now + lasts);
            plain.push((party, now, now + lasts, amount));
            if wait % 5 == 0 {
                sums.prune(slot_start(now));
            }
            for slot in now..now + 35 {
                let of = |who: u64| {
                    let hold = plain.iter().filter(|(p, _, end, _)| *p == who && *end > slot);
                    hold.map(|(.., amount)| *amount).max().unwrap_or(0)
                };
                let all: u32 = (0..5).map(of).sum();
                prop_assert_eq!(sums.total_at(slot), QuotaFraction(all));
                prop_assert_eq!(sums.promised_by(Epoch(party), slot), QuotaFraction(of(party)));
            }
        }
    }
}
