//! Forwarders and planners at both ends of real connections, and strangers at one.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::time::{Duration, Instant};

use flaxdeck_channel::authenticated::{InvalidFrame, Key};
use flaxdeck_channel::connection::{self, CloseReason, Connection};
use flaxdeck_control::messages::{Envelope, Epoch, Guidance, Measurements, Rating, Report};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Longer than anything here takes.
const SOON: Duration = Duration::from_secs(20);

fn key(digit: &str) -> Key {
    Key::from_hex(&digit.repeat(64)).unwrap()
}

/// Runs a story on one thread, with a listener.
fn story<F: Future<Output = ()>>(tell: impl FnOnce(TcpListener) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let told = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        tokio::time::timeout(SOON, tell(listener))
            .await
            .expect("the story ends");
    };
    LocalSet::new().block_on(&runtime, told);
}

fn report(number: u64) -> Report {
    Report {
        envelope: Envelope {
            from: Epoch(7),
            number,
            ..Envelope::default()
        },
        ..Report::default()
    }
}

fn guidance(number: u64, ratings: usize) -> Guidance {
    let rating = |n| Rating {
        host: format!("s-{n:08x}"),
        measurements: Measurements {
            latency_ms: Some(1.0),
            bandwidth: None,
        },
        measured_ago_ms: 1,
        down_ago_ms: None,
        last_success_ago_ms: None,
        window: None,
    };
    let envelope = Envelope {
        from: Epoch(1),
        number,
        ..Envelope::default()
    };
    Guidance {
        envelope,
        ratings: (0..ratings).map(rating).collect(),
        ..Guidance::default()
    }
}

#[test]
fn reports_and_guidance_come_through_in_order() {
    story(|listener| async move {
        let address = listener.local_addr().unwrap();
        spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let Connection {
                mut sender,
                mut receiver,
            } = connection::accept(stream, &key("a")).await.unwrap();
            while let Ok(report) = receiver.receive::<Report>().await {
                sender.send(&guidance(report.envelope.number, 100));
            }
        });
        let Connection {
            mut sender,
            mut receiver,
        } = connection::connect(address, &key("a")).await.unwrap();
        (1..=50).for_each(|number| sender.send(&report(number)));
        for number in 1..=50 {
            let heard: Guidance = receiver.receive().await.unwrap();
            assert_eq!((heard.envelope.number, heard.ratings.len()), (number, 100));
        }
    });
}

#[test]
fn who_has_another_key_is_refused_by_name_on_both_sides() {
    story(|listener| async move {
        let address = listener.local_addr().unwrap();
        let planner = spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            connection::accept(stream, &key("a")).await.err()
        });
        let refused = connection::connect(address, &key("b")).await.err();
        assert!(
            matches!(refused, Some(CloseReason::Refused(InvalidFrame::OtherKey))),
            "{refused:?}"
        );
        let refused = planner.await.unwrap();
        assert!(
            matches!(refused, Some(CloseReason::Refused(InvalidFrame::OtherKey))),
            "{refused:?}"
        );
    });
}

#[test]
fn a_stranger_who_says_nothing_or_something_else_is_left_within_the_time_for_greeting() {
    story(|listener| async move {
        let address = listener.local_addr().unwrap();
        let mut mute = TcpStream::connect(address).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let begun = Instant::now();
        let over = connection::accept(stream, &key("a")).await.err();
        assert!(
            matches!(over, Some(CloseReason::GreetingTimeout)),
            "{over:?}"
        );
        assert!(begun.elapsed() < Duration::from_secs(5));
        let mut rest = Vec::new();
        mute.read_to_end(&mut rest).await.unwrap();
        let mut other = TcpStream::connect(address).await.unwrap();
        other.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let over = connection::accept(stream, &key("a")).await.err();
        assert!(
            matches!(
                over,
                Some(CloseReason::Refused(InvalidFrame::NotThisProtocol))
            ),
            "{over:?}"
        );
    });
}

#[test]
fn who_does_not_read_is_told_no_more_and_holds_a_bounded_queue() {
    story(|listener| async move {
        let address = listener.local_addr().unwrap();
        // The planner never hears, so nothing of what is written to it is taken out.
        let held = spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let ends = connection::accept(stream, &key("a")).await;
            tokio::time::sleep(SOON).await;
            drop(ends);
        });
        let Connection {
            mut sender,
            receiver: _receiver,
        } = connection::connect(address, &key("a")).await.unwrap();
        let mut spoken = 0;
        while sender.may_send() {
            assert!(spoken < 100_000, "it goes on for ever");
            sender.send(&guidance(spoken, 128));
            spoken += 1;
        }
        assert!(spoken > 4);
        held.abort();
    });
}
