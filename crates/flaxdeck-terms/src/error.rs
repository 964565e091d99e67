//! Errors in a settings object.

use thiserror::Error;

use crate::MAX_NAME;

/// An error in a settings object or another JSON object of the platform, with the field concerned.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A value is not an object.
    #[error("{what} is not an object")]
    NotAnObject {
        /// A description of the value.
        what: String,
    },
    /// A required field is absent or null.
    #[error("field {field} is missing")]
    Missing {
        /// The field's name.
        field: String,
    },
    /// A field's value has the wrong type or is out of range.
    #[error("field {field} is not {expected}")]
    WrongType {
        /// The field's name.
        field: String,
        /// A description of the expected value.
        expected: &'static str,
    },
    /// An array has an element of the wrong type.
    #[error("field {field} is not an array of {expected}")]
    WrongElement {
        /// The field's name.
        field: String,
        /// A description of the expected elements.
        expected: &'static str,
    },
    /// The instance's own zone is not in the list of zones.
    #[error("field zone: {zone:?} is not in field zones")]
    UnknownZone {
        /// The zone's name.
        zone: String,
    },
    /// The list of request classes is empty.
    #[error("field request_classes has no classes")]
    NoClass,
    /// The name of a request class is invalid.
    #[error("request_classes: field name: {name:?} {source}")]
    ClassName {
        /// The name.
        name: String,
        /// Why it is invalid.
        source: ClassNameError,
    },
    /// The effect of a request class is unknown.
    #[error(
        "request_classes: field effect is {effect:?}, expected idempotent, at_most_once or deduplicated"
    )]
    UnknownEffect {
        /// The field's value.
        effect: String,
    },
    /// The scope in which hosts recognize repeats of a deduplicated request is unknown or missing.
    #[error("request_classes: field key_scope is {scope:?}, expected all, zone or cell")]
    UnknownKeyScope {
        /// The field's value.
        scope: Option<String>,
    },
}

/// Why the name of a request class is invalid. Clients send the name as a method, and hosts receive it as a field of a
/// line.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClassNameError {
    /// The name is empty or too long.
    #[error("has {bytes} bytes, expected 1 to {MAX_NAME}")]
    Length {
        /// The name's length.
        bytes: usize,
    },
    /// The name has a character that a field of a line to a host cannot contain.
    #[error(
        "contains a space, a comma, an equals sign or a control character, which a line to a host cannot contain"
    )]
    Character,
    /// The protocol reserves the name for health checks of dispatchers.
    #[error("is reserved: it is the method with which clients check whether a dispatcher is up")]
    Reserved,
    /// Another class has the same name.
    #[error("is used by two classes")]
    Duplicate,
}
