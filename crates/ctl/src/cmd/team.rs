//! `team`: adds teams with new keys and lists them.

use argh::FromArgs;
use fescue_core::hash::key_digest;
use fescue_core::rules::{Delta, Line};
use fescue_core::{TeamId, Weight};
use rand::Rng;
use serde_json::json;

use super::rules;
use crate::client::Client;
use crate::{Failure, print};

/// add and list teams
#[derive(FromArgs)]
#[argh(subcommand, name = "team")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Add(Add),
    List(List),
}

/// add a team with a new key and a budget named main
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
    /// the team's name
    #[argh(positional)]
    name: TeamId,
    /// who asked for it
    #[argh(option)]
    author: String,
    /// its weight among the teams of a priority
    #[argh(option, default = "Weight::ONE")]
    weight: Weight,
    /// its priorities, separated by commas, the default one first
    #[argh(option, default = "String::from(\"standard\")")]
    priorities: String,
    /// the change id; repeat it after a lost answer
    #[argh(option)]
    id: Option<String>,
}

/// list the teams
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        match self.action {
            Action::Add(args) => add(client, json, args).await,
            Action::List(List {}) => list(client, json).await,
        }
    }
}

async fn add(client: &Client, json: bool, args: Add) -> Result<(), Failure> {
    let (base, current) = rules::current(client).await?;
    if current.teams.contains_key(&args.name) {
        return Err(Failure::Refused(format!(
            "team {} already exists",
            args.name
        )));
    }
    let key = format!("fk-{:032x}", rand::rng().random::<u128>());
    let digest = key_digest(&key);
    let Add { name, author, .. } = &args;
    let (weight, priorities) = (args.weight, &args.priorities);
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
    let answer = rules::send(client, args.id.clone(), base, author, &delta).await?;
    let shown = json!({"team": name, "key": key, "version": answer["version"]});
    print::fields(json, &shown);
    Ok(())
}

async fn list(client: &Client, json: bool) -> Result<(), Failure> {
    let (_, current) = rules::current(client).await?;
    let teams: Vec<_> = current
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
