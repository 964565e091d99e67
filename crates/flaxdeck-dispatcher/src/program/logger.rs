//! The log: one line an entry on standard error, with the Unix time, the level and the module. A thread writes
//! it, so that a reader who stops reading holds up no request; lines past the queue are counters and lost.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

use flaxdeck_net::metrics::{Counter, count};

/// Enough for operators; details of single requests are `debug`, which debug builds show.
const LEVEL: LevelFilter = if cfg!(debug_assertions) {
    LevelFilter::Debug
} else {
    LevelFilter::Info
};
/// Lines that may wait to be written: some seconds of a debug build's.
const LINES: usize = 4096;
/// How long the end waits for the last lines; a log that takes longer is not being read.
const LAST: Duration = Duration::from_millis(200);

enum Entry {
    Line(String),
    /// All before it are written.
    EventPosition(SyncSender<()>),
}

struct Queue(SyncSender<Entry>);

impl Log for Queue {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("flaxdeck")
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_secs_f64();
            let (level, from) = (record.level(), record.target());
            if self
                .0
                .try_send(Entry::Line(format!(
                    "{unix:.3} {level} {from}: {}\n",
                    record.args()
                )))
                .is_err()
            {
                count(Counter::log_lines_lost);
            }
        }
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.0.try_send(Entry::EventPosition(done)).is_ok() {
            let _ = written.recv_timeout(LAST); // nobody is left to be told
        }
    }
}

fn write(entries: Receiver<Entry>) {
    for entry in entries {
        // Nobody can be told of a log that can't be written.
        let _ = match entry {
            Entry::Line(line) => std::io::stderr().write_all(line.as_bytes()).ok(),
            Entry::EventPosition(done) => done.try_send(()).ok(),
        };
    }
}

pub fn start() {
    let (queue, entries) = sync_channel(LINES);
    thread::spawn(move || write(entries));
    if log::set_boxed_logger(Box::new(Queue(queue))).is_ok() {
        log::set_max_level(LEVEL);
    }
}
