//! Structured logs on standard output.
//!
//! A dedicated thread writes the lines from a bounded buffer. If the output is slow, lines are
//! dropped and counted, so that no request waits for it. See
//! [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

mod batches;

use std::io::{self, Stdout, Write};
use std::thread::sleep;
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

pub use batches::Batches;

/// Environment variable that overrides the log filter in the settings.
const FILTER_VARIABLE: &str = "FESCUE_LOG";

/// Maximum number of lines that wait to be written.
const MAX_BUFFERED_LINES: usize = 4096;

/// The least interval between two writes to the output. Lines are collected meanwhile, since each
/// wake-up of the writing thread costs as much as several lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Writes batches of lines at intervals.
struct Paced(Batches<Stdout>);

impl Write for Paced {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.write(line)
    }

    /// Writes what was collected, then lets further lines wait in the queue.
    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()?;
        sleep(WRITE_INTERVAL);
        Ok(())
    }
}

/// The handle of the log writer; dropping it flushes the buffer.
pub struct Logs {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Logs {
    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Installs the log writer; lines are JSON objects if `json` is set and plain text otherwise.
///
/// # Errors
///
/// Fails if the filter is invalid.
pub fn open(filter: &str, json: bool) -> miette::Result<Logs> {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
    let filter = EnvFilter::try_new(&filter)
        .map_err(|error| miette::miette!("invalid log filter {filter:?}: {error}"))?;
    let writer = NonBlockingBuilder::default();
    let writer = writer.lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
    let output = Paced(Batches::new(std::io::stdout()));
    let (writer, guard) = writer.finish(output);
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
