//! Transfers over one link end when plain recomputation says they do.

use flaxdeck_fleet::link::Link;

use proptest::prelude::*;

/// Plain recomputation: every transfer's rest is brought up to date at each step.
fn plain(starts: &[(f64, f64)], pace: f64) -> Vec<f64> {
    let mut now = 0.0;
    let mut open: Vec<(usize, f64)> = Vec::new();
    let mut ends = vec![0.0; starts.len()];
    let mut next = 0;
    loop {
        let arrives = starts.get(next).map(|(at, _)| *at);
        let least = open.iter().map(|(_, kb)| *kb).min_by(f64::total_cmp);
        let finishes = least.map(|kb| now + kb * open.len() as f64 / pace);
        let to = match (arrives, finishes) {
            (Some(arrives), Some(finishes)) => arrives.min(finishes),
            (arrives, finishes) => match arrives.or(finishes) {
                Some(to) => to,
                None => return ends,
            },
        };
        let share = (to - now) * pace / open.len().max(1) as f64;
        for (_, kb) in &mut open {
            *kb -= share;
        }
        now = to;
        open.retain(|(n, kb)| {
            if *kb < 1e-6 {
                ends[*n] = now;
            }
            *kb >= 1e-6
        });
        if arrives == Some(to) {
            open.push((next, starts[next].1));
            next += 1;
        }
    }
}

proptest! {
    #[test]
    fn transfers_end_when_plain_recomputation_says(
        gaps in prop::collection::vec((0.0f64..30.0, 1.0f64..500.0), 1..40),
    ) {
        let mut at = 0.0;
        let starts: Vec<(f64, f64)> = gaps.iter().map(|(gap, kb)| { at += gap; (at, *kb) }).collect();
        let expected = plain(&starts, 20.0);
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
        for (ours, plain) in ends.iter().zip(expected) {
            prop_assert!((ours - plain).abs() < 0.05, "{} {}", ours, plain);
        }
    }
}
