//! Tests of the choice of connections to close, and of the system calls needed for it.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::cell::Cell;
use std::time::Duration;

use flaxdeck_net::eviction::{Connection, Eviction, choose};
use tokio::time::Instant;

/// A connection that counts the calls of [`Connection::has_unread`], which cost a system call each.
struct FakeConnection {
    has_sent: bool,
    quiet_since: Instant,
    is_busy: bool,
    has_unread: bool,
    system_calls: Cell<usize>,
}

impl Connection for FakeConnection {
    fn has_sent(&self) -> bool {
        self.has_sent
    }
    fn quiet_since(&self) -> Instant {
        self.quiet_since
    }
    fn is_busy(&self) -> bool {
        self.is_busy
    }
    fn has_unread(&self) -> bool {
        self.system_calls.set(self.system_calls.get() + 1);
        self.has_unread
    }
}

fn quiet_for(now: Instant, milliseconds: u64, has_sent: bool) -> FakeConnection {
    let quiet_since = now - Duration::from_millis(milliseconds);
    FakeConnection {
        has_sent,
        quiet_since,
        is_busy: false,
        has_unread: false,
        system_calls: Cell::new(0),
    }
}

fn system_calls(connections: &[FakeConnection]) -> usize {
    connections
        .iter()
        .map(|connection| connection.system_calls.get())
        .sum()
}

#[test]
fn choosing_the_longest_idle_connection_costs_one_system_call() {
    let now = Instant::now();
    // Not sorted by idle time.
    let connections: Vec<FakeConnection> = (0..400)
        .map(|n| quiet_for(now, 1000 + (n * 37) % 400, true))
        .collect();
    let Eviction::Idle(longest) = choose(&connections, now) else {
        panic!("all connections are idle, and none was chosen")
    };
    assert_eq!(now - longest.quiet_since, Duration::from_millis(1399));
    assert_eq!(system_calls(&connections), 1);
}

#[test]
fn idle_connections_with_unread_bytes_are_kept_and_cost_one_system_call_each() {
    let now = Instant::now();
    let mut connections: Vec<FakeConnection> =
        (0..400).map(|n| quiet_for(now, 1000 + n, true)).collect();
    for connection in &mut connections[397..] {
        connection.has_unread = true;
    }
    let Eviction::Idle(longest) = choose(&connections, now) else {
        panic!("idle connections without unread bytes exist, and none was chosen")
    };
    assert_eq!(now - longest.quiet_since, Duration::from_millis(1396));
    assert_eq!(system_calls(&connections), 4);
}

#[test]
fn busy_connections_are_kept_and_cost_no_system_call() {
    let now = Instant::now();
    let mut connections: Vec<FakeConnection> = (0..400)
        .map(|n| quiet_for(now, 1000 + n, n % 2 == 0))
        .collect();
    for connection in &mut connections {
        connection.is_busy = true;
    }
    assert!(matches!(choose(&connections, now), Eviction::Nothing));
    assert_eq!(system_calls(&connections), 0);
}

#[test]
fn all_silent_connections_are_chosen_before_any_idle_one() {
    let now = Instant::now();
    let mut connections: Vec<FakeConnection> =
        (0..10).map(|n| quiet_for(now, 300 + n, n >= 5)).collect();
    connections[0].has_unread = true;
    connections.push(quiet_for(now, 200, false));
    let Eviction::Silent(silent) = choose(&connections, now) else {
        panic!("silent connections exist, and were not chosen")
    };
    assert_eq!(silent.len(), 4);
    assert!(
        silent
            .iter()
            .all(|connection| !connection.has_sent && !connection.has_unread)
    );
    assert_eq!(system_calls(&connections), 5);
}

#[test]
fn a_new_connection_that_has_sent_nothing_is_kept() {
    let now = Instant::now();
    let connections = [quiet_for(now, 250, false), quiet_for(now, 0, false)];
    assert!(matches!(choose(&connections, now), Eviction::Nothing));
}
