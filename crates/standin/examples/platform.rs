//! Runs the stand-in for the platform as a separate process.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use fescue_standin::platform::{InMemory, router};
use fescue_standin::server::Server;

/// Serves an in-memory platform, for tests and load runs.
#[derive(FromArgs)]
struct Args {
    /// loopback address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// seed of the random faults
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let memory = Arc::new(InMemory::open(args.seed));
    let server = Server::spawn(args.listen, router(memory)).await?;
    println!("platform stand-in listening on {}", server.address);
    server.wait().await;
    Ok(())
}
