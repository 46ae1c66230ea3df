//! One rule, as written and as understood.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::fields::{Fields, List, Span};
use crate::id::{BudgetId, DataCentreId, IdError, ModelId, ServiceId, TeamId, UpstreamId};
use crate::quantity::{Priority, Tokens, Weight};
use crate::report::Fault;

/// The words that open the comment naming who asked.
const ASKED_BY: &str = "asked by ";

/// A rule with its text and who asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// What it says.
    pub rule: Rule,
    /// Who asked for it.
    pub author: String,
    /// The line as written, blanks at the ends trimmed.
    pub text: String,
}

impl Line {
    /// Parses one line; a blank line or a comment of its own is none.
    ///
    /// # Errors
    ///
    /// The first fault of the line, placed within it.
    pub fn parse(text: &str) -> Result<Option<Self>, Fault> {
        let trimmed = text.trim();
        if trimmed.is_empty() || trimmed.starts_with('#') {
            return Ok(None);
        }
        let (body, comment) = text.split_once('#').unwrap_or((text, ""));
        let asked = comment.trim().strip_prefix(ASKED_BY).map(str::trim);
        let author = asked.filter(|author| !author.is_empty());
        let Some(author) = author else {
            let at = body.trim_end().len();
            return Err(Fault::new(
                at,
                text.len() - at,
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

/// What a rule is about; two rules with the same key can't both be in force.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Key {
    kind: &'static str,
    name: String,
}

impl Key {
    /// Returns the word that the rule opens with.
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
        let bad = || IdError::new("a rule's key", text);
        let (kind, name) = text.split_once(' ').ok_or_else(bad)?;
        let kind = KINDS.into_iter().find(|k| *k == kind).ok_or_else(bad)?;
        let name = name.to_owned();
        Ok(Self { kind, name })
    }
}

/// The words that a rule may open with.
const KINDS: [&str; 6] = [
    "team", "budget", "priority", "upstream", "service", "setting",
];

/// One rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A team.
    Team(Box<Team>),
    /// A budget.
    Budget(Budget),
    /// A priority's share and target.
    Priority(PriorityRule),
    /// An upstream.
    Upstream(Box<Upstream>),
    /// A plain service.
    Service(Service),
    /// A fleet-wide setting.
    Setting(Setting, u64),
}

/// A team and how its callers are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// The SHA-256 of its bearer key, in lower-case hex.
    pub key_digest: String,
    /// Its weight among the teams of a priority.
    pub weight: Weight,
    /// The priorities it may use; the first is the one used where the caller names none.
    pub priorities: Vec<Priority>,
}

/// A budget; its tokens are in the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Its name.
    pub name: BudgetId,
}

/// What a priority is guaranteed and when its first token is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorityRule {
    /// Which priority.
    pub name: Priority,
    /// Its guaranteed share of contended capacity, in percent.
    pub share: u32,
    /// The longest wait for the first token.
    pub target: Duration,
}

/// A model engine or plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name.
    pub name: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// The models it serves.
    pub models: Vec<ModelId>,
    /// The plain services it provides.
    pub services: Vec<ServiceId>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Whether it checks who gives it an order.
    pub verifies_issuer: bool,
}

/// A plain service and how its calls may be treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// What one call costs.
    pub price: Tokens,
    /// Whether a call may be sent again.
    pub retryable: bool,
    /// The longest that one call may take.
    pub timeout: Duration,
}

/// The settings in which deployments differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Setting {
    /// How many seconds of demand an ample allowance covers.
    AllowanceHorizon,
    /// The percent of a budget's free tokens that one draw may take.
    DrawShare,
    /// How many percent of each upstream bulk work may use.
    BulkCeiling,
    /// How many percent of a target may be used up in the queue before an early refusal.
    QueueWait,
}

impl Setting {
    /// All settings.
    pub const ALL: [Self; 4] = [
        Self::AllowanceHorizon,
        Self::DrawShare,
        Self::BulkCeiling,
        Self::QueueWait,
    ];

    /// Returns the name that rules use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AllowanceHorizon => "allowance-horizon-s",
            Self::DrawShare => "draw-share-percent",
            Self::BulkCeiling => "bulk-ceiling-percent",
            Self::QueueWait => "queue-patience-percent",
        }
    }

    /// Returns the value where no rule sets one.
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
    /// Parses the part of a line before its comment.
    fn parse(text: &str) -> Result<Self, Fault> {
        let mut fields = Fields::split(text);
        let (at, kind) = fields.word("a rule")?;
        let rule = match kind {
            "team" => Self::Team(Box::new(team(&mut fields)?)),
            "budget" => Self::Budget(Budget {
                name: fields.name("a budget, TEAM/NAME")?,
            }),
            "priority" => Self::Priority(priority(&mut fields)?),
            "upstream" => Self::Upstream(Box::new(upstream(&mut fields)?)),
            "service" => Self::Service(service(&mut fields)?),
            "setting" => setting(&mut fields)?,
            _ => {
                let message = format!("expected one of {}", KINDS.join(", "));
                return Err(Fault::new(at, kind.len(), message));
            }
        };
        fields.finish()?;
        Ok(rule)
    }

    /// Returns what the rule is about.
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

fn team(fields: &mut Fields<'_>) -> Result<Team, Fault> {
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

fn priority(fields: &mut Fields<'_>) -> Result<PriorityRule, Fault> {
    Ok(PriorityRule {
        name: fields.name("a priority")?,
        share: fields.required("share")?,
        target: fields.required::<Span>("target")?.0,
    })
}

fn upstream(fields: &mut Fields<'_>) -> Result<Upstream, Fault> {
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

fn service(fields: &mut Fields<'_>) -> Result<Service, Fault> {
    Ok(Service {
        name: fields.name("a service's name")?,
        price: fields.required("price")?,
        retryable: fields.required::<Choice<'a'>>("repeat")?.0,
        timeout: fields.required::<Span>("timeout")?.0,
    })
}

fn setting(fields: &mut Fields<'_>) -> Result<Rule, Fault> {
    let (at, word) = fields.word("a setting, NAME=VALUE")?;
    let fault = |message: String| Fault::new(at, word.len(), message);
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

/// A choice between two words, by the kind of field.
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
