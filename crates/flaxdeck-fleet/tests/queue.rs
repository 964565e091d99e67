//! The wheel gives events in the order in which a plain heap gives them.

use flaxdeck_fleet::queue::{Plain, Queue};

use proptest::prelude::*;

proptest! {
    #[test]
    fn the_wheel_gives_what_a_heap_gives_in_the_same_order(
        steps in prop::collection::vec((any::<bool>(), 0u64..6_000_000), 1..400),
    ) {
        let (mut wheel, mut heap) = (Queue::default(), Plain::default());
        let mut now = 0;
        for (n, (put, ahead)) in steps.into_iter().enumerate() {
            if put {
                // Some near, some far past the wheel's reach, some at one time.
                let time = now + if ahead % 3 == 0 { ahead } else { ahead % 5_000 };
                wheel.put(time, n);
                heap.put(time, n);
            } else {
                let (ours, plain) = (wheel.take(), heap.take());
                prop_assert_eq!(ours, plain);
                now = ours.map_or(now, |(time, _)| time);
            }
        }
        while let Some(plain) = heap.take() {
            prop_assert_eq!(wheel.take(), Some(plain));
        }
        prop_assert!(wheel.take().is_none() && wheel.is_empty());
    }
}
