//! The protocol between the routers of one fleet.
//!
//! [`PeerApi`] is the interface of a router to its peers. [`client::Client`] implements it over
//! gRPC, and [`server::Server`] serves a router's own implementation; tests connect routers
//! directly, without sockets. The messages are generated from `proto/peer.proto`; the generated
//! code is committed, and a test compares it with that file.

pub mod client;
mod convert;
pub mod server;

use std::time::Duration;

use async_trait::async_trait;
use fescue_core::{BudgetId, DataCentreId, Incarnation, Tokens, UpstreamId, VmId};
use fescue_policy::bills::Bill;
use fescue_policy::ledger::Parts;
use fescue_policy::quarantine;
use fescue_policy::rate_limit::RequestRate;
use fescue_policy::witness::{Noted, Notes, Report};

/// The messages, client and server generated from `proto/peer.proto`.
#[expect(clippy::all, clippy::allow_attributes, reason = "generated code")]
mod wire {
    include!("generated/fescue.peer.v1.rs");
}

/// The error of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The call wasn't processed: nothing was sent, or the peer rejected it unread.
    #[error("peer unreachable: {0}")]
    Unreachable(String),
    /// The answer was lost, and the peer may have processed the call.
    #[error("answer from peer lost: {0}")]
    Lost(String),
    /// A message doesn't conform to the protocol.
    #[error("malformed peer message: {0}")]
    Malformed(String),
}

/// The state that two routers exchange in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The VM of the sender.
    pub vm: VmId,
    /// The data centre of the sender.
    pub data_centre: DataCentreId,
    /// The version of the rules that the sender has in force.
    pub rules: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// The upstreams that the sender knows to be leaving, each with the upstream's incarnation.
    pub leaving_upstreams: Vec<(UpstreamId, u64)>,
    /// The latest evidence against requests and parts of prompts that crashed upstreams.
    pub suspects: Vec<quarantine::Report>,
    /// The router incarnations whose allowances are closed.
    pub closed: Vec<Incarnation>,
    /// The limits that upstreams name.
    pub upstream_limits: Vec<LimitReport>,
}

/// What an upstream's latest answer said of the rate of requests that it takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's incarnation.
    pub incarnation: u64,
    /// The rate for all routers together; `None` if the limit has ended.
    pub rate: Option<RequestRate>,
    /// How long ago the answer arrived.
    pub age: Duration,
}

/// A request for a peer's unspent tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// The incarnation that requests the tokens.
    pub from: Incarnation,
    /// The sequence number of the request at that router; a repeated number gets the same answer.
    pub number: u64,
    /// The budget that the tokens belong to.
    pub budget: BudgetId,
    /// The number of tokens requested; the peer may hand over fewer.
    pub want: Tokens,
}

/// Bills to be kept in memory by a peer, and those whose copies it may discard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BillCopies {
    /// The bills to keep.
    pub bills: Vec<Bill>,
    /// The sequence numbers of bills that are now stored in the table.
    pub stored: Vec<u64>,
}

/// The calls that a router answers for its peers.
///
/// Implementations must deduct the tokens that [`PeerApi::take_tokens`] hands over before they
/// answer, and must answer a repeated number as the first time.
#[async_trait]
pub trait PeerApi: Send + Sync {
    /// Exchanges the states of two routers; returns that of the peer.
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Heartbeat, PeerError>;

    /// Requests unspent tokens; returns those that the peer hands over, by origin.
    async fn take_tokens(&self, request: TokenRequest) -> Result<Parts, PeerError>;

    /// Has a witness record the totals of a router's blocks under an epoch of its witness list.
    ///
    /// `whole` states that `notes` includes all totals of the router, not just the changed ones.
    async fn note(
        &self,
        from: Incarnation,
        epoch: u64,
        notes: Notes,
        whole: bool,
    ) -> Result<Noted, PeerError>;

    /// Has a witness refuse further blocks of an incarnation; returns the witness's own incarnation
    /// and its report of the totals recorded under `epoch`.
    async fn refuse(
        &self,
        owner: Incarnation,
        epoch: u64,
    ) -> Result<(Incarnation, Report), PeerError>;

    /// Has a peer keep copies of the bills of `owner`, and discard those that are stored.
    async fn keep_copies(&self, owner: Incarnation, copies: BillCopies) -> Result<(), PeerError>;

    /// Returns the changes of the rules after a version, each in JSON.
    async fn rule_changes(&self, after: u64) -> Result<Vec<Vec<u8>>, PeerError>;
}
