//! The parts of MessagePack that the clients' protocol uses, read in place.

use bytes::{BufMut, BytesMut};

use crate::big_endian;

/// Why a value could not be read.
#[derive(Debug, PartialEq)]
pub enum Stop {
    /// So many bytes more are needed, at least.
    Short(usize),
    Bad(&'static str),
}

type Read<T> = Result<T, Stop>;

/// Arrays and maps nested deeper than this are no message of the protocol.
const DEPTH: usize = 8;

pub struct Reader<'a> {
    bytes: &'a [u8],
    pub at: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, at: 0 }
    }

    fn take(&mut self, count: usize) -> Read<&'a [u8]> {
        let left = self.bytes.len() - self.at;
        if left < count {
            return Err(Stop::Short(count - left));
        }
        let taken = &self.bytes[self.at..self.at + count];
        self.at += count;
        Ok(taken)
    }

    fn byte(&mut self) -> Read<u8> {
        self.take(1).map(|byte| byte[0])
    }

    /// A big-endian number of so many bytes, at most 8.
    fn number(&mut self, bytes: usize) -> Read<u64> {
        self.take(bytes).map(big_endian)
    }

    fn length(&mut self, bytes: usize, most: usize) -> Read<usize> {
        let length = self.number(bytes)?;
        usize::try_from(length)
            .ok()
            .filter(|length| *length <= most)
            .ok_or(Stop::Bad("too long"))
    }

    pub fn array(&mut self) -> Read<usize> {
        match self.byte()? {
            head @ 0x90..=0x9f => Ok(usize::from(head & 0x0f)),
            0xdc => self.length(2, usize::MAX),
            0xdd => self.length(4, usize::MAX),
            _ => Err(Stop::Bad("not an array")),
        }
    }

    pub fn map(&mut self) -> Read<usize> {
        match self.byte()? {
            head @ 0x80..=0x8f => Ok(usize::from(head & 0x0f)),
            0xde => self.length(2, usize::MAX),
            0xdf => self.length(4, usize::MAX),
            _ => Err(Stop::Bad("not a map")),
        }
    }

    pub fn whole(&mut self) -> Read<u64> {
        match self.byte()? {
            head @ 0x00..=0x7f => Ok(u64::from(head)),
            0xcc => self.number(1),
            0xcd => self.number(2),
            0xce => self.number(4),
            0xcf => self.number(8),
            _ => Err(Stop::Bad("not a whole number")),
        }
    }

    pub fn text(&mut self, most: usize) -> Read<&'a str> {
        let length = match self.byte()? {
            head @ 0xa0..=0xbf => usize::from(head & 0x1f),
            0xd9 => self.length(1, most)?,
            0xda => self.length(2, most)?,
            0xdb => self.length(4, most)?,
            _ => return Err(Stop::Bad("not a string")),
        };
        str::from_utf8(self.take(length)?).map_err(|_| Stop::Bad("not UTF-8"))
    }

    /// The bytes of a `bin` value; nil and an empty string are none.
    pub fn binary(&mut self, most: usize) -> Read<&'a [u8]> {
        let length = self.binary_head(most)?;
        self.take(length)
    }

    /// How many bytes the `bin` value has that begins here.
    pub fn binary_head(&mut self, most: usize) -> Read<usize> {
        match self.byte()? {
            0xc0 | 0xa0 => Ok(0),
            0xc4 => self.length(1, most),
            0xc5 => self.length(2, most),
            0xc6 => self.length(4, most),
            _ => Err(Stop::Bad("not binary")),
        }
    }

    /// Passes over one value of any type; gives a reader that stands before it and ends with it.
    pub fn value(&mut self, most: usize) -> Read<Reader<'a>> {
        let at = self.at;
        self.skip(most)?;
        Ok(Reader {
            bytes: &self.bytes[..self.at],
            at,
        })
    }

    /// Passes over one value of any type.
    pub fn skip(&mut self, most: usize) -> Read<()> {
        self.skip_at(most, DEPTH)
    }

    fn skip_at(&mut self, most: usize, depth: usize) -> Read<()> {
        let depth = depth.checked_sub(1).ok_or(Stop::Bad("nested too deep"))?;
        let bytes = match self.byte()? {
            0x00..=0x7f | 0xe0..=0xff | 0xc0 | 0xc2 | 0xc3 => 0,
            head @ 0xa0..=0xbf => usize::from(head & 0x1f),
            0xcc | 0xd0 => 1,
            0xcd | 0xd1 => 2,
            0xca | 0xce | 0xd2 => 4,
            0xcb | 0xcf | 0xd3 => 8,
            0xc4 | 0xd9 => self.length(1, most)?,
            0xc5 | 0xda => self.length(2, most)?,
            0xc6 | 0xdb => self.length(4, most)?,
            head @ 0xd4..=0xd8 => 1 + (1 << (head - 0xd4)),
            0xc7 => 1 + self.length(1, most)?,
            0xc8 => 1 + self.length(2, most)?,
            0xc9 => 1 + self.length(4, most)?,
            head => {
                let values = match head {
                    0x90..=0x9f => usize::from(head & 0x0f),
                    0x80..=0x8f => 2 * usize::from(head & 0x0f),
                    0xdc => self.length(2, most)?,
                    0xdd => self.length(4, most)?,
                    0xde => 2 * self.length(2, most)?,
                    0xdf => 2 * self.length(4, most)?,
                    _ => return Err(Stop::Bad("no such type")),
                };
                for _ in 0..values {
                    self.skip_at(most, depth)?;
                }
                0
            }
        };
        self.take(bytes).map(|_| ())
    }
}

pub fn put_whole(out: &mut BytesMut, number: u32) {
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

/// A string of at most 255 bytes.
pub fn put_text(out: &mut BytesMut, text: &str) {
    let text = &text.as_bytes()[..text.len().min(255)];
    match text.len() {
        short @ 0..=31 => out.put_u8(0xa0 | short as u8),
        long => out.put_slice(&[0xd9, long as u8]),
    }
    out.put_slice(text);
}

/// The head of a `bin` value; its bytes follow.
pub fn put_binary_head(out: &mut BytesMut, length: usize) {
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
