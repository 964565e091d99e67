//! The coordinator's events: frames on its connection, and the same as JSON in the configuration.
//!
//! A frame is its length in 4 bytes, the event's number in 8, its kind in 1, and a payload by its kind; all numbers are
//! big-endian.

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
pub use record::record;

/// Bytes of one frame behind its length: a list of some 37,000 hosts, over a hundred times the largest fleet foreseen.
pub const MAX_FRAME: usize = 1 << 20;
/// Bytes of a frame's length, which does not count itself.
const LENGTH_BYTES: usize = 4;
/// Bytes of the number and the kind, which stand in every frame.
pub const HEADER_BYTES: usize = 9;
/// Where the kind stands.
const KIND_AT: usize = LENGTH_BYTES + HEADER_BYTES - 1;
/// Bytes of the time of a purge.
const TIME_BYTES: usize = 8;

/// Nothing new; the coordinator is there.
const HEARTBEAT: u8 = 0;
/// All hosts.
const FULL_LIST: u8 = 1;
/// Hosts that are new or have changed.
const DELTA_LIST: u8 = 2;
/// A purge of one object.
const PURGE_OBJECT: u8 = 3;
/// A purge of a group of objects.
const PURGE_GROUP: u8 = 4;

/// One frame that came in.
#[derive(Debug)]
pub struct Frame {
    /// The number that it carries: the event's, where it has one.
    pub number: u64,
    /// The frame as it came, for whoever passes it on.
    pub bytes: Bytes,
    /// The event; none in a heartbeat.
    pub event: Option<Event>,
}

/// Parses one frame at the head of the buffer and takes its bytes out.
///
/// # Errors
///
/// What is not of the protocol; the connection is of no more use.
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

/// Takes one complete frame out of the head of the buffer.
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

/// The event of a complete frame, which may have come by way of another instance; none in a heartbeat.
///
/// # Errors
///
/// What is not of the protocol.
pub fn read(frame: &[u8], names: &Names) -> Result<Option<Event>, Malformed> {
    let has_header = frame.len() >= LENGTH_BYTES + HEADER_BYTES;
    if !has_header || big_endian(&frame[..LENGTH_BYTES]) as usize + LENGTH_BYTES != frame.len() {
        return Err(Malformed::FrameCut);
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
        .map(|bytes| record(bytes, names))
        .collect();
    Ok(Event::Hosts(kind, endpoints?))
}

/// What is purged, a number of so many bytes, and when the purge was made.
fn read_purge(payload: &[u8], name_bytes: usize) -> Result<(u64, Time), Malformed> {
    if payload.len() != name_bytes + TIME_BYTES {
        return Err(Malformed::PurgeLength);
    }
    let (name, made) = payload.split_at(name_bytes);
    Ok((big_endian(name), Time::at_ms(big_endian(made) as f64)))
}

/// A frame with the full list of hosts under that number, for instances that pass it on in the coordinator's stead; none
/// if a host's name or address has no form in a frame, or the list is over the bound of a frame.
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
