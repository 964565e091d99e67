//! The record of a run: what was sent, answered and run, with times since the start of the run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The record, shared by all threads of a run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line with the present time.
    pub fn note(&self, text: &str) {
        let line = format!("{:10.1} {text}\n", self.now());
        if let Ok(mut file) = self.file.lock() {
            // A record that can't be written shows in its absence; the verdict does not rest on it.
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Writes a line, and shows it on standard output too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }

    /// Writes out what is buffered.
    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
