//! The log: one line an entry on standard error, with the Unix time, the level and the module. A thread writes it, so
//! that a reader who stops reading holds up no request; lines past the queue are counted and lost.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flaxdeck_net::metrics::{Counter, count};
use log::{LevelFilter, Log, Metadata, Record};

/// Enough for operators; details of single requests are `debug`, which debug builds show.
const LEVEL: LevelFilter = if cfg!(debug_assertions) {
    LevelFilter::Debug
} else {
    LevelFilter::Info
};
/// Entries that may wait to be written: some seconds of a debug build's.
const MAX_QUEUED: usize = 4096;
/// How long the end waits for the last lines; a log that takes longer is not being read.
const MAX_FLUSH: Duration = Duration::from_millis(200);
/// The modules whose entries are written.
const TARGETS: &str = "flaxdeck";

enum Entry {
    Line(String),
    /// To be answered once all before it are written.
    Flush(SyncSender<()>),
}

struct QueueLogger(SyncSender<Entry>);

impl Log for QueueLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with(TARGETS)
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) && self.0.try_send(Entry::Line(line(record))).is_err() {
            count(Counter::log_lines_lost);
        }
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.0.try_send(Entry::Flush(done)).is_ok() {
            let _ = written.recv_timeout(MAX_FLUSH); // nobody is left to be told
        }
    }
}

fn line(record: &Record) -> String {
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
        // Nobody can be told of a log that can't be written.
        let _ = match entry {
            Entry::Line(line) => std::io::stderr().write_all(line.as_bytes()).ok(),
            Entry::Flush(done) => done.try_send(()).ok(),
        };
    }
}

/// Has the log written from now on; a program that has set up another log keeps that.
pub(crate) fn start() {
    let (queue, entries) = sync_channel(MAX_QUEUED);
    thread::spawn(move || write_entries(entries));
    if log::set_boxed_logger(Box::new(QueueLogger(queue))).is_ok() {
        log::set_max_level(LEVEL);
    }
}
