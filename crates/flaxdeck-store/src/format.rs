//! The bytes of snapshots, logs and records.

/// The version of the format.
const VERSION: u8 = 1;
const SNAPSHOT_MAGIC: &[u8; 4] = b"flxs";
const LOG_MAGIC: &[u8; 4] = b"flxl";
const HASH_BYTES: usize = 16;
/// The longest name that is written; of a longer one the beginning is.
const MAX_NAME_BYTES: usize = 255;

/// The most bytes of a snapshot, and of a log: some tens of thousands of hosts.
pub(crate) const MAX_FILE_BYTES: usize = 64 << 20;
/// The most bytes of a snapshot's body: what is left beside its head and hash.
pub(crate) const MAX_SNAPSHOT_BYTES: usize = MAX_FILE_BYTES - 1024;
/// The most bytes of a record's body: some listed hosts.
pub(crate) const MAX_RECORD_BYTES: usize = 4 << 20;

/// A BLAKE3 hash, shortened.
pub(crate) type Hash = [u8; HASH_BYTES];

/// The hash of these parts one after another.
pub(crate) fn hash(parts: &[&[u8]]) -> Hash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut short = [0; HASH_BYTES];
    short.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
    short
}

/// Where bytes can't be read any further, and why.
#[derive(Clone, Copy)]
pub(crate) struct FormatError {
    pub(crate) offset: usize,
    pub(crate) reason: &'static str,
}

fn error(offset: usize, reason: &'static str) -> FormatError {
    FormatError { offset, reason }
}

/// A reader that never goes past the end.
struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let end = self.offset.checked_add(count)?;
        let taken = self.bytes.get(self.offset..end)?;
        self.offset = end;
        Some(taken)
    }

    fn take_number(&mut self, count: usize) -> Option<u64> {
        let bytes = self.take(count)?;
        Some(
            bytes
                .iter()
                .fold(0, |number, byte| number << 8 | u64::from(*byte)),
        )
    }

    fn take_length(&mut self) -> Option<usize> {
        self.take_number(4).map(|length| length as usize)
    }

    fn ended(&self) -> FormatError {
        error(self.offset, "it ends too soon")
    }
}

/// A snapshot as it is read.
pub(crate) struct Snapshot {
    pub(crate) generation: u64,
    pub(crate) instance: String,
    pub(crate) body: Vec<u8>,
    pub(crate) hash: Hash,
}

/// The bytes of a snapshot, and its hash.
pub(crate) fn encode_snapshot(generation: u64, instance: &str, body: &[u8]) -> (Vec<u8>, Hash) {
    let name = &instance.as_bytes()[..instance.len().min(MAX_NAME_BYTES)];
    let unhashed = [
        &SNAPSHOT_MAGIC[..],
        &[VERSION],
        &generation.to_be_bytes(),
        &[name.len() as u8],
        name,
        &(body.len() as u32).to_be_bytes(),
        body,
    ]
    .concat();
    let hash = hash(&[&unhashed]);
    ([&unhashed[..], &hash].concat(), hash)
}

/// Reads a snapshot.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot, FormatError> {
    let mut reader = Reader { bytes, offset: 0 };
    let magic = reader.take(4).ok_or(reader.ended())?;
    if magic != SNAPSHOT_MAGIC {
        return Err(error(0, "it is no snapshot"));
    }
    if reader.take(1) != Some(&[VERSION]) {
        return Err(error(4, "it is of another version"));
    }
    let generation = reader.take_number(8).ok_or(reader.ended())?;
    let name_length = reader.take_number(1).ok_or(reader.ended())?;
    let name = reader.take(name_length as usize).ok_or(reader.ended())?;
    let instance = String::from_utf8(name.to_vec())
        .map_err(|_| error(reader.offset, "its name is no text"))?;
    let length = reader.take_length().ok_or(reader.ended())?;
    let body = reader.take(length).ok_or(reader.ended())?.to_vec();
    let end = reader.offset;
    let stored_hash = reader
        .take(HASH_BYTES)
        .ok_or(error(end, "it ends too soon"))?;
    let hash = hash(&[&bytes[..end]]);
    if stored_hash != hash {
        return Err(error(end, "its hash does not fit what it holds"));
    }
    if reader.offset != bytes.len() {
        return Err(error(reader.offset, "more stands behind its end"));
    }
    Ok(Snapshot {
        generation,
        instance,
        body,
        hash,
    })
}

/// The head of a log that follows that snapshot; it ends with the hash that the first record's covers.
pub(crate) fn encode_log_head(generation: u64, follows: &Hash) -> Vec<u8> {
    let head = [
        &LOG_MAGIC[..],
        &[VERSION],
        &generation.to_be_bytes(),
        follows,
    ]
    .concat();
    let hash = hash(&[&head]);
    [&head[..], &hash].concat()
}

/// The hash at the end of a log's head.
pub(crate) fn head_hash(head: &[u8]) -> Hash {
    let mut hash = [0; HASH_BYTES];
    hash.copy_from_slice(&head[head.len() - HASH_BYTES..]);
    hash
}

/// The bytes of a record after the one with the hash `last`, and its own hash.
pub(crate) fn encode_record(last: &Hash, body: &[u8]) -> (Vec<u8>, Hash) {
    let hash = hash(&[last, body]);
    let length = (body.len() as u32).to_be_bytes();
    ([&length[..], body, &hash].concat(), hash)
}

/// The records of a log up to the first damage, if there is any.
pub(crate) struct Log {
    pub(crate) records: Vec<Vec<u8>>,
    pub(crate) damage: Option<FormatError>,
}

/// Reads a log that follows that snapshot.
pub(crate) fn decode_log(bytes: &[u8], snapshot: &Snapshot) -> Log {
    let head = encode_log_head(snapshot.generation, &snapshot.hash);
    let mut records = Vec::new();
    if !bytes.starts_with(&head) {
        // One that follows another snapshot is no damage of this one: its last words were lost with that.
        let reason = if bytes.starts_with(LOG_MAGIC) {
            "it follows another snapshot"
        } else {
            "it is no log"
        };
        return Log {
            records,
            damage: Some(error(0, reason)),
        };
    }
    let mut reader = Reader {
        bytes,
        offset: head.len(),
    };
    let mut last = head_hash(&head);
    let mut damage = None;
    while reader.offset < bytes.len() && damage.is_none() {
        match decode_record(&mut reader, &last) {
            Ok((body, hash)) => {
                records.push(body);
                last = hash;
            }
            Err(error) => damage = Some(error),
        }
    }
    Log { records, damage }
}

fn decode_record(reader: &mut Reader, last: &Hash) -> Result<(Vec<u8>, Hash), FormatError> {
    let start = reader.offset;
    let length = reader
        .take_length()
        .filter(|length| *length <= MAX_RECORD_BYTES)
        .ok_or(error(start, "a record's length can't be"))?;
    let (Some(body), Some(stored_hash)) = (reader.take(length), reader.take(HASH_BYTES)) else {
        return Err(error(start, "a record ends too soon"));
    };
    let hash = hash(&[last, body]);
    if stored_hash != hash {
        return Err(error(start, "a record's hash does not fit what it holds"));
    }
    Ok((body.to_vec(), hash))
}
