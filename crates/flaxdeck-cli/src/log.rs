//! The log of the long-running sub-commands: `tracing`, as text or JSON lines on standard error, written by a thread of
//! its own. If the reader of standard error stalls, the process does not block: lines that do not fit the queue are
//! dropped and counted.

use flaxdeck_plan::LogFormat;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::exit::{ExitError, usage_error};

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4096;

/// The running log, to be held until the process ends. When it goes out of scope, the queued lines are written and, if
/// lines were dropped, their number.
pub(crate) struct Log {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Drop for Log {
    fn drop(&mut self) {
        if self.dropped.dropped_lines() > 0 {
            tracing::warn!(
                lines = self.dropped.dropped_lines(),
                "log lines were dropped because the queue was full"
            );
        }
    }
}

/// Starts the log of this process, with log levels by module.
pub(crate) fn start(levels: &str, format: LogFormat) -> Result<Log, ExitError> {
    let filter = EnvFilter::try_new(levels)
        .map_err(|error| usage_error(format!("invalid log levels {levels:?}: {error}")))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .thread_name("log")
        .finish(std::io::stderr());
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    // `try_init` also installs the bridge for libraries that log through the crate `log`.
    let started = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| ExitError::failed(format!("cannot start the log: {error}")))?;
    Ok(Log {
        dropped,
        _writer: guard,
    })
}
