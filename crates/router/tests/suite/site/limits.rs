//! Time limits on what a test waits for, so that a fault fails the test and shows the router's state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_standin::caller::{Caller, Request};
use parking_lot::Mutex;
use serde_json::Value;
use tokio::time::timeout;

use super::process::OPERATOR;

/// The time limit on one answer, longer than the target of each priority and the longest stream in a test.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(35);

/// The time limit on the exit of a process, longer than its grace period.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The time limit on the admin API's answer to a check of a condition.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of log lines that a failure shows.
const SHOWN_LINES: usize = 40;

/// What a failure shows of a router: its status and the end of its log.
#[derive(Clone)]
pub struct Report {
    pub operators: SocketAddr,
    pub log: Arc<Mutex<Vec<Value>>>,
}

impl Report {
    /// Returns the router's status, or null if it doesn't answer.
    pub async fn status(&self, caller: &Caller) -> Value {
        let ask = Request {
            key: Some(OPERATOR.to_owned()),
            ..Request::get("/admin/v1/status")
        };
        let answer = timeout(STATUS_TIMEOUT, caller.send(self.operators, &ask)).await;
        let body = answer.ok().and_then(Result::ok).map(|answer| answer.body);
        serde_json::from_str(&body.unwrap_or_default()).unwrap_or_default()
    }

    /// Waits for an answer of the router, and fails with its state when the time limit has passed.
    pub async fn answer<T>(&self, what: &str, answer: impl Future<Output = T>) -> T {
        self.within(ANSWER_TIMEOUT, what, answer).await
    }

    /// Waits for the exit of the router, and fails with its state when the time limit has passed.
    pub async fn exit<T>(&self, exit: impl Future<Output = T>) -> T {
        self.within(EXIT_TIMEOUT, "the exit", exit).await
    }

    async fn within<T>(&self, limit: Duration, what: &str, event: impl Future<Output = T>) -> T {
        match timeout(limit, event).await {
            Ok(event) => event,
            Err(_) => panic!("{what}: still missing after {limit:?}{}", self.show().await),
        }
    }

    /// Returns the router's status and the end of its log.
    async fn show(&self) -> String {
        // A new connection, since the router may be at the limit of the others.
        let status = self.status(&Caller::open()).await;
        let log = self.log.lock();
        let lines = &log[log.len().saturating_sub(SHOWN_LINES)..];
        let lines: Vec<_> = lines.iter().map(Value::to_string).collect();
        format!("\nstatus: {status}\n{}", lines.join("\n"))
    }
}

/// Waits for an answer on a connection of the test's own, and fails when the time limit has passed.
pub async fn bounded<T>(what: &str, answer: impl Future<Output = T>) -> T {
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(answer) => answer,
        Err(_) => panic!("{what}: still missing after {ANSWER_TIMEOUT:?}"),
    }
}
