//! `rules`: the text that says who may do what.

use std::path::PathBuf;

use argh::FromArgs;
use fescue_core::rules::{Delta, RuleSet};
use serde_json::{Value, json};

use super::change_id;
use crate::client::Client;
use crate::{Failure, print};

/// the rules in force
#[derive(FromArgs)]
#[argh(subcommand, name = "rules")]
pub struct Args {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Show(Show),
}

/// check a rules file, without a router
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// show what a rules file would change
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// put a rules file in force
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// who asked for it
    #[argh(option)]
    author: String,
    /// the version that the file was made from; without it, the one in force
    #[argh(option)]
    base: Option<u64>,
    /// the change id; give the same again after a lost answer
    #[argh(option)]
    id: Option<String>,
}

/// show the rules in force
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        match self.verb {
            Verb::Check(Check { file }) => {
                let book = read(&file)?;
                print::fields(json, &json!({"lines": book.lines.len()}));
            }
            Verb::Diff(Diff { file }) => {
                let (_, delta) = difference(client, &file).await?;
                show_delta(json, &delta);
            }
            Verb::Apply(ask) => apply(client, json, ask).await?,
            Verb::Show(Show {}) => {
                let answer = client.get("/admin/v1/rules").await?;
                show_rules(json, &answer);
            }
        }
        Ok(())
    }
}

async fn apply(client: &Client, json: bool, ask: Apply) -> Result<(), Failure> {
    let (version, delta) = difference(client, &ask.file).await?;
    if delta.is_empty() {
        print::fields(json, &json!({"version": version, "changed": false}));
        return Ok(());
    }
    let base = ask.base.unwrap_or(version);
    let answer = send(client, ask.id, base, &ask.author, &delta).await?;
    print::fields(json, &answer);
    Ok(())
}

/// Sends a change of the rules.
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

/// Fetches the rules in force and their version.
pub(super) async fn current(client: &Client) -> Result<(u64, RuleSet), Failure> {
    let answer = client.get("/admin/v1/rules").await?;
    let version = answer["version"].as_u64().unwrap_or(0);
    let text = answer["text"].as_str().unwrap_or_default();
    let book = RuleSet::parse("the rules in force", text);
    let book = book.map_err(|report| Failure::Usage(miette::Report::new(*report)))?;
    Ok((version, book))
}

fn read(file: &PathBuf) -> Result<RuleSet, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|e| Failure::usage(format!("{name}: {e}")))?;
    let book = RuleSet::parse(&name, &text);
    book.map_err(|report| Failure::Usage(miette::Report::new(*report)))
}

async fn difference(client: &Client, file: &PathBuf) -> Result<(u64, Delta), Failure> {
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
