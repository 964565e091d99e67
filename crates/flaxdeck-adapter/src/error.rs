//! What can go wrong with a line.

use std::io;

use flaxdeck_terms::SettingsError;
use thiserror::Error;

/// Why a line had no effect, or no reply.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// The line makes no sense on the wire; it is passed over.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The reply can't be written.
    #[error(transparent)]
    Output(#[from] io::Error),
}

/// Why a line makes no sense.
#[derive(Debug, Error)]
pub(crate) enum InputError {
    /// It is no JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or of another type, or settings can't be used.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// A batch begins while another is open.
    #[error("Mark inside a batch: the clock is set anew")]
    MarkInsideBatch,
    /// A batch ends that never began.
    #[error("EofBatch without a Mark")]
    EndWithoutMark,
    /// An event has no batch, and so no time.
    #[error("{event} outside a batch")]
    OutsideBatch {
        /// The event's name.
        event: String,
    },
    /// An event can't be applied.
    #[error("{event}: {source}")]
    Event {
        /// The event's name.
        event: String,
        /// Why not.
        source: EventError,
    },
}

/// Why an event can't be applied.
#[derive(Debug, Error)]
pub(crate) enum EventError {
    /// A field is missing or of another type, or settings can't be used.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The event is none of the wire's.
    #[error("unknown event")]
    UnknownEvent,
    /// The event is for an instance that does not run.
    #[error("{who} was never started")]
    NeverStarted {
        /// The instance's name.
        who: String,
    },
    /// A list is neither complete nor a change.
    #[error("unknown kind of list {kind}")]
    UnknownListKind {
        /// The field's value.
        kind: String,
    },
    /// A list is named by a number that none has.
    #[error("list {number} was never sent")]
    ListNeverSent {
        /// The number.
        number: u64,
    },
    /// A host has a health that the wire does not have.
    #[error("unknown mode {mode}")]
    UnknownMode {
        /// The field's value.
        mode: String,
    },
    /// A request's class is none of the settings.
    #[error("unknown class {class}")]
    UnknownClass {
        /// The class's name.
        class: String,
    },
    /// An attempt ended in a way that the wire does not have.
    #[error("unknown outcome {outcome}")]
    UnknownOutcome {
        /// The field's value.
        outcome: String,
    },
}
