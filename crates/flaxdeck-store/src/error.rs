//! Why nothing is stored any more.

use std::io;
use std::sync::Arc;

/// Why a store does not take anything (any more).
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder holds the store of another instance, which is not written over.
    #[error("it is the store of {found}, not of {expected}")]
    OtherInstance {
        /// The instance that wrote it.
        found: String,
        /// The instance that wants to write.
        expected: String,
    },
    /// A snapshot is larger than a store's file may be.
    #[error("a snapshot over the bound of a store: {bytes} bytes, where {most} are allowed")]
    SnapshotTooLarge {
        /// Its bytes.
        bytes: usize,
        /// The most that are allowed.
        most: usize,
    },
    /// A record is larger than one may be.
    #[error("a record over the bound of a store: {bytes} bytes, where {most} are allowed")]
    RecordTooLarge {
        /// Its bytes.
        bytes: usize,
        /// The most that are allowed.
        most: usize,
    },
    /// The folder can't be opened or made.
    #[error("{0}")]
    Folder(#[source] Arc<io::Error>),
    /// A file operation failed.
    #[error("it can't be written: {0}")]
    Io(#[source] Arc<io::Error>),
}

impl StoreError {
    /// A folder could not be opened or made, for that reason.
    pub fn folder(error: io::Error) -> StoreError {
        StoreError::Folder(Arc::new(error))
    }
}
