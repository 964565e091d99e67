//! Samples of several forwarders combined into one rating of a host.

use flaxdeck::Time;
use flaxdeck_control::messages::{Epoch, Measurements, Sample};
use flaxdeck_control::ratings::HostHealth;

fn at(ms: u64) -> Time {
    Time::at_ms(10_000.0 + ms as f64)
}

fn failed() -> Sample {
    Sample {
        host: "p".into(),
        measurements: Measurements::default(),
        measured_ago_ms: 0,
        last_success_ago_ms: None,
        last_failure_ago_ms: Some(0),
        in_flight: 3,
    }
}

#[test]
fn failures_of_a_single_forwarder_do_not_rate_a_host_as_down() {
    let mut host = HostHealth::default();
    let published = (0..20)
        .filter(|n| host.record_sample(at(*n), Epoch(1), at(*n), &failed()))
        .count();
    assert_eq!(published, 0);
    assert_eq!(host.rating(at(20), "p").down_ago_ms, None);
    assert!(
        host.record_sample(at(20), Epoch(2), at(20), &failed()),
        "a second forwarder with a failure changes the rating"
    );
    assert_eq!(host.rating(at(25), "p").down_ago_ms, Some(5));
    assert_eq!(host.rating(at(25), "p").window, Some(2));
}

#[test]
fn success_after_the_failures_ends_the_down_rating() {
    let mut host = HostHealth::default();
    host.record_sample(at(0), Epoch(1), at(0), &failed());
    host.record_sample(at(1), Epoch(2), at(1), &failed());
    let succeeded = Sample {
        last_failure_ago_ms: None,
        last_success_ago_ms: Some(0),
        ..failed()
    };
    assert!(host.record_sample(at(5), Epoch(3), at(5), &succeeded));
    assert_eq!(host.rating(at(5), "p").down_ago_ms, None);
}

#[test]
fn old_measurement_weighs_less_than_a_recent_one() {
    let mut host = HostHealth::default();
    let sample = |value, ago| Sample {
        measurements: Measurements {
            latency_ms: Some(value),
            bandwidth: None,
        },
        measured_ago_ms: ago,
        ..failed()
    };
    host.record_sample(at(0), Epoch(1), at(0), &sample(10.0, 0));
    host.record_sample(at(1), Epoch(2), at(1), &sample(1000.0, 9_000));
    let mean = host.rating(at(1), "p").measurements.latency_ms.unwrap();
    assert!((10.0..300.0).contains(&mean), "mean {mean} ms");
}
