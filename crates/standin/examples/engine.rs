//! Runs the engine's stand-in as a process of its own.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use fescue_standin::engine::{Engine, Profile, router};
use fescue_standin::server::Server;

/// A stand-in of the engine, for tests and trials.
#[derive(FromArgs)]
struct Args {
    /// the loopback address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// requests that run at once
    #[argh(option, default = "8")]
    slots: usize,
    /// microseconds to prefill one token
    #[argh(option, default = "50")]
    prefill_us: u64,
    /// microseconds to generate one token
    #[argh(option, default = "2000")]
    token_us: u64,
    /// prompt blocks that the cache holds
    #[argh(option, default = "4096")]
    cache_blocks: usize,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    fencing: bool,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let profile = Profile {
        slots: args.slots,
        prefill_us: args.prefill_us,
        token_us: args.token_us,
        cache_blocks: args.cache_blocks,
        fencing: args.fencing,
    };
    let engine = Arc::new(Engine::open(profile));
    let server = Server::spawn(args.listen, router(engine)).await?;
    println!("the engine's stand-in listens on {}", server.address);
    server.wait().await;
    Ok(())
}
