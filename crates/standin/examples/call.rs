//! Sends one request and prints the answer: status, outcome, then the body.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use fescue_standin::caller::{Caller, Request};

/// Sends one request to a router or a stand-in.
#[derive(FromArgs)]
struct Args {
    /// the address
    #[argh(option)]
    to: SocketAddr,
    /// the path
    #[argh(option)]
    path: String,
    /// the method, POST where there is a body
    #[argh(option)]
    method: Option<String>,
    /// the bearer key
    #[argh(option)]
    key: Option<String>,
    /// the idempotency key
    #[argh(option)]
    id: Option<String>,
    /// the body
    #[argh(option)]
    body: Option<String>,
    /// fail unless the status is this
    #[argh(option)]
    expect: Option<u16>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let body = args.body.unwrap_or_default();
    let usual = if body.is_empty() { "GET" } else { "POST" };
    let ask = Request {
        method: args.method.unwrap_or_else(|| usual.to_owned()),
        path: args.path,
        key: args.key,
        id: args.id,
        priority: None,
        budget: None,
        body,
    };
    let answer = match Caller::open().send(args.to, &ask).await {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("no answer: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{} {}", answer.status, answer.outcome);
    println!("{}", answer.body);
    match args.expect {
        Some(status) if status != answer.status => {
            eprintln!("expected status {status}");
            ExitCode::FAILURE
        }
        _ => ExitCode::SUCCESS,
    }
}
