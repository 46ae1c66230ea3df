//! The choice of upstreams while lists change and during outages of the store.

use std::time::Duration;

use fescue_core::{ServiceId, UpstreamId};
use fescue_gateway::model::Upstream;
use fescue_gateway::upstreams::{Requirements, Servers, Slot};
use tokio::time::advance;

pub fn upstream(id: &str, draining: bool) -> Upstream {
    Upstream {
        id: id.parse().expect("an id"),
        service: "plain".parse().expect("a service"),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "here".parse().expect("a data centre"),
        version: "v1".parse().ok(),
        slots: 4,
        draining,
        warmup: Duration::ZERO,
        started_at: None,
        sequence: None,
    }
}

fn id(text: &str) -> UpstreamId {
    text.parse().expect("an id")
}

fn acquire(servers: &Servers) -> Option<Slot> {
    let service: ServiceId = "plain".parse().expect("a service");
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

/// Returns the id of the upstream that is chosen for a request.
fn chosen(servers: &Servers) -> Option<String> {
    let slot = acquire(servers)?;
    Some(slot.server().entry.id.to_string())
}

#[tokio::test(start_paused = true)]
async fn acquire_skips_draining_upstream() {
    let mut servers = Servers::default();
    servers.put(upstream("a", false));
    assert_eq!(chosen(&servers), Some("a".to_owned()));
    servers.put(upstream("a", true));
    assert_eq!(chosen(&servers), None);
}

/// An upstream that is missing from the list after a store outage is used until its grace period of
/// two seconds ends.
#[tokio::test(start_paused = true)]
async fn acquire_uses_missing_upstream_during_grace() {
    let mut servers = Servers::default();
    servers.put(upstream("a", false));
    servers.mark_missing(&[], Duration::from_secs(2));
    advance(Duration::from_millis(1900)).await;
    assert_eq!(chosen(&servers), Some("a".to_owned()));
    advance(Duration::from_millis(200)).await;
    assert_eq!(chosen(&servers), None);
    servers.put(upstream("a", false));
    assert_eq!(chosen(&servers), Some("a".to_owned()));
}

/// An upstream that is removed while the store answers must not get the grace period, which is only
/// for outages. It once did, as seen on fibre-coco, day fresh-1cd2.
#[tokio::test(start_paused = true)]
async fn remove_takes_effect_at_once() {
    let mut servers = Servers::default();
    servers.put(upstream("a", false));
    assert!(servers.remove(&id("a")));
    assert_eq!(chosen(&servers), None);
}

#[tokio::test(start_paused = true)]
async fn acquire_falls_back_to_recently_failed_upstreams() {
    let mut servers = Servers::default();
    servers.put(upstream("a", false));
    for _ in 0..5 {
        let slot = acquire(&servers).expect("a slot");
        slot.server().record_outcome(Duration::ZERO, false);
    }
    assert_eq!(chosen(&servers), Some("a".to_owned()));
}

/// A connection that times out while the router's own link is full says nothing of the upstream. Guards against
/// sound upstreams that get no requests from a crowded router.
#[tokio::test(start_paused = true)]
async fn upstream_is_not_blamed_for_the_routers_full_link() {
    for link_full in [true, false] {
        let mut servers = Servers::default();
        servers.put(upstream("a", false));
        servers.put(upstream("b", false));
        let slot = acquire(&servers).expect("an upstream");
        let server = slot.server().clone();
        slot.cancel();
        for _ in 0..20 {
            server.record_unreachable(Duration::ZERO, link_full);
        }
        let again = chosen(&servers) == Some(server.entry.id.to_string());
        assert_eq!(again, link_full);
    }
}
