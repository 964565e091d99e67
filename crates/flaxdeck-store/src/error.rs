//! Errors of a store.

use std::io;
use std::sync::Arc;

/// Why a store can't be opened, or why it does not accept writes any more.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder holds the store of another instance, which is not overwritten.
    #[error("the store belongs to instance {found}, not to {expected}")]
    OtherInstance {
        /// The instance that wrote the store.
        found: String,
        /// The instance that tried to open it.
        expected: String,
    },
    /// A snapshot exceeds the size limit.
    #[error("snapshot too large: {bytes} bytes, at most {max_bytes} are allowed")]
    SnapshotTooLarge {
        /// The size of its body.
        bytes: usize,
        /// The size limit.
        max_bytes: usize,
    },
    /// A record exceeds the size limit.
    #[error("record too large: {bytes} bytes, at most {max_bytes} are allowed")]
    RecordTooLarge {
        /// The size of its body.
        bytes: usize,
        /// The size limit.
        max_bytes: usize,
    },
    /// The folder can't be opened or created.
    #[error("opening or creating the folder failed: {0}")]
    Folder(#[source] Arc<io::Error>),
    /// A file operation failed while writing.
    #[error("write to the store failed: {0}")]
    Io(#[source] Arc<io::Error>),
}

impl StoreError {
    /// Wraps the error of opening or creating the folder.
    pub fn folder(error: io::Error) -> StoreError {
        StoreError::Folder(Arc::new(error))
    }
}
