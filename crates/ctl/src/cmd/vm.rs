//! `vm`: the other VMs of the fleet.

use argh::FromArgs;

use crate::client::Client;
use crate::{Failure, print};

/// the other VMs, as the router sees them
#[derive(FromArgs)]
#[argh(subcommand, name = "vm")]
pub struct Args {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    List(List),
}

/// list the VMs
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        let Verb::List(List {}) = self.verb;
        let answer = client.get("/admin/v1/vms").await?;
        let columns = [
            "vm",
            "data_centre",
            "address",
            "alive",
            "leaving",
            "incarnation",
        ];
        print::rows(json, &answer, "vms", &columns);
        Ok(())
    }
}
