//! The coordinator's events: frames on its connection, and the same as JSON in the configuration.

use std::net::{Ipv4Addr, SocketAddr};

use bytes::{Bytes, BytesMut};
use flaxdeck::{CellId, Endpoint, GroupId, Health, HostId, ListKind, ObjectId, Time, ZoneId};
use flaxdeck_terms::Names;
use flaxdeck_terms::fields::Fields;
use serde_json::Value;

use crate::{Malformed, Parsed, big_endian};

/// Bytes of one frame: a list of some 37,000 hosts, over a hundred times the largest fleet foreseen.
pub const MAX_FRAME: usize = 1 << 20;
const RECORD: usize = 27;
/// Number and kind, which stand in every frame.
pub const FIXED: usize = 9;
/// The kind of a frame that tells the whole list of hosts.
const WHOLE_LIST: u8 = 1;
/// Written where a host has no zone, or no machine kind of its role is known.
const NO_PLACE: u8 = u8::MAX;

/// What a numbered event tells.
#[derive(Clone, Debug)]
pub enum Event {
    Hosts(ListKind, Vec<AddressedEndpoint>),
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        made: Time,
    },
}

impl Event {
    pub fn is_whole_list(&self) -> bool {
        matches!(self, Event::Hosts(ListKind::Full, _))
    }

    /// A hash of what it tells, the same whether it came in a frame or in a file, in whatever order its lines stand.
    pub fn hash(&self) -> u64 {
        let line = |endpoint: &AddressedEndpoint| {
            let AddressedEndpoint { listed, address } = endpoint;
            let words = [
                (listed.weight * 1000.0).round() as u64,
                listed.zone.map_or(u64::MAX, |zone| zone.0 as u64),
                listed.cell.0,
                listed.role as u64,
                listed.health as u64,
                listed.started.map_or(0, |at| at.ms() as u64),
                u64::from(address.port()),
            ];
            let host = fold(0, listed.host.0.as_bytes());
            words.iter().fold(
                fold(host, address.ip().to_string().as_bytes()),
                |hash, word| fold(hash, &word.to_be_bytes()),
            )
        };
        let hash = match self {
            Event::Hosts(list_kind, endpoints) => {
                let lines = endpoints.iter().map(line).fold(0u64, u64::wrapping_add);
                fold(1 + *list_kind as u64, &lines.to_be_bytes())
            }
            Event::Purged {
                object,
                group,
                made,
            } => {
                let words = [
                    object.map_or(0, |object| object.0),
                    group.0,
                    made.ms() as u64,
                ];
                let named = 8 + u64::from(object.is_some());
                words
                    .iter()
                    .fold(named, |hash, word| fold(hash, &word.to_be_bytes()))
            }
        };
        hash.max(1) // zero stands for an event that is not known
    }
}

/// FNV-1a over the bytes, each step mixed: two events of one number are told apart, no adversary is met.
fn fold(hash: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    let hash = bytes.iter().fold(hash ^ 0xcbf2_9ce4_8422_2325, step);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Events with their numbers, in their order.
pub type NumberedEvents = Vec<(u64, Event)>;

/// A line of the list with the address at which this dispatcher reaches the host.
#[derive(Clone, Debug)]
pub struct AddressedEndpoint {
    pub listed: Endpoint,
    pub address: SocketAddr,
}

fn started(unix_ms: f64) -> Option<Time> {
    Some(unix_ms).filter(|ms| *ms > 0.0).map(Time::at_ms)
}

/// Takes one whole frame out of the head of the buffer, with its number.
pub fn split(buffer: &mut BytesMut) -> Result<Parsed<(u64, Bytes)>, Malformed> {
    if buffer.len() < 4 {
        return Ok(Parsed::Short(4 - buffer.len()));
    }
    let length = big_endian(&buffer[..4]) as usize;
    if !(FIXED..=MAX_FRAME).contains(&length) {
        return Err(Malformed("a frame's length is out of bounds"));
    }
    let used = 4 + length;
    if buffer.len() < used {
        return Ok(Parsed::Short(used - buffer.len()));
    }
    let frame = buffer.split_to(used).freeze();
    Ok(Parsed::Whole((big_endian(&frame[4..12]), frame)))
}

/// What a whole frame tells, which may have come by way of somebody else; an empty one tells nothing.
pub fn read(frame: &[u8], names: &Names) -> Result<Option<Event>, Malformed> {
    if frame.len() < 4 + FIXED || big_endian(&frame[..4]) as usize + 4 != frame.len() {
        return Err(Malformed("a frame that is not whole"));
    }
    let payload = &frame[4 + FIXED..];
    let event = match frame[12] {
        0 => return Ok(None),
        kind @ (1 | 2) => {
            if !payload.len().is_multiple_of(RECORD) {
                return Err(Malformed("a list that is not made of records"));
            }
            let list_kind = if kind == 1 {
                ListKind::Full
            } else {
                ListKind::Delta
            };
            let endpoints: Result<_, _> = payload
                .chunks(RECORD)
                .map(|row| record(row, names))
                .collect();
            Event::Hosts(list_kind, endpoints?)
        }
        kind @ (3 | 4) => {
            let named = if kind == 3 { 8 } else { 2 };
            if payload.len() != named + 8 {
                return Err(Malformed("a purge of the wrong length"));
            }
            let (name, made) = (
                big_endian(&payload[..named]),
                Time::at_ms(big_endian(&payload[named..]) as f64),
            );
            match kind {
                3 => Event::Purged {
                    object: Some(ObjectId(name)),
                    group: GroupId(0),
                    made,
                },
                _ => Event::Purged {
                    object: None,
                    group: GroupId(name),
                    made,
                },
            }
        }
        _ => return Err(Malformed("a frame of no known kind")),
    };
    Ok(Some(event))
}

/// Parses one frame at the head of the buffer and takes its bytes out; an empty one holds no event.
pub fn parse(
    buffer: &mut BytesMut,
    names: &Names,
) -> Result<Parsed<(u64, Bytes, Option<Event>)>, Malformed> {
    Ok(match split(buffer)? {
        Parsed::Whole((index, frame)) => {
            let event = read(&frame, names)?;
            Parsed::Whole((index, frame, event))
        }
        Parsed::Short(more) => Parsed::Short(more),
    })
}

/// Reads one line of a list: `RECORD` bytes.
pub fn record(row: &[u8], names: &Names) -> Result<AddressedEndpoint, Malformed> {
    let health = match row[10] {
        0 => Health::InService,
        1 => Health::Draining,
        2 => Health::Removed,
        _ => return Err(Malformed("a host of no known state")),
    };
    let zone = Some(usize::from(row[11])).filter(|zone| *zone < names.zones.len());
    let address = Ipv4Addr::new(row[4], row[5], row[6], row[7]);
    Ok(AddressedEndpoint {
        listed: Endpoint {
            host: HostId(format!("s-{:08x}", big_endian(&row[..4])).into()),
            weight: big_endian(&row[15..19]) as f64 / 1000.0,
            zone: zone.map(ZoneId),
            cell: CellId(big_endian(&row[13..15])),
            role: names.role(Some(usize::from(row[12]))),
            health,
            started: started(big_endian(&row[19..27]) as f64),
        },
        address: SocketAddr::from((address, big_endian(&row[8..10]) as u16)),
    })
}

/// A frame that tells the whole list of hosts under that number, for instances that pass it on in the coordinator's
/// stead; none if a host's name or address has no form in a frame, or the list is over the bound of a frame.
pub fn whole_list<'a>(
    number: u64,
    endpoints: impl Iterator<Item = &'a AddressedEndpoint>,
    names: &Names,
) -> Option<Vec<u8>> {
    let records: Option<Vec<[u8; RECORD]>> = endpoints
        .map(|endpoint| record_of(endpoint, names))
        .collect();
    let payload = records?.concat();
    let length = FIXED + payload.len();
    if length > MAX_FRAME {
        return None;
    }
    Some(
        [
            &(length as u32).to_be_bytes()[..],
            &number.to_be_bytes(),
            &[WHOLE_LIST],
            &payload,
        ]
        .concat(),
    )
}

/// The reverse of [`record`].
fn record_of(endpoint: &AddressedEndpoint, names: &Names) -> Option<[u8; RECORD]> {
    let AddressedEndpoint { listed, address } = endpoint;
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let digits = listed
        .host
        .0
        .strip_prefix("s-")
        .filter(|digits| digits.len() == 8)?;
    let name = u32::from_str_radix(digits, 16).ok()?;
    let zone = listed
        .zone
        .map_or(Some(NO_PLACE), |zone| u8::try_from(zone.0).ok())?;
    let kind = names
        .kind_of(listed.role)
        .and_then(|kind| u8::try_from(kind).ok())
        .unwrap_or(NO_PLACE);
    let cell = u16::try_from(listed.cell.0).ok()?;
    let weight = (listed.weight * 1000.0).round() as u32;
    let started = listed.started.map_or(0, |at| at.ms() as u64);
    let health = match listed.health {
        Health::InService => 0,
        Health::Draining => 1,
        Health::Removed => 2,
    };
    let mut row = [0; RECORD];
    row[..4].copy_from_slice(&name.to_be_bytes());
    row[4..8].copy_from_slice(&address.ip().octets());
    row[8..10].copy_from_slice(&address.port().to_be_bytes());
    row[10..13].copy_from_slice(&[health, zone, kind]);
    row[13..15].copy_from_slice(&cell.to_be_bytes());
    row[15..19].copy_from_slice(&weight.to_be_bytes());
    row[19..].copy_from_slice(&started.to_be_bytes());
    Some(row)
}

/// The events of a configuration, and the number of the last.
pub fn known(known: &Fields, names: &Names) -> Result<(u64, NumberedEvents), String> {
    let mut events = NumberedEvents::new();
    for update in known.rows("updates")? {
        let update = Fields::of(update, "an update")?;
        events.push((update.whole("index")?, update_of(&update, names)?));
    }
    Ok((known.whole("index")?, events))
}

fn update_of(update: &Fields, names: &Names) -> Result<Event, String> {
    if update.get("endpoints").is_some() {
        let list = update.inner("endpoints")?;
        let list_kind = if list.flag_or_false("whole")? {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        let endpoints = list.rows("hosts")?.iter().map(|row| endpoint(row, names));
        return Ok(Event::Hosts(
            list_kind,
            endpoints.collect::<Result<_, _>>()?,
        ));
    }
    let purge = update.inner("evict")?;
    let made = purge.time("unix_ms")?;
    let object = purge
        .text_or_none("ref")?
        .map(|key| u64::from_str_radix(key, 16));
    let object = object
        .transpose()
        .map_err(|_| "field ref is not in hex")?
        .map(ObjectId);
    let group = GroupId(purge.whole_or_none("shard")?.unwrap_or(0));
    Ok(Event::Purged {
        object,
        group,
        made,
    })
}

fn endpoint(row: &Value, names: &Names) -> Result<AddressedEndpoint, String> {
    let row = Fields::of(row, "a host")?;
    let place = |names: &[String], name: Option<&str>| {
        name.and_then(|name| flaxdeck_terms::place(names, name))
    };
    let health = match row.text("health")? {
        "Ready" => Health::InService,
        "Terminating" => Health::Draining,
        "Gone" => Health::Removed,
        other => return Err(format!("unknown health {other}")),
    };
    let dial = row.text("dial")?;
    Ok(AddressedEndpoint {
        listed: Endpoint {
            host: HostId(row.text("host")?.into()),
            weight: row.number_or("share", 1.0)?,
            zone: place(&names.zones, row.text_or_none("site")?).map(ZoneId),
            cell: CellId(row.whole_or_none("block")?.unwrap_or(0)),
            role: names.role(place(&names.kinds, row.text_or_none("class")?)),
            health,
            started: started(row.number_or("born_ms", 0.0)?),
        },
        address: dial
            .parse()
            .map_err(|_| format!("dial {dial} is no address"))?,
    })
}
