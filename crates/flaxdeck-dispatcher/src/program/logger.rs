//! The log: one line an entry on standard error, with the Unix time, the level and the module.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Enough for operators; details of single pulls are `debug`, which debug builds show.
const LEVEL: LevelFilter = if cfg!(debug_assertions) { LevelFilter::Debug } else { LevelFilter::Info };

struct Lines;

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("flaxdeck")
    }
    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let (level, from) = (record.level(), record.target());
            // Nobody is left to be told of a log that can't be written.
            let _ =
                writeln!(std::io::stderr(), "{:.3} {level} {from}: {}", unix.as_secs_f64(), record.args());
        }
    }
    fn flush(&self) {}
}

pub fn start() {
    if log::set_logger(&Lines).is_ok() {
        log::set_max_level(LEVEL);
    }
}
