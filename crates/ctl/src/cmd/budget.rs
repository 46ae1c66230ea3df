//! `budget`: what teams have prepaid.

use argh::FromArgs;
use fescue_core::{BudgetId, Incarnation, Tokens};
use serde_json::json;

use super::change_id;
use crate::client::Client;
use crate::{Failure, print};

/// what teams have prepaid
#[derive(FromArgs)]
#[argh(subcommand, name = "budget")]
pub struct Args {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    TopUp(TopUp),
    Show(Show),
    Held(Held),
    Release(Release),
}

/// credit a budget, once for each change id
#[derive(FromArgs)]
#[argh(subcommand, name = "top-up")]
struct TopUp {
    /// the budget, TEAM/NAME
    #[argh(positional)]
    budget: BudgetId,
    /// how many tokens
    #[argh(positional)]
    amount: Tokens,
    /// who asked for it
    #[argh(option)]
    author: String,
    /// the change id; give the same again after a lost answer
    #[argh(option)]
    id: Option<String>,
}

/// show one budget, or all
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// the budget, TEAM/NAME
    #[argh(positional)]
    budget: Option<BudgetId>,
}

/// list what is held back of routers that are gone
#[derive(FromArgs)]
#[argh(subcommand, name = "held")]
struct Held {}

/// give back what is held of a router whose VM is gone for certain
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
struct Release {
    /// the incarnation, as `held` shows it
    #[argh(positional)]
    incarnation: Incarnation,
    /// the budget, TEAM/NAME
    #[argh(positional)]
    budget: BudgetId,
    /// who answers for the VM being gone
    #[argh(option)]
    author: String,
}

/// The columns of a budget.
const COLUMNS: [&str; 5] = ["budget", "credited", "free", "billed", "with_routers"];

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        match self.verb {
            Verb::TopUp(ask) => {
                let path = format!("/admin/v1/budgets/{}/top-up", ask.budget);
                let id = change_id(ask.id);
                let body = json!({"id": id, "amount": ask.amount, "author": ask.author});
                print::fields(json, &client.post(&path, &body).await?);
            }
            Verb::Show(Show { budget: None }) => {
                let answer = client.get("/admin/v1/budgets").await?;
                print::rows(json, &answer, "budgets", &COLUMNS);
            }
            Verb::Show(Show { budget: Some(id) }) => {
                let answer = client.get(&format!("/admin/v1/budgets/{id}")).await?;
                print::fields(json, &answer);
            }
            Verb::Held(Held {}) => {
                let answer = client.get("/admin/v1/held").await?;
                let columns = ["incarnation", "vm", "budget", "tokens", "unacknowledged"];
                print::rows(json, &answer, "held", &columns);
            }
            Verb::Release(ask) => {
                let path = format!("/admin/v1/held/{}/release", ask.incarnation);
                let body = json!({"budget": ask.budget, "author": ask.author});
                print::fields(json, &client.post(&path, &body).await?);
            }
        }
        Ok(())
    }
}
