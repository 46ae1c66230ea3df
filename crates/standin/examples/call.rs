//! Sends one request and prints the response: status and outcome on one line, then the body.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use fescue_standin::caller::{Caller, Request};

/// Sends one HTTP request to a router or a stand-in and prints the response.
#[derive(FromArgs)]
struct Args {
    /// address and port of the server
    #[argh(option)]
    to: SocketAddr,
    /// path of the URL
    #[argh(option)]
    path: String,
    /// HTTP method (default: POST with a body, GET without one)
    #[argh(option)]
    method: Option<String>,
    /// bearer key
    #[argh(option)]
    key: Option<String>,
    /// idempotency key
    #[argh(option)]
    id: Option<String>,
    /// request body, sent as JSON
    #[argh(option)]
    body: Option<String>,
    /// exit with an error unless the response has this status
    #[argh(option)]
    expect: Option<u16>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let body = args.body.unwrap_or_default();
    let default_method = if body.is_empty() { "GET" } else { "POST" };
    let request = Request {
        method: args.method.unwrap_or_else(|| default_method.to_owned()),
        path: args.path,
        key: args.key,
        id: args.id,
        priority: None,
        budget: None,
        body,
    };
    let response = match Caller::open().send(args.to, &request).await {
        Ok(response) => response,
        Err(error) => {
            eprintln!("request failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{} {}", response.status, response.outcome);
    println!("{}", response.body);
    match args.expect {
        Some(status) if status != response.status => {
            eprintln!("expected status {status}, got {}", response.status);
            ExitCode::FAILURE
        }
        _ => ExitCode::SUCCESS,
    }
}
