//! The counts of requests by team.

use std::collections::HashSet;

use fescue_core::TeamId;
use fescue_core::outcome::Reason;
use fescue_gateway::metrics::{MAX_TEAMS, Metrics, NO_TEAM, OTHER_TEAMS, Outcome};

fn teams(count: usize) -> Vec<TeamId> {
    let name = |number| format!("team-{number}").parse().expect("a team");
    (0..count).map(name).collect()
}

/// Returns the value of a count by team; `None` if it isn't there.
fn count(metrics: &Metrics, team: &str, outcome: &str) -> Option<u64> {
    let name =
        format!("fescue_gateway_team_requests_total{{team=\"{team}\",outcome=\"{outcome}\"}} ");
    let text = metrics.to_text();
    let value = text.lines().find_map(|line| line.strip_prefix(&name))?;
    value.parse().ok()
}

/// Guards against metrics that grow with the number of teams without an end.
#[test]
fn teams_above_the_limit_share_a_label() {
    let metrics = Metrics::default();
    let teams = teams(MAX_TEAMS + 200);
    metrics.teams.set_teams(teams.iter());
    for team in &teams {
        metrics.teams.count(Some(team), Outcome::Budget);
    }
    let text = metrics.to_text();
    let label = |line: &str| Some(line.split_once("team=\"")?.1.split_once('"')?.0.to_owned());
    let labels: HashSet<_> = text.lines().filter_map(label).collect();
    assert_eq!(labels.len(), MAX_TEAMS + 1);
    assert_eq!(count(&metrics, OTHER_TEAMS, "budget"), Some(200));
    assert_eq!(count(&metrics, "team-0", "budget"), Some(1));
    // No team can be taken for the others or for none.
    assert!(OTHER_TEAMS.parse::<TeamId>().is_err());
    assert!(NO_TEAM.parse::<TeamId>().is_err());
}

/// Guards against counts of teams that are gone, and against counts that start anew with each configuration.
#[test]
fn counts_follow_the_configuration() {
    let metrics = Metrics::default();
    let teams = teams(3);
    metrics.teams.set_teams(teams[..2].iter());
    for team in &teams {
        metrics.teams.count(Some(team), Outcome::Served);
    }
    assert_eq!(count(&metrics, OTHER_TEAMS, "served"), Some(1));
    metrics.teams.set_teams(teams[1..].iter());
    assert_eq!(count(&metrics, "team-0", "served"), None);
    assert_eq!(count(&metrics, "team-1", "served"), Some(1));
    assert_eq!(count(&metrics, "team-2", "served"), None);
    // A request of a team that was removed while it ran is counted too.
    metrics.teams.count(Some(&teams[0]), Outcome::Cut);
    assert_eq!(count(&metrics, OTHER_TEAMS, "cut"), Some(1));
    metrics.teams.count(None, Outcome::Caller);
    assert_eq!(count(&metrics, NO_TEAM, "caller"), Some(1));
}

/// Guards against a team whose budget is empty being taken for one whose tokens are late, or for a crowded
/// router's.
#[test]
fn reasons_fall_into_classes() {
    for (reason, class) in [
        (Reason::BudgetExhausted, "budget"),
        (Reason::StoreDown, "tokens"),
        (Reason::TokensPending, "tokens"),
        (Reason::Crowded, "load"),
        (Reason::Overload, "load"),
        (Reason::NotReady, "not_ready"),
        (Reason::NoUpstream, "upstream"),
        (Reason::Deadline, "upstream"),
        (Reason::BadKey, "caller"),
    ] {
        assert_eq!(Outcome::from(reason).as_str(), class, "{reason}");
    }
}
