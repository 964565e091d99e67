//! The parts of MessagePack that the clients' protocol uses, read without copying.
//!
//! Only unsigned integers are read. Lengths are checked against the caller's bounds before that many bytes are asked
//! for.

use bytes::{BufMut, BytesMut};

use crate::{InvalidValue, ReadError, big_endian};

type Read<T> = Result<T, ReadError>;

/// Maximum nesting of values in a message.
const MAX_DEPTH: usize = 8;
/// Maximum bytes of a string written by [`put_text`].
const MAX_STRING: usize = 255;

/// Reads consecutive values.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// Creates a reader at the start of the bytes.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, position: 0 }
    }

    /// Returns the number of bytes read so far.
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

    /// Reads a big-endian number of at most 8 bytes.
    fn number(&mut self, bytes: usize) -> Read<u64> {
        self.take(bytes).map(big_endian)
    }

    /// Reads a length that is encoded in `bytes` bytes and may be at most `max`.
    fn length(&mut self, bytes: usize, max: usize) -> Read<usize> {
        let length = self.number(bytes)?;
        match usize::try_from(length) {
            Ok(length) if length <= max => Ok(length),
            _ => Err(InvalidValue::TooLong.into()),
        }
    }

    /// Reads the head of an array and returns how many values follow.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotArray`]; [`ReadError::Incomplete`] if bytes are missing.
    pub fn array(&mut self) -> Read<usize> {
        match self.byte()? {
            head @ 0x90..=0x9f => Ok(usize::from(head & 0x0f)),
            0xdc => self.length(2, usize::MAX),
            0xdd => self.length(4, usize::MAX),
            _ => Err(InvalidValue::NotArray.into()),
        }
    }

    /// Reads the head of a map and returns how many pairs of values follow.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotMap`]; [`ReadError::Incomplete`] if bytes are missing.
    pub fn map(&mut self) -> Read<usize> {
        match self.byte()? {
            head @ 0x80..=0x8f => Ok(usize::from(head & 0x0f)),
            0xde => self.length(2, usize::MAX),
            0xdf => self.length(4, usize::MAX),
            _ => Err(InvalidValue::NotMap.into()),
        }
    }

    /// Reads an unsigned integer.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotUnsigned`]; [`ReadError::Incomplete`] if bytes are missing.
    pub fn unsigned(&mut self) -> Read<u64> {
        match self.byte()? {
            head @ 0x00..=0x7f => Ok(u64::from(head)),
            0xcc => self.number(1),
            0xcd => self.number(2),
            0xce => self.number(4),
            0xcf => self.number(8),
            _ => Err(InvalidValue::NotUnsigned.into()),
        }
    }

    /// Reads a string of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotString`], [`InvalidValue::NotUtf8`], [`InvalidValue::TooLong`]; [`ReadError::Incomplete`] if
    /// bytes are missing.
    pub fn text(&mut self, max: usize) -> Read<&'a str> {
        let length = match self.byte()? {
            head @ 0xa0..=0xbf => usize::from(head & 0x1f),
            0xd9 => self.length(1, max)?,
            0xda => self.length(2, max)?,
            0xdb => self.length(4, max)?,
            _ => return Err(InvalidValue::NotString.into()),
        };
        str::from_utf8(self.take(length)?).map_err(|_| InvalidValue::NotUtf8.into())
    }

    /// Reads a `bin` value of at most `max` bytes; nil and an empty string are read as empty.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotBinary`], [`InvalidValue::TooLong`]; [`ReadError::Incomplete`] if bytes are missing.
    pub fn binary(&mut self, max: usize) -> Read<&'a [u8]> {
        let length = self.binary_length(max)?;
        self.take(length)
    }

    /// Reads the head of a `bin` value and returns its length, at most `max`; the bytes follow.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::NotBinary`], [`InvalidValue::TooLong`]; [`ReadError::Incomplete`] if bytes are missing.
    pub fn binary_length(&mut self, max: usize) -> Read<usize> {
        match self.byte()? {
            0xc0 | 0xa0 => Ok(0),
            0xc4 => self.length(1, max),
            0xc5 => self.length(2, max),
            0xc6 => self.length(4, max),
            _ => Err(InvalidValue::NotBinary.into()),
        }
    }

    /// Skips one value of any type and returns a reader over its bytes. Positions of that reader count from the start
    /// of this one's bytes.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Reader::skip`].
    pub fn value(&mut self, max: usize) -> Read<Reader<'a>> {
        let position = self.position;
        self.skip(max)?;
        Ok(Reader {
            bytes: &self.bytes[..self.position],
            position,
        })
    }

    /// Skips one value of any type in which no length exceeds `max`.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::UnknownType`], [`InvalidValue::TooDeep`], [`InvalidValue::TooLong`]; [`ReadError::Incomplete`]
    /// if bytes are missing.
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

    /// Returns how many values follow the head of an array or a map; none for other types.
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

    /// Returns how many bytes follow the head of a value that contains no other values.
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

/// Writes an unsigned integer in its shortest form.
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

/// Writes a string, truncated to 255 bytes.
pub fn put_text(out: &mut BytesMut, text: &str) {
    let text = &text.as_bytes()[..text.len().min(MAX_STRING)];
    match text.len() {
        short @ 0..=31 => out.put_u8(0xa0 | short as u8),
        long => out.put_slice(&[0xd9, long as u8]),
    }
    out.put_slice(text);
}

/// Writes the head of a `bin` value; the caller writes its bytes.
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
