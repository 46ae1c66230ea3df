//! `bill`: lists what requests were charged.

use argh::FromArgs;

use crate::client::Client;
use crate::{Failure, print};

/// show the bills of requests
#[derive(FromArgs)]
#[argh(subcommand, name = "bill")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
}

/// list the bills
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// list only the bills of this team
    #[argh(option)]
    team: Option<fescue_core::TeamId>,
}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        let Action::List(List { team }) = self.action;
        let query = team.map(|team| format!("?team={team}")).unwrap_or_default();
        let answer = client.get(&format!("/admin/v1/bills{query}")).await?;
        print::rows(json, &answer, "bills", &["budget", "request", "tokens"]);
        Ok(())
    }
}
