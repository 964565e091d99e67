//! A disk in memory that crashes and fails as told: what was not synced may be lost, in part or whole, and a rename
//! that the folder was not synced after may not have been.

use std::collections::BTreeMap;
use std::io::{self, Error, ErrorKind};

use crate::disk::Disk;

/// What goes wrong, by the number of the operation at which it does, counted from 0 over all that write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// This operation and all later ones that write fail.
    Full { from: usize },
    /// This sync fails once; later ones claim to have worked, as some systems do.
    SyncFails { at: usize },
    /// The power goes before this operation.
    Crash { before: usize },
    /// Half of what this operation writes is written, then the power goes.
    Torn { at: usize },
}

#[derive(Clone, Default)]
struct Held {
    /// As a running program sees it, and how much of it is surely on the disk.
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

/// The disk.
#[derive(Clone, Default)]
pub struct Faulty {
    files: BTreeMap<String, Held>,
    /// Files by their names as they are surely on the disk.
    named: BTreeMap<String, Held>,
    pub operations: usize,
    pub fault: Option<DiskFault>,
    crashed: bool,
}

impl Faulty {
    /// An empty disk with something in store.
    pub fn with(fault: DiskFault) -> Faulty {
        Faulty {
            fault: Some(fault),
            ..Faulty::default()
        }
    }

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
    pub fn after_crash(&self, mut kept: impl FnMut() -> f64) -> Faulty {
        let names = if kept() < 0.5 {
            &self.named
        } else {
            &self.files
        };
        let file = |held: &Held, part: f64| {
            // What was appended since the sync is there up to some point.
            let sure = if held.bytes.starts_with(&held.synced) {
                held.synced.len()
            } else {
                0
            };
            let end = sure + ((held.bytes.len() - sure) as f64 * part) as usize;
            let bytes = held.bytes[..end].to_vec();
            Held {
                synced: bytes.clone(),
                bytes,
            }
        };
        let files: BTreeMap<String, Held> = names
            .iter()
            .map(|(name, held)| (name.clone(), file(held, kept())))
            .collect();
        Faulty {
            named: files.clone(),
            files,
            ..Faulty::default()
        }
    }

    /// The bytes of a file, for tests to spoil.
    pub fn bytes_of(&mut self, name: &str) -> Option<&mut Vec<u8>> {
        self.files.get_mut(name).map(|held| &mut held.bytes)
    }
}

impl Disk for Faulty {
    fn read(&mut self, name: &str, _most: usize) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).map(|held| held.bytes.clone()))
    }

    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let at = self.step()?;
        let bytes = self.part(at, bytes).to_vec();
        self.files.insert(
            name.to_owned(),
            Held {
                bytes,
                synced: Vec::new(),
            },
        );
        if self.crashed {
            Err(Error::other("the power is gone"))
        } else {
            Ok(())
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let at = self.step()?;
        let bytes = self.part(at, bytes).to_vec();
        self.files
            .get_mut(name)
            .ok_or(ErrorKind::NotFound)?
            .bytes
            .extend(bytes);
        if self.crashed {
            Err(Error::other("the power is gone"))
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let at = self.step()?;
        if self.fault == Some(DiskFault::SyncFails { at }) {
            // What could not be written is thrown away, and nobody will hear of it again.
            let held = self.files.get_mut(name).ok_or(ErrorKind::NotFound)?;
            held.bytes = held.synced.clone();
            return Err(Error::other("input/output error"));
        }
        let held = self.files.get_mut(name).ok_or(ErrorKind::NotFound)?;
        held.synced = held.bytes.clone();
        if let Some(named) = self.named.get_mut(name) {
            *named = held.clone();
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let held = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), held);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.named = self.files.clone();
        Ok(())
    }
}
