//! Samples of many forwarders weighed into one picture of a host.

use flaxdeck::Time;
use flaxdeck_control::messages::{Epoch, Sample};
use flaxdeck_control::ratings::Health;

fn at(ms: u64) -> Time {
    Time::at_ms(10_000.0 + ms as f64)
}

fn failed() -> Sample {
    let (measures, bad_ago_ms) = ([None; 2], Some(0));
    Sample {
        host: "p".into(),
        measures,
        measured_ago_ms: 0,
        last_success_ago_ms: None,
        last_failure_ago_ms: bad_ago_ms,
        in_flight: 3,
    }
}

#[test]
fn one_forwarder_that_lost_its_network_takes_no_host_from_the_others() {
    let mut host = Health::default();
    let told = (0..20)
        .filter(|n| host.take(at(*n), Epoch(1), at(*n), &failed()))
        .count();
    assert_eq!(told, 0);
    assert_eq!(host.rating(at(20), "p").down_ago_ms, None);
    assert!(
        host.take(at(20), Epoch(2), at(20), &failed()),
        "the second witness is news"
    );
    assert_eq!(host.rating(at(25), "p").down_ago_ms, Some(5));
    assert_eq!(host.rating(at(25), "p").window, Some(2));
}

#[test]
fn a_success_after_the_failures_lifts_the_word() {
    let mut host = Health::default();
    host.take(at(0), Epoch(1), at(0), &failed());
    host.take(at(1), Epoch(2), at(1), &failed());
    let good = Sample {
        last_failure_ago_ms: None,
        last_success_ago_ms: Some(0),
        ..failed()
    };
    assert!(host.take(at(5), Epoch(3), at(5), &good));
    assert_eq!(host.rating(at(5), "p").down_ago_ms, None);
}

#[test]
fn an_old_sample_told_late_weighs_less_than_a_young_one() {
    let mut host = Health::default();
    let sample = |value, ago| Sample {
        measures: [Some(value), None],
        measured_ago_ms: ago,
        ..failed()
    };
    host.take(at(0), Epoch(1), at(0), &sample(10.0, 0));
    host.take(at(1), Epoch(2), at(1), &sample(1000.0, 9_000));
    let mean = host.rating(at(1), "p").measures[0].unwrap();
    assert!((10.0..300.0).contains(&mean), "{mean}");
}
