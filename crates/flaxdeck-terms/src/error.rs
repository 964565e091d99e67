//! What can be wrong with a settings object.

use thiserror::Error;

use crate::MAX_NAME;

/// What is wrong with a settings object or another JSON object of the platform, and at which field.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A value that has to be an object is of another type.
    #[error("{what} is not an object")]
    NotAnObject {
        /// What the value is, in words.
        what: String,
    },
    /// A field that has to be there is absent or null.
    #[error("field {field} is missing")]
    Missing {
        /// The field's name.
        field: String,
    },
    /// A field's value is of another type, or out of its range.
    #[error("field {field} is not {expected}")]
    WrongType {
        /// The field's name.
        field: String,
        /// What it has to be, in words.
        expected: &'static str,
    },
    /// An array has an element of another type.
    #[error("field {field} holds no {expected}")]
    WrongElement {
        /// The field's name.
        field: String,
        /// What its elements have to be, in words.
        expected: &'static str,
    },
    /// The instance's own zone is not in the list of zones.
    #[error("zone {zone} is not among the zones")]
    UnknownZone {
        /// The zone's name.
        zone: String,
    },
    /// There is no request class.
    #[error("field request_classes names no class")]
    NoClass,
    /// A request class's name can't be used.
    #[error("request_classes: field name: {name:?} {source}")]
    ClassName {
        /// The name.
        name: String,
        /// Why not.
        source: ClassNameError,
    },
    /// A request class's effect is none of the known ones.
    #[error("unknown effect {effect}")]
    UnknownEffect {
        /// The field's value.
        effect: String,
    },
    /// Where a deduplicated class's repeats are known is none of the known scopes, or absent.
    #[error("unknown key_scope {scope:?}")]
    UnknownKeyScope {
        /// The field's value.
        scope: Option<String>,
    },
}

/// Why a name can't be that of a request class: clients send it as a method, and hosts get it as a word of a line.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClassNameError {
    /// It is empty or too long.
    #[error("has {bytes} bytes, 1 to {MAX_NAME} can be sent")]
    Length {
        /// Its length.
        bytes: usize,
    },
    /// A line to a host can't hold one of its letters.
    #[error(
        "holds a space, a comma, an equals sign or a control character, which no line to a host can"
    )]
    Letter,
    /// The protocol has another meaning for it.
    #[error("is the method by which clients ask whether a dispatcher is up")]
    Reserved,
    /// Another class has it.
    #[error("is that of two classes")]
    Duplicate,
}
