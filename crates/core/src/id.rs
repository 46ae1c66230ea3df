//! Ids of the things that the fleet deals with.
//!
//! Each id is checked when it is parsed. The words follow the glossary, see
//! [docs/GLOSSARY.md](../../../docs/GLOSSARY.md).

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::text_id;

/// The longest name of a team, upstream or the like, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The longest id that a caller may give a request, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// A text that is not an id of the kind asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what} can't be written {text:?}")]
pub struct IdError {
    what: &'static str,
    text: String,
}

impl IdError {
    /// Reports that `text` is no well-formed `what`.
    pub fn new(what: &'static str, text: &str) -> Self {
        let text = text.chars().take(MAX_REQUEST_ID_BYTES).collect();
        Self { what, text }
    }
}

fn is_name(text: &str) -> bool {
    let first = text.bytes().next();
    let starts = first.is_some_and(|b| b.is_ascii_alphanumeric());
    let fits = text.len() <= MAX_NAME_BYTES;
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    starts && fits && text.bytes().all(plain)
}

fn is_request_id(text: &str) -> bool {
    let fits = (1..=MAX_REQUEST_ID_BYTES).contains(&text.len());
    fits && text.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
}

text_id!(
    /// A team that prepays for tokens.
    TeamId, "a team", is_name
);
text_id!(
    /// A VM that the system runs on.
    VmId, "a vm", is_name
);
text_id!(
    /// A data centre.
    DataCentreId, "a data centre", is_name
);
text_id!(
    /// A model engine or plain service that requests are routed to.
    UpstreamId, "an upstream", is_name
);
text_id!(
    /// A language model.
    ModelId, "a model", is_name
);
text_id!(
    /// A plain service, reached under `/services/{name}`.
    ServiceId, "a service", is_name
);
text_id!(
    /// One change of the configuration or of a budget, chosen by who asks for it.
    ChangeId, "a change id", is_name
);
text_id!(
    /// One request, from the caller's `Idempotency-Key` or made by the router.
    RequestId, "a request id", is_request_id
);

/// A prepaid budget: a team and a name of its own.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct BudgetId {
    team: TeamId,
    name: TeamId,
}

impl BudgetId {
    /// The budget that is charged where the caller names none.
    pub const DEFAULT_NAME: &str = "main";

    /// Names the budget `name` of `team`.
    ///
    /// # Errors
    ///
    /// When `name` isn't a plain name.
    pub fn new(team: &TeamId, name: &str) -> Result<Self, IdError> {
        let name = name.parse().map_err(|_| IdError::new("a budget", name))?;
        let team = team.clone();
        Ok(Self { team, name })
    }

    /// Returns the team that the budget belongs to.
    pub fn team(&self) -> &TeamId {
        &self.team
    }
}

impl fmt::Display for BudgetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}

impl FromStr for BudgetId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let bad = || IdError::new("a budget, TEAM/NAME,", text);
        let (team, name) = text.split_once('/').ok_or_else(bad)?;
        let team = team.parse().map_err(|_| bad())?;
        let name = name.parse().map_err(|_| bad())?;
        Ok(Self { team, name })
    }
}

/// One start of one router process.
///
/// It is drawn at random at each start, so that what an earlier process of the same VM left
/// behind can be told from what the present one does.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Wraps a random number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number, as it travels between routers.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let number = u64::from_str_radix(text, 16);
        number
            .map(Self)
            .map_err(|_| IdError::new("an incarnation", text))
    }
}
