//! The rules' grammar, and what it says of faults.

use fescue_core::rules::{Delta, RuleSet};

const KEY: &str = "0000000000000000000000000000000000000000000000000000000000000000";

fn team(name: &str, rest: &str) -> String {
    format!("team {name} key={KEY} {rest}# asked by Awa\n")
}

#[test]
fn parse_reports_all_faults_with_their_places() {
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
    let report = RuleSet::parse("bad.rules", text).expect_err("it is full of faults");
    insta::assert_snapshot!(report.to_string());
}

#[test]
fn parse_refuses_a_second_line_for_the_same() {
    let text = team("yard", "") + &team("yard", "weight=2 ");
    let report = RuleSet::parse("twice.rules", &text).expect_err("it is there twice");
    assert!(
        report
            .to_string()
            .contains("line 2, column 1: team yard has a line already")
    );
}

#[test]
fn parse_refuses_two_teams_with_one_key() {
    let text = team("yard", "") + &team("desk", "");
    assert!(RuleSet::parse("same.rules", &text).is_err());
}

#[test]
fn delta_leads_from_one_book_to_the_other() {
    let old = RuleSet::parse(
        "old",
        &(team("yard", "") + "budget yard/main # asked by Awa\n"),
    );
    let new = RuleSet::parse("new", &team("yard", "weight=3 "));
    let (old, new) = (old.expect("it parses"), new.expect("it parses"));
    let delta = Delta::between(&old, &new);
    assert_eq!((delta.lines.len(), delta.removed.len()), (1, 1));
    assert_eq!(old.with_delta(&delta).expect("it fits"), new);
    assert!(Delta::between(&new, &new).is_empty());
}

#[test]
fn delta_that_leaves_faults_is_refused_whole() {
    let old = RuleSet::parse(
        "old",
        &(team("yard", "") + "budget yard/main # asked by Awa\n"),
    );
    let old = old.expect("it parses");
    let delta = Delta {
        lines: Vec::new(),
        removed: vec!["team yard".parse().expect("a key")],
    };
    let report = old
        .with_delta(&delta)
        .expect_err("its budget would be left");
    assert!(report.to_string().contains("there is no team yard"));
}

#[test]
fn changed_key_opens_nothing_any_more() {
    let old = RuleSet::parse("old", &team("yard", "")).expect("it parses");
    let line = format!("team yard key={} # asked by Awa", "1".repeat(64));
    let delta = Delta {
        lines: vec![line],
        removed: Vec::new(),
    };
    let new = old.with_delta(&delta).expect("it fits");
    assert!(new.team_by_digest(KEY).is_none());
    assert!(new.team_by_digest(&"1".repeat(64)).is_some());
}

#[test]
fn text_of_a_book_parses_to_the_same() {
    let text =
        team("yard", "weight=3 priorities=urgent,bulk ") + "budget yard/main # asked by Awa\n";
    let book = RuleSet::parse("rules", &text).expect("it parses");
    assert_eq!(
        RuleSet::parse("again", &book.to_text()).expect("it parses"),
        book
    );
}
