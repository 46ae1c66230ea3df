//! `rules`: checks, compares, applies and shows the rules of a fleet.

use std::path::PathBuf;

use argh::FromArgs;
use fescue_core::rules::{Delta, RuleSet};
use serde_json::{Value, json};

use super::change_id;
use crate::client::Client;
use crate::{Failure, print};

/// check, compare, apply and show rules
#[derive(FromArgs)]
#[argh(subcommand, name = "rules")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Show(Show),
}

/// check a rules file, without a router
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the rules file
    #[argh(positional)]
    file: PathBuf,
}

/// show what a rules file would change
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the rules file
    #[argh(positional)]
    file: PathBuf,
}

/// apply a rules file to the fleet
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// the rules file
    #[argh(positional)]
    file: PathBuf,
    /// who asked for it
    #[argh(option)]
    author: String,
    /// the version that the file is based on; by default the one in force
    #[argh(option)]
    base: Option<u64>,
    /// the change id; repeat it after a lost answer
    #[argh(option)]
    id: Option<String>,
}

/// show the rules in force
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        match self.action {
            Action::Check(Check { file }) => {
                let rules = read(&file)?;
                print::fields(json, &json!({"lines": rules.lines.len()}));
            }
            Action::Diff(Diff { file }) => {
                let (_, delta) = compare(client, &file).await?;
                show_delta(json, &delta);
            }
            Action::Apply(args) => apply(client, json, args).await?,
            Action::Show(Show {}) => {
                let answer = client.get("/admin/v1/rules").await?;
                show_rules(json, &answer);
            }
        }
        Ok(())
    }
}

async fn apply(client: &Client, json: bool, args: Apply) -> Result<(), Failure> {
    let (version, delta) = compare(client, &args.file).await?;
    if delta.is_empty() {
        print::fields(json, &json!({"version": version, "changed": false}));
        return Ok(());
    }
    let base = args.base.unwrap_or(version);
    let answer = send(client, args.id, base, &args.author, &delta).await?;
    print::fields(json, &answer);
    Ok(())
}

/// Sends a change of the rules, based on version `base`, and returns the answer.
///
/// A change id is generated if `id` is absent.
pub(super) async fn send(
    client: &Client,
    id: Option<String>,
    base: u64,
    author: &str,
    delta: &Delta,
) -> Result<Value, Failure> {
    let id = change_id(id);
    let body = json!({"id": id, "base": base, "author": author, "delta": delta});
    client.post("/admin/v1/rules", &body).await
}

/// Fetches the rules in force and returns them with their version.
pub(super) async fn current(client: &Client) -> Result<(u64, RuleSet), Failure> {
    let answer = client.get("/admin/v1/rules").await?;
    let version = answer["version"].as_u64().unwrap_or(0);
    let text = answer["text"].as_str().unwrap_or_default();
    let rules = RuleSet::parse("the rules in force", text);
    let rules = rules.map_err(|report| Failure::Usage(miette::Report::new(*report)))?;
    Ok((version, rules))
}

fn read(file: &PathBuf) -> Result<RuleSet, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|e| Failure::usage(format!("{name}: {e}")))?;
    let rules = RuleSet::parse(&name, &text);
    rules.map_err(|report| Failure::Usage(miette::Report::new(*report)))
}

async fn compare(client: &Client, file: &PathBuf) -> Result<(u64, Delta), Failure> {
    let new = read(file)?;
    let (version, old) = current(client).await?;
    Ok((version, Delta::between(&old, &new)))
}

fn show_delta(json: bool, delta: &Delta) {
    if json {
        println!(
            "{}",
            json!({"lines": delta.lines, "removed": delta.removed})
        );
        return;
    }
    for line in &delta.lines {
        println!("+ {line}");
    }
    for key in &delta.removed {
        println!("- {key}");
    }
}

fn show_rules(json: bool, answer: &Value) {
    if json {
        println!("{answer}");
        return;
    }
    println!("# version {}", answer["version"]);
    print!("{}", answer["text"].as_str().unwrap_or_default());
}
