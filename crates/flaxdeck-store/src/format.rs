//! Encoding and decoding of snapshots, logs and records.

/// Version of the file format.
const VERSION: u8 = 1;
const SNAPSHOT_MAGIC: &[u8; 4] = b"flxs";
const LOG_MAGIC: &[u8; 4] = b"flxl";
const HASH_BYTES: usize = 16;
/// Maximum length of the instance name in a snapshot; longer names are truncated.
const MAX_NAME_BYTES: usize = 255;

/// Maximum size of a snapshot file and of a log file: enough for some tens of thousands of hosts.
pub(crate) const MAX_FILE_BYTES: usize = 64 << 20;
/// Maximum size of a snapshot's body: the file size less room for its header and hash.
pub(crate) const MAX_SNAPSHOT_BYTES: usize = MAX_FILE_BYTES - 1024;
/// Maximum size of a record's body: enough for a change that lists hosts.
pub(crate) const MAX_RECORD_BYTES: usize = 4 << 20;

/// A BLAKE3 hash, truncated to `HASH_BYTES`.
pub(crate) type Hash = [u8; HASH_BYTES];

/// Returns the hash of the concatenated parts.
pub(crate) fn hash(parts: &[&[u8]]) -> Hash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut truncated = [0; HASH_BYTES];
    truncated.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
    truncated
}

/// The offset at which decoding failed, and the reason.
#[derive(Clone, Copy)]
pub(crate) struct FormatError {
    pub(crate) offset: usize,
    pub(crate) reason: &'static str,
}

fn error(offset: usize, reason: &'static str) -> FormatError {
    FormatError { offset, reason }
}

/// A bounds-checked reader: each method returns `None` past the end.
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

    fn truncated(&self) -> FormatError {
        error(self.offset, "the file is truncated")
    }
}

/// A decoded snapshot.
pub(crate) struct Snapshot {
    pub(crate) generation: u64,
    pub(crate) instance: String,
    pub(crate) body: Vec<u8>,
    pub(crate) hash: Hash,
}

/// Encodes a snapshot. Returns its bytes and its hash.
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

/// Decodes a snapshot and verifies its hash.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot, FormatError> {
    let mut reader = Reader { bytes, offset: 0 };
    let magic = reader.take(4).ok_or(reader.truncated())?;
    if magic != SNAPSHOT_MAGIC {
        return Err(error(0, "not a snapshot file: the magic number is wrong"));
    }
    if reader.take(1) != Some(&[VERSION]) {
        return Err(error(4, "unsupported format version"));
    }
    let generation = reader.take_number(8).ok_or(reader.truncated())?;
    let name_length = reader.take_number(1).ok_or(reader.truncated())?;
    let name = reader
        .take(name_length as usize)
        .ok_or(reader.truncated())?;
    let instance = String::from_utf8(name.to_vec())
        .map_err(|_| error(reader.offset, "the instance name is not UTF-8"))?;
    let length = reader.take_length().ok_or(reader.truncated())?;
    let body = reader.take(length).ok_or(reader.truncated())?.to_vec();
    let end = reader.offset;
    let stored_hash = reader
        .take(HASH_BYTES)
        .ok_or(error(end, "the file is truncated"))?;
    let hash = hash(&[&bytes[..end]]);
    if stored_hash != hash {
        return Err(error(end, "hash mismatch"));
    }
    if reader.offset != bytes.len() {
        return Err(error(reader.offset, "unexpected bytes after the snapshot"));
    }
    Ok(Snapshot {
        generation,
        instance,
        body,
        hash,
    })
}

/// Encodes the header of a log that belongs to that snapshot. It ends with a hash, which the hash of the first record
/// covers.
pub(crate) fn encode_log_header(generation: u64, snapshot_hash: &Hash) -> Vec<u8> {
    let header = [
        &LOG_MAGIC[..],
        &[VERSION],
        &generation.to_be_bytes(),
        snapshot_hash,
    ]
    .concat();
    let hash = hash(&[&header]);
    [&header[..], &hash].concat()
}

/// Returns the hash at the end of a log's header.
pub(crate) fn header_hash(header: &[u8]) -> Hash {
    let mut hash = [0; HASH_BYTES];
    hash.copy_from_slice(&header[header.len() - HASH_BYTES..]);
    hash
}

/// Encodes a record that follows the record or header with the hash `previous`. Returns its bytes and its own hash.
pub(crate) fn encode_record(previous: &Hash, body: &[u8]) -> (Vec<u8>, Hash) {
    let hash = hash(&[previous, body]);
    let length = (body.len() as u32).to_be_bytes();
    ([&length[..], body, &hash].concat(), hash)
}

/// The records of a log up to the first damage, and that damage if there is any.
pub(crate) struct Log {
    pub(crate) records: Vec<Vec<u8>>,
    pub(crate) damage: Option<FormatError>,
}

/// Decodes a log and checks that it belongs to that snapshot.
pub(crate) fn decode_log(bytes: &[u8], snapshot: &Snapshot) -> Log {
    let header = encode_log_header(snapshot.generation, &snapshot.hash);
    let mut records = Vec::new();
    if !bytes.starts_with(&header) {
        // Records are only valid on top of the snapshot that their log belongs to; this snapshot itself is intact.
        let reason = if bytes.starts_with(LOG_MAGIC) {
            "the log belongs to another snapshot"
        } else {
            "not a log file: the magic number is wrong"
        };
        return Log {
            records,
            damage: Some(error(0, reason)),
        };
    }
    let mut reader = Reader {
        bytes,
        offset: header.len(),
    };
    let mut previous = header_hash(&header);
    let mut damage = None;
    while reader.offset < bytes.len() && damage.is_none() {
        match decode_record(&mut reader, &previous) {
            Ok((body, hash)) => {
                records.push(body);
                previous = hash;
            }
            Err(error) => damage = Some(error),
        }
    }
    Log { records, damage }
}

fn decode_record(reader: &mut Reader, previous: &Hash) -> Result<(Vec<u8>, Hash), FormatError> {
    let start = reader.offset;
    let length = reader
        .take_length()
        .filter(|length| *length <= MAX_RECORD_BYTES)
        .ok_or(error(start, "invalid record length"))?;
    let (Some(body), Some(stored_hash)) = (reader.take(length), reader.take(HASH_BYTES)) else {
        return Err(error(start, "truncated record"));
    };
    let hash = hash(&[previous, body]);
    if stored_hash != hash {
        return Err(error(start, "hash mismatch in a record"));
    }
    Ok((body.to_vec(), hash))
}
