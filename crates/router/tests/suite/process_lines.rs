//! What the log lines say of the requests that a router refuses.

use fescue_standin::caller::Request;
use serde_json::{Value, json};

use crate::site::{KEY, QUICK, Site, chat, eventually, purchase};

/// Sends a request that must be refused, and returns the line with its reason.
async fn refused(site: &Site, ask: &Request, reason: &str) -> Value {
    let answer = site.ask(0, ask).await;
    assert_eq!(answer.code(), reason, "{}", answer.body);
    let lines = || {
        let lines = site.routers[0].logged("refused").into_iter();
        lines.filter(|line| line["reason"] == reason)
    };
    eventually("the line of a refusal", async || lines().next().is_some()).await;
    lines().next_back().expect("a line")
}

/// Returns the fields of a line that say whose request it was and where it went.
fn names(line: &Value) -> Value {
    ["team", "priority", "model", "service"]
        .map(|field| line[field].clone())
        .into()
}

/// Guards against refusals from whose lines nobody can tell the team and what it asked for, and against lines
/// that name what isn't known.
#[tokio::test]
async fn refused_lines_name_what_is_known() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let line = refused(&site, &chat("poor", "all", 2_000_000), "bad_request").await;
    assert_eq!(names(&line), json!(["yard", "standard", null, null]));

    let unknown = Request::chat(KEY, "nonesuch", "a fair price", 5).with_id("unknown");
    let line = refused(&site, &unknown, "not_found").await;
    assert_eq!(line["request"], "unknown");
    assert_eq!(names(&line), json!(["yard", "standard", "nonesuch", null]));

    let forbidden = chat("forbidden", "a fair price", 5).with_priority("bulk");
    let line = refused(&site, &forbidden, "forbidden").await;
    assert_eq!(names(&line), json!(["yard", null, null, null]));

    let stranger = Request::chat("nobody's-key", "price", "a fair price", 5);
    let line = refused(&site, &stranger, "bad_key").await;
    assert_eq!(names(&line), json!([null, null, null, null]));
}

/// Guards against a refused call to a service, or a refusal for a budget, without a team.
#[tokio::test]
async fn refused_lines_name_team_and_service() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    assert_eq!(site.ask(0, &purchase("p-1")).await.status, 200);
    let other = Request {
        body: "{}".to_owned(),
        ..purchase("p-1")
    };
    let line = refused(&site, &other, "request_id_reused").await;
    assert_eq!(names(&line), json!(["yard", "standard", null, "purchases"]));

    let rules = format!("{}budget yard/empty # asked by Awa\n", site.rules());
    let version = site.apply_rules("second", &rules).await;
    site.wait_for_version(version).await;
    let poor = chat("poor", "a fair price", 5).with_budget("empty");
    let line = refused(&site, &poor, "budget_exhausted").await;
    assert_eq!(names(&line), json!(["yard", "standard", "price", null]));
}
