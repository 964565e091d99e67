//! The file in which hollow forwarders log when events came into force: records of a fixed size, in the order of time.

use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::Path;

use flaxdeck_dispatcher::control::AppliedEvents;

use crate::monotonic;

/// Size of a record, in bytes.
const RECORD_BYTES: usize = 24;
/// The value of `after` in the record of a full list that replaced what was known.
const FULL_LIST: u32 = u32::MAX;
/// Size of the write buffer, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// One record of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The forwarder's number.
    pub forwarder: u32,
    /// The number of the event before the first that came into force; `None` for a full list that replaced what was
    /// known.
    pub after: Option<u32>,
    /// The number of the last event that came into force.
    pub upto: u32,
    /// The low half of the hash of the last event.
    pub hash: u32,
    /// When they came into force, in microseconds of the monotonic clock.
    pub at_us: u64,
}

/// Writes entries through a buffer, which has to be flushed at the end.
pub struct InForceLog(BufWriter<File>);

impl InForceLog {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// If the file can't be created.
    pub fn create(path: &Path) -> io::Result<InForceLog> {
        let file = File::create(path)?;
        Ok(InForceLog(BufWriter::with_capacity(BUFFER_BYTES, file)))
    }

    /// Logs which events have just come into force at a forwarder.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write(&mut self, forwarder: u32, in_force: AppliedEvents) -> io::Result<()> {
        let (after, upto) = match in_force {
            AppliedEvents::Range { after, upto } => (Some(after as u32), upto),
            AppliedEvents::FullList { upto } => (None, upto),
        };
        let entry = LogEntry {
            forwarder,
            after,
            upto: upto.number as u32,
            hash: upto.hash as u32,
            at_us: monotonic::now_us(),
        };
        self.0.write_all(&entry.to_bytes())
    }

    /// Writes the buffered entries to the file.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl LogEntry {
    fn to_bytes(self) -> [u8; RECORD_BYTES] {
        let after = self.after.unwrap_or(FULL_LIST);
        let words = [self.forwarder, after, self.upto, self.hash];
        let mut bytes = [0; RECORD_BYTES];
        for (chunk, word) in bytes.chunks_mut(size_of::<u32>()).zip(words) {
            chunk.copy_from_slice(&word.to_le_bytes());
        }
        bytes[size_of_val(&words)..].copy_from_slice(&self.at_us.to_le_bytes());
        bytes
    }

    fn from_bytes(bytes: &[u8; RECORD_BYTES]) -> LogEntry {
        let word = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let (low, high) = (u64::from(word(16)), u64::from(word(20)));
        LogEntry {
            forwarder: word(0),
            after: Some(word(4)).filter(|after| *after != FULL_LIST),
            upto: word(8),
            hash: word(12),
            at_us: high << 32 | low,
        }
    }
}

/// Reads all complete entries of a file, and passes each to a function.
///
/// # Errors
///
/// If the file can't be read.
pub fn read(path: &Path, mut each: impl FnMut(LogEntry)) -> io::Result<()> {
    let mut file = BufReader::new(File::open(path)?);
    let mut bytes = [0; RECORD_BYTES];
    loop {
        match file.read_exact(&mut bytes) {
            Ok(()) => each(LogEntry::from_bytes(&bytes)),
            // A process that was killed may have left an incomplete entry at the end.
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}
