//! Logs on the standard error, as JSON or text.

use fescue_core::settings::Log;
use miette::IntoDiagnostic;
use tracing_subscriber::EnvFilter;

/// The environment variable that overrides the filter of the settings.
const FILTER_VARIABLE: &str = "FESCUE_LOG";

/// Opens the logs.
///
/// # Errors
///
/// When the filter can't be read.
pub fn open(log: &Log) -> miette::Result<()> {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| log.filter.clone());
    let filter = EnvFilter::try_new(filter).into_diagnostic()?;
    let logs = tracing_subscriber::fmt().with_env_filter(filter);
    let logs = logs.with_writer(std::io::stderr);
    if log.json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
    Ok(())
}
