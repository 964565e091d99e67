//! Stores a forwarder's state on disk and restores it at the next start: the coordinator's events, the ratings of
//! hosts, and until when quota may have been lent.
//!
//! The [`StateWriter`] owns the state to be stored; a separate thread writes it, so that no request waits for a disk.
//! [`restore()`] reads what an earlier run stored. If the directory can't be used, the forwarder works as one without
//! stored state. `flaxdeck_recovery::restored_state` decides which items of the stored state are still valid.

mod conversion;
mod restore;
mod state_writer;
mod writer_thread;

use std::path::PathBuf;

pub(crate) use restore::{PreviousState, restore};
pub(crate) use state_writer::StateWriter;
pub(crate) use writer_thread::WriteEvent;

/// The directory in which a forwarder stores its state, and the name under which it does so.
#[derive(Clone, Debug)]
pub struct StateDirectory {
    /// The path of the directory.
    pub folder: PathBuf,
    /// The name of this forwarder; state that was stored under another name is not used.
    pub name: String,
}
