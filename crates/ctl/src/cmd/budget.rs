//! `budget`: credits and shows prepaid budgets, and releases tokens held for lost routers.

use argh::FromArgs;
use fescue_core::{BudgetId, Incarnation, Tokens};
use serde_json::json;

use super::change_id;
use crate::client::Client;
use crate::{Failure, print};

/// show and credit budgets, and release held tokens
#[derive(FromArgs)]
#[argh(subcommand, name = "budget")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
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
    /// the number of tokens
    #[argh(positional)]
    amount: Tokens,
    /// who asked for it
    #[argh(option)]
    author: String,
    /// the change id; repeat it after a lost answer
    #[argh(option)]
    id: Option<String>,
}

/// show one budget, or all of them
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// the budget, TEAM/NAME
    #[argh(positional)]
    budget: Option<BudgetId>,
}

/// list the tokens held for routers that are gone
#[derive(FromArgs)]
#[argh(subcommand, name = "held")]
struct Held {}

/// return the tokens held for a router whose VM is certainly gone
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
struct Release {
    /// the incarnation, as shown by `held`
    #[argh(positional)]
    incarnation: Incarnation,
    /// the budget, TEAM/NAME
    #[argh(positional)]
    budget: BudgetId,
    /// who confirms that the VM is gone
    #[argh(option)]
    author: String,
}

/// The columns of the list of budgets, named after the JSON keys.
const COLUMNS: [&str; 5] = ["budget", "credited", "free", "billed", "with_routers"];

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        match self.action {
            Action::TopUp(args) => {
                let path = format!("/admin/v1/budgets/{}/top-up", args.budget);
                let id = change_id(args.id);
                let body = json!({"id": id, "amount": args.amount, "author": args.author});
                print::fields(json, &client.post(&path, &body).await?);
            }
            Action::Show(Show { budget: None }) => {
                let answer = client.get("/admin/v1/budgets").await?;
                print::rows(json, &answer, "budgets", &COLUMNS);
            }
            Action::Show(Show { budget: Some(id) }) => {
                let answer = client.get(&format!("/admin/v1/budgets/{id}")).await?;
                print::fields(json, &answer);
            }
            Action::Held(Held {}) => {
                let answer = client.get("/admin/v1/held").await?;
                let columns = ["incarnation", "vm", "budget", "tokens", "unacknowledged"];
                print::rows(json, &answer, "held", &columns);
            }
            Action::Release(args) => {
                let path = format!("/admin/v1/held/{}/release", args.incarnation);
                let body = json!({"budget": args.budget, "author": args.author});
                print::fields(json, &client.post(&path, &body).await?);
            }
        }
        Ok(())
    }
}
