//! `status`: shows the state of one router.

use argh::FromArgs;

use crate::client::Client;
use crate::{Failure, print};

/// show the state of the router
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Args {}

impl Args {
    pub async fn run(self, client: &Client, json: bool) -> Result<(), Failure> {
        let answer = client.get("/admin/v1/status").await?;
        print::fields(json, &answer);
        Ok(())
    }
}
