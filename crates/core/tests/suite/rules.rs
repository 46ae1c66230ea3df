//! Tests of parsing rules, reporting their faults and applying changes.

use fescue_core::rules::{Delta, RuleSet};

const KEY: &str = "0000000000000000000000000000000000000000000000000000000000000000";

fn team_line(name: &str, fields: &str) -> String {
    format!("team {name} key={KEY} {fields}# asked by Awa\n")
}

#[test]
fn parse_reports_all_faults_with_positions() {
    let text = "team yard weight=1 # asked by Awa\n\
                budget yard/main\n\
                # a comment of its own\n\
                priority soon share=50 target=2s # asked by Awa\n\
                priority urgent share=80 target=2 # asked by Awa\n\
                upstream e at=here data-centre=a slots=1 fencing=ignores orders=checked # asked by Awa\n\
                service s price=2 repeat=maybe timeout=1s # asked by Awa\n\
                setting draw-share-percent=101 # asked by Awa\n\
                budget other/main # asked by Awa\n\
                fence all # asked by\n";
    let report = RuleSet::parse("bad.rules", text).expect_err("the text has faults");
    insta::assert_snapshot!(report.to_string());
}

#[test]
fn parse_rejects_second_line_with_same_key() {
    let text = team_line("yard", "") + &team_line("yard", "weight=2 ");
    let report = RuleSet::parse("twice.rules", &text).expect_err("the team has two lines");
    assert!(
        report
            .to_string()
            .contains("line 2, column 1: team yard has a line already")
    );
}

#[test]
fn parse_rejects_teams_sharing_a_key() {
    let text = team_line("yard", "") + &team_line("desk", "");
    assert!(RuleSet::parse("same.rules", &text).is_err());
}

#[test]
fn delta_between_turns_old_into_new() {
    let old = RuleSet::parse(
        "old",
        &(team_line("yard", "") + "budget yard/main # asked by Awa\n"),
    );
    let new = RuleSet::parse("new", &team_line("yard", "weight=3 "));
    let (old, new) = (
        old.expect("the rules are valid"),
        new.expect("the rules are valid"),
    );
    let delta = Delta::between(&old, &new);
    assert_eq!((delta.lines.len(), delta.removed.len()), (1, 1));
    assert_eq!(old.with_delta(&delta).expect("the change is valid"), new);
    assert!(Delta::between(&new, &new).is_empty());
}

#[test]
fn with_delta_rejects_change_that_leaves_faults() {
    let old = RuleSet::parse(
        "old",
        &(team_line("yard", "") + "budget yard/main # asked by Awa\n"),
    );
    let old = old.expect("the rules are valid");
    let delta = Delta {
        lines: Vec::new(),
        removed: vec!["team yard".parse().expect("the key is well formed")],
    };
    let report = old
        .with_delta(&delta)
        .expect_err("the budget's team is removed");
    assert!(report.to_string().contains("there is no team yard"));
}

#[test]
fn with_delta_invalidates_replaced_team_key() {
    let old = RuleSet::parse("old", &team_line("yard", "")).expect("the rules are valid");
    let line = format!("team yard key={} # asked by Awa", "1".repeat(64));
    let delta = Delta {
        lines: vec![line],
        removed: Vec::new(),
    };
    let new = old.with_delta(&delta).expect("the change is valid");
    assert!(new.team_by_digest(KEY).is_none());
    assert!(new.team_by_digest(&"1".repeat(64)).is_some());
}

#[test]
fn to_text_parses_to_equal_set() {
    let text =
        team_line("yard", "weight=3 priorities=urgent,bulk ") + "budget yard/main # asked by Awa\n";
    let rules = RuleSet::parse("rules", &text).expect("the rules are valid");
    assert_eq!(
        RuleSet::parse("again", &rules.to_text()).expect("the rules are valid"),
        rules
    );
}
