//! Writes the state of this run.
//!
//! Nothing is tried again once it has failed: a sync that failed may have thrown away what it was to store, and the next
//! one says nothing of it.

use std::io;
use std::sync::Arc;

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{
    Hash, MAX_RECORD_BYTES, MAX_SNAPSHOT_BYTES, encode_log_head, encode_record, encode_snapshot,
    head_hash,
};
use crate::inspect::{LOG_FILE, SNAPSHOT_FILE, inspect};

/// A store that is being written.
pub struct Store<D> {
    disk: D,
    instance: String,
    generation: u64,
    /// The hash of the log's last record, or of its head.
    last_hash: Hash,
    log_bytes: usize,
    snapshot_bytes: usize,
    failure: Option<StoreError>,
}

impl<D: Disk> Store<D> {
    /// Begins a run of the instance of that name, a generation after the one found, with its first snapshot.
    ///
    /// # Errors
    ///
    /// [`StoreError::OtherInstance`] if another instance has written there, else as [`snapshot`](Store::snapshot).
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

    /// Counts the runs that have written, this one included.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Bytes of records since the last snapshot.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// Bytes of the last snapshot.
    pub fn snapshot_bytes(&self) -> usize {
        self.snapshot_bytes
    }

    /// Why nothing is stored any more, if so.
    pub fn failure(&self) -> Option<&StoreError> {
        self.failure.as_ref()
    }

    /// Stores a full state in place of all before.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if it is too large or can't be written, now or at any time before.
    pub fn snapshot(&mut self, body: &[u8]) -> Result<(), StoreError> {
        if body.len() > MAX_SNAPSHOT_BYTES {
            return Err(self.fail(StoreError::SnapshotTooLarge {
                bytes: body.len(),
                most: MAX_SNAPSHOT_BYTES,
            }));
        }
        let (snapshot, hash) = encode_snapshot(self.generation, &self.instance, body);
        let log_head = encode_log_head(self.generation, &hash);
        self.attempt(|disk| {
            replace(disk, SNAPSHOT_FILE, &snapshot)?;
            replace(disk, LOG_FILE, &log_head)
        })?;
        self.last_hash = head_hash(&log_head);
        self.log_bytes = 0;
        self.snapshot_bytes = snapshot.len();
        Ok(())
    }

    /// Stores a change to the state. It is on the disk once this has returned.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if it is too large or can't be written, now or at any time before.
    pub fn record(&mut self, body: &[u8]) -> Result<(), StoreError> {
        if body.len() > MAX_RECORD_BYTES {
            return Err(self.fail(StoreError::RecordTooLarge {
                bytes: body.len(),
                most: MAX_RECORD_BYTES,
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

    /// Nothing is stored from now on; gives the first failure.
    fn fail(&mut self, error: StoreError) -> StoreError {
        self.failure.get_or_insert(error).clone()
    }

    /// The disk, for tests that go on with it after a crash.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Puts these bytes under that name, or leaves what was there.
fn replace(disk: &mut impl Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let beside = format!("{name}.new");
    disk.create(&beside, bytes)?;
    disk.sync(&beside)?;
    disk.rename(&beside, name)?;
    disk.sync_folder()
}
