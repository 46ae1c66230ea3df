//! Runs the stand-in for a plain service as a separate process.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use fescue_standin::server::Server;
use fescue_standin::service::{Service, router};

/// Serves a simulated service, for tests and load runs.
#[derive(FromArgs)]
struct Args {
    /// loopback address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let service = Arc::new(Service::default());
    let server = Server::spawn(args.listen, router(service)).await?;
    println!("service stand-in listening on {}", server.address);
    server.wait().await;
    Ok(())
}
