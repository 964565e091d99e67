//! Errors while processing an input line.

use std::io;

use flaxdeck_terms::SettingsError;
use thiserror::Error;

/// Why processing an input line failed.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// The line is invalid.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The reply can't be written.
    #[error(transparent)]
    Output(#[from] io::Error),
}

/// Why an input line is invalid.
#[derive(Debug, Error)]
pub(crate) enum InputError {
    /// The line is not valid JSON.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or of the wrong type, or the settings are invalid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// A batch begins while another one is open.
    #[error("Mark inside an open batch: the batch continues with the new time")]
    MarkInsideBatch,
    /// A batch ends that was not begun.
    #[error("EofBatch without a Mark before it")]
    EndWithoutMark,
    /// An event outside a batch, which therefore has no time.
    #[error("{event} outside a batch: there is no Mark before it")]
    OutsideBatch {
        /// The event's name.
        event: String,
    },
    /// An event can't be applied.
    #[error("{event}: {source}")]
    Event {
        /// The event's name.
        event: String,
        /// The reason.
        source: EventError,
    },
}

/// Why an event can't be applied.
#[derive(Debug, Error)]
pub(crate) enum EventError {
    /// A field is missing or of the wrong type, or the settings are invalid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The simulator's protocol has no event of that name.
    #[error("unknown event")]
    UnknownEvent,
    /// The instance was never launched, or has been destroyed.
    #[error("instance {instance} is not running")]
    NotRunning {
        /// The instance's name.
        instance: String,
    },
    /// The field `how` of a list has none of the known values.
    #[error("unknown value {kind:?} of field how")]
    UnknownListKind {
        /// The field's value.
        kind: String,
    },
    /// The event refers to an endpoint list that was not sent.
    #[error("endpoint list {number} was never sent")]
    ListNeverSent {
        /// The number of the list.
        number: u64,
    },
    /// The field `mode` of a host has none of the known values.
    #[error("unknown value {mode:?} of field mode")]
    UnknownMode {
        /// The field's value.
        mode: String,
    },
    /// The settings have no request class of that name.
    #[error("the settings have no request class {class:?}")]
    UnknownClass {
        /// The class's name.
        class: String,
    },
    /// The field `reason` of an attempt has none of the known values.
    #[error("unknown value {outcome:?} of field reason")]
    UnknownOutcome {
        /// The field's value.
        outcome: String,
    },
}
