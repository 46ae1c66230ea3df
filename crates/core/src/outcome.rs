//! Outcomes of requests as reported to callers.
//!
//! A refusal always states whether the call ran. The guarantee behind each value is described in
//! [docs/design/calls.md](../../../docs/design/calls.md).

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request was executed by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The upstream executed the request, and the answer or failure is its own.
    Ran,
    /// The request was not executed, and nothing already sent can cause it to run later.
    NotRun,
    /// The request may have been executed; which is the case can't be determined.
    Unknown,
}

impl Execution {
    /// Returns the name used in answers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The answer to a request that a router refuses or ends without an upstream's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of refusal, which decides the HTTP status and the code.
    pub reason: Reason,
    /// Whether an upstream executed the request.
    pub execution: Execution,
    /// A one-sentence explanation for people; programs compare the code of `reason`.
    pub message: String,
    /// The delay after which a retry may succeed; absent if no delay is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run at any upstream.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        let execution = Execution::Unknown;
        Self {
            execution,
            ..Self::not_run(reason, message)
        }
    }

    /// Creates a refusal of a request that ran and failed.
    pub fn ran(reason: Reason, message: impl Into<String>) -> Self {
        let execution = Execution::Ran;
        Self {
            execution,
            ..Self::not_run(reason, message)
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// The kind of a refusal, with an HTTP status and a stable code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or belongs to no team.
    BadKey,
    /// The team is not permitted to make this request.
    Forbidden,
    /// The model, service or path doesn't exist.
    NotFound,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller did not send its whole request in time.
    SlowCaller,
    /// The request id was used before with a different body.
    RequestIdReused,
    /// A call with this id may have run already, so it is not run again.
    MayHaveRun,
    /// The budget has too few tokens for the request.
    BudgetExhausted,
    /// The latency target can't be met under the current load.
    Overload,
    /// The router's processor or link is nearly used up; others of the data centre may have room.
    Crowded,
    /// The request is quarantined because it crashed upstreams before.
    Quarantined,
    /// No upstream accepted the request.
    NoUpstream,
    /// The upstream failed after it received the request.
    UpstreamFailed,
    /// The deadline of the request passed.
    Deadline,
    /// The platform's store is unreachable and the call requires it.
    StoreDown,
    /// The team's tokens are at another router, or on their way, and didn't come in time.
    TokensPending,
    /// The router is not ready yet or is stopping.
    NotReady,
}

impl Reason {
    /// Returns the HTTP status code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::BadKey => 401,
            Self::BudgetExhausted => 402,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::SlowCaller => 408,
            Self::RequestIdReused | Self::MayHaveRun => 409,
            Self::TooLarge => 413,
            Self::Quarantined => 422,
            Self::Overload | Self::Crowded => 429,
            Self::UpstreamFailed => 502,
            Self::NoUpstream | Self::StoreDown | Self::TokensPending | Self::NotReady => 503,
            Self::Deadline => 504,
        }
    }

    /// Returns the stable code by which programs tell refusals apart.
    pub const fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BadKey => "bad_key",
            Self::BudgetExhausted => "budget_exhausted",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::SlowCaller => "slow_caller",
            Self::RequestIdReused => "request_id_reused",
            Self::MayHaveRun => "may_have_run",
            Self::TooLarge => "too_large",
            Self::Quarantined => "quarantined",
            Self::Overload => "overload",
            Self::Crowded => "crowded",
            Self::UpstreamFailed => "upstream_failed",
            Self::NoUpstream => "no_upstream",
            Self::StoreDown => "store_down",
            Self::TokensPending => "tokens_pending",
            Self::NotReady => "not_ready",
            Self::Deadline => "deadline",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
