//! The operators' command, which manages rules, teams, budgets, bills, upstreams and VMs of a fleet.
//!
//! It uses the admin API of any one router. The exit codes are described in
//! [docs/operators/fescuectl.md](../../../docs/operators/fescuectl.md).

mod client;
mod cmd;
mod print;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use client::Client;

/// Manages a fleet of routers.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --admin 127.0.0.1:8082 --token operator.token status",
    example = "{command_name} rules apply rules.txt --author 'Awa Diop'",
    example = "{command_name} budget top-up yard/main 50000 --author 'Awa Diop'",
    note = "FESCUE_ADMIN and FESCUE_TOKEN_FILE are used if --admin or --token is absent.",
    error_code(1, "the arguments or a file are invalid"),
    error_code(2, "the fleet refused the command"),
    error_code(3, "another change of the same rules was applied first"),
    error_code(4, "the router did not answer, or its answer was lost")
)]
struct Args {
    /// the address of a router's admin API
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// the file with the operators' token
    #[argh(option)]
    token: Option<PathBuf>,
    /// print JSON instead of tables
    #[argh(switch)]
    json: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<cmd::Command>,
}

/// The reason why a command failed; each kind has an exit code of its own.
#[derive(Debug)]
enum Failure {
    /// The arguments or a file are invalid.
    Usage(miette::Report),
    /// The fleet refused the command.
    Refused(String),
    /// Another change of the same rules was applied first.
    RaceLost(String),
    /// The router did not answer, or its answer was lost; the command may have taken effect.
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
        return Err(Failure::usage("no command given; see --help"));
    };
    let client = Client::new(args.admin, args.token);
    command.run(&client, args.json).await
}
