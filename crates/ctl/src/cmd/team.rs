//! `team`: the teams and their keys.

use argh::FromArgs;
use fescue_core::hash::key_digest;
use fescue_core::rules::{Delta, Line};
use fescue_core::{TeamId, Weight};
use rand::Rng;
use serde_json::json;

use super::rules;
use crate::client::Client;
use crate::{Failure, print};

/// the teams
#[derive(FromArgs)]
#[argh(subcommand, name = "team")]
pub struct Args {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Add(Add),
    List(List),
}

/// add a team with a new key and a budget named main
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
    /// the team
    #[argh(positional)]
    name: TeamId,
    /// who asked for it
    #[argh(option)]
    author: String,
    /// its weight among the teams of a priority
    #[argh(option, default = "Weight::ONE")]
    weight: Weight,
    /// its priorities, separated by commas, the usual one first
    #[argh(option, default = "String::from(\"standard\")")]
    priorities: String,
    /// the change id; give the same again after a lost answer
    #[argh(option)]
    id: Option<String>,
}

/// list the teams
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        match self.verb {
            Verb::Add(ask) => add(client, json, ask).await,
            Verb::List(List {}) => list(client, json).await,
        }
    }
}

async fn add(client: &Client, json: bool, ask: Add) -> Result<(), Failure> {
    let (base, book) = rules::current(client).await?;
    if book.teams.contains_key(&ask.name) {
        return Err(Failure::Refused(format!(
            "team {} is there already",
            ask.name
        )));
    }
    let key = format!("fk-{:032x}", rand::rng().random::<u128>());
    let digest = key_digest(&key);
    let Add { name, author, .. } = &ask;
    let (weight, priorities) = (ask.weight, &ask.priorities);
    let team = format!(
        "team {name} key={digest} weight={weight} priorities={priorities} # asked by {author}"
    );
    let budget = format!("budget {name}/main # asked by {author}");
    let lines = vec![team, budget];
    for line in &lines {
        Line::parse(line).map_err(|fault| Failure::usage(format!("{line}: {fault:?}")))?;
    }
    let removed = Vec::new();
    let delta = Delta { lines, removed };
    let answer = rules::send(client, ask.id.clone(), base, author, &delta).await?;
    let shown = json!({"team": name, "key": key, "version": answer["version"]});
    print::fields(json, &shown);
    Ok(())
}

async fn list(client: &Client, json: bool) -> Result<(), Failure> {
    let (_, book) = rules::current(client).await?;
    let teams: Vec<_> = book
        .teams
        .values()
        .map(|team| {
            let priorities: Vec<_> = team.priorities.iter().map(|p| p.as_str()).collect();
            json!({"team": team.name, "weight": team.weight, "priorities": priorities.join(",")})
        })
        .collect();
    let answer = json!({"teams": teams});
    print::rows(json, &answer, "teams", &["team", "weight", "priorities"]);
    Ok(())
}
