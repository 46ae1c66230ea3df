//! Structured logs on the standard output, one JSON object a line.
//!
//! Lines go through a bounded buffer to a thread of their own: under load lines are dropped and
//! counted, and no request waits for the output. See
//! [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The environment variable that overrides the filter of the settings.
const FILTER_VARIABLE: &str = "FESCUE_LOG";

/// The lines that wait for the output at most.
const BUFFERED_LINES: usize = 4096;

/// The running log writer.
pub struct Logs {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Logs {
    /// Returns how many lines were dropped since the start.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Opens the logs, as JSON or as text; they are written out when the handle is dropped.
///
/// # Errors
///
/// When the filter can't be read.
pub fn open(filter: &str, json: bool) -> miette::Result<Logs> {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
    let filter = EnvFilter::try_new(&filter)
        .map_err(|error| miette::miette!("log filter {filter:?} can't be read: {error}"))?;
    let writer = NonBlockingBuilder::default();
    let writer = writer.lossy(true).buffered_lines_limit(BUFFERED_LINES);
    let (writer, guard) = writer.finish(std::io::stdout());
    let dropped = writer.error_counter();
    let logs = tracing_subscriber::fmt().with_env_filter(filter);
    let logs = logs.with_writer(writer).with_ansi(false);
    if json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
    let guard = Logs {
        dropped,
        _writer: guard,
    };
    Ok(guard)
}
