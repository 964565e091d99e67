//! The log: writes one line for each entry to standard error, with the Unix time, the level and the module. A thread of
//! its own writes them, so that no request waits for whoever reads the log. Entries that find the queue full are
//! counted and dropped.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flaxdeck_net::metrics::{Counter, count};
use log::{LevelFilter, Log, Metadata, Record};

/// The level of the entries that are written. `info` is enough for operators; details of single requests are `debug`,
/// which only debug builds write.
const LEVEL: LevelFilter = if cfg!(debug_assertions) {
    LevelFilter::Debug
} else {
    LevelFilter::Info
};
/// The most entries that wait to be written: what a debug build logs in some seconds.
const MAX_QUEUED: usize = 4096;
/// How long the end of the process waits for the last lines; a log that takes longer is not being read.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(200);
/// Entries are written if the path of their module begins with this.
const TARGET_PREFIX: &str = "flaxdeck";

enum Entry {
    Line(String),
    /// Asks for a notification once all entries before this one are written.
    Flush(SyncSender<()>),
}

struct QueueLogger(SyncSender<Entry>);

impl Log for QueueLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with(TARGET_PREFIX)
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata())
            && self.0.try_send(Entry::Line(format_line(record))).is_err()
        {
            count(Counter::log_lines_lost);
        }
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.0.try_send(Entry::Flush(done)).is_ok() {
            let _ = written.recv_timeout(MAX_FLUSH_TIME); // a timeout can't be reported, as the log is not read
        }
    }
}

fn format_line(record: &Record) -> String {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64();
    let level = record.level();
    let module = record.target();
    format!("{unix:.3} {level} {module}: {}\n", record.args())
}

fn write_entries(entries: Receiver<Entry>) {
    for entry in entries {
        // Errors are ignored, as the log is where they would be reported.
        let _ = match entry {
            Entry::Line(line) => std::io::stderr().write_all(line.as_bytes()).ok(),
            Entry::Flush(done) => done.try_send(()).ok(),
        };
    }
}

/// Installs this logger and starts the thread that writes. If the program has installed another logger, that one stays.
pub(crate) fn start() {
    let (queue, entries) = sync_channel(MAX_QUEUED);
    thread::spawn(move || write_entries(entries));
    if log::set_boxed_logger(Box::new(QueueLogger(queue))).is_ok() {
        log::set_max_level(LEVEL);
    }
}
