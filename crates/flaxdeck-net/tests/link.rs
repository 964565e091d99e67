//! Since when a client takes nothing, on real sockets.

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

// A connection may have been up for long when something begins to wait on it.
#[test]
fn a_client_is_stalled_from_when_it_takes_no_more_and_not_from_before() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (near, far) = tokio::join!(connect(listener.local_addr().unwrap()), listener.accept());
        let ((_inbound, outbound), (far, _)) = (near.unwrap(), far.unwrap());
        let begun = Instant::now();
        sleep(Duration::from_millis(30)).await;
        outbound.send([Bytes::from_static(b"small")], [None, None]);
        assert_eq!(outbound.stalled_since(), None, "taken at once");
        outbound.send([Bytes::from(vec![0; 16 << 20])], [None, None]);
        let first = outbound.stalled_since().unwrap();
        assert!(first >= begun + Duration::from_millis(30));
        let mut taken = vec![0; 4 << 20];
        while outbound.stalled_since() == Some(first) {
            far.readable().await.unwrap();
            let _ = far.try_read(&mut taken); // none there yet is a spurious wake-up
            tokio::select! {
                stepped = outbound.write_some() => stepped.unwrap(),
                () = sleep(Duration::from_millis(1)) => {}
            }
        }
        assert!(
            outbound.stalled_since().is_none_or(|since| since > first),
            "it took something"
        );
    });
}
