//! The log of the long-running sub-commands: `tracing`, as text or JSON lines on standard error, written by a thread
//! of its own. A reader who stops reading holds up nobody; lines past the queue are lost and counted.

use flaxdeck_plan::LogFormat;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::exit::{ExitError, usage_error};

/// Lines that may wait to be written.
const MAX_QUEUED_LINES: usize = 4096;

/// To be kept until the end: dropping it writes the last lines, and how many were lost.
pub(crate) struct Log {
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

/// Starts the log of this process, with levels by module.
pub(crate) fn start(levels: &str, form: LogFormat) -> Result<Log, ExitError> {
    let filter = EnvFilter::try_new(levels)
        .map_err(|error| usage_error(format!("log levels {levels:?}: {error}")))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .thread_name("log")
        .finish(std::io::stderr());
    let lost = writer.error_counter();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    // Records of the libraries that log by `log` come in by the subscriber's own bridge.
    let started = match form {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| ExitError::failed(format!("no log: {error}")))?;
    Ok(Log {
        lost,
        _writer: guard,
    })
}
