//! Parses the parameters of a client's request: its fields and its body.

use std::mem;
use std::ops::Range;

use bytes::Bytes;
use flaxdeck::{ClassId, GroupId, ObjectId, Span};
use flaxdeck_net::budget::MAX_WRITE;

use super::{MAX_FIELD, MAX_FIELDS};
use crate::msgpack::Reader;
use crate::{ClientRequest, InvalidRequest, ReadError};

/// The size of one byte in KB, less than which no object has.
const MIN_SIZE_KB: f64 = 0.001;
/// Hex digits of a request id and of an object key.
const HEX_DIGITS: usize = 16;
/// The highest number of a purge group.
const MAX_GROUP: u64 = 255;
/// The fields that a request may have, each at most once.
const FIELD_NAMES: [&str; 9] = [
    "id", "key", "wait", "retry", "slice", "set", "kb", "seen", "once",
];

/// A request whose texts and body are still ranges of the buffer that it was parsed from.
pub(super) struct RequestDraft {
    class: ClassId,
    /// Which of [`FIELD_NAMES`] have been read.
    given: [bool; FIELD_NAMES.len()],
    id: Option<Range<usize>>,
    key: Option<Range<usize>>,
    object: u64,
    part: u64,
    group: u64,
    size_kb: Option<f64>,
    timeout_ms: Option<f64>,
    is_retry: bool,
    cached_tag: Option<Range<usize>>,
    idempotency_key: Option<Range<usize>>,
    body: Range<usize>,
}

impl RequestDraft {
    fn new(class: ClassId) -> RequestDraft {
        RequestDraft {
            class,
            given: [false; FIELD_NAMES.len()],
            id: None,
            key: None,
            object: 0,
            part: 0,
            group: 0,
            size_kb: None,
            timeout_ms: None,
            is_retry: false,
            cached_tag: None,
            idempotency_key: None,
            body: 0..0,
        }
    }

    /// Reads the two parameters, fields and body.
    pub(super) fn read(
        reader: &mut Reader,
        class: ClassId,
    ) -> Result<RequestDraft, ReadError<InvalidRequest>> {
        if reader.array()? != 2 {
            return Err(InvalidRequest::ParameterCount.into());
        }
        let count = reader.map()?;
        if count > MAX_FIELDS {
            return Err(InvalidRequest::FieldCount.into());
        }
        let mut draft = RequestDraft::new(class);
        for _ in 0..count {
            let name = reader.text(MAX_FIELD)?;
            let value = reader.text(MAX_FIELD)?;
            let range = reader.position() - value.len()..reader.position();
            draft.mark_given(name)?;
            draft.set(name, value, range)?;
        }
        let body = reader.binary(MAX_WRITE)?;
        draft.body = reader.position() - body.len()..reader.position();
        Ok(draft)
    }

    /// Records that a field was read. Two values of one field contradict each other; unknown fields are ignored.
    fn mark_given(&mut self, name: &str) -> Result<(), InvalidRequest> {
        let index = FIELD_NAMES.iter().position(|known| *known == name);
        match index.map(|index| mem::replace(&mut self.given[index], true)) {
            Some(true) => Err(InvalidRequest::DuplicateField),
            _ => Ok(()),
        }
    }

    /// Sets one field; unknown fields are ignored.
    fn set(&mut self, name: &str, value: &str, range: Range<usize>) -> Result<(), InvalidRequest> {
        match name {
            "id" => self.id = Some(range).filter(|_| read_hex(value).is_some()),
            "key" => {
                self.object = read_hex(value).ok_or(InvalidRequest::Key)?;
                self.key = Some(range);
            }
            "wait" => self.timeout_ms = read_number(value),
            "retry" => self.is_retry = value == "1",
            "slice" => self.part = value.parse().map_err(|_| InvalidRequest::Part)?,
            "set" => self.group = read_group(value)?,
            "kb" => self.size_kb = Some(read_size_kb(value).ok_or(InvalidRequest::Size)?),
            "seen" if is_word(value) => self.cached_tag = Some(range),
            "seen" => return Err(InvalidRequest::Tag),
            "once" if is_word(value) => self.idempotency_key = Some(range),
            "once" => return Err(InvalidRequest::IdempotencyKey),
            _ => {}
        }
        Ok(())
    }

    /// Returns the request, with its texts as slices of `bytes`, if no required field is missing.
    pub(super) fn finish(self, bytes: &Bytes) -> Result<ClientRequest, InvalidRequest> {
        let slice = |range: Range<usize>| bytes.slice(range);
        Ok(ClientRequest {
            class: self.class,
            id: slice(self.id.ok_or(InvalidRequest::Id)?),
            key: slice(self.key.ok_or(InvalidRequest::MissingKey)?),
            object: ObjectId(self.object),
            part: self.part,
            group: GroupId(self.group),
            size_kb: self.size_kb.filter(|kb| *kb > 0.0),
            timeout: Span::of_ms(self.timeout_ms.ok_or(InvalidRequest::Wait)?),
            is_retry: self.is_retry,
            cached_tag: self.cached_tag.map(slice),
            idempotency_key: self.idempotency_key.map(slice),
            body: slice(self.body),
        })
    }
}

fn read_hex(value: &str) -> Option<u64> {
    let is_hex = value.len() == HEX_DIGITS && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(value, 16).ok().filter(|_| is_hex)
}

/// Reads a number of milliseconds or KB from 0 to below 1e9, which cannot overflow later computations; none for any
/// other value.
fn read_number(value: &str) -> Option<f64> {
    value
        .parse()
        .ok()
        .filter(|number| (0.0..1e9).contains(number))
}

/// Reads a size in KB, which is 0 if it is not known; none for a size that no object can have.
fn read_size_kb(value: &str) -> Option<f64> {
    read_number(value).filter(|kb| *kb == 0.0 || *kb >= MIN_SIZE_KB)
}

/// Reads the number of a purge group.
fn read_group(value: &str) -> Result<u64, InvalidRequest> {
    let group = value.parse().map_err(|_| InvalidRequest::Group)?;
    if group > MAX_GROUP {
        return Err(InvalidRequest::GroupOutOfRange);
    }
    Ok(group)
}

/// Whether a line to a host can contain the value unescaped.
fn is_word(value: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !b",=+".contains(&byte);
    !value.is_empty() && value.bytes().all(is_plain)
}
