//! Periodically writes the counters of a thread to a file, for external measurement tools: one JSON object per line,
//! with the microseconds since the writer started under `elapsed_us` and every counter under its name.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use crate::metrics::{self, Reader};

/// Time between two lines of the file.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Spawns a thread that writes the counters of the calling thread until the process ends. A dedicated thread keeps the
/// lines regular when the calling thread is busy. It stops at the first write error, which it logs.
pub fn spawn(path: PathBuf) {
    let counters = metrics::reader();
    thread::spawn(move || {
        if let Err(error) = write_lines(&path, &counters) {
            log::error!("cannot write counters to {}: {error}", path.display());
        }
    });
}

fn write_lines(path: &Path, counters: &Reader) -> io::Result<()> {
    let mut file = File::create(path)?;
    let started = Instant::now();
    loop {
        file.write_all(json_line(started.elapsed(), counters).as_bytes())?;
        thread::sleep(WRITE_INTERVAL);
    }
}

fn json_line(elapsed: Duration, counters: &Reader) -> String {
    let counters = counters
        .snapshot()
        .map(|(name, value)| format!(",\"{name}\":{value}"));
    format!(
        "{{\"elapsed_us\":{}{}}}\n",
        elapsed.as_micros(),
        counters.collect::<String>()
    )
}
