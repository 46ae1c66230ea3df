//! The `fescuedrift gateway` subcommand, which runs a gateway against the platform's store.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use fescue_gateway::reload::Reload;
use fescue_gateway::settings::Settings;
use fescue_gateway::{logs, run as gateway};
use miette::IntoDiagnostic;

/// Runs a gateway: requests of any route, to the upstreams that the platform lists.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "gateway",
    note = "SIGTERM ends open requests within the grace period of the settings.",
    error_code(1, "the settings can't be used, or an address can't be bound")
)]
pub struct Args {
    /// the settings, a JSON file; by default the file that FESCUEDRIFT_SETTINGS names
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// The environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "FESCUEDRIFT_SETTINGS";

/// Runs the subcommand until the gateway has stopped.
///
/// # Errors
///
/// Returns an error when the settings can't be used or an address can't be bound.
pub fn run(args: Args) -> miette::Result<ExitCode> {
    let from_env = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = args.settings.or_else(from_env) else {
        miette::bail!("expected --settings FILE or {SETTINGS_VARIABLE}");
    };
    let settings = Settings::open(&path)?;
    if args.check {
        println!("{} is fine", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    let logs = logs::open(&settings.log, true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    let platform = fescue_platform::open(settings.store);
    runtime.block_on(async {
        let reload = Reload::open(path)?;
        gateway::run(settings, reload, platform, logs).await
    })?;
    Ok(ExitCode::SUCCESS)
}
