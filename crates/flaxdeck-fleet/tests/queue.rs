//! The wheel gives events in the order in which a plain heap gives them.

use flaxdeck_fleet::queue::{EventQueue, HeapQueue};

use proptest::prelude::*;

proptest! {
    #[test]
    fn the_wheel_gives_what_a_heap_gives_in_the_same_order(
        steps in prop::collection::vec((any::<bool>(), 0u64..6_000_000), 1..400),
    ) {
        let (mut wheel, mut heap) = (EventQueue::default(), HeapQueue::default());
        let mut now = 0;
        for (n, (put, ahead)) in steps.into_iter().enumerate() {
            if put {
                // Some near, some far past the wheel's reach, some at one time.
                let time = now + if ahead % 3 == 0 { ahead } else { ahead % 5_000 };
                wheel.push(time, n);
                heap.push(time, n);
            } else {
                let (ours, plain) = (wheel.pop(), heap.pop());
                prop_assert_eq!(ours, plain);
                now = ours.map_or(now, |(time, _)| time);
            }
        }
        while let Some(plain) = heap.pop() {
            prop_assert_eq!(wheel.pop(), Some(plain));
        }
        prop_assert!(wheel.pop().is_none() && wheel.is_empty());
    }
}
