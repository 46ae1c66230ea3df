//! Upstreams that are cold: what makes them so, what other routers are told, and the requests that they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Incarnation, ServiceId, UpstreamId};
use fescue_gateway::catalog::Catalog;
use fescue_gateway::cold::{self, ColdFinding};
use fescue_gateway::gateway::Gateway;
use fescue_gateway::gossip::{self, Findings};
use fescue_gateway::model::Upstream;
use fescue_gateway::peers::{Home, Peer};
use fescue_gateway::permits;
use fescue_gateway::upstreams::{Requirements, Server, Slot};
use fescue_gateway::versions;
use fescue_policy::rate_limit::{RequestRate, Statement};
use fescue_policy::warmup::{PERMIT_TTL, Warmup};
use tokio::time::advance;

use super::site::{Store, gateway, manifest};
use super::upstreams::upstream;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
const WARMUP_TIME: Duration = Duration::from_secs(3);

fn rate() -> RequestRate {
    RequestRate::new(16.0).expect("a rate")
}

/// Opens a router whose configuration limits the requests to cold upstreams, if it is `limited`.
fn router(limited: bool) -> Arc<Gateway> {
    let gateway = gateway("vm-1", &Store::open(1));
    let mut manifest = manifest(1, Vec::new(), &[]);
    for service in manifest.services.values_mut() {
        service.warmup = limited.then(|| Warmup {
            time: WARMUP_TIME,
            rate: rate(),
        });
    }
    gateway.set_catalog(Catalog::open(manifest));
    gateway
}

fn entry(started: u64, sequence: u64, warmup: Duration) -> Upstream {
    Upstream {
        started_at: Some(started),
        sequence: Some(sequence),
        warmup,
        ..upstream("a", false)
    }
}

fn id() -> UpstreamId {
    "a".parse().expect("an id")
}

fn put(gateway: &Gateway, entry: Upstream) {
    versions::put(gateway, entry, false);
}

fn server(gateway: &Gateway) -> Arc<Server> {
    let servers = gateway.servers.lock();
    Arc::clone(servers.get(&id()).expect("a listed upstream"))
}

fn is_cold(gateway: &Gateway) -> bool {
    server(gateway).limit(gateway.now()) == Some(rate())
}

#[tokio::test(start_paused = true)]
async fn entry_makes_cold_until_its_warmup_ends() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, WARMUP_TIME));
    assert!(is_cold(&gateway));
    cold::refresh(&gateway);
    assert_eq!(gateway.metrics.cold_upstreams.get(), 1);
    advance(2900 * MS).await;
    put(&gateway, entry(1, 2, Duration::ZERO));
    assert!(is_cold(&gateway), "the latest end of all reports counts");
    advance(100 * MS).await;
    assert!(!is_cold(&gateway));
    cold::refresh(&gateway);
    assert_eq!(gateway.metrics.cold_upstreams.get(), 0);
    put(&gateway, entry(1, 3, SECOND));
    assert!(is_cold(&gateway), "cold anew under the same id");
}

/// Guards against a warm upstream that becomes cold whenever the list is read again, also after it was removed.
#[tokio::test(start_paused = true)]
async fn entry_that_is_read_again_changes_nothing() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, WARMUP_TIME));
    advance(4 * SECOND).await;
    put(&gateway, entry(1, 1, WARMUP_TIME));
    assert!(!is_cold(&gateway));
    gateway.servers.lock().remove(&id());
    put(&gateway, entry(1, 1, WARMUP_TIME));
    assert!(!is_cold(&gateway));
    put(&gateway, entry(2, 1, WARMUP_TIME));
    assert!(is_cold(&gateway), "another start");
    versions::put(&gateway, entry(1, 9, Duration::ZERO), true);
    assert!(is_cold(&gateway), "an older copy ends nothing");
}

#[tokio::test(start_paused = true)]
async fn service_without_warmup_has_no_cold_upstreams() {
    let gateway = router(false);
    put(&gateway, entry(1, 1, WARMUP_TIME));
    assert_eq!(server(&gateway).limit(gateway.now()), None);
    assert_eq!(
        cold::mark_data_centre(&gateway, &"here".parse().expect("a name")),
        0
    );
}

/// Guards against a limit that is missed because the entry is known before the configuration.
#[tokio::test(start_paused = true)]
async fn configuration_applies_to_listed_upstreams() {
    let gateway = gateway("vm-1", &Store::open(1));
    put(&gateway, entry(1, 1, WARMUP_TIME));
    assert!(!is_cold(&gateway));
    let mut manifest = manifest(1, Vec::new(), &[]);
    let service: ServiceId = "plain".parse().expect("a service");
    manifest.services[&service].warmup = Some(Warmup {
        time: WARMUP_TIME,
        rate: rate(),
    });
    gateway.set_catalog(Catalog::open(manifest));
    assert!(is_cold(&gateway));
}

/// Guards against a storm of connections to a process that has just started at the address of one that crashed.
#[tokio::test(start_paused = true)]
async fn ended_process_counts_as_cold_until_its_successor_is_listed() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, Duration::ZERO));
    assert!(!is_cold(&gateway));
    server(&gateway).facts.record_ended();
    assert!(is_cold(&gateway));
    put(&gateway, entry(1, 2, Duration::ZERO));
    assert!(is_cold(&gateway), "a late entry of the process that ended");
    put(&gateway, entry(2, 1, WARMUP_TIME));
    assert!(is_cold(&gateway));
    advance(WARMUP_TIME).await;
    assert!(!is_cold(&gateway));
}

#[tokio::test(start_paused = true)]
async fn mark_data_centre_makes_its_upstreams_cold() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, Duration::ZERO));
    let mark = |name: &str| cold::mark_data_centre(&gateway, &name.parse().expect("a name"));
    assert_eq!(mark("there"), 0);
    assert!(!is_cold(&gateway));
    assert_eq!(mark("here"), 1);
    put(&gateway, entry(1, 2, Duration::ZERO));
    advance(WARMUP_TIME - MS).await;
    assert!(is_cold(&gateway));
    advance(MS).await;
    assert!(!is_cold(&gateway));
}

#[tokio::test(start_paused = true)]
async fn answer_makes_cold() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, Duration::ZERO));
    cold::receive_answer(&gateway, &server(&gateway), SECOND);
    assert!(is_cold(&gateway));
    advance(SECOND).await;
    assert!(!is_cold(&gateway));
}

/// The smaller one of the two limits applies.
#[tokio::test(start_paused = true)]
async fn limit_is_the_smaller_one() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, WARMUP_TIME));
    for (named, limit) in [(4.0, 4.0), (40.0, 16.0)] {
        advance(MS).await;
        let statement = Statement {
            rate: RequestRate::new(named),
            at: gateway.now(),
        };
        server(&gateway).record_statement(statement);
        let known = server(&gateway).limit(gateway.now());
        assert_eq!(known.map(RequestRate::per_second), Some(limit));
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16))
}

/// Lists other routers, and returns the homes of the upstream.
fn list_peers(gateway: &Gateway, count: usize) -> Vec<Home> {
    let peer = |index: usize| {
        let vm = format!("other-{index}");
        Peer::new(&vm, address(index), Incarnation::new(index as u64))
    };
    let mut peers = gateway.peers.lock();
    peers.set((0..count).map(peer).collect(), true);
    let homes = peers.homes_of(permits::place(&id()));
    homes.expect("a complete list")
}

fn told(gateway: &Gateway) -> Vec<(SocketAddr, ColdFinding)> {
    let findings = gossip::new_findings(gateway).into_iter();
    let cold = findings.flat_map(|(peer, findings)| {
        let all = findings.cold.into_iter();
        all.map(move |finding| (peer, finding))
    });
    cold.collect()
}

fn finding(started: u64, sequence: u64) -> Findings {
    Findings {
        cold: vec![ColdFinding {
            upstream: id(),
            started: Some(started),
            sequence: Some(sequence),
            remaining: WARMUP_TIME,
        }],
        ..Findings::default()
    }
}

/// Guards against routers that learn of a cold upstream late, and against a number of datagrams that grows with the
/// square of the fleet: the homes are told at once, and tell the others.
#[tokio::test(start_paused = true)]
async fn entry_is_told_to_the_homes() {
    let gateway = router(true);
    let homes = list_peers(&gateway, 40);
    assert!(!homes.contains(&Home::Own), "choose another upstream");
    put(&gateway, entry(1, 1, WARMUP_TIME));
    let peers: Vec<_> = told(&gateway).into_iter().map(|(peer, _)| peer).collect();
    let homes = homes.iter().filter_map(|home| match home {
        Home::Own => None,
        Home::Peer(peer) => Some(*peer),
    });
    assert_eq!(peers, homes.collect::<Vec<_>>());
    advance(4 * SECOND).await;
    put(&gateway, entry(1, 1, WARMUP_TIME));
    assert!(told(&gateway).is_empty(), "read again");
}

/// A home passes a finding on once. Guards against findings that go around for ever.
#[tokio::test(start_paused = true)]
async fn finding_is_passed_on_once_by_a_home() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, Duration::ZERO));
    let homes = list_peers(&gateway, 2);
    assert!(homes.contains(&Home::Own), "all three are homes");
    gossip::receive(&gateway, &finding(1, 2));
    assert!(is_cold(&gateway));
    let passed = told(&gateway);
    assert_eq!(passed.len(), 2);
    assert_eq!(passed[0].1.remaining, WARMUP_TIME);
    advance(4 * SECOND).await;
    gossip::receive(&gateway, &finding(1, 2));
    assert!(!is_cold(&gateway), "known, however late it comes again");
    assert!(told(&gateway).is_empty());
}

/// Guards against a finding that is lost because it comes before the entry of the process that it is about.
#[tokio::test(start_paused = true)]
async fn finding_before_the_entry_counts() {
    let gateway = router(true);
    gossip::receive(&gateway, &finding(1, 1));
    put(&gateway, entry(1, 0, Duration::ZERO));
    assert!(is_cold(&gateway), "not listed before");
    advance(WARMUP_TIME).await;
    gossip::receive(&gateway, &finding(2, 1));
    assert!(is_cold(&gateway), "a start whose entry is not known yet");
    advance(SECOND).await;
    put(&gateway, entry(1, 1, Duration::ZERO));
    assert!(is_cold(&gateway), "a late entry of the former process");
}

/// Earlier builds name neither cold upstreams nor the numbers of reports.
#[test]
fn findings_of_other_builds_are_read() {
    let empty: Findings = serde_json::from_str("{}").expect("findings");
    assert!(empty.cold.is_empty());
    let text = r#"{"cold":[{"upstream":"a","started":1,"remaining_ms":1500}]}"#;
    let findings: Findings = serde_json::from_str(text).expect("findings");
    assert_eq!(findings.cold[0].remaining, 1500 * MS);
    assert_eq!(findings.cold[0].sequence, None);
}

/// Guards against datagrams larger than a router reads.
#[tokio::test(start_paused = true)]
async fn findings_fit_into_a_datagram() {
    let gateway = router(true);
    list_peers(&gateway, 1);
    for index in 0..50 {
        let id = format!("engine-with-a-long-name-0123456789-{index:010}");
        let entry = Upstream {
            id: id.parse().expect("an id"),
            ..entry(u64::MAX, u64::MAX, WARMUP_TIME)
        };
        put(&gateway, entry);
    }
    let findings = gossip::new_findings(&gateway);
    assert_eq!(
        findings.iter().map(|(_, f)| f.cold.len()).sum::<usize>(),
        50
    );
    for (_, findings) in findings {
        let bytes = serde_json::to_vec(&findings).expect("JSON").len();
        assert!(bytes < 1380, "{bytes} bytes");
    }
}

async fn take(gateway: &Gateway) -> Option<permits::Permit> {
    let server = server(gateway);
    let claim = permits::claim(None, 0);
    let permit = permits::take(gateway, &server, rate(), claim).await;
    permit.ok()
}

/// The target: at most one and a half times the rate, and five requests, in one second.
#[tokio::test(start_paused = true)]
async fn take_keeps_a_cold_upstream_to_its_rate() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, 60 * SECOND));
    let mut granted = 0;
    for step in 0..4000 {
        advance(MS).await;
        // The upstream restarts under its id, which must add nothing.
        if step % 500 == 0 {
            put(&gateway, entry(2 + step, 1, 60 * SECOND));
        }
        granted += u32::from(take(&gateway).await.is_some());
    }
    assert!((32..=4 * 16).contains(&granted), "{granted} in 4 s");
}

/// Guards against permits that are lost when their requests are not sent.
#[tokio::test(start_paused = true)]
async fn put_back_allows_another_request() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, 60 * SECOND));
    assert!(take(&gateway).await.is_none(), "nothing at once");
    advance(150 * MS).await;
    let permit = take(&gateway).await.expect("a permit");
    assert!(permit.is_cold() && !permit.is_overdue());
    assert!(take(&gateway).await.is_none());
    permits::put_back(&gateway, &server(&gateway), permit);
    let permit = take(&gateway).await.expect("a permit");
    advance(PERMIT_TTL).await;
    assert!(permit.is_overdue(), "too old to be used");
}

/// Without an answer of a home, only routers that are next after the homes may send single requests.
#[tokio::test(start_paused = true)]
async fn take_without_homes_allows_few() {
    let gateway = router(true);
    let homes = list_peers(&gateway, 40);
    assert!(!homes.contains(&Home::Own), "choose another upstream");
    put(&gateway, entry(1, 1, 60 * SECOND));
    for _ in 0..50 {
        advance(100 * MS).await;
        assert!(take(&gateway).await.is_none());
    }
}

fn place(gateway: &Gateway, limited: bool) -> Option<Slot> {
    let service: ServiceId = "plain".parse().expect("a service");
    let requirements = Requirements {
        service: &service,
        prefix: None,
        input: 0,
        origin: None,
        tried: &[],
        denied: &[],
        allowed: None,
        limited,
        tie_breaker: 1,
    };
    let servers = gateway.servers.lock();
    servers.acquire(gateway.now(), &requirements, "here")
}

fn acquire(gateway: &Gateway, limited: bool) -> bool {
    place(gateway, limited).is_some()
}

/// Guards against requests that are placed at a cold upstream which can take no more, or without a permit.
#[tokio::test(start_paused = true)]
async fn acquire_skips_a_cold_upstream_that_can_take_no_more() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, WARMUP_TIME));
    assert!(acquire(&gateway, true));
    assert!(!acquire(&gateway, false), "it has a limit");
    server(&gateway).block(100 * MS);
    assert!(!acquire(&gateway, true));
    let service = "plain".parse().expect("a service");
    let blocked = gateway.servers.lock().all_blocked(&service, gateway.now());
    assert_eq!(
        blocked.map(|block| (block.wait, block.pausing)),
        Some((100 * MS, false))
    );
    advance(100 * MS).await;
    assert!(acquire(&gateway, true));
    advance(WARMUP_TIME).await;
    assert!(acquire(&gateway, false));
}

/// Guards against requests that are sent to a cold upstream without a valid permit: those that were placed before it was
/// known to be cold, and those whose connection took long.
#[tokio::test(start_paused = true)]
async fn slot_needs_a_valid_permit_when_the_request_is_sent() {
    let gateway = router(true);
    put(&gateway, entry(1, 1, Duration::ZERO));
    let mut slot = place(&gateway, true).expect("a slot");
    assert!(!slot.lacks_permit(gateway.now()));
    put(&gateway, entry(2, 1, 60 * SECOND));
    assert!(slot.lacks_permit(gateway.now()), "placed before");
    assert!(take(&gateway).await.is_none(), "nothing at once");
    advance(SECOND).await;
    slot.mark_permitted(take(&gateway).await.expect("a permit"));
    assert!(!slot.lacks_permit(gateway.now()));
    advance(PERMIT_TTL).await;
    assert!(slot.lacks_permit(gateway.now()), "too old");
}
