//! What upstreams say in their answers of whether they take requests, while lists change.

use std::time::Duration;

use fescue_core::{ServiceId, UpstreamId};
use fescue_gateway::adapter::{MAX_PAUSE, parse_pause};
use fescue_gateway::model::Upstream;
use fescue_gateway::upstreams::{Block, Facts, Requirements, Servers, Slot, Withdrawal};
use http::HeaderValue;
use tokio::time::{Instant, advance};

use super::upstreams::upstream;

const SECOND: Duration = Duration::from_secs(1);

fn service() -> ServiceId {
    "plain".parse().expect("a service")
}

fn id(text: &str) -> UpstreamId {
    text.parse().expect("an id")
}

fn born(name: &str, started: u64) -> Upstream {
    Upstream {
        started_at: Some(started),
        sequence: Some(1),
        ..upstream(name, false)
    }
}

fn acquire(servers: &Servers) -> Option<Slot> {
    let service = service();
    let requirements = Requirements {
        service: &service,
        prefix: None,
        input: 0,
        origin: None,
        tried: &[],
        denied: &[],
        allowed: None,
        limited: true,
        tie_breaker: 1,
    };
    servers.acquire(Duration::ZERO, &requirements, "here")
}

fn facts<'a>(servers: &'a Servers, name: &str) -> &'a Facts {
    &servers.get(&id(name)).expect("a listed upstream").facts
}

/// Counts the requests that are placed now.
fn placed(servers: &Servers) -> usize {
    std::iter::from_fn(|| acquire(servers)).take(100).count()
}

/// The mark must hold while the list still names the process as available, and after a removal too.
#[tokio::test(start_paused = true)]
async fn leaving_holds_while_the_same_process_is_listed() {
    let mut servers = Servers::default();
    servers.put(born("a", 1));
    assert!(facts(&servers, "a").record_leaving("r"));
    assert!(!facts(&servers, "a").record_leaving("s"));
    assert!(acquire(&servers).is_none());
    servers.put(born("a", 1));
    assert!(acquire(&servers).is_none());
    let mut moved = born("a", 1);
    moved.address = "127.0.0.1:2".parse().expect("an address");
    servers.put(moved);
    assert!(acquire(&servers).is_none());
    servers.remove(&id("a"));
    servers.put(born("a", 1));
    assert!(acquire(&servers).is_none());
    advance(60 * SECOND).await;
    assert!(acquire(&servers).is_none());
}

/// An entry from an older copy of the store is used after some time if it stays listed.
#[tokio::test(start_paused = true)]
async fn leaving_holds_when_a_copy_lists_the_process_again() {
    let mut servers = Servers::default();
    servers.put(born("a", 1));
    facts(&servers, "a").record_leaving("r");
    servers.remove(&id("a"));
    assert!(!servers.put_copied(born("a", 1)));
    advance(11 * SECOND).await;
    assert_eq!(servers.take_stayed(), [id("a")]);
    assert!(acquire(&servers).is_none());
}

/// The mark must not outlive the process, nor pass to another one at its address.
#[tokio::test(start_paused = true)]
async fn leaving_ends_with_the_process() {
    let mut servers = Servers::default();
    servers.put(born("a", 1));
    facts(&servers, "a").record_leaving("r");
    servers.put(born("b", 1));
    let other = acquire(&servers).expect("another process at the same address");
    assert_eq!(other.server().entry.id, id("b"));
    servers.remove(&id("b"));
    servers.put(born("a", 2));
    assert!(acquire(&servers).is_some());
}

/// A request may still be open at an upstream that is no longer listed; its answer counts when the process
/// is listed again.
#[tokio::test(start_paused = true)]
async fn leaving_counts_from_an_answer_after_the_removal() {
    let mut servers = Servers::default();
    servers.put(born("a", 1));
    let open = acquire(&servers).expect("a slot");
    servers.remove(&id("a"));
    open.server().facts.record_leaving("r");
    servers.put(born("a", 1));
    assert!(acquire(&servers).is_none());
}

/// If the circuit breakers of all upstreams are open, one is chosen nevertheless; never one that is leaving
/// or pausing.
#[tokio::test(start_paused = true)]
async fn fallback_spares_upstreams_that_withdrew() {
    let mut servers = Servers::default();
    for name in ["a", "b"] {
        servers.put(born(name, 1));
        for _ in 0..5 {
            let server = servers.get(&id(name)).expect("listed");
            server.record_outcome(Duration::ZERO, false);
        }
    }
    facts(&servers, "a").record_leaving("r");
    let slot = acquire(&servers).expect("the other one");
    assert_eq!(slot.server().entry.id, id("b"));
    facts(&servers, "b").record_pause("r", SECOND, Instant::now());
    assert!(acquire(&servers).is_none());
}

/// After a pause a few requests come first, then more.
#[tokio::test(start_paused = true)]
async fn pause_ends_in_steps() {
    let mut servers = Servers::default();
    servers.put(born("a", 1));
    assert!(facts(&servers, "a").record_pause("r", 3 * SECOND, Instant::now()));
    assert_eq!(placed(&servers), 0);
    let known = facts(&servers, "a").withdrawal(false).expect("a pause");
    assert_eq!(known.reason, Withdrawal::Pausing);
    assert_eq!(known.source, "r");
    let block = |wait, pausing| Some(Block { wait, pausing });
    let blocked = |servers: &Servers| servers.all_blocked(&service(), Duration::ZERO);
    assert_eq!(blocked(&servers), block(3 * SECOND, true));
    advance(2999 * SECOND / 1000).await;
    assert_eq!(placed(&servers), 0);
    advance(SECOND / 1000).await;
    assert_eq!(placed(&servers), 2);
    assert_eq!(blocked(&servers), block(SECOND / 4, true));
    assert_eq!(facts(&servers, "a").withdrawal(false), None);
    advance(SECOND / 4).await;
    assert_eq!(placed(&servers), 2);
    advance(SECOND / 4).await;
    assert_eq!(placed(&servers), 4);
    advance(2 * SECOND).await;
    assert_eq!(placed(&servers), 100);
    assert_eq!(blocked(&servers), None);
}

/// A request that was placed and not sent must not use up one of the few after a pause.
#[tokio::test(start_paused = true)]
async fn pause_counts_no_request_that_was_not_sent() {
    let mut servers = Servers::default();
    servers.put(born("a", 1));
    facts(&servers, "a").record_pause("r", SECOND, Instant::now());
    advance(SECOND).await;
    for _ in 0..5 {
        acquire(&servers).expect("a slot").cancel();
    }
    assert_eq!(placed(&servers), 2);
}

/// Answers to requests that were open together come in any order, so that only a later request's answer may
/// shorten a pause.
#[tokio::test(start_paused = true)]
async fn pause_changes_with_repeats() {
    let facts = Facts::default();
    let wait = || facts.withdrawal(false).and_then(|known| known.wait);
    let before = Instant::now();
    advance(SECOND / 10).await;
    assert!(facts.record_pause("r", 3 * SECOND, before));
    assert!(!facts.record_pause("s", SECOND, before));
    assert_eq!(wait(), Some(3 * SECOND));
    assert!(facts.record_pause("t", 5 * SECOND, before));
    assert_eq!(wait(), Some(5 * SECOND));
    assert!(facts.record_pause("u", SECOND, Instant::now()));
    assert_eq!(wait(), Some(SECOND));
    advance(SECOND).await;
    assert_eq!(wait(), None);
    assert!(facts.record_pause("v", SECOND, before));
    assert_eq!(wait(), Some(SECOND));
}

/// Values that can't be meant must neither take an upstream out for days nor be read as something else.
#[test]
fn parse_pause_odd_values() {
    let parse = |text: &str| parse_pause(&HeaderValue::from_str(text).expect("a value"));
    assert_eq!(parse("3"), Some(3 * SECOND));
    assert_eq!(parse("0.25"), Some(SECOND / 4));
    for long in ["301", "172800", "1e300", "inf"] {
        assert_eq!(parse(long), Some(MAX_PAUSE), "{long}");
    }
    let date = "Wed, 21 Oct 2026 07:28:00 GMT";
    for text in ["", "0", "-0", "-3", "NaN", "-inf", "soon", "3 s", date] {
        assert_eq!(parse(text), None, "{text}");
    }
    let bytes = HeaderValue::from_bytes(b"\xff3").expect("a value");
    assert_eq!(parse_pause(&bytes), None);
}
