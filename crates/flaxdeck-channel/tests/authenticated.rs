//! Sealed frames: those that are genuine and in their place open, all others do not.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use bytes::BytesMut;
use flaxdeck_channel::authenticated::{
    FrameSigner, FrameVerifier, Greeting, InvalidFrame, Key, Role, VERSION,
};
use flaxdeck_control::messages::{Envelope, Epoch, Guidance, Report};
use flaxdeck_wire::Parsed;

fn key(digit: char) -> Key {
    Key::from_hex(&digit.to_string().repeat(64)).unwrap()
}

fn pair(nonces: [u8; 2]) -> ((FrameSigner, FrameVerifier), (FrameSigner, FrameVerifier)) {
    let forwarder = Greeting::new(Role::Forwarder, [nonces[0]; 16]);
    let planner = Greeting::new(Role::Planner, [nonces[1]; 16]);
    (
        forwarder.keys(&planner, &key('a')),
        planner.keys(&forwarder, &key('a')),
    )
}

fn report(number: u64) -> Report {
    Report {
        envelope: Envelope {
            from: Epoch(7),
            number,
            ..Envelope::default()
        },
        ..Report::default()
    }
}

#[test]
fn frames_cut_at_every_byte_open_once_they_are_whole() {
    let ((mut seals, _), (_, mut opens)) = pair([1, 2]);
    let bytes = [
        seals.sign(&report(1)).unwrap(),
        seals.sign(&report(2)).unwrap(),
    ]
    .concat();
    let (mut buffer, mut opened) = (BytesMut::new(), Vec::new());
    for byte in bytes {
        buffer.extend_from_slice(&[byte]);
        if let Parsed::Complete(report) = opens.verify::<Report>(&mut buffer).unwrap() {
            opened.push(report);
        }
    }
    assert_eq!(opened, [report(1), report(2)]);
}

#[test]
fn a_frame_doubled_left_out_changed_or_of_another_connection_does_not_open() {
    let open = |opens: &mut FrameVerifier, bytes: &[u8]| {
        opens.verify::<Report>(&mut BytesMut::from(bytes))
    };
    let ((mut seals, _), (_, mut opens)) = pair([1, 2]);
    let (first, second) = (
        seals.sign(&report(1)).unwrap(),
        seals.sign(&report(2)).unwrap(),
    );
    assert!(open(&mut opens, &first).is_ok());
    assert_eq!(open(&mut opens, &first), Err(InvalidFrame::OutOfOrder));
    let (_, (_, mut opens)) = pair([1, 2]);
    assert_eq!(open(&mut opens, &second), Err(InvalidFrame::OutOfOrder));
    let (_, (_, mut other)) = pair([1, 3]);
    assert_eq!(open(&mut other, &first), Err(InvalidFrame::NotGenuine));
    for at in 4..first.len() {
        let mut changed = first.to_vec();
        changed[at] ^= 1;
        assert!(open(&mut pair([1, 2]).1.1, &changed).is_err(), "byte {at}");
    }
    // Its own frames, sent back.
    let ((mut seals, mut opens), _) = pair([1, 2]);
    assert!(open(&mut opens, &seals.sign(&report(1)).unwrap()).is_err());
}

#[test]
fn a_greeting_of_another_key_version_or_side_is_refused_by_name() {
    let read = |bytes: &[u8], from| {
        Greeting::read(&mut BytesMut::from(bytes), &key('a'), from).map(|_| ())
    };
    let bytes = Greeting::new(Role::Forwarder, [9; 16]).bytes(&key('a'));
    assert_eq!(read(&bytes, Role::Forwarder), Ok(()));
    assert_eq!(read(&bytes, Role::Planner), Err(InvalidFrame::WrongSide));
    let other = Greeting::new(Role::Forwarder, [9; 16]).bytes(&key('b'));
    assert_eq!(read(&other, Role::Forwarder), Err(InvalidFrame::OtherKey));
    let mut later = bytes.to_vec();
    later[4] = VERSION + 1;
    assert_eq!(
        read(&later, Role::Forwarder),
        Err(InvalidFrame::OtherVersion)
    );
    assert_eq!(
        read(b"GET / HTTP/1.1\r\n", Role::Forwarder),
        Err(InvalidFrame::NotThisProtocol)
    );
}

#[test]
fn what_is_too_long_is_refused_before_it_is_held() {
    let (_, (_, mut opens)) = pair([1, 2]);
    let huge = [0x7f, 0xff, 0xff, 0xff];
    assert!(
        opens
            .verify::<Guidance>(&mut BytesMut::from(&huge[..]))
            .is_err()
    );
}
