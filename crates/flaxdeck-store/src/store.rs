//! The store: reads what an earlier run left, and keeps what this one tells. Nothing here is tried again once it has
//! failed: a sync that failed may have thrown away what it was to keep, and the next one says nothing of it.

use std::fmt;

use crate::disk::Disk;

const VERSION: u8 = 1;
const HASH: usize = 16;
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";
/// Bytes of a snapshot and of a log at most: some tens of thousands of hosts.
const MOST: usize = 64 << 20;
/// A record is some lines of hosts at most.
const MAX_RECORD: usize = 4 << 20;

type Hash = [u8; HASH];

fn hash(parts: &[&[u8]]) -> Hash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut short = [0; HASH];
    short.copy_from_slice(&hasher.finalize().as_bytes()[..HASH]);
    short
}

/// Where what was found can't be read any further, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: &'static str,
    pub at: usize,
    pub why: &'static str,
}

impl fmt::Display for Damage {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} at byte {}: {}", self.file, self.at, self.why)
    }
}

/// What an earlier run left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub generation: u64,
    /// The name of the instance that wrote it.
    pub name: String,
    /// None if there is no snapshot that can be read.
    pub snapshot: Option<Vec<u8>>,
    /// What was told after it, up to the first damage.
    pub records: Vec<Vec<u8>>,
    pub damage: Option<Damage>,
    snapshot_hash: Hash,
}

/// Why nothing is kept any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(pub String);

/// A store that is being written.
pub struct Store<D> {
    disk: D,
    name: String,
    generation: u64,
    /// The hash of the log's last record.
    last: Hash,
    /// Bytes of the log, and of the snapshot before it.
    pub logged: usize,
    pub snapshot_bytes: usize,
    broken: Option<StoreError>,
}

/// A reader that never goes past the end.
struct Bytes<'a>(&'a [u8], usize);

impl<'a> Bytes<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let taken = self.0.get(self.1..self.1.checked_add(count)?)?;
        self.1 += count;
        Some(taken)
    }
    fn length(&mut self) -> Option<usize> {
        self.take(4).map(|bytes| {
            bytes
                .iter()
                .fold(0, |sum, byte| sum << 8 | usize::from(*byte))
        })
    }
    fn number(&mut self) -> Option<u64> {
        self.take(8).map(|bytes| {
            bytes
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
        })
    }
}

/// Reads what is there without changing anything.
pub fn look(disk: &mut impl Disk) -> Found {
    let mut found = Found::default();
    let read = |disk: &mut dyn Disk, file: &'static str| match disk.read(file, MOST) {
        Ok(bytes) => Ok(bytes),
        Err(_) => Err(Damage {
            file,
            at: 0,
            why: "it can't be read",
        }),
    };
    let snapshot = match read(disk, SNAPSHOT) {
        Ok(snapshot) => snapshot,
        Err(damage) => {
            return Found {
                damage: Some(damage),
                ..found
            };
        }
    };
    let Some(snapshot) = snapshot else {
        return found;
    };
    match read_snapshot(&snapshot) {
        Ok((generation, name, body, hash)) => {
            (found.generation, found.name, found.snapshot) = (generation, name, Some(body));
            found.snapshot_hash = hash;
        }
        Err((at, why)) => {
            return Found {
                damage: Some(Damage {
                    file: SNAPSHOT,
                    at,
                    why,
                }),
                ..found
            };
        }
    }
    match read(disk, LOG) {
        Ok(Some(log)) => {
            let (records, damage) = read_log(&log, &found);
            found.records = records;
            found.damage = damage.map(|(at, why)| Damage { file: LOG, at, why });
        }
        Ok(None) => {}
        Err(damage) => found.damage = Some(damage),
    }
    found
}

type Fault = (usize, &'static str);

fn read_snapshot(bytes: &[u8]) -> Result<(u64, String, Vec<u8>, Hash), Fault> {
    let mut from = Bytes(bytes, 0);
    let short = |from: &Bytes| (from.1, "it ends too soon");
    if from.take(4).ok_or((0, "it ends too soon"))? != b"flxs" {
        return Err((0, "it is no snapshot"));
    }
    if from.take(1) != Some(&[VERSION]) {
        return Err((4, "it is of another version"));
    }
    let generation = from.number().ok_or_else(|| short(&from))?;
    let name = from.take(1).ok_or((from.1, "it ends too soon"))?[0];
    let name = from
        .take(usize::from(name))
        .ok_or((from.1, "it ends too soon"))?;
    let name = String::from_utf8(name.to_vec()).map_err(|_| (from.1, "its name is no text"))?;
    let length = from.length().ok_or((from.1, "it ends too soon"))?;
    let body = from
        .take(length)
        .ok_or((from.1, "it ends too soon"))?
        .to_vec();
    let end = from.1;
    let told = from.take(HASH).ok_or((end, "it ends too soon"))?;
    let made = hash(&[&bytes[..end]]);
    if told != made {
        return Err((end, "its hash does not fit what it holds"));
    }
    if from.1 != bytes.len() {
        return Err((from.1, "more stands behind its end"));
    }
    Ok((generation, name, body, made))
}

fn log_head(generation: u64, follows: &Hash) -> Vec<u8> {
    let head = [&b"flxl"[..], &[VERSION], &generation.to_be_bytes(), follows].concat();
    let end = hash(&[&head]);
    [head, end.to_vec()].concat()
}

fn read_log(bytes: &[u8], after: &Found) -> (Vec<Vec<u8>>, Option<Fault>) {
    let head = log_head(after.generation, &after.snapshot_hash);
    let mut records = Vec::new();
    if bytes.len() < head.len() || bytes[..head.len()] != head {
        // One that follows another snapshot is no damage of this one: its last words were lost with that.
        let why = if bytes.starts_with(b"flxl") {
            "it follows another snapshot"
        } else {
            "it is no log"
        };
        return (records, Some((0, why)));
    }
    let (mut from, mut last) = (Bytes(bytes, head.len()), [0; HASH]);
    last.copy_from_slice(&head[head.len() - HASH..]);
    while from.1 < bytes.len() {
        let at = from.1;
        let Some(length) = from.length().filter(|length| *length <= MAX_RECORD) else {
            return (records, Some((at, "a record's length can't be")));
        };
        let (Some(body), Some(told)) = (from.take(length), from.take(HASH)) else {
            return (records, Some((at, "a record ends too soon")));
        };
        let made = hash(&[&last, body]);
        if told != made {
            return (
                records,
                Some((at, "a record's hash does not fit what it holds")),
            );
        }
        last = made;
        records.push(body.to_vec());
    }
    (records, None)
}

impl<D: Disk> Store<D> {
    /// Begins a run of the instance of that name, a generation after the one found, with its first snapshot. A store of
    /// another instance is not written over.
    pub fn begin(mut disk: D, name: &str, body: &[u8]) -> Result<Store<D>, StoreError> {
        let found = look(&mut disk);
        if !found.name.is_empty() && found.name != name {
            return Err(StoreError(format!(
                "it is the store of {}, not of {name}",
                found.name
            )));
        }
        let generation = found.generation + 1;
        let (last, logged, snapshot_bytes, broken) = ([0; HASH], 0, 0, None);
        let mut store = Store {
            disk,
            name: name.to_owned(),
            generation,
            last,
            logged,
            snapshot_bytes,
            broken,
        };
        store.snapshot(body)?;
        Ok(store)
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Why nothing is kept any more, if so.
    pub fn broken(&self) -> Option<&StoreError> {
        self.broken.as_ref()
    }

    /// Keeps a whole state in place of all before.
    pub fn snapshot(&mut self, body: &[u8]) -> Result<(), StoreError> {
        let name = &self.name.as_bytes()[..self.name.len().min(255)];
        if body.len() > MOST - 1024 {
            return self.breaks("a snapshot over the bound of a store", None);
        }
        let head = [
            &b"flxs"[..],
            &[VERSION],
            &self.generation.to_be_bytes(),
            &[name.len() as u8],
            name,
        ]
        .concat();
        let told = [&head, &(body.len() as u32).to_be_bytes()[..], body].concat();
        let made = hash(&[&told]);
        let bytes = [told, made.to_vec()].concat();
        let log = log_head(self.generation, &made);
        self.tries(|disk| {
            replace(disk, SNAPSHOT, &bytes)?;
            replace(disk, LOG, &log)
        })?;
        self.last.copy_from_slice(&log[log.len() - HASH..]);
        (self.logged, self.snapshot_bytes) = (0, bytes.len());
        Ok(())
    }

    /// Keeps one thing more; it is on the disk once this has come back well.
    pub fn record(&mut self, body: &[u8]) -> Result<(), StoreError> {
        if body.len() > MAX_RECORD {
            return self.breaks("a record over the bound of a store", None);
        }
        let made = hash(&[&self.last, body]);
        let bytes = [&(body.len() as u32).to_be_bytes()[..], body, &made].concat();
        self.tries(|disk| {
            disk.append(LOG, &bytes)?;
            disk.sync(LOG)
        })?;
        (self.last, self.logged) = (made, self.logged + bytes.len());
        Ok(())
    }

    fn tries(&mut self, act: impl FnOnce(&mut D) -> std::io::Result<()>) -> Result<(), StoreError> {
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        match act(&mut self.disk) {
            Ok(()) => Ok(()),
            Err(error) => self.breaks("it can't be written", Some(error)),
        }
    }

    fn breaks(&mut self, what: &str, error: Option<std::io::Error>) -> Result<(), StoreError> {
        let why = error.map_or(what.to_owned(), |error| format!("{what}: {error}"));
        let broken = self.broken.get_or_insert(StoreError(why));
        Err(broken.clone())
    }

    /// The disk, for tests that go on with it after a crash.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Puts these bytes under that name, or leaves what was there.
fn replace(disk: &mut impl Disk, name: &str, bytes: &[u8]) -> std::io::Result<()> {
    let beside = format!("{name}.new");
    disk.create(&beside, bytes)?;
    disk.sync(&beside)?;
    disk.rename(&beside, name)?;
    disk.sync_folder()
}
