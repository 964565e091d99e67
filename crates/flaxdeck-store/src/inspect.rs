//! Reads the store that an earlier run has written.

use std::fmt;

use crate::disk::Disk;
use crate::format::{FormatError, MAX_FILE_BYTES, decode_log, decode_snapshot};

/// Name of the snapshot file.
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
/// Name of the log file.
pub(crate) const LOG_FILE: &str = "log";

/// Where a store can't be read any further, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The name of the damaged file.
    pub file: &'static str,
    /// The byte offset in the file.
    pub offset: usize,
    /// Why the file can't be read from there on.
    pub reason: &'static str,
}

impl fmt::Display for Damage {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Damage {
            file,
            offset,
            reason,
        } = self;
        write!(out, "{file} at byte {offset}: {reason}")
    }
}

impl Damage {
    fn new(file: &'static str, error: FormatError) -> Damage {
        Damage {
            file,
            offset: error.offset,
            reason: error.reason,
        }
    }
}

/// The contents of a store that an earlier run has written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContents {
    /// The number of runs that have written to the store; 0 if none has, or if the snapshot can't be read.
    pub generation: u64,
    /// The name of the instance that wrote the store; empty if there is no snapshot that can be read.
    pub instance: String,
    /// The body of the snapshot; `None` if there is no snapshot that can be read.
    pub snapshot: Option<Vec<u8>>,
    /// The bodies of the records after the snapshot, up to the first damage.
    pub records: Vec<Vec<u8>>,
    /// The first damage; `None` if everything could be read.
    pub damage: Option<Damage>,
}

/// Reads the contents of a store without changing anything.
pub fn inspect(disk: &mut impl Disk) -> StoreContents {
    let mut contents = StoreContents::default();
    if let Err(damage) = read_into(disk, &mut contents) {
        contents.damage = Some(damage);
    }
    contents
}

fn read_into(disk: &mut impl Disk, contents: &mut StoreContents) -> Result<(), Damage> {
    let Some(bytes) = read_file(disk, SNAPSHOT_FILE)? else {
        return Ok(());
    };
    let mut snapshot =
        decode_snapshot(&bytes).map_err(|error| Damage::new(SNAPSHOT_FILE, error))?;
    contents.generation = snapshot.generation;
    contents.instance = std::mem::take(&mut snapshot.instance);
    contents.snapshot = Some(std::mem::take(&mut snapshot.body));
    let Some(bytes) = read_file(disk, LOG_FILE)? else {
        return Ok(());
    };
    let log = decode_log(&bytes, &snapshot);
    contents.records = log.records;
    match log.damage {
        Some(error) => Err(Damage::new(LOG_FILE, error)),
        None => Ok(()),
    }
}

fn read_file(disk: &mut impl Disk, file: &'static str) -> Result<Option<Vec<u8>>, Damage> {
    disk.read(file, MAX_FILE_BYTES).map_err(|_| Damage {
        file,
        offset: 0,
        reason: "the file can't be read",
    })
}
