//! The messages about tokens between routers.

use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens};
use fescue_policy::escrow::settlement::RowCopy;
use fescue_policy::escrow::term::Witness;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// A message about tokens.
#[derive(Clone, Debug)]
pub enum Message {
    /// Requests tokens of a team from its home.
    Ask(Ask),
    /// Says that an [`Ask`] is kept and will be answered.
    Held(Held),
    /// Answers an [`Ask`].
    Gift(Gift),
    /// Returns surplus tokens to the home; acknowledged as a sign of life is.
    Return(Return),
    /// Tells of a row of licenses; it has no answer.
    Row(Box<RowCopy>),
    /// Asks a witness to let the sender's licenses be used for longer.
    Extend(Extend),
    /// Confirms an [`Extend`]; a refused one isn't answered.
    Extended(Extended),
    /// Asks a witness to let a holder's licenses be used no longer.
    Fence(Fence),
    /// Answers a [`Fence`].
    Fenced(Fenced),
}

/// A question for tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ask {
    /// Identifies the question; a repeated one has the same number.
    pub number: u64,
    /// The team that pays.
    pub team: TeamId,
    /// Minimum that the waiting request lacks.
    pub needed: Tokens,
    /// Preferred amount, which also covers later requests.
    pub wanted: Tokens,
    /// Rank of the waiting request; zero is the most urgent.
    #[serde(default)]
    pub rank: u8,
    /// Time until the waiting request should be answered, in milliseconds; zero if it is late.
    #[serde(default)]
    pub target_ms: u64,
}

/// Says that a question will be answered later.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Held {
    /// The number of the question.
    pub number: u64,
    /// The team that pays.
    pub team: TeamId,
    /// The home's process.
    pub from: Incarnation,
    /// Whether the store doesn't answer the home.
    pub store_down: bool,
    /// Whether another router had better be asked, because the home's last call failed or its current one
    /// takes long. It is said earlier than `store_down`, which is a reason for refusals.
    #[serde(default)]
    pub cut_off: bool,
    /// What the home holds, whether or not its license allows it yet; absent in messages of older routers.
    #[serde(default)]
    pub left: Option<Tokens>,
    /// Time until the home's license allows the needed tokens without the store, in milliseconds; `None`
    /// if it never does.
    pub wait_ms: Option<u64>,
    /// Time until tokens can be taken back that a lost router holds, in milliseconds; `None` if the team
    /// needs none of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reclaim_ms: Option<u64>,
}

/// Answers a question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Gift {
    /// The number of the question.
    pub number: u64,
    /// The team that pays.
    pub team: TeamId,
    /// Zero if the home cannot cover what is needed.
    pub tokens: Tokens,
    /// Tokens left at the home and in the team's account; set only if known and `tokens` is zero.
    pub left: Option<Tokens>,
    /// The home's process.
    pub from: Incarnation,
}

/// Returns tokens to a home.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Return {
    /// Identifies the return; a repeated one has the same number.
    pub number: u64,
    /// The team that the tokens belong to.
    pub team: TeamId,
    /// The tokens.
    pub tokens: Tokens,
    /// Incarnation of the home that may accept the tokens: a later one cannot tell whether they
    /// were accepted before.
    pub to: Incarnation,
}

/// Asks a witness to let the licenses of a generation be used for longer.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Extend {
    /// The process whose licenses they are.
    pub holder: Incarnation,
    /// The process that is asked; another one on its address doesn't answer.
    pub witness: Incarnation,
    /// The generation.
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// The wanted end, on the store's clock.
    #[serde(rename = "until_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub until: Duration,
}

/// Confirms an [`Extend`].
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Extended {
    /// The witness.
    pub from: Incarnation,
    /// The generation.
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// The end up to which the licenses may be used.
    #[serde(rename = "until_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub until: Duration,
}

/// Asks a witness to confirm nothing more for a holder's licenses up to a generation.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fence {
    /// The process whose licenses they are.
    pub holder: Incarnation,
    /// The witness, as the holder's row names it.
    pub witness: Witness,
    /// The generation.
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
}

/// Answers a [`Fence`].
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fenced {
    /// The process whose licenses they are.
    pub holder: Incarnation,
    /// The witness, as the holder's row names it.
    pub witness: Incarnation,
    /// The generation that was asked for.
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// The latest end that the witness can have confirmed.
    #[serde(rename = "until_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub until: Duration,
}
