//! A new process comes up in the place of a host's old one, which may still hold its connections: as the same host with
//! a later start, or as another host at the same address. Requests go to the new process only.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use flaxdeck_toy::Host;
use world::{
    World, attempt_in_flight, cache_with_full_backlog, key, read_request, serve, served, unix_now,
    wait_for,
};

const OLD_ID: &str = "s-0000ca00";
const OTHER_ID: &str = "s-0000ca05";
/// How long ago the new process has started: long enough to be warm.
const STARTED_AGO: Duration = Duration::from_secs(60);
/// Time in which the dispatcher handles what it has received, where nothing else shows that.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// How the list tells of the new process.
#[derive(Clone, Copy, Debug)]
enum Replacement {
    /// The same host, with a later start.
    LaterStart,
    /// Another host, listed before the old one is gone.
    OtherIdBefore,
    /// Another host, listed after the old one is gone.
    OtherIdAfter,
}

const ALL_REPLACEMENTS: [Replacement; 3] = [
    Replacement::LaterStart,
    Replacement::OtherIdBefore,
    Replacement::OtherIdAfter,
];

/// The old process of the only cache, played by the test.
struct OldProcess {
    address: SocketAddr,
    listener: Option<TcpListener>,
}

impl OldProcess {
    fn start() -> OldProcess {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        OldProcess {
            address: listener.local_addr().unwrap(),
            listener: Some(listener),
        }
    }

    fn accept(&self) -> TcpStream {
        self.listener.as_ref().unwrap().accept().unwrap().0
    }

    /// Stops listening, keeps the open connections, starts the new process at the address, and has the list tell so.
    fn replace(&mut self, world: &mut World, replacement: Replacement) -> Host {
        drop(self.listener.take());
        let id = match replacement {
            Replacement::LaterStart => OLD_ID,
            Replacement::OtherIdBefore | Replacement::OtherIdAfter => OTHER_ID,
        };
        let new = Host::start(id, &self.address.to_string()).unwrap();
        let mut old = new.clone();
        old.id = OLD_ID.into();
        if matches!(replacement, Replacement::OtherIdAfter) {
            world.coordinator.change(&old, 2, 0, 0);
        }
        announce(world, &new);
        if matches!(replacement, Replacement::OtherIdBefore) {
            world.coordinator.change(&old, 2, 0, 0);
            world.wait_for_log(&["told: s-0000ca00 Removed"]);
        }
        new
    }
}

/// Has the list tell of a process that has started some time ago.
fn announce(world: &mut World, host: &Host) {
    let started = unix_now() - STARTED_AGO;
    let started_ms = started.as_millis() as u64;
    world.coordinator.started(host, 0, 0, 4.0, started_ms);
    world.wait_for_log(&["told:", &host.id, "InService"]);
}

fn world_with(old: &OldProcess) -> World {
    World::with_config(1, |config| {
        config["known"]["updates"][0]["endpoints"]["hosts"][0]["dial"] =
            old.address.to_string().into();
    })
}

/// Requests an object and checks that the new process, and not the old one, gets the request.
fn assert_new_process_serves(
    world: &World,
    new: &Host,
    old_connection: &mut TcpStream,
    case: &str,
) {
    let answer = world.request("page", &key(2), 2000, b"");
    assert!(served(&answer, &key(2)), "{case}: {answer:?}");
    assert_eq!(new.received("want").len(), 1, "{case}");
    old_connection.set_nonblocking(true).unwrap();
    let mut received = Vec::new();
    let _ = old_connection.read_to_end(&mut received); // fails if the connection is still open
    let received = String::from_utf8(received).unwrap();
    assert!(!received.contains("want"), "{case}: {received}");
}

// Guards against requests on idle connections to a process that another one has replaced.
#[test]
fn an_idle_connection_to_a_replaced_process_carries_no_request() {
    for replacement in ALL_REPLACEMENTS {
        let mut old = OldProcess::start();
        let mut world = world_with(&old);
        let mut client = world.client();
        client.request("page", &key(1), 2000, b"").unwrap();
        let mut connection = old.accept();
        let (line, body) = read_request(&mut connection).unwrap();
        serve(&mut connection, &line, &body);
        assert!(served(&client.answer().unwrap(), &key(1)));
        let new = old.replace(&mut world, replacement);
        assert_new_process_serves(&world, &new, &mut connection, &format!("{replacement:?}"));
    }
}

// Guards against a connection that is kept for the new process once the old one has confirmed a cancellation.
#[test]
fn a_cancellation_confirmed_by_a_replaced_process_frees_no_connection_for_the_new_one() {
    for replacement in ALL_REPLACEMENTS {
        let mut old = OldProcess::start();
        let mut world = world_with(&old);
        let mut client = world.client();
        let call = client.request("page", &key(1), 2000, b"").unwrap();
        let mut connection = old.accept();
        read_request(&mut connection).unwrap();
        client.cancel(call).unwrap();
        wait_for("the request is cancelled", || {
            !world.departure_times().is_empty()
        });
        let new = old.replace(&mut world, replacement);
        connection.set_read_timeout(Some(SETTLE_TIME)).unwrap();
        let next = read_request(&mut connection); // confirms the cancellation, and finds nothing else
        assert_eq!(next, None, "{replacement:?}");
        sleep(SETTLE_TIME);
        assert_new_process_serves(&world, &new, &mut connection, &format!("{replacement:?}"));
    }
}

// Guards against a request that is written to the old process, because its connection came up after the list had told of
// the new one.
#[test]
fn a_connection_to_a_replaced_process_that_comes_up_late_carries_no_request() {
    let (mut world, old, _) = cache_with_full_backlog(|_| {});
    let (mut client, n) = attempt_in_flight(&world, 0);
    let new = Host::start(OLD_ID, "127.0.0.1:0").unwrap();
    announce(&mut world, &new);
    old.serve_all();
    assert!(served(&client.answer().unwrap(), &key(n)));
    assert_eq!(old.requests(), Vec::<String>::new());
}
