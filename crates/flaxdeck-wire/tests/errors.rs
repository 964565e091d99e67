//! The texts of errors. Operators see all of them in the log; clients receive those of invalid requests in answers.

use flaxdeck_wire::{InvalidRequest, InvalidValue, Malformed, ReadError};

#[test]
fn errors_of_client_messages_keep_their_texts() {
    let malformed = [
        (Malformed::Value(InvalidValue::NotArray), "not an array"),
        (
            Malformed::MessageTooLong,
            "message is longer than 64384 bytes",
        ),
        (Malformed::CallNumber, "message id does not fit in 32 bits"),
        (
            Malformed::MessageKind,
            "message is neither a request nor a notification",
        ),
    ];
    for (error, text) in malformed {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn errors_of_host_answers_keep_their_texts() {
    let malformed = [
        (
            Malformed::LineTooLong,
            "first line of a host's answer is longer than 2048 bytes",
        ),
        (
            Malformed::LineNotUtf8,
            "first line of a host's answer is not UTF-8",
        ),
        (
            Malformed::MissingWord,
            "first line of a host's answer has too few words",
        ),
        (
            Malformed::ExtraWord,
            "first line of a host's answer has too many words",
        ),
        (
            Malformed::UnexpectedBody,
            "host's answer without an object has a body",
        ),
        (
            Malformed::UnknownAnswer,
            "unknown outcome in a host's answer",
        ),
        (
            Malformed::BodyLength,
            "body length in a host's answer is not a number",
        ),
        (
            Malformed::BodyTooLong,
            "body of a host's answer is longer than 240000 bytes",
        ),
        (
            Malformed::BodyEnd,
            "body of a host's answer is not followed by a line end",
        ),
        (
            Malformed::FieldWithoutValue,
            "field of a host's answer has no value",
        ),
    ];
    for (error, text) in malformed {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn errors_of_frames_keep_their_texts() {
    let malformed = [
        (Malformed::FrameLength, "a frame's length is out of bounds"),
        (
            Malformed::FrameLengthMismatch,
            "frame is not as long as its length field states",
        ),
        (Malformed::FrameKind, "unknown frame kind"),
        (
            Malformed::ListLength,
            "length of an endpoint list is not a multiple of a record's length",
        ),
        (
            Malformed::PurgeLength,
            "purge does not have the length of its kind",
        ),
        (Malformed::HostHealth, "unknown health of a host"),
    ];
    for (error, text) in malformed {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn errors_of_requests_keep_their_texts() {
    let invalid = [
        (InvalidRequest::Value(InvalidValue::TooLong), "too long"),
        (InvalidRequest::UnknownMethod, "no such method"),
        (InvalidRequest::ExtraParameters, "parameters left over"),
        (InvalidRequest::ParameterCount, "not two parameters"),
        (InvalidRequest::FieldCount, "too many fields"),
        (InvalidRequest::Id, "id is not 16 hex digits"),
        (InvalidRequest::Key, "key is not 16 hex digits"),
        (InvalidRequest::MissingKey, "key is missing"),
        (InvalidRequest::Wait, "wait is no number"),
        (InvalidRequest::Part, "slice is no number"),
        (InvalidRequest::Group, "set is no number"),
        (InvalidRequest::GroupOutOfRange, "set is over 255"),
        (InvalidRequest::DuplicateField, "a field is given twice"),
        (InvalidRequest::CallNumberZero, "message ids start at 1"),
        (InvalidRequest::Size, "kb is no number"),
        (InvalidRequest::Tag, "seen is no tag"),
        (InvalidRequest::IdempotencyKey, "once is no mark"),
    ];
    for (error, text) in invalid {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn errors_of_values_keep_their_texts() {
    let values = [
        (InvalidValue::TooLong, "too long"),
        (InvalidValue::TooDeep, "nested too deep"),
        (InvalidValue::UnknownType, "no such type"),
        (InvalidValue::NotArray, "not an array"),
        (InvalidValue::NotMap, "not a map"),
        (InvalidValue::NotUnsigned, "not a whole number"),
        (InvalidValue::NotString, "not a string"),
        (InvalidValue::NotUtf8, "not UTF-8"),
        (InvalidValue::NotBinary, "not binary"),
    ];
    for (error, text) in values {
        assert_eq!(error.to_string(), text);
        assert_eq!(ReadError::Invalid(error).to_string(), text);
    }
}
