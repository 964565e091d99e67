//! The record of one host in an endpoint list of a frame.
//!
//! | bytes | field |
//! | --- | --- |
//! | 0 to 3 | the number in the host's name |
//! | 4 to 9 | IPv4 address and port |
//! | 10 | health |
//! | 11, 12 | zone and machine kind, as indexes into the settings' lists |
//! | 13, 14 | cell |
//! | 15 to 18 | weight in thousandths |
//! | 19 to 26 | start of the host's process, in milliseconds since 1970; 0 if unknown |

use std::net::{Ipv4Addr, SocketAddr};

use flaxdeck::{CellId, Endpoint, Health, HostId, Time, ZoneId};
use flaxdeck_terms::Names;

use super::AddressedEndpoint;
use crate::{Malformed, big_endian};

/// Bytes of one record.
pub(super) const RECORD_BYTES: usize = 27;
/// Written in place of an index if a host has no zone, or the settings have no machine kind of its role.
const NOT_IN_LIST: u8 = u8::MAX;
/// The prefix of the number in a host's name.
const HOST_PREFIX: &str = "s-";
/// Hex digits of the number in a host's name.
const HOST_DIGITS: usize = 8;

/// Converts the start time of a host's process; 0 stands for an unknown time.
pub(super) fn started(unix_ms: f64) -> Option<Time> {
    Some(unix_ms).filter(|ms| *ms > 0.0).map(Time::at_ms)
}

/// Reads one record of 27 bytes.
///
/// # Errors
///
/// Returns [`Malformed::HostHealth`] if the health is unknown.
pub fn read_record(bytes: &[u8], names: &Names) -> Result<AddressedEndpoint, Malformed> {
    let health = match bytes[10] {
        0 => Health::InService,
        1 => Health::Draining,
        2 => Health::Removed,
        _ => return Err(Malformed::HostHealth),
    };
    let zone = Some(usize::from(bytes[11])).filter(|zone| *zone < names.zones.len());
    let address = Ipv4Addr::new(bytes[4], bytes[5], bytes[6], bytes[7]);
    Ok(AddressedEndpoint {
        listed: Endpoint {
            host: host_id(big_endian(&bytes[..4]) as u32),
            weight: big_endian(&bytes[15..19]) as f64 / 1000.0,
            zone: zone.map(ZoneId),
            cell: CellId(big_endian(&bytes[13..15])),
            role: names.role(Some(usize::from(bytes[12]))),
            health,
            started: started(big_endian(&bytes[19..27]) as f64),
        },
        address: SocketAddr::from((address, big_endian(&bytes[8..10]) as u16)),
    })
}

/// Encodes a record, the inverse of [`read_record`]; none if the host's name, address, zone or cell cannot be
/// represented.
pub(super) fn write_record(
    endpoint: &AddressedEndpoint,
    names: &Names,
) -> Option<[u8; RECORD_BYTES]> {
    let AddressedEndpoint { listed, address } = endpoint;
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let zone = match listed.zone {
        Some(zone) => u8::try_from(zone.0).ok()?,
        None => NOT_IN_LIST,
    };
    let kind = names
        .kind_of(listed.role)
        .and_then(|kind| u8::try_from(kind).ok())
        .unwrap_or(NOT_IN_LIST);
    let cell = u16::try_from(listed.cell.0).ok()?;
    let weight = (listed.weight * 1000.0).round() as u32;
    let started = listed.started.map_or(0, |at| at.ms() as u64);
    let mut bytes = [0; RECORD_BYTES];
    bytes[..4].copy_from_slice(&host_number(&listed.host.0)?.to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    bytes[8..10].copy_from_slice(&address.port().to_be_bytes());
    bytes[10..13].copy_from_slice(&[health_byte(listed.health), zone, kind]);
    bytes[13..15].copy_from_slice(&cell.to_be_bytes());
    bytes[15..19].copy_from_slice(&weight.to_be_bytes());
    bytes[19..].copy_from_slice(&started.to_be_bytes());
    Some(bytes)
}

/// Returns the id of the host with that number, the same for frames and for text.
pub(super) fn host_id(number: u32) -> HostId {
    HostId(format!("{HOST_PREFIX}{number:08x}").into())
}

/// Returns the number in a host's name; none for a name that is not `s-` and 8 hex digits.
pub(super) fn host_number(name: &str) -> Option<u32> {
    let digits = name.strip_prefix(HOST_PREFIX)?;
    let is_hex = digits.len() == HOST_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    u32::from_str_radix(digits, 16).ok().filter(|_| is_hex)
}

fn health_byte(health: Health) -> u8 {
    match health {
        Health::InService => 0,
        Health::Draining => 1,
        Health::Removed => 2,
    }
}
