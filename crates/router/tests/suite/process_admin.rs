//! The admin API: refused requests, and repeated requests that take effect once.

use fescue_standin::caller::{Request, Response};
use serde_json::{Value, json};

use crate::site::{QUICK, Site};

const TOP_UP: &str = "/admin/v1/budgets/yard/main/top-up";

fn post(path: &str, body: &Value) -> Request {
    Request {
        key: None,
        ..Request::post(path, "", &body.to_string())
    }
}

fn top_up(id: &str, amount: &Value) -> Request {
    post(
        TOP_UP,
        &json!({"id": id, "amount": amount, "author": "Awa"}),
    )
}

fn field(answer: &Response, name: &str) -> Value {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    body[name].clone()
}

#[tokio::test]
async fn admin_refuses_bad_input() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let key = |ask: Request, key: &str| Request {
        key: Some(key.to_owned()),
        ..ask
    };
    let huge = json!(1_u64 << 60);
    let cases = [
        (
            "no such team",
            post(
                "/admin/v1/budgets/other/main/top-up",
                &json!({"id": "a", "amount": 5, "author": "Awa"}),
            ),
            404,
        ),
        ("zero", top_up("a", &json!(0)), 400),
        ("overflow", top_up("a", &huge), 400),
        ("negative", top_up("a", &json!(-5)), 422),
        (
            "no author",
            post(TOP_UP, &json!({"id": "a", "amount": 5})),
            422,
        ),
        (
            "unknown field",
            post(
                TOP_UP,
                &json!({"id": "a", "amount": 5, "author": "A", "more": 1}),
            ),
            422,
        ),
        ("bad id", top_up("a b", &json!(5)), 422),
        ("wrong token", key(top_up("a", &json!(5)), "wrong"), 401),
        (
            "no such upstream",
            post("/admin/v1/upstreams/nonesuch/drain", &json!({})),
            404,
        ),
        (
            "open row",
            post(
                "/admin/v1/held/00000000000000aa/release",
                &json!({"budget": "yard/main", "author": "Awa"}),
            ),
            409,
        ),
        (
            "bad rules",
            post("/admin/v1/rules/check", &json!({"text": "team yard"})),
            400,
        ),
    ];
    let before = site
        .admin(&Request {
            key: None,
            ..Request::get("/admin/v1/budgets/yard/main")
        })
        .await;
    for (name, ask, status) in cases {
        let answer = site.admin(&ask).await;
        assert_eq!(answer.status, status, "{name}: {}", answer.body);
    }
    let after = site
        .admin(&Request {
            key: None,
            ..Request::get("/admin/v1/budgets/yard/main")
        })
        .await;
    assert_eq!(
        field(&before, "credited"),
        field(&after, "credited"),
        "nothing was changed"
    );
}

#[tokio::test]
async fn top_up_asked_again_is_credited_once() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let first = site.admin(&top_up("gift", &json!(500))).await;
    let again = site.admin(&top_up("gift", &json!(500))).await;
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(field(&first, "credited"), field(&again, "credited"));
    let other = site.admin(&top_up("gift", &json!(700))).await;
    assert_eq!((other.status, other.code().as_str()), (409, "id_reused"));
}

#[tokio::test]
async fn metrics_and_health_need_no_token() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    for path in ["/healthz", "/readyz", "/metrics"] {
        let answer = site
            .caller
            .send(site.routers[0].operators, &Request::get(path))
            .await;
        assert_eq!(answer.expect("an answer").status, 200, "{path}");
    }
    let hidden = site
        .caller
        .send(site.routers[0].operators, &Request::get("/admin/v1/status"))
        .await;
    assert_eq!(hidden.expect("an answer").status, 401);
}
