//! The thread that writes the state to disk. It receives jobs and answers with events, and ends with the first write
//! that fails, or when the sender of the jobs is dropped.

use std::sync::mpsc::{Receiver, SyncSender};

use flaxdeck::Time;
use flaxdeck_store::{Folder, Store, StoreError};
use tokio::sync::mpsc::UnboundedSender;

use super::StateDirectory;

/// A job for the thread.
pub(super) enum WriteJob {
    /// Writes a snapshot, which replaces everything stored before.
    Snapshot(Vec<u8>),
    /// Appends a record of one change of the state.
    Record(Vec<u8>),
    /// Appends a record that allows lending until that time, and answers once it is written.
    LendingPermit { record: Vec<u8>, until: Time },
    /// Writes the final snapshot, and notifies `done` once that is written or has failed.
    FinalSnapshot {
        state: Vec<u8>,
        done: SyncSender<()>,
    },
}

/// An answer of the thread.
#[derive(Debug)]
pub(crate) enum WriteEvent {
    /// The first snapshot is written, under this generation.
    Started { generation: u64 },
    /// Quota may be lent until that time: the next run will read from the stored state that it may be.
    LendingPermit { until: Time },
    /// A write has failed; nothing more is written.
    Failed(StoreError),
}

/// Writes the snapshot `first`, and then executes the jobs until a write fails or the sender is dropped.
pub(super) fn run(
    directory: &StateDirectory,
    first: &[u8],
    jobs: Receiver<WriteJob>,
    events: &UnboundedSender<WriteEvent>,
) {
    if let Err(error) = write_all(directory, first, jobs, events) {
        send(events, WriteEvent::Failed(error));
    }
}

fn write_all(
    directory: &StateDirectory,
    first: &[u8],
    jobs: Receiver<WriteJob>,
    events: &UnboundedSender<WriteEvent>,
) -> Result<(), StoreError> {
    let folder = Folder::open(&directory.folder).map_err(StoreError::folder)?;
    let mut store = Store::begin(folder, &directory.name, first)?;
    let generation = store.generation();
    send(events, WriteEvent::Started { generation });
    for job in jobs {
        match job {
            WriteJob::Snapshot(state) => store.snapshot(&state)?,
            WriteJob::Record(record) => store.record(&record)?,
            WriteJob::LendingPermit { record, until } => {
                store.record(&record)?;
                send(events, WriteEvent::LendingPermit { until });
            }
            WriteJob::FinalSnapshot { state, done } => {
                let written = store.snapshot(&state);
                let _ = done.try_send(()); // fails only if the receiver has timed out
                written?;
            }
        }
    }
    Ok(())
}

fn send(events: &UnboundedSender<WriteEvent>, event: WriteEvent) {
    let _ = events.send(event); // fails only when the process is ending
}
