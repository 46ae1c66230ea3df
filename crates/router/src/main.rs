//! The `fescuedrift` program: reads the settings and runs one router or gateway until it is stopped.

mod cmd;

use std::process::ExitCode;

use argh::FromArgs;
use fescue_core::settings::Settings;
use fescue_gateway::logs;
use fescue_router::router::{Router, StopReason};
use fescue_router::secrets::Secrets;
use miette::{IntoDiagnostic, WrapErr};

/// Routes language model and service calls against prepaid token budgets.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings router.json",
    example = "{command_name} --settings router.json --check",
    note = "SIGTERM and SIGINT stop the router once its open requests have ended, within its grace period.",
    error_code(1, "the settings can't be used, or an address can't be bound"),
    error_code(3, "the router's allowances were closed by its peers; start it again")
)]
struct Args {
    /// the settings, a JSON file
    #[argh(option)]
    settings: Option<std::path::PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

/// The subcommands; without one, the program runs a router.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Gateway(cmd::gateway::Args),
}

/// The exit code of a router whose allowances were closed by its peers.
const EXIT_CLOSED: u8 = 3;

fn main() -> miette::Result<ExitCode> {
    let args: Args = argh::from_env();
    if args.version {
        println!("fescuedrift {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(Command::Gateway(args)) = args.command {
        abort_on_panic();
        return cmd::gateway::run(args);
    }
    let Some(path) = args.settings else {
        miette::bail!("expected --settings FILE; see --help");
    };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).into_diagnostic();
    let text = text.wrap_err_with(|| format!("{name} can't be read"))?;
    let settings = Settings::parse(&name, &text).map_err(|report| miette::Report::new(*report))?;
    let secrets = Secrets::read(&settings)?;
    if args.check {
        println!("{name} is fine");
        return Ok(ExitCode::SUCCESS);
    }
    let _logs = logs::open(&settings.log.filter, settings.log.json)?;
    abort_on_panic();
    run(settings, secrets)
}

/// Installs a panic hook that aborts the whole process.
///
/// A panic means a violated invariant, so the state of the other tasks can't be trusted either. The
/// peers of an aborted router close its allowances.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
}

#[tokio::main]
async fn run(settings: Settings, secrets: Secrets) -> miette::Result<ExitCode> {
    let router = Router::spawn(settings, secrets).await?;
    Ok(match router.run_until_stopped().await {
        StopReason::Stopped => ExitCode::SUCCESS,
        StopReason::Closed => ExitCode::from(EXIT_CLOSED),
    })
}
