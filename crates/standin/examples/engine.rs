//! Runs the stand-in for a model engine as a separate process.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use fescue_standin::engine::{DEFAULT_VERSION, Engine, Profile, router};
use fescue_standin::server::Server;

/// Serves a simulated model engine, for tests and load runs.
#[derive(FromArgs)]
struct Args {
    /// loopback address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// number of requests that run concurrently
    #[argh(option, default = "8")]
    slots: usize,
    /// time to prefill one token, in microseconds
    #[argh(option, default = "50")]
    prefill_us: u64,
    /// time to generate one token, in microseconds
    #[argh(option, default = "2000")]
    token_us: u64,
    /// capacity of the prefix cache, in blocks of 64 bytes of prompt
    #[argh(option, default = "4096")]
    cache_blocks: usize,
    /// refuse requests with a stale fencing number
    #[argh(switch)]
    fencing: bool,
    /// software version that the engine names; its text depends on it
    #[argh(option, default = "DEFAULT_VERSION.to_owned()")]
    software_version: String,
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
    engine.replace(&args.software_version);
    let server = Server::spawn(args.listen, router(engine)).await?;
    println!("engine stand-in listening on {}", server.address);
    server.wait().await;
    Ok(())
}
