//! The link against a reference that recomputes every transfer: transfers must end at the same times.

use flaxdeck_fleet::link::Link;

use proptest::prelude::*;

/// Returns the end times of transfers, given by start time and size in KB, on a link of `kb_per_ms`. Reference
/// implementation: recomputes the KB left of every transfer at each start and each end.
fn reference_ends(starts: &[(f64, f64)], kb_per_ms: f64) -> Vec<f64> {
    let mut now = 0.0;
    let mut open: Vec<(usize, f64)> = Vec::new();
    let mut ends = vec![0.0; starts.len()];
    let mut next = 0;
    loop {
        let next_start = starts.get(next).map(|(at, _)| *at);
        let least_kb = open.iter().map(|(_, kb)| *kb).min_by(f64::total_cmp);
        let next_end = least_kb.map(|kb| now + kb * open.len() as f64 / kb_per_ms);
        let step_end = match (next_start, next_end) {
            (Some(next_start), Some(next_end)) => next_start.min(next_end),
            (next_start, next_end) => match next_start.or(next_end) {
                Some(step_end) => step_end,
                None => return ends,
            },
        };
        let sent_kb = (step_end - now) * kb_per_ms / open.len().max(1) as f64;
        for (_, kb) in &mut open {
            *kb -= sent_kb;
        }
        now = step_end;
        open.retain(|(n, kb)| {
            if *kb < 1e-6 {
                ends[*n] = now;
            }
            *kb >= 1e-6
        });
        if next_start == Some(step_end) {
            open.push((next, starts[next].1));
            next += 1;
        }
    }
}

proptest! {
    #[test]
    fn transfers_end_at_the_times_of_a_full_recomputation(
        gaps in prop::collection::vec((0.0f64..30.0, 1.0f64..500.0), 1..40),
    ) {
        let mut at = 0.0;
        let starts: Vec<(f64, f64)> = gaps.iter().map(|(gap, kb)| { at += gap; (at, *kb) }).collect();
        let expected = reference_ends(&starts, 20.0);
        let mut link = Link::new(20.0);
        let mut ends = vec![0.0; starts.len()];
        for (at, kb) in &starts {
            while let Some(end) = link.next_end().filter(|end| end <= at) {
                for transfer in link.take_ended(end) {
                    ends[transfer as usize] = end;
                }
            }
            link.start(*at, *kb);
        }
        while let Some(end) = link.next_end() {
            for transfer in link.take_ended(end) {
                    ends[transfer as usize] = end;
                }
        }
        for (end, expected) in ends.iter().zip(expected) {
            prop_assert!((end - expected).abs() < 0.05, "transfer ended at {end} ms, expected {expected} ms");
        }
    }
}
