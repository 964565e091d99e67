//! Connections between forwarders and planners over TCP, also with a peer of another key or protocol.

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

/// Time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn key(digit: &str) -> Key {
    Key::from_hex(&digit.repeat(64)).unwrap()
}

/// Runs a test on a runtime with one thread, with a listener on loopback.
fn run_with_listener<F: Future<Output = ()>>(test: impl FnOnce(TcpListener) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        tokio::time::timeout(TEST_TIMEOUT, test(listener))
            .await
            .expect("the test ends within its time limit");
    };
    LocalSet::new().block_on(&runtime, run);
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
fn reports_and_guidance_arrive_in_order() {
    run_with_listener(|listener| async move {
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
            let guidance: Guidance = receiver.receive().await.unwrap();
            assert_eq!(
                (guidance.envelope.number, guidance.ratings.len()),
                (number, 100)
            );
        }
    });
}

#[test]
fn both_sides_reject_a_peer_with_another_key() {
    run_with_listener(|listener| async move {
        let address = listener.local_addr().unwrap();
        let planner = spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            connection::accept(stream, &key("a")).await.err()
        });
        let error = connection::connect(address, &key("b")).await.err();
        assert!(
            matches!(error, Some(CloseReason::Refused(InvalidFrame::OtherKey))),
            "connect: {error:?}"
        );
        let error = planner.await.unwrap();
        assert!(
            matches!(error, Some(CloseReason::Refused(InvalidFrame::OtherKey))),
            "accept: {error:?}"
        );
    });
}

#[test]
fn a_peer_that_sends_no_greeting_or_another_protocol_is_disconnected() {
    run_with_listener(|listener| async move {
        let address = listener.local_addr().unwrap();
        let mut silent_peer = TcpStream::connect(address).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let started = Instant::now();
        let error = connection::accept(stream, &key("a")).await.err();
        assert!(
            matches!(error, Some(CloseReason::GreetingTimeout)),
            "a peer that sends nothing: {error:?}"
        );
        assert!(started.elapsed() < Duration::from_secs(5));
        let mut received = Vec::new();
        silent_peer.read_to_end(&mut received).await.unwrap();
        let mut http_peer = TcpStream::connect(address).await.unwrap();
        http_peer
            .write_all(b"GET / HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let error = connection::accept(stream, &key("a")).await.err();
        assert!(
            matches!(
                error,
                Some(CloseReason::Refused(InvalidFrame::NotThisProtocol))
            ),
            "a peer that sends an HTTP request: {error:?}"
        );
    });
}

#[test]
fn the_queue_for_a_peer_that_does_not_read_is_bounded() {
    run_with_listener(|listener| async move {
        let address = listener.local_addr().unwrap();
        // The planner never reads after the greeting.
        let planner = spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let connection = connection::accept(stream, &key("a")).await;
            tokio::time::sleep(TEST_TIMEOUT).await;
            drop(connection);
        });
        let Connection {
            mut sender,
            receiver: _receiver,
        } = connection::connect(address, &key("a")).await.unwrap();
        let mut sent = 0;
        while sender.may_send() {
            assert!(sent < 100_000, "the queue accepted {sent} messages");
            sender.send(&guidance(sent, 128));
            sent += 1;
        }
        assert!(sent > 4, "the queue was full after {sent} messages");
        planner.abort();
    });
}
