//! The parts of MessagePack that clients need.

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

/// Reads one value at the front; none if bytes are missing. Panics on what the protocol does not use.
pub fn read(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let head = *take(bytes, at, 1)?.first()?;
    Some(match head {
        0x00..=0x7f => Value::Number(u64::from(head)),
        0xc0 => Value::Nil,
        0xc2 | 0xc3 => Value::Bool(head == 0xc3),
        0xcc => Value::Number(number(bytes, at, 1)?),
        0xcd => Value::Number(number(bytes, at, 2)?),
        0xce => Value::Number(number(bytes, at, 4)?),
        0xcf => Value::Number(number(bytes, at, 8)?),
        0xa0..=0xbf => text(bytes, at, usize::from(head & 0x1f))?,
        0xd9 => length(bytes, at, 1).and_then(|length| text(bytes, at, length))?,
        0xda => length(bytes, at, 2).and_then(|length| text(bytes, at, length))?,
        0xc4..=0xc6 => {
            let length = length(bytes, at, 1 << (head - 0xc4))?;
            Value::Bytes(take(bytes, at, length)?.to_vec())
        }
        0x90..=0x9f => array(bytes, at, usize::from(head & 0x0f))?,
        0x80..=0x8f => map(bytes, at, usize::from(head & 0x0f))?,
        other => panic!("unexpected head {other:#x} in an answer"),
    })
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, count: usize) -> Option<&'a [u8]> {
    let taken = bytes.get(*at..*at + count)?;
    *at += count;
    Some(taken)
}

fn number(bytes: &[u8], at: &mut usize, count: usize) -> Option<u64> {
    let taken = take(bytes, at, count)?;
    Some(
        taken
            .iter()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
    )
}

fn length(bytes: &[u8], at: &mut usize, count: usize) -> Option<usize> {
    number(bytes, at, count).map(|length| length as usize)
}

fn text(bytes: &[u8], at: &mut usize, length: usize) -> Option<Value> {
    let taken = take(bytes, at, length)?;
    Some(Value::Text(String::from_utf8_lossy(taken).into_owned()))
}

fn array(bytes: &[u8], at: &mut usize, count: usize) -> Option<Value> {
    (0..count)
        .map(|_| read(bytes, at))
        .collect::<Option<_>>()
        .map(Value::Array)
}

fn map(bytes: &[u8], at: &mut usize, count: usize) -> Option<Value> {
    (0..count)
        .map(|_| Some((read(bytes, at)?, read(bytes, at)?)))
        .collect::<Option<_>>()
        .map(Value::Map)
}

/// Encodes a request `[0, call, method, [fields, body]]`.
pub fn request(call: u32, method: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0x00];
    put_number(&mut out, call);
    put_text(&mut out, method);
    out.push(0x92);
    put_fields(&mut out, fields);
    out.push(0xc5);
    out.extend((body.len() as u16).to_be_bytes());
    out.extend(body);
    out
}

/// Encodes a health check `[0, call, "alive", [fields]]`.
pub fn alive(call: u32) -> Vec<u8> {
    let mut out = vec![0x94, 0x00];
    put_number(&mut out, call);
    put_text(&mut out, "alive");
    out.extend([0x91, 0x80]);
    out
}

fn put_number(out: &mut Vec<u8>, number: u32) {
    if number < 0x80 {
        out.push(number as u8);
    } else {
        out.push(0xce);
        out.extend(number.to_be_bytes());
    }
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    assert!(text.len() < 32);
    out.push(0xa0 | text.len() as u8);
    out.extend(text.as_bytes());
}

fn put_fields(out: &mut Vec<u8>, fields: &[(&str, String)]) {
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        put_text(out, name);
        put_text(out, value);
    }
}
