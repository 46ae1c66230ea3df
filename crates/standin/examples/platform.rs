//! Runs the platform's stand-in as a process of its own.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use fescue_standin::platform::{InMemory, router};
use fescue_standin::server::Server;

/// A stand-in of the platform, for tests and trials.
#[derive(FromArgs)]
struct Args {
    /// the loopback address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// the seed of random faults
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let memory = Arc::new(InMemory::open(args.seed));
    let server = Server::spawn(args.listen, router(memory)).await?;
    println!("the platform's stand-in listens on {}", server.address);
    server.wait().await;
    Ok(())
}
