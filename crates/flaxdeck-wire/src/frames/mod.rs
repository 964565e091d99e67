//! The coordinator's events: as frames on its connection, and as JSON in the configuration.
//!
//! A frame consists of its length in 4 bytes, the event's number in 8, its kind in 1, and a payload that depends on the
//! kind. All numbers are big-endian.

mod event;
mod known;
mod record;

use bytes::{Bytes, BytesMut};
use flaxdeck::{GroupId, ListKind, ObjectId, Time};
use flaxdeck_terms::Names;

use crate::{Malformed, Parsed, big_endian};
use record::{RECORD_BYTES, write_record};

pub use event::{AddressedEndpoint, Event, NumberedEvents};
pub use known::{KnownEvents, KnownEventsError, known_events};
pub use record::read_record;

/// Maximum bytes of a frame after its length field: enough for a list of some 37,000 hosts, over a hundred times the
/// largest expected fleet.
pub const MAX_FRAME: usize = 1 << 20;
/// Bytes of a frame's length field, which the length does not include.
const LENGTH_BYTES: usize = 4;
/// Bytes of the number and the kind, which every frame has after its length field.
pub const HEADER_BYTES: usize = 9;
/// The offset of the kind in a frame.
const KIND_AT: usize = LENGTH_BYTES + HEADER_BYTES - 1;
/// Bytes of a purge's time.
const TIME_BYTES: usize = 8;

/// No event; shows that the connection is alive.
const HEARTBEAT: u8 = 0;
/// An endpoint list of all hosts.
const FULL_LIST: u8 = 1;
/// An endpoint list of the hosts that are new or have changed.
const DELTA_LIST: u8 = 2;
/// A purge of one object.
const PURGE_OBJECT: u8 = 3;
/// A purge of a group of objects.
const PURGE_GROUP: u8 = 4;

/// One received frame.
#[derive(Debug)]
pub struct Frame {
    /// The number in its header: that of the event, if it has one.
    pub number: u64,
    /// The complete frame as received, for relaying.
    pub bytes: Bytes,
    /// The event; none in a heartbeat.
    pub event: Option<Event>,
}

/// Parses one frame at the front of the buffer and removes its bytes.
///
/// # Errors
///
/// Returns the violation of the protocol; the connection is then unusable.
pub fn parse(buffer: &mut BytesMut, names: &Names) -> Result<Parsed<Frame>, Malformed> {
    let bytes = match split(buffer)? {
        Parsed::Complete(bytes) => bytes,
        Parsed::Incomplete(missing) => return Ok(Parsed::Incomplete(missing)),
    };
    Ok(Parsed::Complete(Frame {
        number: big_endian(&bytes[LENGTH_BYTES..KIND_AT]),
        event: read(&bytes, names)?,
        bytes,
    }))
}

/// Splits one complete frame off the front of the buffer.
fn split(buffer: &mut BytesMut) -> Result<Parsed<Bytes>, Malformed> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(Parsed::Incomplete(LENGTH_BYTES - buffer.len()));
    }
    let length = big_endian(&buffer[..LENGTH_BYTES]) as usize;
    if !(HEADER_BYTES..=MAX_FRAME).contains(&length) {
        return Err(Malformed::FrameLength);
    }
    let used = LENGTH_BYTES + length;
    if buffer.len() < used {
        return Ok(Parsed::Incomplete(used - buffer.len()));
    }
    Ok(Parsed::Complete(buffer.split_to(used).freeze()))
}

/// Reads the event of a complete frame, which may have been relayed by another instance; none for a heartbeat.
///
/// # Errors
///
/// Returns the violation of the protocol.
pub fn read(frame: &[u8], names: &Names) -> Result<Option<Event>, Malformed> {
    let has_header = frame.len() >= LENGTH_BYTES + HEADER_BYTES;
    if !has_header || big_endian(&frame[..LENGTH_BYTES]) as usize + LENGTH_BYTES != frame.len() {
        return Err(Malformed::FrameLengthMismatch);
    }
    let payload = &frame[KIND_AT + 1..];
    match frame[KIND_AT] {
        HEARTBEAT => Ok(None),
        FULL_LIST => read_list(ListKind::Full, payload, names).map(Some),
        DELTA_LIST => read_list(ListKind::Delta, payload, names).map(Some),
        PURGE_OBJECT => {
            let (object, made) = read_purge(payload, 8)?;
            Ok(Some(Event::Purged {
                object: Some(ObjectId(object)),
                group: GroupId(0),
                made,
            }))
        }
        PURGE_GROUP => {
            let (group, made) = read_purge(payload, 2)?;
            Ok(Some(Event::Purged {
                object: None,
                group: GroupId(group),
                made,
            }))
        }
        _ => Err(Malformed::FrameKind),
    }
}

fn read_list(kind: ListKind, payload: &[u8], names: &Names) -> Result<Event, Malformed> {
    if !payload.len().is_multiple_of(RECORD_BYTES) {
        return Err(Malformed::ListLength);
    }
    let endpoints: Result<_, _> = payload
        .chunks(RECORD_BYTES)
        .map(|bytes| read_record(bytes, names))
        .collect();
    Ok(Event::Hosts(kind, endpoints?))
}

/// Reads the number of the purged object or group, which has `name_bytes` bytes, and the time of the purge.
fn read_purge(payload: &[u8], name_bytes: usize) -> Result<(u64, Time), Malformed> {
    if payload.len() != name_bytes + TIME_BYTES {
        return Err(Malformed::PurgeLength);
    }
    let (name, made) = payload.split_at(name_bytes);
    Ok((big_endian(name), Time::at_ms(big_endian(made) as f64)))
}

/// Encodes a frame with a full endpoint list under the given number, for instances that relay it in place of the
/// coordinator. Returns none if an endpoint cannot be represented in a frame, or the list exceeds [`MAX_FRAME`].
pub fn write_full_list<'a>(
    number: u64,
    endpoints: impl Iterator<Item = &'a AddressedEndpoint>,
    names: &Names,
) -> Option<Vec<u8>> {
    let records: Option<Vec<[u8; RECORD_BYTES]>> = endpoints
        .map(|endpoint| write_record(endpoint, names))
        .collect();
    let payload = records?.concat();
    let length = HEADER_BYTES + payload.len();
    if length > MAX_FRAME {
        return None;
    }
    Some(
        [
            &(length as u32).to_be_bytes()[..],
            &number.to_be_bytes(),
            &[FULL_LIST],
            &payload,
        ]
        .concat(),
    )
}
