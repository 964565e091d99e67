//! The file in which hollow forwarders note when events came into force: fixed records, in the order of their times.

use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::Path;

use flaxdeck_dispatcher::control::AppliedEvents;

use crate::monotonic;

const RECORD: usize = 24;
/// Stands for the event before the first where a whole list came in place of what was known.
const ANEW: u32 = u32::MAX;

/// One note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    pub forwarder: u32,
    /// The event before the first that came into force; none for a whole list in place of what was known.
    pub after: Option<u32>,
    pub upto: u32,
    /// The low half of the hash of the last event.
    pub hash: u32,
    pub at_us: u64,
}

/// Writes notes; what is buffered is written when it is flushed.
pub struct Notes(BufWriter<File>);

impl Notes {
    pub fn create(path: &Path) -> io::Result<Notes> {
        Ok(Notes(BufWriter::with_capacity(
            64 * 1024,
            File::create(path)?,
        )))
    }

    /// Notes what has just come into force at that forwarder.
    pub fn note(&mut self, forwarder: u32, what: AppliedEvents) -> io::Result<()> {
        let (after, upto) = match what {
            AppliedEvents::Range { after, upto } => (Some(after as u32), upto),
            AppliedEvents::FullList { upto } => (None, upto),
        };
        let (upto, hash, at_us) = (upto.number as u32, upto.hash as u32, monotonic::now_us());
        self.0.write_all(
            &Note {
                forwarder,
                after,
                upto,
                hash,
                at_us,
            }
            .bytes(),
        )
    }

    pub fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Note {
    fn bytes(&self) -> [u8; RECORD] {
        let mut bytes = [0; RECORD];
        let words = [
            self.forwarder,
            self.after.unwrap_or(ANEW),
            self.upto,
            self.hash,
        ];
        bytes
            .chunks_mut(4)
            .zip(words)
            .for_each(|(chunk, word)| chunk.copy_from_slice(&word.to_le_bytes()));
        bytes[16..].copy_from_slice(&self.at_us.to_le_bytes());
        bytes
    }

    fn of(bytes: &[u8; RECORD]) -> Note {
        let word = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let (low, high) = (u64::from(word(16)), u64::from(word(20)));
        let after = Some(word(4)).filter(|after| *after != ANEW);
        Note {
            forwarder: word(0),
            after,
            upto: word(8),
            hash: word(12),
            at_us: high << 32 | low,
        }
    }
}

/// Reads all whole notes of a file.
pub fn read(path: &Path, mut each: impl FnMut(Note)) -> io::Result<()> {
    let mut file = BufReader::new(File::open(path)?);
    let mut bytes = [0; RECORD];
    loop {
        match file.read_exact(&mut bytes) {
            Ok(()) => each(Note::of(&bytes)),
            // A process that was killed may have left a part of one.
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}
