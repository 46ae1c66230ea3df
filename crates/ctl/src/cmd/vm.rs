//! `vm`: lists the other VMs of the fleet.

use argh::FromArgs;

use crate::client::Client;
use crate::{Failure, print};

/// list the other VMs, as the router sees them
#[derive(FromArgs)]
#[argh(subcommand, name = "vm")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
}

/// list the VMs
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        let Action::List(List {}) = self.action;
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
