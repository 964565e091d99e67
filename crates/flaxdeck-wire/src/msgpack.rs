//! The parts of MessagePack that the clients' protocol uses, read in place.
//!
//! Numbers are whole and not negative, lengths are checked against the bounds of the caller before anything waits for
//! that many bytes.

use bytes::{BufMut, BytesMut};

use crate::{InvalidValue, ReadError, big_endian};

type Read<T> = Result<T, ReadError>;

/// Arrays and maps nested deeper than this are no message of the protocol.
const MAX_DEPTH: usize = 8;
/// Bytes of the longest string that is written here.
const MAX_STRING: usize = 255;

/// Reads values one after the other.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// A reader that stands at the first of the bytes.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, position: 0 }
    }

    /// How many bytes have been read.
    pub fn position(&self) -> usize {
        self.position
    }

    fn take(&mut self, count: usize) -> Read<&'a [u8]> {
        let left = self.bytes.len() - self.position;
        if left < count {
            return Err(ReadError::Incomplete(count - left));
        }
        let taken = &self.bytes[self.position..self.position + count];
        self.position += count;
        Ok(taken)
    }

    fn byte(&mut self) -> Read<u8> {
        self.take(1).map(|byte| byte[0])
    }

    /// A big-endian number of so many bytes, at most 8.
    fn number(&mut self, bytes: usize) -> Read<u64> {
        self.take(bytes).map(big_endian)
    }

    /// A length that is written in so many bytes, at most `max`.
    fn length(&mut self, bytes: usize, max: usize) -> Read<usize> {
        let length = self.number(bytes)?;
        match usize::try_from(length) {
            Ok(length) if length <= max => Ok(length),
            _ => Err(InvalidValue::TooLong.into()),
        }
    }

    /// The head of an array: how many values follow.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotArray`], or bytes are missing.
    pub fn array(&mut self) -> Read<usize> {
        match self.byte()? {
            head @ 0x90..=0x9f => Ok(usize::from(head & 0x0f)),
            0xdc => self.length(2, usize::MAX),
            0xdd => self.length(4, usize::MAX),
            _ => Err(InvalidValue::NotArray.into()),
        }
    }

    /// The head of a map: how many pairs of values follow.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotMap`], or bytes are missing.
    pub fn map(&mut self) -> Read<usize> {
        match self.byte()? {
            head @ 0x80..=0x8f => Ok(usize::from(head & 0x0f)),
            0xde => self.length(2, usize::MAX),
            0xdf => self.length(4, usize::MAX),
            _ => Err(InvalidValue::NotMap.into()),
        }
    }

    /// A whole number from 0 up.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotWhole`], or bytes are missing.
    pub fn unsigned(&mut self) -> Read<u64> {
        match self.byte()? {
            head @ 0x00..=0x7f => Ok(u64::from(head)),
            0xcc => self.number(1),
            0xcd => self.number(2),
            0xce => self.number(4),
            0xcf => self.number(8),
            _ => Err(InvalidValue::NotWhole.into()),
        }
    }

    /// A string of at most so many bytes.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotText`], [`InvalidValue::NotUtf8`], [`InvalidValue::TooLong`], or bytes are missing.
    pub fn text(&mut self, max: usize) -> Read<&'a str> {
        let length = match self.byte()? {
            head @ 0xa0..=0xbf => usize::from(head & 0x1f),
            0xd9 => self.length(1, max)?,
            0xda => self.length(2, max)?,
            0xdb => self.length(4, max)?,
            _ => return Err(InvalidValue::NotText.into()),
        };
        str::from_utf8(self.take(length)?).map_err(|_| InvalidValue::NotUtf8.into())
    }

    /// The bytes of a `bin` value, at most so many; nil and an empty string are none.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotBinary`], [`InvalidValue::TooLong`], or bytes are missing.
    pub fn binary(&mut self, max: usize) -> Read<&'a [u8]> {
        let length = self.binary_length(max)?;
        self.take(length)
    }

    /// How many bytes the `bin` value has that begins here, at most so many; they follow.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotBinary`], [`InvalidValue::TooLong`], or bytes are missing.
    pub fn binary_length(&mut self, max: usize) -> Read<usize> {
        match self.byte()? {
            0xc0 | 0xa0 => Ok(0),
            0xc4 => self.length(1, max),
            0xc5 => self.length(2, max),
            0xc6 => self.length(4, max),
            _ => Err(InvalidValue::NotBinary.into()),
        }
    }

    /// Passes over one value of any type; gives a reader that stands before it and ends with it.
    ///
    /// # Errors
    ///
    /// As [`Reader::skip`].
    pub fn value(&mut self, max: usize) -> Read<Reader<'a>> {
        let position = self.position;
        self.skip(max)?;
        Ok(Reader {
            bytes: &self.bytes[..self.position],
            position,
        })
    }

    /// Passes over one value of any type, of which no part has a length over `max`.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::UnknownType`], [`InvalidValue::TooDeep`], [`InvalidValue::TooLong`], or bytes are missing.
    pub fn skip(&mut self, max: usize) -> Read<()> {
        self.skip_nested(max, MAX_DEPTH)
    }

    fn skip_nested(&mut self, max: usize, depth: usize) -> Read<()> {
        let depth = depth.checked_sub(1).ok_or(InvalidValue::TooDeep)?;
        let head = self.byte()?;
        if let Some(values) = self.nested_values(head, max)? {
            for _ in 0..values {
                self.skip_nested(max, depth)?;
            }
            return Ok(());
        }
        let bytes = self.scalar_length(head, max)?;
        self.take(bytes).map(|_| ())
    }

    /// How many values follow the head of an array or a map; none for other types.
    fn nested_values(&mut self, head: u8, max: usize) -> Read<Option<usize>> {
        let values = match head {
            0x90..=0x9f => usize::from(head & 0x0f),
            0x80..=0x8f => 2 * usize::from(head & 0x0f),
            0xdc => self.length(2, max)?,
            0xdd => self.length(4, max)?,
            0xde => 2 * self.length(2, max)?,
            0xdf => 2 * self.length(4, max)?,
            _ => return Ok(None),
        };
        Ok(Some(values))
    }

    /// How many bytes follow the head of a value that holds no others.
    fn scalar_length(&mut self, head: u8, max: usize) -> Read<usize> {
        Ok(match head {
            0x00..=0x7f | 0xe0..=0xff | 0xc0 | 0xc2 | 0xc3 => 0,
            0xa0..=0xbf => usize::from(head & 0x1f),
            0xcc | 0xd0 => 1,
            0xcd | 0xd1 => 2,
            0xca | 0xce | 0xd2 => 4,
            0xcb | 0xcf | 0xd3 => 8,
            0xc4 | 0xd9 => self.length(1, max)?,
            0xc5 | 0xda => self.length(2, max)?,
            0xc6 | 0xdb => self.length(4, max)?,
            0xd4..=0xd8 => 1 + (1 << (head - 0xd4)),
            0xc7 => 1 + self.length(1, max)?,
            0xc8 => 1 + self.length(2, max)?,
            0xc9 => 1 + self.length(4, max)?,
            _ => return Err(InvalidValue::UnknownType.into()),
        })
    }
}

/// Writes a whole number in as few bytes as it takes.
pub fn put_unsigned(out: &mut BytesMut, number: u32) {
    match number {
        0..=0x7f => out.put_u8(number as u8),
        0x80..=0xff => out.put_slice(&[0xcc, number as u8]),
        0x100..=0xffff => {
            out.put_u8(0xcd);
            out.put_u16(number as u16);
        }
        _ => {
            out.put_u8(0xce);
            out.put_u32(number);
        }
    }
}

/// Writes a string; what it has over 255 bytes is cut off.
pub fn put_text(out: &mut BytesMut, text: &str) {
    let text = &text.as_bytes()[..text.len().min(MAX_STRING)];
    match text.len() {
        short @ 0..=31 => out.put_u8(0xa0 | short as u8),
        long => out.put_slice(&[0xd9, long as u8]),
    }
    out.put_slice(text);
}

/// Writes the head of a `bin` value; its bytes follow.
pub fn put_binary_length(out: &mut BytesMut, length: usize) {
    match length {
        0..=0xff => out.put_slice(&[0xc4, length as u8]),
        0x100..=0xffff => {
            out.put_u8(0xc5);
            out.put_u16(length as u16);
        }
        _ => {
            out.put_u8(0xc6);
            out.put_u32(length as u32);
        }
    }
}
