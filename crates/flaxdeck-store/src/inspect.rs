//! Reads what an earlier run left.

use std::fmt;

use crate::disk::Disk;
use crate::format::{FormatError, MAX_FILE_BYTES, decode_log, decode_snapshot};

/// The file of the snapshot.
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
/// The file of the log.
pub(crate) const LOG_FILE: &str = "log";

/// Where a store can't be read any further, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file.
    pub file: &'static str,
    /// The byte in it.
    pub offset: usize,
    /// The reason.
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

/// What an earlier run left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContents {
    /// Counts the runs that have written; 0 if none has.
    pub generation: u64,
    /// The name of the instance that wrote it.
    pub instance: String,
    /// The body of the snapshot; none if there is no snapshot that can be read.
    pub snapshot: Option<Vec<u8>>,
    /// The bodies of the records after it, up to the first damage.
    pub records: Vec<Vec<u8>>,
    /// Where it can't be read any further.
    pub damage: Option<Damage>,
}

/// Reads what is there without changing anything.
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
        reason: "it can't be read",
    })
}
