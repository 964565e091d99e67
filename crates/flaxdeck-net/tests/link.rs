//! Tests of `Outbound::stalled_since` on real sockets.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use bytes::Bytes;
use flaxdeck_net::link::connect;
use tokio::time::Instant;

use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

// The connection may be long established when a write blocks for the first time; that time must not count as a stall.
#[test]
fn a_stall_begins_when_the_peer_stops_reading_and_ends_when_it_reads_again() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (client, server) =
            tokio::join!(connect(listener.local_addr().unwrap()), listener.accept());
        let ((_inbound, outbound), (peer, _)) = (client.unwrap(), server.unwrap());
        let begun = Instant::now();
        sleep(Duration::from_millis(30)).await;
        outbound.send([Bytes::from_static(b"small")], [None, None]);
        assert_eq!(
            outbound.stalled_since(),
            None,
            "a small message is written at once"
        );
        outbound.send([Bytes::from(vec![0; 16 << 20])], [None, None]);
        let first = outbound.stalled_since().unwrap();
        assert!(first >= begun + Duration::from_millis(30));
        let mut received = vec![0; 4 << 20];
        while outbound.stalled_since() == Some(first) {
            peer.readable().await.unwrap();
            let _ = peer.try_read(&mut received); // fails on a spurious wake-up
            tokio::select! {
                written = outbound.write_some() => written.unwrap(),
                () = sleep(Duration::from_millis(1)) => {}
            }
        }
        assert!(
            outbound.stalled_since().is_none_or(|since| since > first),
            "the stall ends or restarts once the peer has read some bytes"
        );
    });
}
