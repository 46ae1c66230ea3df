//! Runs the service's stand-in as a process of its own.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use fescue_standin::server::Server;
use fescue_standin::service::{Service, router};

/// A stand-in of the service, for tests and trials.
#[derive(FromArgs)]
struct Args {
    /// the loopback address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let service = Arc::new(Service::default());
    let server = Server::spawn(args.listen, router(service)).await?;
    println!("the service's stand-in listens on {}", server.address);
    server.wait().await;
    Ok(())
}
