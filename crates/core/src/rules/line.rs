//! One rule and the line that it is parsed from.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::fields::{DurationValue, Fields, List};
use crate::id::{BudgetId, DataCentreId, IdError, ModelId, ServiceId, TeamId, UpstreamId};
use crate::quantity::{Priority, Tokens, Weight};
use crate::report::Fault;

/// The start of the comment that names who asked for a rule.
const AUTHOR_PREFIX: &str = "asked by ";

/// A rule with its text and its author.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The rule that the line states.
    pub rule: Rule,
    /// The person who asked for the rule, from the comment at the end of the line.
    pub author: String,
    /// The line as written, without white space at its ends.
    pub text: String,
}

impl Line {
    /// Parses one line; returns `None` for a blank line and for one that is only a comment.
    ///
    /// # Errors
    ///
    /// Returns the first fault of the line, with its offset from the start of `text`.
    pub fn parse(text: &str) -> Result<Option<Self>, Fault> {
        let trimmed = text.trim();
        if trimmed.is_empty() || trimmed.starts_with('#') {
            return Ok(None);
        }
        let (body, comment) = text.split_once('#').unwrap_or((text, ""));
        let named = comment.trim().strip_prefix(AUTHOR_PREFIX).map(str::trim);
        let author = named.filter(|author| !author.is_empty());
        let Some(author) = author else {
            let end = body.trim_end().len();
            return Err(Fault::new(
                end,
                text.len() - end,
                "expected `# asked by NAME` at the end",
            ));
        };
        let rule = Rule::parse(body)?;
        Ok(Some(Self {
            rule,
            author: author.to_owned(),
            text: trimmed.to_owned(),
        }))
    }
}

/// The subject of a rule: its kind and the name that follows it.
///
/// Of two rules with the same key, only one can be in force.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Key {
    kind: &'static str,
    name: String,
}

impl Key {
    /// Returns the word that the rule starts with, such as `team`.
    pub fn kind(&self) -> &'static str {
        self.kind
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

impl FromStr for Key {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let invalid = || IdError::new("a rule's key", text);
        let (kind, name) = text.split_once(' ').ok_or_else(invalid)?;
        let kind = KINDS.into_iter().find(|k| *k == kind).ok_or_else(invalid)?;
        let name = name.to_owned();
        Ok(Self { kind, name })
    }
}

/// The words that a rule may start with.
const KINDS: [&str; 6] = [
    "team", "budget", "priority", "upstream", "service", "setting",
];

/// One rule of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Admits a team and its key.
    Team(Box<Team>),
    /// Declares a budget of a team.
    Budget(Budget),
    /// Sets the share and target of a priority.
    Priority(PriorityRule),
    /// Declares an upstream that requests are routed to.
    Upstream(Box<Upstream>),
    /// Declares a plain service.
    Service(Service),
    /// Sets a fleet-wide setting to a value.
    Setting(Setting, u64),
}

/// A team, the digest by which its callers are authenticated, and its scheduling parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The team's name.
    pub name: TeamId,
    /// The SHA-256 digest of the team's bearer key, in lower-case hex.
    pub key_digest: String,
    /// The team's weight among the teams of a priority; one if the rule sets none.
    pub weight: Weight,
    /// The priorities that the team may use; the first applies when the caller names none.
    pub priorities: Vec<Priority>,
}

/// A budget of a team; its balance is kept in the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The budget's id.
    pub name: BudgetId,
}

/// The guaranteed share and the latency target of a priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorityRule {
    /// The priority that the rule applies to.
    pub name: Priority,
    /// The guaranteed share of contended capacity, in percent; all shares add up to 100 at most.
    pub share: u32,
    /// The target for the time to the first token.
    pub target: Duration,
}

/// An upstream: a model engine or a provider of plain services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The upstream's name.
    pub name: UpstreamId,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The data centre that the upstream runs in.
    pub data_centre: DataCentreId,
    /// The models that the upstream serves.
    pub models: Vec<ModelId>,
    /// The plain services that the upstream provides.
    pub services: Vec<ServiceId>,
    /// The number of requests that the upstream runs concurrently, at least one.
    pub slots: u32,
    /// Whether the upstream refuses orders with an outdated fencing number.
    pub fencing: bool,
    /// Whether the upstream verifies who issues an order (`orders=checked`).
    pub verifies_issuer: bool,
}

/// A plain service, with the price, retry policy and time-out of its calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceId,
    /// The price of one call.
    pub price: Tokens,
    /// Whether a call may be sent to an upstream again (`repeat=allowed`).
    pub retryable: bool,
    /// The time-out of one call.
    pub timeout: Duration,
}

/// A fleet-wide setting, by which deployments differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Setting {
    /// The seconds of demand that an ample allowance covers.
    AllowanceHorizon,
    /// The percentage of a budget's free tokens that one draw may take.
    DrawShare,
    /// The percentage of each upstream that bulk work may use.
    BulkCeiling,
    /// The percentage of a latency target that may pass in the queue before an early refusal.
    QueueWait,
}

impl Setting {
    /// All settings, for looking them up by name.
    pub const ALL: [Self; 4] = [
        Self::AllowanceHorizon,
        Self::DrawShare,
        Self::BulkCeiling,
        Self::QueueWait,
    ];

    /// Returns the setting's name in rules.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AllowanceHorizon => "allowance-horizon-s",
            Self::DrawShare => "draw-share-percent",
            Self::BulkCeiling => "bulk-ceiling-percent",
            Self::QueueWait => "queue-patience-percent",
        }
    }

    /// Returns the value that applies if no rule sets one, in the unit that the name ends in.
    pub const fn default_value(self) -> u64 {
        match self {
            Self::AllowanceHorizon => 600,
            Self::DrawShare => 10,
            Self::BulkCeiling => 90,
            Self::QueueWait => 100,
        }
    }

    const fn range(self) -> std::ops::RangeInclusive<u64> {
        match self {
            Self::AllowanceHorizon => 1..=3600,
            Self::DrawShare | Self::BulkCeiling => 1..=100,
            Self::QueueWait => 10..=1000,
        }
    }
}

impl FromStr for Setting {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let found = Self::ALL.into_iter().find(|s| s.as_str() == text);
        found.ok_or_else(|| IdError::new("a setting", text))
    }
}

impl Rule {
    /// Parses a rule, the part of a line before the comment.
    fn parse(text: &str) -> Result<Self, Fault> {
        let mut fields = Fields::split(text);
        let (offset, kind) = fields.word("a rule")?;
        let rule = match kind {
            "team" => Self::Team(Box::new(parse_team(&mut fields)?)),
            "budget" => Self::Budget(Budget {
                name: fields.name("a budget, TEAM/NAME")?,
            }),
            "priority" => Self::Priority(parse_priority(&mut fields)?),
            "upstream" => Self::Upstream(Box::new(parse_upstream(&mut fields)?)),
            "service" => Self::Service(parse_service(&mut fields)?),
            "setting" => parse_setting(&mut fields)?,
            _ => {
                let message = format!("expected one of {}", KINDS.join(", "));
                return Err(Fault::new(offset, kind.len(), message));
            }
        };
        fields.finish()?;
        Ok(rule)
    }

    /// Returns the rule's subject, by which it is replaced or removed.
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Self::Team(team) => ("team", team.name.to_string()),
            Self::Budget(budget) => ("budget", budget.name.to_string()),
            Self::Priority(rule) => ("priority", rule.name.to_string()),
            Self::Upstream(upstream) => ("upstream", upstream.name.to_string()),
            Self::Service(service) => ("service", service.name.to_string()),
            Self::Setting(setting, _) => ("setting", setting.as_str().to_owned()),
        };
        Key { kind, name }
    }
}

fn parse_team(fields: &mut Fields<'_>) -> Result<Team, Fault> {
    let (name, key_digest, weight) = (
        fields.name("a team's name")?,
        fields.required::<Digest>("key")?.0,
        fields.optional("weight")?.unwrap_or(Weight::ONE),
    );
    let priorities = fields.optional::<List<Priority>>("priorities")?;
    let priorities = priorities.map_or(vec![Priority::Standard], |list| list.0);
    Ok(Team {
        name,
        key_digest,
        weight,
        priorities,
    })
}

fn parse_priority(fields: &mut Fields<'_>) -> Result<PriorityRule, Fault> {
    Ok(PriorityRule {
        name: fields.name("a priority")?,
        share: fields.required("share")?,
        target: fields.required::<DurationValue>("target")?.0,
    })
}

fn parse_upstream(fields: &mut Fields<'_>) -> Result<Upstream, Fault> {
    let models = fields.optional::<List<ModelId>>("models")?;
    let services = fields.optional::<List<ServiceId>>("services")?;
    Ok(Upstream {
        name: fields.name("an upstream's name")?,
        address: fields.required("at")?,
        data_centre: fields.required("data-centre")?,
        models: models.map_or_else(Vec::new, |list| list.0),
        services: services.map_or_else(Vec::new, |list| list.0),
        slots: fields.required("slots")?,
        fencing: fields.required::<Choice<'r'>>("fencing")?.0,
        verifies_issuer: fields.required::<Choice<'c'>>("orders")?.0,
    })
}

fn parse_service(fields: &mut Fields<'_>) -> Result<Service, Fault> {
    Ok(Service {
        name: fields.name("a service's name")?,
        price: fields.required("price")?,
        retryable: fields.required::<Choice<'a'>>("repeat")?.0,
        timeout: fields.required::<DurationValue>("timeout")?.0,
    })
}

fn parse_setting(fields: &mut Fields<'_>) -> Result<Rule, Fault> {
    let (offset, word) = fields.word("a setting, NAME=VALUE")?;
    let fault = |message: String| Fault::new(offset, word.len(), message);
    let (name, value) = word
        .split_once('=')
        .ok_or_else(|| fault("expected NAME=VALUE".to_owned()))?;
    let setting: Setting = name.parse().map_err(|e: IdError| fault(e.to_string()))?;
    let number = value.parse().ok().filter(|v| setting.range().contains(v));
    let range = setting.range();
    let expected = || {
        fault(format!(
            "expected a number from {} to {}",
            range.start(),
            range.end()
        ))
    };
    Ok(Rule::Setting(setting, number.ok_or_else(expected)?))
}

/// A SHA-256 digest in lower-case hex.
struct Digest(String);

impl FromStr for Digest {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() == 64 && text.bytes().all(hex) {
            Ok(Self(text.to_owned()))
        } else {
            Err("expected the SHA-256 of the key, 64 lower-case hex digits".to_owned())
        }
    }
}

/// A Boolean field written as one of two words.
///
/// `FIELD` selects the words: `'r'` for `refuses` and `ignores`, `'c'` for `checked` and
/// `unchecked`, any other for `allowed` and `never`.
struct Choice<const FIELD: char>(bool);

impl<const FIELD: char> FromStr for Choice<FIELD> {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (yes, no) = match FIELD {
            'r' => ("refuses", "ignores"),
            'c' => ("checked", "unchecked"),
            _ => ("allowed", "never"),
        };
        match text {
            _ if text == yes => Ok(Self(true)),
            _ if text == no => Ok(Self(false)),
            _ => Err(format!("expected {yes} or {no}, not {text:?}")),
        }
    }
}
