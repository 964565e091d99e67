//! Tests of reading, skipping and writing MessagePack values.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use bytes::BytesMut;
use flaxdeck_wire::msgpack::{Reader, put_binary_length, put_text, put_unsigned};
use flaxdeck_wire::{InvalidValue, ReadError};

#[test]
fn values_of_every_type_are_skipped_and_truncated_ones_are_incomplete() {
    let values: [&[u8]; 12] = [
        &[0x05],
        &[0xff],
        &[0xc0],
        &[0xa2, b'a', b'b'],
        &[0xd9, 1, b'a'],
        &[0xc5, 0, 2, 1, 2],
        &[0xcb, 0, 0, 0, 0, 0, 0, 0, 0],
        &[0xd6, 1, 2, 3, 4, 5],
        &[0xc7, 1, 9, 7],
        &[0x92, 0x01, 0xc3],
        &[0x81, 0xa1, b'k', 0xdc, 0, 1, 0xcd, 1, 2],
        &[0xdf, 0, 0, 0, 0],
    ];
    for value in values {
        let mut reader = Reader::new(value);
        assert_eq!(reader.skip(100), Ok(()), "{value:x?}");
        assert_eq!(reader.position(), value.len());
        for cut in 0..value.len() {
            assert!(
                matches!(
                    Reader::new(&value[..cut]).skip(100),
                    Err(ReadError::Incomplete(_))
                ),
                "{value:x?}"
            );
        }
    }
}

#[test]
fn too_long_and_too_deep_values_are_rejected_before_they_are_received() {
    assert_eq!(
        Reader::new(&[0xc6, 0xff, 0xff, 0xff, 0xff]).binary(100),
        Err(ReadError::Invalid(InvalidValue::TooLong))
    );
    assert_eq!(
        Reader::new(&[0xdb, 0, 1, 0, 0]).text(100),
        Err(ReadError::Invalid(InvalidValue::TooLong))
    );
    assert_eq!(
        Reader::new(&[0x91; 20]).skip(100),
        Err(ReadError::Invalid(InvalidValue::TooDeep))
    );
    assert_eq!(
        Reader::new(&[0xc1]).skip(100),
        Err(ReadError::Invalid(InvalidValue::UnknownType))
    );
}

#[test]
fn written_numbers_strings_and_binaries_are_read_back() {
    for number in [0, 0x7f, 0x80, 0xff, 0x100, 0xffff, 0x10000, u32::MAX] {
        let mut out = BytesMut::new();
        put_unsigned(&mut out, number);
        assert_eq!(Reader::new(&out).unsigned(), Ok(u64::from(number)));
    }
    for length in [0, 31, 32, 255] {
        let (mut out, text) = (BytesMut::new(), "x".repeat(length));
        put_text(&mut out, &text);
        assert_eq!(Reader::new(&out).text(300), Ok(&*text));
    }
    for length in [0, 0xff, 0x100, 0xffff, 0x10000] {
        let mut out = BytesMut::new();
        put_binary_length(&mut out, length);
        out.extend_from_slice(&vec![7; length]);
        assert_eq!(Reader::new(&out).binary(1 << 20), Ok(&vec![7; length][..]));
    }
}
