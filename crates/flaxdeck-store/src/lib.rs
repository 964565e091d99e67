//! Durable state of one instance: a snapshot and a short log after it, bound to the instance's name and to a generation
//! that grows with each start. What is in them is bytes to this package.
//!
//! - [`Store`]: writes the state of this run.
//! - [`inspect`]: reads what an earlier run left, without changing anything.
//! - [`Disk`] and [`Folder`]: the file operations that a store needs, and a folder of the file system.
//! - [`faulty`]: a disk in memory that crashes and fails as told, for tests.
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
//! snapshot  4 "flxs"  1 version  8 generation  1 length of the name  n name  4 length of the body  n body  16 hash of all before
//! log       4 "flxl"  1 version  8 generation  16 hash of the snapshot that it follows  16 hash of all before
//! record    4 length of the body  n body  16 hash of the hash before it and of the body
//! ```
//!
//! Every record's hash covers the one before, so a log can be read up to its first damage and not past it. A snapshot is
//! written beside, synced, renamed, and the folder synced; only then a new log is begun the same way. A crash in
//! between leaves a log that follows another snapshot: what it holds is in the new one, or the new one never came to be.

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
