//! The part of MessagePack that a client needs: it writes requests and reads answers.

use std::io::{self, Read};

/// A value of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Number(u64),
    Text(String),
    Bytes(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn byte(input: &mut impl Read) -> io::Result<u8> {
    let mut one = [0];
    input.read_exact(&mut one)?;
    Ok(one[0])
}

fn number(input: &mut impl Read, bytes: usize) -> io::Result<u64> {
    let mut sum = 0;
    for _ in 0..bytes {
        sum = sum << 8 | u64::from(byte(input)?);
    }
    Ok(sum)
}

fn bytes(input: &mut impl Read, length: u64) -> io::Result<Vec<u8>> {
    let mut all = vec![0; usize::try_from(length).map_err(|_| invalid("length"))?];
    input.read_exact(&mut all)?;
    Ok(all)
}

fn text(input: &mut impl Read, length: u64) -> io::Result<Value> {
    String::from_utf8(bytes(input, length)?)
        .map(Value::Text)
        .map_err(|_| invalid("text"))
}

fn array(input: &mut impl Read, count: u64) -> io::Result<Value> {
    (0..count)
        .map(|_| read(input))
        .collect::<io::Result<_>>()
        .map(Value::Array)
}

fn map(input: &mut impl Read, count: u64) -> io::Result<Value> {
    (0..count)
        .map(|_| Ok((read(input)?, read(input)?)))
        .collect::<io::Result<_>>()
        .map(Value::Map)
}

/// Reads one value.
pub fn read(input: &mut impl Read) -> io::Result<Value> {
    let head = byte(input)?;
    match head {
        0x00..=0x7f => Ok(Value::Number(u64::from(head))),
        0x80..=0x8f => map(input, u64::from(head & 0x0f)),
        0x90..=0x9f => array(input, u64::from(head & 0x0f)),
        0xa0..=0xbf => text(input, u64::from(head & 0x1f)),
        0xc0 => Ok(Value::Nil),
        0xc2 | 0xc3 => Ok(Value::Bool(head == 0xc3)),
        0xc4..=0xc6 => {
            let length = number(input, 1 << (head - 0xc4))?;
            bytes(input, length).map(Value::Bytes)
        }
        0xcc..=0xcf => number(input, 1 << (head - 0xcc)).map(Value::Number),
        0xd9..=0xdb => {
            let length = number(input, 1 << (head - 0xd9))?;
            text(input, length)
        }
        0xdc => number(input, 2).and_then(|count| array(input, count)),
        0xde => number(input, 2).and_then(|count| map(input, count)),
        _ => Err(invalid("type")),
    }
}

/// Writes a string.
pub fn put_text(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        short @ 0..=31 => out.push(0xa0 | short as u8),
        long => out.extend([0xd9, long as u8]),
    }
    out.extend(text.as_bytes());
}

/// Writes a number.
pub fn put_number(out: &mut Vec<u8>, number: u32) {
    match number {
        0..=0x7f => out.push(number as u8),
        _ => {
            out.push(0xce);
            out.extend(number.to_be_bytes());
        }
    }
}

/// Writes bytes.
pub fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.push(0xc6);
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}
