//! `upstream`: lists the upstreams and drains them.

use argh::FromArgs;
use fescue_core::UpstreamId;
use serde_json::json;

use crate::client::Client;
use crate::{Failure, print};

/// list and drain upstreams, as the router sees them
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Drain(Drain),
}

/// list the upstreams
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// stop sending new requests to an upstream
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// the upstream's name
    #[argh(positional)]
    name: UpstreamId,
}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        match self.action {
            Action::List(List {}) => {
                let answer = client.get("/admin/v1/upstreams").await?;
                let columns = [
                    "name",
                    "data_centre",
                    "own",
                    "estimate",
                    "slots",
                    "leaving",
                    "tripped",
                    "software_version",
                ];
                print::rows(json, &answer, "upstreams", &columns);
            }
            Action::Drain(Drain { name }) => {
                let path = format!("/admin/v1/upstreams/{name}/drain");
                print::fields(json, &client.post(&path, &json!({})).await?);
            }
        }
        Ok(())
    }
}
