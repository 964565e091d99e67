//! The record of a run: one line for everything that was sent, answered or run.

use std::fmt::Arguments;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The file, and the clock that all times of a run are taken from.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
    start_unix_ms: u64,
}

pub type Shared = Arc<Record>;

impl Record {
    pub fn create(path: &Path) -> Shared {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let record = Record {
            file: Mutex::new(File::create(path).unwrap()),
            start: Instant::now(),
            start_unix_ms: unix.as_millis() as u64,
        };
        record.line(format_args!(
            "times are milliseconds since Unix time {} ms",
            record.start_unix_ms
        ));
        Arc::new(record)
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn unix_ms(&self, at: f64) -> u64 {
        self.start_unix_ms + at.max(0.0) as u64
    }

    pub fn line(&self, words: Arguments) {
        let text = format!("{:9.1} {words}\n", self.now());
        self.file
            .lock()
            .unwrap()
            .write_all(text.as_bytes())
            .unwrap();
    }

    /// Sleeps until that time of the run.
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left / 1000.0));
        }
    }
}
