//! When service is full again after a fault, and what was lost until then.

use flaxdeck_experiments::service::{Lost, SLICE, Slice, full_service, lost, median_and_worst};

fn slices(in_time: &[u64]) -> Vec<Slice> {
    let slice = |in_time| Slice {
        wants: 1000,
        in_time,
        answers: 1000,
        hits: 900,
        ..Slice::default()
    };
    in_time.iter().map(|in_time| slice(*in_time)).collect()
}

#[test]
fn service_is_full_once_it_stays_like_the_twins_and_not_at_a_lucky_slice() {
    let twin = slices(&[999; 20]);
    let mut played = vec![999; 20];
    played[4] = 500;
    played[5] = 990;
    played[7] = 980;
    assert_eq!(
        full_service(&slices(&played), &twin, 2_000.0),
        Some(2_000.0)
    );
    assert_eq!(full_service(&twin, &twin, 2_000.0), Some(0.0));
    played[15] = 900;
    assert_eq!(
        full_service(&slices(&played), &twin, 2_000.0),
        None,
        "too short a time to tell"
    );
    // A dip that the twin has as well is not ours.
    let mut low = vec![999; 20];
    (low[5], low[6]) = (700, 800);
    assert_eq!(
        full_service(&slices(&low), &slices(&low), 2_000.0),
        Some(0.0)
    );
}

#[test]
fn fewer_hits_or_connections_turned_away_are_not_full_service() {
    let twin = slices(&[999; 12]);
    for spoil in [
        |slice: &mut Slice| slice.hits = 860,
        |slice: &mut Slice| slice.turned_away = 1,
    ] {
        let mut played = twin.clone();
        spoil(&mut played[0]);
        assert_eq!(full_service(&played, &twin, 0.0), Some(SLICE));
    }
}

#[test]
fn losses_are_told_by_when_they_were_asked_for() {
    let (twin, mut played) = (slices(&[1000; 8]), slices(&[1000; 8]));
    for (at, in_time) in [(1, 990), (2, 900), (3, 950), (4, 999)] {
        played[at].in_time = in_time;
    }
    let lost = lost(&played, &twin, 1_000.0, 2_000.0);
    assert_eq!(
        lost,
        Lost {
            in_hand: 10.0,
            while_down: 150.0,
            after: 1.0
        }
    );
    assert_eq!(
        median_and_worst(&[Some(1.0), None, Some(3.0)]),
        [Some(3.0), None]
    );
}
