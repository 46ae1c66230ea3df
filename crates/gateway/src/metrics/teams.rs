//! Requests by team and outcome.

use std::collections::HashSet;
use std::fmt;

use fescue_core::TeamId;
use fescue_core::outcome::Reason;
use indexmap::IndexMap;
use parking_lot::Mutex;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;

/// The largest number of teams that are counted each by itself.
pub const MAX_TEAMS: usize = 1000;

/// The label of all other teams of the configuration, and of those that were removed from it while a
/// request ran. No team's name begins with an underscore.
pub const OTHER_TEAMS: &str = "_other";

/// The label of requests whose team isn't known.
pub const NO_TEAM: &str = "_none";

/// How a request ended, in few enough classes that they can be counted for each team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream answered, other than with a server error.
    Served,
    /// The team's budget has too few tokens left.
    Budget,
    /// The team has tokens, but they didn't come in time.
    Tokens,
    /// The router's processor or link is used up, or the upstreams' limits are.
    Load,
    /// The router starts or stops.
    NotReady,
    /// No upstream took the request, or the upstream failed or was late.
    Upstream,
    /// The request itself was at fault.
    Caller,
    /// A stream broke off.
    Cut,
    /// The caller disconnected first.
    Left,
}

impl Outcome {
    /// All outcomes, in the order of their declaration.
    pub const ALL: [Self; 9] = [
        Self::Served,
        Self::Budget,
        Self::Tokens,
        Self::Load,
        Self::NotReady,
        Self::Upstream,
        Self::Caller,
        Self::Cut,
        Self::Left,
    ];

    /// Returns the value of the `outcome` label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Budget => "budget",
            Self::Tokens => "tokens",
            Self::Load => "load",
            Self::NotReady => "not_ready",
            Self::Upstream => "upstream",
            Self::Caller => "caller",
            Self::Cut => "cut",
            Self::Left => "left",
        }
    }
}

impl From<Reason> for Outcome {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::BudgetExhausted => Self::Budget,
            Reason::StoreDown | Reason::TokensPending => Self::Tokens,
            Reason::Overload | Reason::Crowded => Self::Load,
            Reason::NotReady => Self::NotReady,
            Reason::Quarantined
            | Reason::NoUpstream
            | Reason::UpstreamFailed
            | Reason::Deadline => Self::Upstream,
            Reason::BadRequest
            | Reason::BadKey
            | Reason::Forbidden
            | Reason::NotFound
            | Reason::TooLarge
            | Reason::SlowCaller
            | Reason::RequestIdReused
            | Reason::MayHaveRun => Self::Caller,
        }
    }
}

/// The number of requests with each outcome.
type Counts = [u64; Outcome::ALL.len()];

#[derive(Debug, Default)]
struct Rows {
    teams: IndexMap<TeamId, Counts>,
    others: Counts,
    unknown: Counts,
}

/// Counts the requests of each team of the configuration.
///
/// # Invariants
///
/// At most [`MAX_TEAMS`] teams have a count of their own, and all of them are in the configuration.
#[derive(Debug, Default)]
pub struct TeamRequests(Mutex<Rows>);

impl TeamRequests {
    /// Takes over the teams of a new configuration; the counts of teams that are gone are dropped.
    pub fn set_teams<'a>(&self, teams: impl Iterator<Item = &'a TeamId> + Clone) {
        let listed: HashSet<_> = teams.clone().collect();
        let counted = &mut self.0.lock().teams;
        counted.retain(|team, _| listed.contains(team));
        for team in teams {
            if counted.len() >= MAX_TEAMS {
                return;
            }
            if !counted.contains_key(team) {
                counted.insert(team.clone(), Counts::default());
            }
        }
    }

    /// Counts a request that has ended.
    pub fn count(&self, team: Option<&TeamId>, outcome: Outcome) {
        let mut rows = self.0.lock();
        let Rows {
            teams,
            others,
            unknown,
        } = &mut *rows;
        let counts = match team {
            Some(team) => teams.get_mut(team).unwrap_or(others),
            None => unknown,
        };
        counts[outcome as usize] += 1;
    }
}

impl Collector for TeamRequests {
    /// Encodes the counts that aren't zero: nine lines for each team would be too many.
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let rows = self.0.lock();
        let teams = rows.teams.iter().map(|(team, row)| (team.as_str(), row));
        let rest = [(OTHER_TEAMS, &rows.others), (NO_TEAM, &rows.unknown)];
        let kind = ConstCounter::new(0_u64).metric_type();
        let help = "Requests by team and outcome.";
        let mut metric = encoder.encode_descriptor("team_requests", help, None, kind)?;
        for (team, row) in teams.chain(rest) {
            for (outcome, count) in Outcome::ALL.iter().zip(row) {
                if *count > 0 {
                    let labels = [("team", team), ("outcome", outcome.as_str())];
                    ConstCounter::new(*count).encode(metric.encode_family(&labels)?)?;
                }
            }
        }
        Ok(())
    }
}
