//! The messages about tokens between routers.

use fescue_core::{Incarnation, TeamId, Tokens};
use fescue_policy::escrow::settlement::RowCopy;
use serde::{Deserialize, Serialize};

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
    /// Tells of the sender's row of licenses; it has no answer.
    Row(Box<RowCopy>),
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
