//! `bill`: what requests cost.

use argh::FromArgs;

use crate::client::Client;
use crate::{Failure, print};

/// what requests cost
#[derive(FromArgs)]
#[argh(subcommand, name = "bill")]
pub struct Args {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    List(List),
}

/// list the bills
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// only those of this team
    #[argh(option)]
    team: Option<fescue_core::TeamId>,
}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        let Verb::List(List { team }) = self.verb;
        let query = team.map(|team| format!("?team={team}")).unwrap_or_default();
        let answer = client.get(&format!("/admin/v1/bills{query}")).await?;
        print::rows(json, &answer, "bills", &["budget", "request", "tokens"]);
        Ok(())
    }
}
