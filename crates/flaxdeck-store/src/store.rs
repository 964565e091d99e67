//! Writes the state of this run.
//!
//! A failed write is never retried and stops all later writes: a failed sync may have dropped the data that it was to
//! store, and the next sync may report success without that data.

use std::io;
use std::sync::Arc;

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{
    Hash, MAX_RECORD_BYTES, MAX_SNAPSHOT_BYTES, encode_log_header, encode_record, encode_snapshot,
    header_hash,
};
use crate::inspect::{LOG_FILE, SNAPSHOT_FILE, inspect};

/// A store that this run writes to.
pub struct Store<D> {
    disk: D,
    instance: String,
    generation: u64,
    /// The hash of the log's last record, or of its header if there is no record yet.
    last_hash: Hash,
    log_bytes: usize,
    snapshot_bytes: usize,
    failure: Option<StoreError>,
}

impl<D: Disk> Store<D> {
    /// Opens the store for a run of that instance and writes the run's first snapshot. Its generation is one above the
    /// generation found.
    ///
    /// # Errors
    ///
    /// [`StoreError::OtherInstance`] if the store was written by another instance, and the errors of
    /// [`snapshot`](Store::snapshot).
    pub fn begin(mut disk: D, instance: &str, body: &[u8]) -> Result<Store<D>, StoreError> {
        let found = inspect(&mut disk);
        if !found.instance.is_empty() && found.instance != instance {
            return Err(StoreError::OtherInstance {
                found: found.instance,
                expected: instance.to_owned(),
            });
        }
        let mut store = Store {
            disk,
            instance: instance.to_owned(),
            generation: found.generation + 1,
            last_hash: Hash::default(),
            log_bytes: 0,
            snapshot_bytes: 0,
            failure: None,
        };
        store.snapshot(body)?;
        Ok(store)
    }

    /// Returns the number of runs that have written to the store, including this one.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the size of all records since the last snapshot, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// Returns the size of the last snapshot, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.snapshot_bytes
    }

    /// Returns the first error, after which nothing is stored any more; `None` while all writes have succeeded.
    pub fn failure(&self) -> Option<&StoreError> {
        self.failure.as_ref()
    }

    /// Stores the full state, replacing the previous snapshot and its log. It is durable once this has returned.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the body is too large, or if this write or any earlier one failed.
    pub fn snapshot(&mut self, body: &[u8]) -> Result<(), StoreError> {
        if body.len() > MAX_SNAPSHOT_BYTES {
            return Err(self.fail(StoreError::SnapshotTooLarge {
                bytes: body.len(),
                max_bytes: MAX_SNAPSHOT_BYTES,
            }));
        }
        let (snapshot, hash) = encode_snapshot(self.generation, &self.instance, body);
        let log_header = encode_log_header(self.generation, &hash);
        self.attempt(|disk| {
            replace(disk, SNAPSHOT_FILE, &snapshot)?;
            replace(disk, LOG_FILE, &log_header)
        })?;
        self.last_hash = header_hash(&log_header);
        self.log_bytes = 0;
        self.snapshot_bytes = snapshot.len();
        Ok(())
    }

    /// Appends a change of the state to the log. It is durable once this has returned.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the body is too large, or if this write or any earlier one failed.
    pub fn record(&mut self, body: &[u8]) -> Result<(), StoreError> {
        if body.len() > MAX_RECORD_BYTES {
            return Err(self.fail(StoreError::RecordTooLarge {
                bytes: body.len(),
                max_bytes: MAX_RECORD_BYTES,
            }));
        }
        let (record, hash) = encode_record(&self.last_hash, body);
        self.attempt(|disk| {
            disk.append(LOG_FILE, &record)?;
            disk.sync(LOG_FILE)
        })?;
        self.last_hash = hash;
        self.log_bytes += record.len();
        Ok(())
    }

    fn attempt(
        &mut self,
        operation: impl FnOnce(&mut D) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        if let Some(failure) = &self.failure {
            return Err(failure.clone());
        }
        operation(&mut self.disk).map_err(|error| self.fail(StoreError::Io(Arc::new(error))))
    }

    /// Records the error, unless there was one before, which stops all further writes. Returns the first error.
    fn fail(&mut self, error: StoreError) -> StoreError {
        self.failure.get_or_insert(error).clone()
    }

    /// Returns the disk, for tests that simulate a restart on it.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Replaces a file atomically: after a crash it has either its old content or these bytes.
fn replace(disk: &mut impl Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}.new");
    disk.create(&temporary, bytes)?;
    disk.sync(&temporary)?;
    disk.rename(&temporary, name)?;
    disk.sync_folder()
}
