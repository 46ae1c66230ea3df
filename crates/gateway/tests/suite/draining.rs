//! Streams that go on at upstreams which leave, and when nothing may reach these any more.

use std::time::Duration;

use fescue_core::{ServiceId, UpstreamId};
use fescue_gateway::model::Upstream;
use fescue_gateway::origins::Origin;
use fescue_gateway::upstreams::{Requirements, Servers, Slot};
use tokio::time::{Instant, advance};

use super::upstreams::upstream;

/// The time for which streams go on at an upstream that leaves.
const TIME: Duration = Duration::from_millis(1500);

const MOMENT: Duration = Duration::from_millis(10);

fn id(text: &str) -> UpstreamId {
    text.parse().expect("an id")
}

/// Returns an entry of a process that started at a time.
fn born(name: &str, started: u64, draining: bool) -> Upstream {
    Upstream {
        started_at: Some(started),
        sequence: Some(1 + u64::from(draining)),
        ..upstream(name, draining)
    }
}

/// Chooses an upstream for a request, which continues a stream of the version that all upstreams have.
fn acquire(servers: &Servers, continues: bool, tried: &[UpstreamId]) -> Option<Slot> {
    let service: ServiceId = "plain".parse().expect("a service");
    let origin = Origin {
        service: service.clone(),
        version: "v1".parse().expect("a version"),
        weights: None,
    };
    let requirements = Requirements {
        service: &service,
        prefix: None,
        input: 0,
        origin: continues.then_some(&origin),
        tried,
        denied: &[],
        allowed: None,
        limited: true,
        tie_breaker: 1,
    };
    let slot = servers.acquire(Duration::ZERO, &requirements, "here");
    assert!(slot.is_none() || servers.can_serve(&requirements));
    slot
}

fn goes_on(servers: &Servers) -> bool {
    acquire(servers, true, &[]).is_some()
}

/// Returns the list of a router that follows its changes, with one upstream that is available.
fn followed() -> Servers {
    let mut servers = Servers::open(TIME);
    servers.put(born("a", 1, false));
    servers.set_changed_since(Some(Instant::now()));
    servers
}

/// Guards against streams that are refused while their upstream drains, and against requests after that.
#[tokio::test(start_paused = true)]
async fn acquire_continues_streams_for_the_drain_time() {
    let mut servers = followed();
    servers.put(born("a", 1, true));
    assert!(acquire(&servers, false, &[]).is_none());
    advance(TIME - MOMENT).await;
    assert!(goes_on(&servers));
    assert!(acquire(&servers, false, &[]).is_none());
    advance(MOMENT).await;
    assert!(!goes_on(&servers));
}

/// The same for an upstream whose entry is removed.
#[tokio::test(start_paused = true)]
async fn acquire_continues_streams_after_a_removal() {
    let mut servers = followed();
    assert!(servers.withdraw(&id("a")));
    assert!(acquire(&servers, false, &[]).is_none());
    advance(TIME - MOMENT).await;
    assert!(goes_on(&servers));
    advance(MOMENT).await;
    assert!(!goes_on(&servers));
    servers.drop_missing();
    assert!(!goes_on(&servers));
}

/// An upstream that drained before its entry was removed has no second drain time.
#[tokio::test(start_paused = true)]
async fn withdraw_keeps_the_drain_time() {
    let mut servers = followed();
    servers.put(born("a", 1, true));
    advance(TIME / 2).await;
    servers.set_changed_since(Some(Instant::now()));
    servers.withdraw(&id("a"));
    assert!(goes_on(&servers));
    advance(TIME / 2).await;
    assert!(!goes_on(&servers));
}

/// Guards against streams that go to an upstream which leaves although another one stays.
#[tokio::test(start_paused = true)]
async fn acquire_prefers_upstreams_that_stay() {
    let mut servers = followed();
    servers.put(born("b", 1, false));
    servers.put(born("a", 1, true));
    for _ in 0..20 {
        let slot = acquire(&servers, true, &[]).expect("an upstream");
        assert_eq!(slot.server().entry.id, id("b"));
        slot.server().record_outcome(Duration::ZERO, true);
    }
    let slot = acquire(&servers, true, &[id("b")]).expect("an upstream");
    assert_eq!(slot.server().entry.id, id("a"));
}

/// Guards against a drain time that begins anew as the entry is written again, is listed by an older copy of the store
/// or removed and listed again.
#[tokio::test(start_paused = true)]
async fn put_keeps_the_drain_time() {
    let mut servers = followed();
    servers.put(born("a", 1, true));
    advance(TIME / 2).await;
    servers.set_changed_since(Some(Instant::now()));
    servers.put(born("a", 1, true));
    assert!(!servers.put_copied(born("a", 1, false)));
    servers.put_copied(born("a", 1, true));
    servers.withdraw(&id("a"));
    servers.put(born("a", 1, true));
    assert!(goes_on(&servers));
    advance(TIME / 2).await;
    assert!(!goes_on(&servers));
    servers.set_changed_since(Some(Instant::now()));
    servers.withdraw(&id("a"));
    assert!(!goes_on(&servers));
}

/// Guards against requests to an upstream of which a router first learns as it drains: nobody knows since when.
#[tokio::test(start_paused = true)]
async fn acquire_skips_upstreams_that_drained_before() {
    let mut servers = Servers::open(TIME);
    servers.set_changed_since(Some(Instant::now()));
    servers.put(born("a", 1, true));
    assert!(!goes_on(&servers));
    // Another process under the same id.
    servers.put(born("b", 1, false));
    servers.put(born("b", 2, true));
    assert!(!goes_on(&servers));
}

/// Guards against a drain time that begins as a router learns of it, where that is late: its list was out of date.
#[tokio::test(start_paused = true)]
async fn put_counts_from_the_last_list() {
    let mut servers = followed();
    let synced = Instant::now();
    advance(TIME - MOMENT).await;
    servers.set_changed_since(Some(synced));
    servers.put(born("a", 1, true));
    assert!(goes_on(&servers));
    advance(MOMENT).await;
    assert!(!goes_on(&servers));
    let mut servers = followed();
    servers.set_changed_since(None);
    servers.put(born("a", 1, true));
    assert!(!goes_on(&servers));
}

/// What answers say counts as what the list says: the earliest time holds.
#[tokio::test(start_paused = true)]
async fn leaving_in_answers_begins_the_drain_time() {
    let mut servers = followed();
    let facts = |servers: &Servers| servers.get(&id("a")).expect("listed").facts.clone();
    facts(&servers).record_leaving("r");
    facts(&servers).record_drain_end(Instant::now() + TIME);
    assert!(acquire(&servers, false, &[]).is_none());
    assert!(facts(&servers).withdrawal(false).is_some());
    assert!(facts(&servers).withdrawal(true).is_none());
    advance(TIME / 2).await;
    assert!(goes_on(&servers));
    servers.set_changed_since(Some(Instant::now()));
    servers.put(born("a", 1, true));
    advance(TIME / 2).await;
    assert!(!goes_on(&servers));
    assert!(facts(&servers).withdrawal(true).is_some());
    // The entry of the same process takes nothing back.
    servers.put(born("a", 1, false));
    assert!(!goes_on(&servers));
    servers.put(born("a", 2, false));
    assert!(goes_on(&servers) && acquire(&servers, false, &[]).is_some());
}

/// Guards against a request that waited on its way to an upstream and is sent after the drain time.
#[tokio::test(start_paused = true)]
async fn withdrawal_holds_for_requests_placed_before() {
    let mut servers = followed();
    let new = acquire(&servers, false, &[]).expect("an upstream");
    servers.put(born("a", 1, true));
    let continued = acquire(&servers, true, &[]).expect("an upstream");
    assert!(new.server().facts.withdrawal(false).is_none());
    advance(TIME).await;
    assert!(new.server().facts.withdrawal(false).is_some());
    assert!(continued.server().facts.withdrawal(true).is_some());
}

/// Guards against an upstream that is never used again after it stopped draining.
#[tokio::test(start_paused = true)]
async fn put_uses_an_upstream_that_is_available_again() {
    let mut servers = followed();
    servers.put(born("a", 1, true));
    advance(2 * TIME).await;
    servers.put(born("a", 1, false));
    let slot = acquire(&servers, false, &[]).expect("an upstream");
    assert!(slot.server().facts.withdrawal(false).is_none());
}
