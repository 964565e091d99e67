//! A whole list that is written for others reads back as it was.

mod names;

use flaxdeck::words::*;
use flaxdeck_wire::frames::{Event, Station, read, whole_list};
use names::names;

fn station(n: u32, role: Role, standing: Standing, zone: Option<ZoneId>) -> Station {
    let started = (n > 0).then(|| Time::at_ms(1_764_576_000_123.0));
    let (host, cell) = (HostId(format!("s-{n:08x}").into()), CellId(u64::from(n)));
    let listed = Listed { host, weight: 4.5, zone, cell, role, standing, started };
    Station { listed, address: format!("127.1.0.9:{}", 5050 + n).parse().unwrap() }
}

#[test]
fn a_whole_list_reads_back_to_the_hash() {
    let stations = vec![
        station(0, Role::Cache, Standing::InService, Some(ZoneId(0))),
        station(1, Role::Parent, Standing::Draining, None),
        station(2, Role::Origin, Standing::Gone, Some(ZoneId(0))),
    ];
    let frame = whole_list(77, stations.iter(), &names()).unwrap();
    assert_eq!(frame[4..12], 77u64.to_be_bytes());
    let event = read(&frame, &names()).unwrap().unwrap();
    let told = Event::Hosts(Coverage::Whole, stations);
    assert_eq!(event.hash(), told.hash());
    assert_eq!(format!("{event:?}"), format!("{told:?}"));
}

#[test]
fn a_host_that_no_frame_can_name_is_not_written() {
    let mut named = station(1, Role::Cache, Standing::InService, None);
    named.listed.host = HostId("cache-one".into());
    assert_eq!(whole_list(1, [&named].into_iter(), &names()), None);
    let mut far = station(1, Role::Cache, Standing::InService, None);
    far.address = "[::1]:5050".parse().unwrap();
    assert_eq!(whole_list(1, [&far].into_iter(), &names()), None);
}
