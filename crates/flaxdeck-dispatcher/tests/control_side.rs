//! The control side of a forwarder without clients: it reconnects to its planners, and ends when it is dropped.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::net::SocketAddr;
use std::time::Duration;

use flaxdeck::Span;
use flaxdeck_channel::authenticated::Key;
use flaxdeck_control::LeaseTerms;
use flaxdeck_control::forwarder::ForwarderOptions;
use flaxdeck_control::messages::SlotId;
use flaxdeck_dispatcher::ControlClientOptions;
use flaxdeck_dispatcher::control::HollowForwarder;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;

const CONFIG: &str = include_str!("../../../examples/toy/config.json");
/// How long the test waits for a connection that has to come.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the longest reconnect backoff.
const RECONNECT_TIME: Duration = Duration::from_millis(2_000);

fn options(planner: SocketAddr) -> ControlClientOptions {
    let second = Span::from_ms(1_000);
    ControlClientOptions {
        planners: vec![planner],
        key: Key::from_hex(&"5c".repeat(32)).unwrap(),
        session: ForwarderOptions {
            lease_terms: LeaseTerms::new(second, second, 10),
            reserve: 0.5,
            has_slot: false,
            slot: SlotId(0),
            unconfirmed_limit: None,
        },
        report_every: Duration::from_millis(100),
        subscription: None,
        state_directory: None,
        counters: None,
    }
}

#[test]
fn a_hollow_forwarder_reconnects_to_its_planner_until_it_is_dropped() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let planner = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut configuration: Value = serde_json::from_str(CONFIG).unwrap();
        // Nobody listens at the coordinator's address, and no host gets a request.
        configuration["coordinator"] = "127.0.0.1:1".into();
        let address = planner.local_addr().unwrap();
        let listener = Box::new(|_| ());
        let forwarder =
            HollowForwarder::start(&configuration, options(address), 1, listener).unwrap();
        for connection in ["the first connection", "the second connection"] {
            let accepted = timeout(WAIT_TIMEOUT, planner.accept()).await;
            accepted.expect(connection).unwrap();
        }
        drop(forwarder);
        // A connection that was being established may still arrive, but no further one.
        let _ = timeout(RECONNECT_TIME, planner.accept()).await;
        let later = timeout(RECONNECT_TIME, planner.accept()).await;
        assert!(
            later.is_err(),
            "the forwarder connects after it was dropped: {later:?}"
        );
    });
}
