//! Durable state of one instance: a snapshot and a short log of later changes, bound to the instance's name and to a
//! generation that increases with each start. Bodies of snapshots and records are opaque bytes to this package.
//!
//! - [`Store`]: writes the state of this run.
//! - [`inspect`]: reads the state that an earlier run has written, without changing anything.
//! - [`Disk`] and [`Folder`]: the file operations that a store needs, and their implementation on the file system.
//! - [`faulty`]: an in-memory disk that injects crashes and write errors, for tests.
//!
//! ```
//! use flaxdeck_store::faulty::FaultyDisk;
//! use flaxdeck_store::{Store, inspect};
//!
//! # fn main() -> Result<(), flaxdeck_store::StoreError> {
//! let mut store = Store::begin(FaultyDisk::default(), "forwarder-1", b"state")?;
//! store.record(b"change")?;
//!
//! let mut disk = store.into_disk();
//! let contents = inspect(&mut disk);
//! assert_eq!(contents.snapshot.as_deref(), Some(&b"state"[..]));
//! assert_eq!(contents.records, [b"change"]);
//! # Ok(())
//! # }
//! ```
//!
//! # Format
//!
//! ```text
//! snapshot  4 "flxs"  1 version  8 generation  1 name length  n name  4 body length  n body  16 hash of all before
//! log       4 "flxl"  1 version  8 generation  16 hash of its snapshot  16 hash of all before
//! record    4 body length  n body  16 hash of the hash before it and of the body
//! ```
//!
//! The number before each field is its length in bytes; integers are big-endian, hashes are truncated BLAKE3.
//!
//! Every record's hash covers the hash before it, so a log can be read up to its first damage and not past it. A
//! snapshot is written to a temporary file, which is synced and renamed, and then the folder is synced; only after that
//! a new log is started in the same way. A crash in between leaves either the old snapshot with its log, or the new
//! snapshot beside the old log. The old log is not applied then, as its changes are part of the new snapshot already.

pub mod disk;
mod error;
pub mod faulty;
mod format;
mod inspect;
mod store;

pub use disk::{Disk, Folder};
pub use error::StoreError;
pub use inspect::{Damage, StoreContents, inspect};
pub use store::Store;
