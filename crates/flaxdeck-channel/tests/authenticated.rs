//! Signed frames and greetings: valid ones are accepted, all others are rejected.

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

/// Returns the signer and verifier of a forwarder, then those of its planner, on a connection with these nonces.
fn forwarder_and_planner(
    nonces: [u8; 2],
) -> ((FrameSigner, FrameVerifier), (FrameSigner, FrameVerifier)) {
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
fn frames_received_byte_by_byte_are_read_once_complete() {
    let ((mut signer, _), (_, mut verifier)) = forwarder_and_planner([1, 2]);
    let bytes = [
        signer.sign(&report(1)).unwrap(),
        signer.sign(&report(2)).unwrap(),
    ]
    .concat();
    let (mut buffer, mut received) = (BytesMut::new(), Vec::new());
    for byte in bytes {
        buffer.extend_from_slice(&[byte]);
        if let Parsed::Complete(report) = verifier.verify::<Report>(&mut buffer).unwrap() {
            received.push(report);
        }
    }
    assert_eq!(received, [report(1), report(2)]);
}

#[test]
fn repeated_skipped_changed_reflected_and_foreign_frames_are_rejected() {
    let verify = |verifier: &mut FrameVerifier, bytes: &[u8]| {
        verifier.verify::<Report>(&mut BytesMut::from(bytes))
    };
    let ((mut signer, _), (_, mut verifier)) = forwarder_and_planner([1, 2]);
    let (first, second) = (
        signer.sign(&report(1)).unwrap(),
        signer.sign(&report(2)).unwrap(),
    );
    assert!(verify(&mut verifier, &first).is_ok());
    assert_eq!(verify(&mut verifier, &first), Err(InvalidFrame::OutOfOrder));
    let (_, (_, mut verifier)) = forwarder_and_planner([1, 2]);
    assert_eq!(
        verify(&mut verifier, &second),
        Err(InvalidFrame::OutOfOrder)
    );
    let (_, (_, mut other_connection)) = forwarder_and_planner([1, 3]);
    assert_eq!(
        verify(&mut other_connection, &first),
        Err(InvalidFrame::HashMismatch)
    );
    for at in 4..first.len() {
        let mut changed = first.to_vec();
        changed[at] ^= 1;
        let (_, (_, mut verifier)) = forwarder_and_planner([1, 2]);
        assert!(
            verify(&mut verifier, &changed).is_err(),
            "accepted with byte {at} changed"
        );
    }
    // An instance rejects its own frames if they are sent back to it.
    let ((mut signer, mut verifier), _) = forwarder_and_planner([1, 2]);
    assert!(verify(&mut verifier, &signer.sign(&report(1)).unwrap()).is_err());
}

#[test]
fn a_greeting_with_another_key_version_role_or_protocol_is_rejected_with_its_reason() {
    let read = |bytes: &[u8], from| {
        Greeting::read(&mut BytesMut::from(bytes), &key('a'), from).map(|_| ())
    };
    let bytes = Greeting::new(Role::Forwarder, [9; 16]).bytes(&key('a'));
    assert_eq!(read(&bytes, Role::Forwarder), Ok(()));
    assert_eq!(read(&bytes, Role::Planner), Err(InvalidFrame::WrongRole));
    let other_key = Greeting::new(Role::Forwarder, [9; 16]).bytes(&key('b'));
    assert_eq!(
        read(&other_key, Role::Forwarder),
        Err(InvalidFrame::OtherKey)
    );
    let mut other_version = bytes.to_vec();
    other_version[4] = VERSION + 1;
    assert_eq!(
        read(&other_version, Role::Forwarder),
        Err(InvalidFrame::OtherVersion)
    );
    assert_eq!(
        read(b"GET / HTTP/1.1\r\n", Role::Forwarder),
        Err(InvalidFrame::NotThisProtocol)
    );
}

#[test]
fn a_frame_over_the_length_limit_is_rejected_by_its_length_field() {
    let (_, (_, mut verifier)) = forwarder_and_planner([1, 2]);
    let length_field = [0x7f, 0xff, 0xff, 0xff];
    assert!(
        verifier
            .verify::<Guidance>(&mut BytesMut::from(&length_field[..]))
            .is_err()
    );
}
