//! A disk in memory that crashes and fails as told: what was not synced may be lost, in part or all, and a rename
//! that the folder was not synced after may not have been.

use std::collections::BTreeMap;
use std::io::{self, Error, ErrorKind};

use crate::disk::Disk;

/// What goes wrong, by the number of the operation at which it does, counted from 0 over all that write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// This operation and all later ones that write fail.
    Full {
        /// The first operation that fails.
        from: usize,
    },
    /// This sync fails once; later ones claim to have worked, as some systems do.
    SyncFails {
        /// The operation.
        at: usize,
    },
    /// The power goes before this operation.
    Crash {
        /// The first operation that does not happen.
        before: usize,
    },
    /// Half of what this operation writes is written, then the power goes.
    Torn {
        /// The operation.
        at: usize,
    },
}

/// A file's bytes.
#[derive(Clone, Default)]
struct FileState {
    /// As a running program sees them.
    bytes: Vec<u8>,
    /// As they are surely on the disk.
    synced: Vec<u8>,
}

/// A disk in memory.
#[derive(Clone, Default)]
pub struct FaultyDisk {
    files: BTreeMap<String, FileState>,
    /// Files by their names as they are surely on the disk.
    named: BTreeMap<String, FileState>,
    /// Operations that write, so far.
    pub operations: usize,
    /// What goes wrong.
    pub fault: Option<DiskFault>,
    crashed: bool,
}

impl FaultyDisk {
    /// An empty disk with that fault.
    pub fn with_fault(fault: DiskFault) -> FaultyDisk {
        FaultyDisk {
            fault: Some(fault),
            ..FaultyDisk::default()
        }
    }

    fn check_power(&self) -> io::Result<()> {
        if self.crashed {
            return Err(Error::other("the power is gone"));
        }
        Ok(())
    }

    /// Counts an operation that writes; gives its number unless it fails.
    fn step(&mut self) -> io::Result<usize> {
        let at = self.operations;
        self.operations += 1;
        match self.fault {
            _ if self.crashed => Err(Error::other("the power is gone")),
            Some(DiskFault::Full { from }) if at >= from => Err(ErrorKind::StorageFull.into()),
            Some(DiskFault::Crash { before }) if at >= before => {
                self.crashed = true;
                Err(Error::other("the power is gone"))
            }
            _ => Ok(at),
        }
    }

    /// Writes all or, if the power goes midway, half of it.
    fn part<'a>(&mut self, at: usize, bytes: &'a [u8]) -> &'a [u8] {
        if self.fault == Some(DiskFault::Torn { at }) {
            self.crashed = true;
            return &bytes[..bytes.len() / 2];
        }
        bytes
    }

    /// What is found after the power has come back. `kept` draws how much of each file that was not synced is there
    /// all the same, and whether a rename is: 0 for nothing, 1 for all.
    pub fn after_crash(&self, mut kept: impl FnMut() -> f64) -> FaultyDisk {
        let names = if kept() < 0.5 {
            &self.named
        } else {
            &self.files
        };
        let surviving = |file: &FileState, part: f64| {
            // What was appended since the sync is there up to some point.
            let sure = if file.bytes.starts_with(&file.synced) {
                file.synced.len()
            } else {
                0
            };
            let end = sure + ((file.bytes.len() - sure) as f64 * part) as usize;
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
            named: files.clone(),
            files,
            ..FaultyDisk::default()
        }
    }

    /// The bytes of a file, for tests to spoil.
    pub fn bytes_of(&mut self, name: &str) -> Option<&mut Vec<u8>> {
        self.files.get_mut(name).map(|file| &mut file.bytes)
    }
}

impl Disk for FaultyDisk {
    fn read(&mut self, name: &str, _max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).map(|file| file.bytes.clone()))
    }

    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let at = self.step()?;
        let bytes = self.part(at, bytes).to_vec();
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
        let at = self.step()?;
        let bytes = self.part(at, bytes).to_vec();
        self.files
            .get_mut(name)
            .ok_or(ErrorKind::NotFound)?
            .bytes
            .extend(bytes);
        self.check_power()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let at = self.step()?;
        if self.fault == Some(DiskFault::SyncFails { at }) {
            // What could not be written is thrown away, and nobody will hear of it again.
            let file = self.files.get_mut(name).ok_or(ErrorKind::NotFound)?;
            file.bytes = file.synced.clone();
            return Err(Error::other("input/output error"));
        }
        let file = self.files.get_mut(name).ok_or(ErrorKind::NotFound)?;
        file.synced = file.bytes.clone();
        if let Some(named) = self.named.get_mut(name) {
            *named = file.clone();
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let file = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.named = self.files.clone();
        Ok(())
    }
}
