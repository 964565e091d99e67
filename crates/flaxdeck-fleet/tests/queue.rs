//! The event queue against a binary heap: both must pop the same events in the same order.

use flaxdeck_fleet::queue::{EventQueue, HeapQueue};

use proptest::prelude::*;

proptest! {
    #[test]
    fn the_timing_wheel_pops_events_in_the_same_order_as_a_heap(
        steps in prop::collection::vec((any::<bool>(), 0u64..6_000_000), 1..400),
    ) {
        let (mut wheel, mut heap) = (EventQueue::default(), HeapQueue::default());
        let mut now = 0;
        for (n, (push, ahead)) in steps.into_iter().enumerate() {
            if push {
                // Some events lie within the wheel's range, some after it, and some have equal times.
                let time = now + if ahead % 3 == 0 { ahead } else { ahead % 5_000 };
                wheel.push(time, n);
                heap.push(time, n);
            } else {
                let (popped, expected) = (wheel.pop(), heap.pop());
                prop_assert_eq!(popped, expected);
                now = popped.map_or(now, |(time, _)| time);
            }
        }
        while let Some(expected) = heap.pop() {
            prop_assert_eq!(wheel.pop(), Some(expected));
        }
        prop_assert!(wheel.pop().is_none() && wheel.is_empty());
    }
}
