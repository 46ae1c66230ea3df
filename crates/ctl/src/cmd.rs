//! The subcommands, one module each.

mod bill;
mod budget;
mod rules;
mod status;
mod team;
mod upstream;
mod vm;

use argh::FromArgs;
use rand::Rng;

use crate::Failure;
use crate::client::Client;

/// The subcommand given on the command line.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Rules(rules::Args),
    Team(team::Args),
    Budget(budget::Args),
    Bill(bill::Args),
    Upstream(upstream::Args),
    Vm(vm::Args),
    Status(status::Args),
}

impl Command {
    /// Runs the subcommand and prints its result, as JSON if `json` is set.
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        match self {
            Self::Rules(args) => args.run(client, json).await,
            Self::Team(args) => args.run(client, json).await,
            Self::Budget(args) => args.run(client, json).await,
            Self::Bill(args) => args.run(client, json).await,
            Self::Upstream(args) => args.run(client, json).await,
            Self::Vm(args) => args.run(client, json).await,
            Self::Status(args) => args.run(client, json).await,
        }
    }
}

/// Returns the given change id, or a new one.
///
/// A new id is printed to standard error, so that the operator can repeat the command with it if
/// the answer is lost.
fn change_id(given: Option<String>) -> String {
    given.unwrap_or_else(|| {
        let id = format!("c-{:016x}", rand::rng().random::<u64>());
        eprintln!("change id {id}");
        id
    })
}
