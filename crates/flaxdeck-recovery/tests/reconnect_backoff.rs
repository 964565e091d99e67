//! Reconnect pauses stay within their limits, and the attempts of many instances are spread out.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::ReconnectBackoff;
use flaxdeck_recovery::reconnect_backoff::{
    GROWTH_FACTOR, MAX_INITIAL_DELAY, MIN_INITIAL_DELAY, RELAXED_FACTOR,
};

fn at(ms: f64) -> Time {
    Time::at_ms(1_000.0 + ms)
}

const MIN_PAUSE: Span = Span::from_ms(100);
const MAX_PAUSE: Span = Span::from_ms(1_000);

#[test]
fn instances_disconnected_together_do_not_reconnect_in_step() {
    // 1,000 instances lose the coordinator at once. Counts their attempts in each 20 ms.
    let mut attempts = vec![0u32; 500];
    for seed in 0..1_000 {
        let (mut backoff, mut now) = (ReconnectBackoff::new(seed, MIN_PAUSE, MAX_PAUSE), 0.0);
        while now < 9_000.0 {
            now += backoff.pause(at(now), false).ms();
            attempts[(now / 20.0) as usize] += 1;
        }
    }
    // In step, all 1,000 would repeatedly attempt within the same 20 ms.
    let peak = attempts.iter().max().unwrap();
    assert!(
        *peak < 150,
        "{peak} of 1,000 instances attempted within the same 20 ms, expected fewer than 150"
    );
    // After repeated failures each instance attempts about twice a second.
    let late: u32 = attempts[200..450].iter().sum();
    assert!(
        (5_000..15_000).contains(&late),
        "{late} attempts in 5 s, expected 5,000 to 15,000"
    );
}

#[test]
fn relayed_events_lengthen_the_pauses_until_expedited() {
    let (mut backoff, mut now) = (ReconnectBackoff::new(5, MIN_PAUSE, MAX_PAUSE), at(0.0));
    let longest = (0..30).map(|_| backoff.pause(now, true)).max().unwrap();
    assert!(
        longest > MAX_PAUSE && longest <= MAX_PAUSE * RELAXED_FACTOR,
        "longest pause {longest:?} while peers relay events"
    );
    backoff.expedite();
    now = now + longest;
    assert!(backoff.pause(now, false) <= MIN_PAUSE * GROWTH_FACTOR);
    let initial_delays: Vec<Span> = (0..200)
        .map(|seed| ReconnectBackoff::new(seed, MIN_PAUSE, MAX_PAUSE).initial_delay())
        .collect();
    assert!(
        initial_delays
            .iter()
            .all(|delay| (MIN_INITIAL_DELAY..=MAX_INITIAL_DELAY).contains(delay))
    );
    // In step, all 200 would fall within the same 30 ms.
    for from in (150..420).step_by(10) {
        let within =
            |delay: &&Span| (f64::from(from)..f64::from(from) + 30.0).contains(&delay.ms());
        let count = initial_delays.iter().filter(within).count();
        assert!(
            count < 40,
            "{count} of 200 initial delays within 30 ms from {from} ms, expected fewer than 40"
        );
    }
}

#[test]
fn pauses_stay_within_limits_and_reset_after_a_lasting_connection() {
    let mut backoff = ReconnectBackoff::new(3, MIN_PAUSE, MAX_PAUSE);
    let mut now = at(0.0);
    for _ in 0..1_000 {
        let pause = backoff.pause(now, false);
        assert!(pause >= MIN_PAUSE && pause <= MAX_PAUSE);
        now = now + pause;
    }
    backoff.answered(now);
    let short = backoff.pause(now + MIN_PAUSE, false);
    assert!(
        short >= MIN_PAUSE,
        "a connection that breaks soon does not reset the backoff"
    );
    backoff.answered(now);
    let first = backoff.pause(now + MAX_PAUSE, false);
    assert!(
        first <= MIN_PAUSE * GROWTH_FACTOR,
        "first pause after a lasting connection: {first:?}"
    );
}
