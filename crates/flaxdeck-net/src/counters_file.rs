//! Counters of a thread written to a file as they grow, for whoever measures the process from outside: one JSON object
//! a line, with the microseconds since the writing began under `elapsed_us` and every counter under its name.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use crate::metrics::{self, Reader};

/// Between lines.
const INTERVAL: Duration = Duration::from_millis(250);

/// Has the counters of this thread written for as long as the process lives, by a thread that no other work holds up. A
/// file that can't be written is said in the log once.
pub fn spawn(path: PathBuf) {
    let counters = metrics::reader();
    thread::spawn(move || {
        if let Err(error) = write_lines(&path, &counters) {
            log::error!("counters are not written to {}: {error}", path.display());
        }
    });
}

fn write_lines(path: &Path, counters: &Reader) -> io::Result<()> {
    let mut file = File::create(path)?;
    let started = Instant::now();
    loop {
        file.write_all(json_line(started.elapsed(), counters).as_bytes())?;
        thread::sleep(INTERVAL);
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
