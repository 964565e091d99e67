//! What a forwarder stores on disk over its end and takes up again at its next start: events, what was observed of
//! hosts, and until when it has lent.
//!
//! The [`StateWriter`] owns the state to be stored; a thread of its own writes it, so no request waits for a disk.
//! [`restore`] reads what an earlier run left. Whatever is wrong with the directory, the forwarder serves as one that
//! has none. What of the stored state is believed is decided in `flaxdeck_recovery::restored_state`.

mod conversion;
mod restore;
mod state_writer;
mod writer_thread;

use std::path::PathBuf;

pub(crate) use restore::{PreviousState, restore};
pub(crate) use state_writer::StateWriter;
pub(crate) use writer_thread::WriteEvent;

/// Where a forwarder stores its state, and under which name.
#[derive(Clone, Debug)]
pub struct StateDirectory {
    /// The directory itself.
    pub folder: PathBuf,
    /// Whose state it is: that of another name is not used.
    pub name: String,
}
