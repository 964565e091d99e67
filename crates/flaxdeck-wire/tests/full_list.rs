//! Tests of encoding a full endpoint list as a frame.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod names;

use flaxdeck::{CellId, Endpoint, Health, HostId, ListKind, Role, Time, ZoneId};
use flaxdeck_wire::frames::{AddressedEndpoint, Event, read, write_full_list};
use names::names;

fn endpoint(n: u32, role: Role, health: Health, zone: Option<ZoneId>) -> AddressedEndpoint {
    let started = (n > 0).then(|| Time::at_ms(1_764_576_000_123.0));
    let (host, cell) = (HostId(format!("s-{n:08x}").into()), CellId(u64::from(n)));
    let listed = Endpoint {
        host,
        weight: 4.5,
        zone,
        cell,
        role,
        health,
        started,
    };
    AddressedEndpoint {
        listed,
        address: format!("127.1.0.9:{}", 5050 + n).parse().unwrap(),
    }
}

#[test]
fn an_encoded_full_list_is_parsed_to_an_event_with_the_same_hash() {
    let endpoints = vec![
        endpoint(0, Role::Cache, Health::InService, Some(ZoneId(0))),
        endpoint(1, Role::Parent, Health::Draining, None),
        endpoint(2, Role::Origin, Health::Removed, Some(ZoneId(0))),
    ];
    let frame = write_full_list(77, endpoints.iter(), &names()).unwrap();
    assert_eq!(frame[4..12], 77u64.to_be_bytes());
    let event = read(&frame, &names()).unwrap().unwrap();
    let expected = Event::Hosts(ListKind::Full, endpoints);
    assert_eq!(event.hash(), expected.hash());
    assert_eq!(format!("{event:?}"), format!("{expected:?}"));
}

#[test]
fn a_list_with_a_host_that_a_frame_cannot_represent_is_not_encoded() {
    let mut without_number = endpoint(1, Role::Cache, Health::InService, None);
    without_number.listed.host = HostId("cache-one".into());
    assert_eq!(
        write_full_list(1, [&without_number].into_iter(), &names()),
        None
    );
    let mut with_ipv6 = endpoint(1, Role::Cache, Health::InService, None);
    with_ipv6.address = "[::1]:5050".parse().unwrap();
    assert_eq!(write_full_list(1, [&with_ipv6].into_iter(), &names()), None);
}
