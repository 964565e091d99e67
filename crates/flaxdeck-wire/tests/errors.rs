//! What is told of bytes that can't be read: clients and operators see these words.

use flaxdeck_wire::{InvalidRequest, InvalidValue, Malformed, ReadError};

#[test]
fn errors_keep_their_texts() {
    let malformed = [
        (Malformed::Value(InvalidValue::NotArray), "not an array"),
        (Malformed::MessageTooLong, "a message over the bound"),
        (Malformed::CallNumber, "a message id over 32 bits"),
        (
            Malformed::MessageKind,
            "neither a request nor a notification",
        ),
        (Malformed::LineTooLong, "an answer's line is too long"),
        (Malformed::LineNotUtf8, "a line is not UTF-8"),
        (Malformed::MissingWord, "a word is missing"),
        (Malformed::UnknownAnswer, "an unknown answer"),
        (Malformed::BodyLength, "a length is no number"),
        (Malformed::BodyTooLong, "an answer over the bound"),
        (Malformed::BodyEnd, "a body does not end where it should"),
        (Malformed::FieldWithoutValue, "a field without a value"),
        (Malformed::FrameLength, "a frame's length is out of bounds"),
        (Malformed::FrameCut, "a frame that is not whole"),
        (Malformed::FrameKind, "a frame of no known kind"),
        (Malformed::ListLength, "a list that is not made of records"),
        (Malformed::PurgeLength, "a purge of the wrong length"),
        (Malformed::HostState, "a host of no known state"),
    ];
    for (error, text) in malformed {
        assert_eq!(error.to_string(), text);
    }
    let invalid = [
        (InvalidRequest::Value(InvalidValue::TooLong), "too long"),
        (InvalidRequest::UnknownMethod, "no such method"),
        (InvalidRequest::LeftOver, "parameters left over"),
        (InvalidRequest::ParameterCount, "not two parameters"),
        (InvalidRequest::FieldCount, "too many fields"),
        (InvalidRequest::Id, "id is not 16 hex digits"),
        (InvalidRequest::Key, "key is not 16 hex digits"),
        (InvalidRequest::MissingKey, "key is missing"),
        (InvalidRequest::Wait, "wait is no number"),
        (InvalidRequest::Part, "slice is no number"),
        (InvalidRequest::Group, "set is no number"),
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
        (InvalidValue::NotWhole, "not a whole number"),
        (InvalidValue::NotText, "not a string"),
        (InvalidValue::NotUtf8, "not UTF-8"),
        (InvalidValue::NotBinary, "not binary"),
    ];
    for (error, text) in values {
        assert_eq!(error.to_string(), text);
        assert_eq!(ReadError::Invalid(error).to_string(), text);
    }
}
