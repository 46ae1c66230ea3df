//! The protocol between the routers of one fleet.
//!
//! [`PeerService`] is what one router may ask of another. [`client::Client`] asks over the network and
//! [`server::Server`] answers for a router's own [`PeerService`], so that tests can join two routers
//! without sockets. The messages are generated from `proto/peer.proto`; the code is committed, and
//! a test compares it with the file.

pub mod client;
mod convert;
pub mod server;

use async_trait::async_trait;
use fescue_core::{BudgetId, DataCentreId, Incarnation, Tokens, UpstreamId, VmId};
use fescue_policy::bills::Bill;
use fescue_policy::ledger::Parts;
use fescue_policy::witness::{Noted, Notes, Report};

/// The generated messages.
#[expect(clippy::all, clippy::allow_attributes, reason = "generated code")]
mod wire {
    include!("generated/fescue.peer.v1.rs");
}

/// Why a peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// Nothing was sent, or the peer refused to look at it.
    #[error("the peer can't be reached: {0}")]
    Unreachable(String),
    /// The peer may have done what was asked.
    #[error("the peer's answer was lost: {0}")]
    Lost(String),
    /// The peer sent something that isn't of the protocol.
    #[error("the peer's message can't be read: {0}")]
    Malformed(String),
}

/// What a router says of itself with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The version of the rules that it has in force.
    pub rules: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The upstreams that it knows to be leaving, each with its incarnation.
    pub leaving_upstreams: Vec<(UpstreamId, u64)>,
    /// The fingerprints of requests that crashed upstreams, and how often.
    pub suspects: Vec<(u64, u32)>,
    /// Incarnations whose allowances are closed.
    pub closed: Vec<Incarnation>,
}

/// A request for unspent tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Who asks.
    pub from: Incarnation,
    /// Which request of that router it is; the same number asks for the same answer.
    pub number: u64,
    /// The budget.
    pub budget: BudgetId,
    /// How much.
    pub want: Tokens,
}

/// BillCopies of bills, and which earlier copies can go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BillCopies {
    /// New bills.
    pub bills: Vec<Bill>,
    /// The numbers of bills that are stored.
    pub stored: Vec<u64>,
}

/// What one router may ask of another.
///
/// An implementer keeps this: what [`PeerService::take_tokens`] hands over is deducted before it is answered,
/// and a repeated number gets the first answer again.
#[async_trait]
pub trait PeerService: Send + Sync {
    /// Exchanges greetings.
    async fn heartbeat(&self, greeting: Heartbeat) -> Result<Heartbeat, PeerError>;

    /// Asks for unspent tokens.
    async fn take_tokens(&self, take: TokenRequest) -> Result<Parts, PeerError>;

    /// Has blocks noted under an epoch; `whole` says that they are all of the sender's.
    async fn note(
        &self,
        from: Incarnation,
        epoch: u64,
        notes: Notes,
        whole: bool,
    ) -> Result<Noted, PeerError>;

    /// Has an incarnation refused from now on; answers with the witness's own incarnation and what
    /// it noted under an epoch.
    async fn refuse(
        &self,
        owner: Incarnation,
        epoch: u64,
    ) -> Result<(Incarnation, Report), PeerError>;

    /// Has copies of bills kept.
    async fn keep_copies(&self, owner: Incarnation, copies: BillCopies) -> Result<(), PeerError>;

    /// Asks for the changes of the rules after a version, each in JSON.
    async fn rule_changes(&self, after: u64) -> Result<Vec<Vec<u8>>, PeerError>;
}
