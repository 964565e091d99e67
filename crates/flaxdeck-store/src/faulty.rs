//! An in-memory disk that injects faults. After a crash, data that was not synced may be lost, in part or completely,
//! and a rename without a later sync of the folder may be undone.

use std::collections::BTreeMap;
use std::io::{self, Error, ErrorKind};

use crate::disk::Disk;

/// The fault to inject. All operations but reads are numbered from 0; a fault names the one at which it occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// The disk is full: this write operation and all later ones fail.
    Full {
        /// The number of the first operation that fails.
        from: usize,
    },
    /// This sync fails and the unsynced data is lost; later syncs report success nevertheless, as on some systems.
    SyncFails {
        /// The number of the operation.
        at: usize,
    },
    /// Power is lost before this operation.
    Crash {
        /// The number of the first operation that is not executed.
        before: usize,
    },
    /// A torn write: half of the bytes of this operation are written, then power is lost.
    Torn {
        /// The number of the operation.
        at: usize,
    },
}

/// The content of a file.
#[derive(Clone, Default)]
struct FileState {
    /// The content that a running program sees.
    bytes: Vec<u8>,
    /// The content that is guaranteed to survive a crash.
    synced: Vec<u8>,
}

/// An in-memory disk that injects one fault.
#[derive(Clone, Default)]
pub struct FaultyDisk {
    files: BTreeMap<String, FileState>,
    /// Files under the names that are guaranteed to survive a crash.
    durable_names: BTreeMap<String, FileState>,
    /// Number of write operations so far.
    pub operations: usize,
    /// The fault to inject, if any.
    pub fault: Option<DiskFault>,
    crashed: bool,
}

impl FaultyDisk {
    /// Returns an empty disk with that fault.
    pub fn with_fault(fault: DiskFault) -> FaultyDisk {
        FaultyDisk {
            fault: Some(fault),
            ..FaultyDisk::default()
        }
    }

    fn check_power(&self) -> io::Result<()> {
        if self.crashed {
            return Err(Error::other("power lost"));
        }
        Ok(())
    }

    /// Counts a write operation and returns its number, or the error of the fault if that strikes here.
    fn begin_write(&mut self) -> io::Result<usize> {
        let at = self.operations;
        self.operations += 1;
        match self.fault {
            _ if self.crashed => Err(Error::other("power lost")),
            Some(DiskFault::Full { from }) if at >= from => Err(ErrorKind::StorageFull.into()),
            Some(DiskFault::Crash { before }) if at >= before => {
                self.crashed = true;
                Err(Error::other("power lost"))
            }
            _ => Ok(at),
        }
    }

    /// Returns the bytes that reach the disk: all of them, or the first half if this is the torn write.
    fn written_part<'a>(&mut self, at: usize, bytes: &'a [u8]) -> &'a [u8] {
        if self.fault == Some(DiskFault::Torn { at }) {
            self.crashed = true;
            return &bytes[..bytes.len() / 2];
        }
        bytes
    }

    /// Returns the disk as a restart after a crash finds it. `kept` draws values from 0 to 1: the first decides whether
    /// unsynced renames have survived (from 0.5 on), each further one the fraction of a file's unsynced bytes that has.
    pub fn after_crash(&self, mut kept: impl FnMut() -> f64) -> FaultyDisk {
        let names = if kept() < 0.5 {
            &self.durable_names
        } else {
            &self.files
        };
        let surviving = |file: &FileState, part: f64| {
            // Of the bytes appended since the last sync, a prefix survives.
            let durable = if file.bytes.starts_with(&file.synced) {
                file.synced.len()
            } else {
                0
            };
            let end = durable + ((file.bytes.len() - durable) as f64 * part) as usize;
            let bytes = file.bytes[..end].to_vec();
            FileState {
                synced: bytes.clone(),
                bytes,
            }
        };
        let files: BTreeMap<String, FileState> = names
            .iter()
            .map(|(name, file)| (name.clone(), surviving(file, kept())))
            .collect();
        FaultyDisk {
            durable_names: files.clone(),
            files,
            ..FaultyDisk::default()
        }
    }

    /// Returns the bytes of a file, for tests that corrupt them.
    pub fn bytes_mut(&mut self, name: &str) -> Option<&mut Vec<u8>> {
        self.files.get_mut(name).map(|file| &mut file.bytes)
    }
}

impl Disk for FaultyDisk {
    fn read(&mut self, name: &str, _max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).map(|file| file.bytes.clone()))
    }

    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let at = self.begin_write()?;
        let bytes = self.written_part(at, bytes).to_vec();
        self.files.insert(
            name.to_owned(),
            FileState {
                bytes,
                synced: Vec::new(),
            },
        );
        self.check_power()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let at = self.begin_write()?;
        let bytes = self.written_part(at, bytes).to_vec();
        self.files
            .get_mut(name)
            .ok_or(ErrorKind::NotFound)?
            .bytes
            .extend(bytes);
        self.check_power()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let at = self.begin_write()?;
        if self.fault == Some(DiskFault::SyncFails { at }) {
            // The kernel drops the pages that it could not write, and later syncs do not report them again.
            let file = self.files.get_mut(name).ok_or(ErrorKind::NotFound)?;
            file.bytes = file.synced.clone();
            return Err(Error::other("input/output error"));
        }
        let file = self.files.get_mut(name).ok_or(ErrorKind::NotFound)?;
        file.synced = file.bytes.clone();
        if let Some(durable) = self.durable_names.get_mut(name) {
            *durable = file.clone();
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_write()?;
        let file = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.begin_write()?;
        self.durable_names = self.files.clone();
        Ok(())
    }
}
