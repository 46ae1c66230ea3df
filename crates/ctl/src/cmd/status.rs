//! `status`: what one router does.

use argh::FromArgs;

use crate::client::Client;
use crate::{Failure, print};

/// show what the router does
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
