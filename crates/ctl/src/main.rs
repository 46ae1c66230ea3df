//! The operators' command: rules, teams, budgets, bills, upstreams and VMs of a fleet.
//!
//! It talks to the admin API of any one router. The exit codes are in
//! [docs/operators/fescuectl.md](../../../docs/operators/fescuectl.md).

mod client;
mod cmd;
mod print;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use client::Client;

/// Looks after a fleet of routers.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --admin 127.0.0.1:8082 --token operator.token status",
    example = "{command_name} rules apply rules.txt --author 'Awa Diop'",
    example = "{command_name} budget top-up yard/main 50000 --author 'Awa Diop'",
    note = "FESCUE_ADMIN and FESCUE_TOKEN_FILE stand in for --admin and --token.",
    error_code(1, "the arguments or a file can't be used"),
    error_code(2, "the fleet refused"),
    error_code(3, "others changed the same rules first"),
    error_code(4, "no router answered, or its answer was lost")
)]
struct Args {
    /// where a router listens for operators
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// the file with the operators' token
    #[argh(option)]
    token: Option<PathBuf>,
    /// print JSON for programs
    #[argh(switch)]
    json: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<cmd::Command>,
}

/// How a command failed; each kind has an exit code of its own.
#[derive(Debug)]
enum Failure {
    /// The arguments or a file can't be used.
    Usage(miette::Report),
    /// The fleet refused.
    Refused(String),
    /// Others changed the same rules first.
    RaceLost(String),
    /// No router answered, or its answer was lost.
    Unreachable(String),
}

impl Failure {
    fn usage(message: impl std::fmt::Display) -> Self {
        Self::Usage(miette::miette!("{message}"))
    }

    fn report(self) -> ExitCode {
        let (code, message) = match self {
            Self::Usage(report) => (1, format!("{report:?}")),
            Self::Refused(message) => (2, message),
            Self::RaceLost(message) => (3, message),
            Self::Unreachable(message) => (4, message),
        };
        eprintln!("fescuectl: {message}");
        ExitCode::from(code)
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

async fn run(args: Args) -> Result<(), Failure> {
    if args.version {
        println!("fescuectl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(command) = args.command else {
        return Err(Failure::usage("expected a command; see --help"));
    };
    let client = Client::open(args.admin, args.token);
    command.run(&client, args.json).await
}
