//! Pauses between calls stay within their bounds and out of step with others'.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::ReconnectBackoff;
use flaxdeck_recovery::reconnect_backoff::{
    GROWTH_FACTOR, MAX_INITIAL_DELAY, MIN_INITIAL_DELAY, RELAXED_FACTOR,
};

fn at(ms: f64) -> Time {
    Time::at_ms(1_000.0 + ms)
}

const LEAST: Span = Span::from_ms(100);
const MOST: Span = Span::from_ms(1_000);

#[test]
fn instances_that_failed_together_do_not_call_together() {
    // A thousand that lost the coordinator in one moment: how many call in the worst 20 ms of the next seconds.
    let mut calls = vec![0u32; 500];
    for seed in 0..1_000 {
        let (mut backoff, mut now) = (ReconnectBackoff::new(seed, LEAST, MOST), 0.0);
        while now < 9_000.0 {
            now += backoff.pause(at(now), false).ms();
            calls[(now / 20.0) as usize] += 1;
        }
    }
    // In step they would be 1,000 at once, over and over.
    let most = calls.iter().max().unwrap();
    assert!(*most < 150, "{most} of 1,000 within 20 ms");
    // Once they have failed for a while they come seldom: about twice a second each.
    let late: u32 = calls[200..450].iter().sum();
    assert!((5_000..15_000).contains(&late), "{late} in 5 s");
}

#[test]
fn who_hears_the_same_from_others_calls_seldom_until_that_ends() {
    let (mut backoff, mut now) = (ReconnectBackoff::new(5, LEAST, MOST), at(0.0));
    let longest = (0..30).map(|_| backoff.pause(now, true)).max().unwrap();
    assert!(
        longest > MOST && longest <= MOST * RELAXED_FACTOR,
        "{longest:?}"
    );
    backoff.expedite();
    now = now + longest;
    assert!(backoff.pause(now, false) <= LEAST * GROWTH_FACTOR);
    let firsts: Vec<Span> = (0..200)
        .map(|seed| ReconnectBackoff::new(seed, LEAST, MOST).initial_delay())
        .collect();
    assert!(
        firsts
            .iter()
            .all(|first| (MIN_INITIAL_DELAY..=MAX_INITIAL_DELAY).contains(first))
    );
    // Spread: in step they would be 200 within any 30 ms.
    for from in (150..420).step_by(10) {
        let within =
            |first: &&Span| (f64::from(from)..f64::from(from) + 30.0).contains(&first.ms());
        let count = firsts.iter().filter(within).count();
        assert!(count < 40, "{count} within 30 ms from {from}");
    }
}

#[test]
fn pauses_stay_within_their_bounds_and_begin_anew_after_a_call_that_lasted() {
    let mut backoff = ReconnectBackoff::new(3, LEAST, MOST);
    let mut now = at(0.0);
    for _ in 0..1_000 {
        let pause = backoff.pause(now, false);
        assert!(pause >= LEAST && pause <= MOST);
        now = now + pause;
    }
    backoff.answered(now);
    let short = backoff.pause(now + LEAST, false);
    assert!(short >= LEAST, "one that breaks at once changes nothing");
    backoff.answered(now);
    let first = backoff.pause(now + MOST, false);
    assert!(first <= LEAST * GROWTH_FACTOR, "{first:?}");
}
