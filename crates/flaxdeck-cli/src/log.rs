//! The log of the long-running sub-commands: `tracing`, as text or JSON lines on standard error, written by a thread
//! of its own. A reader who stops reading holds up nobody; lines past the queue are lost and counted.

use flaxdeck_plan::LogFormat;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::{Stop, faulty};

/// Lines that may wait to be written.
const LINES: usize = 4096;

/// To be kept until the end: dropping it writes the last lines, and how many were lost.
pub struct Log {
    lost: ErrorCounter,
    _writer: WorkerGuard,
}

impl Drop for Log {
    fn drop(&mut self) {
        if self.lost.dropped_lines() > 0 {
            tracing::warn!(
                lines = self.lost.dropped_lines(),
                "lines of the log were lost"
            );
        }
    }
}

pub fn start(levels: &str, form: LogFormat) -> Result<Log, Stop> {
    let filter = EnvFilter::try_new(levels)
        .map_err(|error| faulty(format!("log levels {levels:?}: {error}")))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES)
        .thread_name("log")
        .finish(std::io::stderr());
    let lost = writer.error_counter();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    // Records of the libraries that log by `log` come in by the subscriber's own bridge.
    let set = match form {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    set.map_err(|error| Stop(1, format!("no log: {error}")))?;
    Ok(Log {
        lost,
        _writer: guard,
    })
}
