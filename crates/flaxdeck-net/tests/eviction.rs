//! Which connections make room for new ones, and how much is asked of the system to find them.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::cell::Cell;
use std::time::Duration;

use flaxdeck_net::eviction::{Connection, Eviction, choose};
use tokio::time::Instant;

/// A connection whose looks for unread bytes are counted.
struct Fake {
    has_spoken: bool,
    quiet_since: Instant,
    is_busy: bool,
    has_unread: bool,
    looks: Cell<usize>,
}

impl Connection for Fake {
    fn has_spoken(&self) -> bool {
        self.has_spoken
    }
    fn quiet_since(&self) -> Instant {
        self.quiet_since
    }
    fn is_busy(&self) -> bool {
        self.is_busy
    }
    fn has_unread(&self) -> bool {
        self.looks.set(self.looks.get() + 1);
        self.has_unread
    }
}

fn quiet_for(now: Instant, milliseconds: u64, has_spoken: bool) -> Fake {
    let quiet_since = now - Duration::from_millis(milliseconds);
    Fake {
        has_spoken,
        quiet_since,
        is_busy: false,
        has_unread: false,
        looks: Cell::new(0),
    }
}

fn looks(connections: &[Fake]) -> usize {
    connections
        .iter()
        .map(|connection| connection.looks.get())
        .sum()
}

#[test]
fn the_longest_idle_makes_room_and_a_full_house_costs_one_look() {
    let now = Instant::now();
    // Not in the order of their rest.
    let connections: Vec<Fake> = (0..400)
        .map(|n| quiet_for(now, 1000 + (n * 37) % 400, true))
        .collect();
    let Eviction::Idle(longest) = choose(&connections, now) else {
        panic!("all are idle")
    };
    assert_eq!(now - longest.quiet_since, Duration::from_millis(1399));
    assert_eq!(looks(&connections), 1);
}

#[test]
fn idle_ones_with_unread_bytes_stay_and_each_costs_one_look() {
    let now = Instant::now();
    let mut connections: Vec<Fake> = (0..400).map(|n| quiet_for(now, 1000 + n, true)).collect();
    for connection in &mut connections[397..] {
        connection.has_unread = true;
    }
    let Eviction::Idle(longest) = choose(&connections, now) else {
        panic!("one can go")
    };
    assert_eq!(now - longest.quiet_since, Duration::from_millis(1396));
    assert_eq!(looks(&connections), 4);
}

#[test]
fn busy_ones_stay_and_cost_no_look() {
    let now = Instant::now();
    let mut connections: Vec<Fake> = (0..400)
        .map(|n| quiet_for(now, 1000 + n, n % 2 == 0))
        .collect();
    for connection in &mut connections {
        connection.is_busy = true;
    }
    assert!(matches!(choose(&connections, now), Eviction::Nobody));
    assert_eq!(looks(&connections), 0);
}

#[test]
fn all_that_never_spoke_go_before_any_idle_one() {
    let now = Instant::now();
    let mut connections: Vec<Fake> = (0..10).map(|n| quiet_for(now, 300 + n, n >= 5)).collect();
    connections[0].has_unread = true;
    connections.push(quiet_for(now, 200, false));
    let Eviction::Silent(silent) = choose(&connections, now) else {
        panic!("some are silent")
    };
    assert_eq!(silent.len(), 4);
    assert!(
        silent
            .iter()
            .all(|connection| !connection.has_spoken && !connection.has_unread)
    );
    assert_eq!(looks(&connections), 5);
}

#[test]
fn who_came_a_moment_ago_and_has_not_spoken_stays() {
    let now = Instant::now();
    let connections = [quiet_for(now, 250, false), quiet_for(now, 0, false)];
    assert!(matches!(choose(&connections, now), Eviction::Nobody));
}
