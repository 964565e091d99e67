//! The thread that writes the state to disk: jobs in, events out. It ends with the first write that fails, or once
//! nobody sends jobs any more.

use std::sync::mpsc::{Receiver, SyncSender};

use flaxdeck::Time;
use flaxdeck_store::{Folder, Store, StoreError};
use tokio::sync::mpsc::UnboundedSender;

use super::StateDirectory;

/// What the thread is asked to write.
pub(super) enum WriteJob {
    /// A whole state in place of all before.
    Snapshot(Vec<u8>),
    /// One change of the state.
    Record(Vec<u8>),
    /// A change that allows lending until that time, to be answered once it is on the disk.
    LendPermission { record: Vec<u8>, until: Time },
    /// The last whole state; whoever waits for it is told once it is written or has failed.
    FinalSnapshot {
        state: Vec<u8>,
        done: SyncSender<()>,
    },
}

/// What the thread answers.
#[derive(Debug)]
pub(crate) enum WriteEvent {
    /// The directory is in use under this generation.
    Started { generation: u64 },
    /// Leases may be given until then: a run after this one would know of them.
    LendPermission { until: Time },
    /// Nothing is written any more.
    Failed(StoreError),
}

/// Writes `first` and then what the jobs bring.
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
            WriteJob::LendPermission { record, until } => {
                store.record(&record)?;
                send(events, WriteEvent::LendPermission { until });
            }
            WriteJob::FinalSnapshot { state, done } => {
                let written = store.snapshot(&state);
                let _ = done.try_send(()); // whoever waited has gone on
                written?;
            }
        }
    }
    Ok(())
}

fn send(events: &UnboundedSender<WriteEvent>, event: WriteEvent) {
    let _ = events.send(event); // a process that ends listens no more
}
