//! The time to full service after a restart, and the losses in excess of the twin's.

use flaxdeck_experiments::recovery::{
    ExcessLosses, MedianAndWorst, SLICE_MS, Slice, excess_losses, median_and_worst,
    time_to_full_service,
};

fn slices(in_time: &[u64]) -> Vec<Slice> {
    let slice = |in_time| Slice {
        operations: 1000,
        in_time,
        cache_answers: 1000,
        cache_hits: 900,
        ..Slice::default()
    };
    in_time.iter().map(|in_time| slice(*in_time)).collect()
}

#[test]
fn service_is_full_from_the_first_of_ten_consecutive_slices_as_good_as_the_twins() {
    let twin = slices(&[999; 20]);
    let mut played = vec![999; 20];
    played[4] = 500;
    played[5] = 990;
    played[7] = 980;
    assert_eq!(
        time_to_full_service(&slices(&played), &twin, 2_000.0),
        Some(2_000.0)
    );
    assert_eq!(time_to_full_service(&twin, &twin, 2_000.0), Some(0.0));
    played[15] = 900;
    assert_eq!(
        time_to_full_service(&slices(&played), &twin, 2_000.0),
        None,
        "at most 7 consecutive slices are good, and full service needs 10"
    );
    // A dip that the twin has as well does not delay full service.
    let mut low = vec![999; 20];
    low[5] = 700;
    low[6] = 800;
    assert_eq!(
        time_to_full_service(&slices(&low), &slices(&low), 2_000.0),
        Some(0.0)
    );
}

#[test]
fn slices_with_fewer_hits_or_more_refused_connections_are_not_full_service() {
    let twin = slices(&[999; 12]);
    for worsen in [
        |slice: &mut Slice| slice.cache_hits = 860,
        |slice: &mut Slice| slice.refused_connections = 1,
    ] {
        let mut played = twin.clone();
        worsen(&mut played[0]);
        assert_eq!(time_to_full_service(&played, &twin, 0.0), Some(SLICE_MS));
    }
}

#[test]
fn losses_are_counted_by_the_slice_in_which_operations_began() {
    let (twin, mut played) = (slices(&[1000; 8]), slices(&[1000; 8]));
    for (at, in_time) in [(1, 990), (2, 900), (3, 950), (4, 999)] {
        played[at].in_time = in_time;
    }
    let losses = excess_losses(&played, &twin, 1_000.0, 2_000.0);
    assert_eq!(
        losses,
        ExcessLosses {
            in_flight: 10.0,
            while_down: 150.0,
            after_restart: 1.0
        }
    );
    assert_eq!(
        median_and_worst(&[Some(1.0), None, Some(3.0)]),
        MedianAndWorst {
            median: Some(3.0),
            worst: None
        }
    );
}
