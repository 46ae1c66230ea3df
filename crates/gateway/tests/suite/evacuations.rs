//! Evacuations of data centres: the feed of the configuration, findings of other routers, and placement.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{DataCentreId, Era, Incarnation, ServiceId};
use fescue_gateway::adapter::{Batch, Entry, RegistryError, Topic};
use fescue_gateway::evacuations::{self, EvacuationFinding};
use fescue_gateway::gateway::Gateway;
use fescue_gateway::gossip::{self, Findings};
use fescue_gateway::model::Upstream;
use fescue_gateway::origins::Origin;
use fescue_gateway::peers::Peer;
use fescue_gateway::upstreams::{Block, Requirements, Servers, Slot};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, advance};

use super::feeds::{Scene, batch, play, play_slowly};
use super::site::{Store, case_count, first_seed, gateway, manifest};
use super::upstreams::upstream;

/// The time for which an evacuation that a copy lacks stays in force.
const HOLD_TIME: Duration = Duration::from_secs(10);

fn zone(name: &str) -> DataCentreId {
    name.parse().expect("a data centre")
}

fn evacuated(name: &str, version: u64) -> Entry {
    Entry::Evacuated(zone(name), version)
}

fn ended(name: &str, version: u64) -> Entry {
    Entry::EvacuationEnded(zone(name), version)
}

fn finding(era: u64, version: u64, active: bool) -> EvacuationFinding {
    EvacuationFinding {
        data_centre: zone("east"),
        era: Some(Era::new(era)),
        version,
        active,
    }
}

fn tell(gateway: &Gateway, finding: EvacuationFinding) {
    evacuations::receive(gateway, &[finding]);
}

fn tell_batch(gateway: &Gateway, list: bool, batch: Result<Batch, RegistryError>) {
    evacuations::receive_batch(gateway, &batch.expect("a batch"), list, false);
}

/// Returns the names of the data centres that are evacuated, in order.
fn names(gateway: &Gateway) -> Vec<String> {
    let findings = gateway.evacuations.findings().into_iter();
    let active = findings.filter(|finding| finding.active);
    let mut names: Vec<_> = active.map(|found| found.data_centre.to_string()).collect();
    for name in &names {
        assert!(gateway.evacuations.contains(&zone(name)));
    }
    names.sort();
    names
}

fn placed_in(id: &str, data_centre: &str) -> Upstream {
    Upstream {
        data_centre: zone(data_centre),
        ..upstream(id, false)
    }
}

fn service() -> ServiceId {
    "plain".parse().expect("a service")
}

fn requirements<'a>(service: &'a ServiceId, origin: Option<&'a Origin>) -> Requirements<'a> {
    Requirements {
        service,
        prefix: None,
        input: 0,
        origin,
        tried: &[],
        denied: &[],
        allowed: None,
        limited: true,
        tie_breaker: 1,
    }
}

fn acquire(servers: &Servers) -> Option<Slot> {
    servers.acquire(Duration::ZERO, &requirements(&service(), None), "here")
}

fn chosen(gateway: &Gateway) -> Option<String> {
    let slot = acquire(&gateway.servers.lock())?;
    Some(slot.server().entry.id.to_string())
}

/// Creates a router that knows an upstream in each of three data centres.
fn router(vm: &str) -> Arc<Gateway> {
    let gateway = gateway(vm, &Store::open(1));
    for name in ["here", "east", "west"] {
        gateway.servers.lock().put(placed_in(name, name));
    }
    gateway
}

/// Returns the number of evacuations that take effect, as the metric shows it.
fn metric(gateway: &Gateway) -> i64 {
    gateway.metrics.evacuated_data_centres.get()
}

/// Guards against a feed that leaves an evacuation or its end out.
#[tokio::test(start_paused = true)]
async fn follow_takes_beginning_and_end() {
    let scenes = vec![
        ("list", batch(1, 10, vec![evacuated("east", 9)])),
        (
            "changes after 10",
            batch(1, 11, vec![evacuated("west", 11)]),
        ),
    ];
    let gateway = play(Topic::Configuration, scenes.clone()).await;
    assert_eq!(names(&gateway), ["east", "west"]);
    let mut more = scenes;
    more.push(("changes after 11", batch(1, 12, vec![ended("east", 12)])));
    let gateway = play(Topic::Configuration, more).await;
    assert_eq!(names(&gateway), ["west"]);
}

/// Guards against an evacuation that outlasts a list without it, which is the only sign of its end when the
/// history is no longer kept.
#[tokio::test(start_paused = true)]
async fn follow_replaces_the_set_by_a_list() {
    let scenes = vec![
        ("list", batch(1, 10, vec![evacuated("east", 9)])),
        ("changes after 10", Err(RegistryError::Compacted)),
        ("list", batch(1, 20, vec![evacuated("west", 15)])),
    ];
    let gateway = play(Topic::Configuration, scenes).await;
    assert_eq!(names(&gateway), ["west"]);
}

/// Guards against an outage that ends evacuations: the last known set stays in force.
#[tokio::test(start_paused = true)]
async fn follow_keeps_the_set_while_the_store_is_down() {
    let down = || Err(RegistryError::Unavailable("down".to_owned()));
    let mut scenes = vec![("list", batch(1, 10, vec![evacuated("east", 9)]))];
    scenes.extend((0..200).map(|_| ("changes after 10", down())));
    let gateway = play_slowly(Topic::Configuration, scenes, 3 * HOLD_TIME).await;
    assert_eq!(names(&gateway), ["east"]);
}

/// The store comes back from a copy without the evacuation, which is in force until the operator had time to
/// rewrite it. Guards against requests in between.
#[tokio::test(start_paused = true)]
async fn follow_holds_what_a_copy_lacks() {
    let lost = || -> Vec<Scene> {
        vec![
            ("list", batch(1, 10, vec![evacuated("east", 9)])),
            ("changes after 10", batch(2, 8, Vec::new())),
            ("list", batch(2, 8, Vec::new())),
        ]
    };
    let held = HOLD_TIME - Duration::from_secs(1);
    let gateway = play_slowly(Topic::Configuration, lost(), held).await;
    assert_eq!(names(&gateway), ["east"]);
    let over = HOLD_TIME + Duration::from_secs(2);
    let gateway = play_slowly(Topic::Configuration, lost(), over).await;
    assert_eq!(names(&gateway), [""; 0]);
    // Listed again.
    let mut rewritten = lost();
    rewritten.push(("changes after 8", batch(2, 9, vec![evacuated("east", 9)])));
    let gateway = play_slowly(Topic::Configuration, rewritten, 3 * HOLD_TIME).await;
    assert_eq!(names(&gateway), ["east"]);
    // Revoked in the new era.
    let mut revoked = lost();
    revoked.push(("changes after 8", batch(2, 9, vec![ended("east", 9)])));
    let gateway = play(Topic::Configuration, revoked).await;
    assert_eq!(names(&gateway), [""; 0]);
}

/// Guards against a hold that each list within it renews.
#[tokio::test(start_paused = true)]
async fn hold_is_not_renewed_by_lists() {
    let gateway = router("vm-1");
    tell_batch(&gateway, true, batch(1, 10, vec![evacuated("east", 9)]));
    for _ in 0..4 {
        tell_batch(&gateway, true, batch(2, 8, Vec::new()));
        advance(HOLD_TIME / 4).await;
    }
    evacuations::expire(&gateway);
    assert_eq!(names(&gateway), [""; 0]);
}

/// An evacuation that the copy contains is applied, also if it had ended before. Guards against versions of
/// two eras that are compared.
#[tokio::test(start_paused = true)]
async fn follow_applies_what_a_copy_contains() {
    let scenes = vec![
        ("list", batch(1, 10, vec![evacuated("east", 9)])),
        ("changes after 10", batch(1, 11, vec![ended("east", 11)])),
        ("changes after 11", Err(RegistryError::Compacted)),
        ("list", batch(2, 10, vec![evacuated("east", 9)])),
    ];
    let gateway = play_slowly(Topic::Configuration, scenes, 2 * HOLD_TIME).await;
    assert_eq!(names(&gateway), ["east"]);
}

/// A store that names no era shows its return by a version that goes back.
#[tokio::test(start_paused = true)]
async fn follow_holds_without_eras() {
    let unnamed = |version, entries| {
        let batch = batch(1, version, entries);
        batch.map(|batch| Batch { era: None, ..batch })
    };
    let scenes = vec![
        ("list", unnamed(10, vec![evacuated("east", 9)])),
        ("changes after 10", unnamed(8, Vec::new())),
        ("list", unnamed(8, Vec::new())),
    ];
    let held = HOLD_TIME - Duration::from_secs(1);
    let gateway = play_slowly(Topic::Configuration, scenes.clone(), held).await;
    assert_eq!(names(&gateway), ["east"]);
    let over = HOLD_TIME + Duration::from_secs(2);
    let gateway = play_slowly(Topic::Configuration, scenes, over).await;
    assert_eq!(names(&gateway), [""; 0]);
}

/// Guards against a starting router that serves requests between the configuration and the evacuations of one
/// list.
#[tokio::test(start_paused = true)]
async fn follow_takes_evacuations_with_the_configuration() {
    let configuration = Entry::Manifest(Box::new(manifest(1, Vec::new(), &[])));
    let scenes = vec![(
        "list",
        batch(1, 10, vec![configuration, evacuated("east", 9)]),
    )];
    let gateway = play(Topic::Configuration, scenes).await;
    assert!(gateway.catalog().is_some());
    gateway.servers.lock().put(placed_in("e", "east"));
    assert_eq!(chosen(&gateway), None);
}

/// Guards against requests to upstreams of evacuated data centres, one and several at once, and against ones
/// that are still left out after the end.
#[tokio::test(start_paused = true)]
async fn placement_skips_evacuated_data_centres() {
    let gateway = router("vm-1");
    let excluded = || gateway.servers.lock().is_excluded(&service(), None);
    let all = ["here", "east", "west"];
    for (index, name) in all.iter().enumerate() {
        assert!(chosen(&gateway).is_some());
        assert!(!excluded());
        tell_batch(&gateway, false, batch(1, 10, vec![evacuated(name, 10)]));
        let left: Vec<_> = all[index + 1..]
            .iter()
            .map(|name| Some((*name).to_owned()))
            .collect();
        let chosen = chosen(&gateway);
        assert!(
            left.contains(&chosen) || left.is_empty() && chosen.is_none(),
            "{chosen:?}"
        );
    }
    assert!(excluded());
    assert_eq!(metric(&gateway), 3);
    // Upstreams that are listed during the evacuation get none either.
    gateway.servers.lock().put(placed_in("new", "east"));
    assert_eq!(chosen(&gateway), None);
    tell_batch(&gateway, false, batch(1, 11, vec![ended("west", 11)]));
    assert_eq!(chosen(&gateway), Some("west".to_owned()));
    assert_eq!(metric(&gateway), 2);
}

/// Guards against streams that go on, and blocks that are waited for, at an evacuated data centre.
#[tokio::test(start_paused = true)]
async fn placement_leaves_evacuated_upstreams_out_of_waits() {
    let gateway = router("vm-1");
    let origin = Origin {
        service: service(),
        version: "v2".parse().expect("a version"),
        weights: None,
    };
    let newer = Upstream {
        version: "v2".parse().ok(),
        ..placed_in("newer", "east")
    };
    gateway.servers.lock().put(newer);
    let (service, second) = (service(), Duration::from_secs(1));
    let can_serve = || {
        let servers = gateway.servers.lock();
        servers.can_serve(&requirements(&service, Some(&origin)))
    };
    assert!(can_serve());
    for name in ["here", "west"] {
        let servers = gateway.servers.lock();
        let server = servers.get(&name.parse().expect("an id")).expect("listed");
        server.facts.record_pause("r", second, Instant::now());
    }
    let blocked = |gateway: &Gateway| {
        let servers = gateway.servers.lock();
        servers.all_blocked(&service, Duration::ZERO)
    };
    assert_eq!(blocked(&gateway), None);
    tell(&gateway, finding(1, 5, true));
    assert!(!can_serve());
    let (wait, pausing) = (second, true);
    assert_eq!(blocked(&gateway), Some(Block { wait, pausing }));
}

/// Guards against requests that wait for upstreams which were switched off during the evacuation, and against
/// immediate refusals of a service that has nothing to do with it.
#[tokio::test(start_paused = true)]
async fn exclusion_counts_upstreams_that_left() {
    let gateway = gateway("vm-1", &Store::open(1));
    let excluded = || gateway.servers.lock().is_excluded(&service(), None);
    tell(&gateway, finding(1, 5, true));
    assert!(!excluded());
    gateway.servers.lock().put(placed_in("e", "east"));
    assert!(excluded());
    gateway.servers.lock().remove(&"e".parse().expect("an id"));
    assert!(excluded());
    tell(&gateway, finding(1, 6, false));
    assert!(!excluded());
}

/// An unknown data centre has no effect, and becomes known with its first upstream, router or setting.
#[tokio::test(start_paused = true)]
async fn unknown_data_centre_has_no_effect() {
    let gateway = router("vm-1");
    tell_batch(
        &gateway,
        false,
        batch(1, 10, vec![evacuated("nowhere", 10)]),
    );
    assert_eq!(metric(&gateway), 0);
    assert!(chosen(&gateway).is_some());
    assert!(!gateway.servers.lock().is_excluded(&service(), None));
    gateway
        .evacuations
        .set_routers([zone("nowhere")].into_iter().collect());
    evacuations::review(&gateway);
    assert_eq!(metric(&gateway), 1);
    tell_batch(&gateway, false, batch(1, 11, vec![ended("nowhere", 11)]));
    assert_eq!(metric(&gateway), 0);
}

/// A router without the store learns of evacuations and their ends from others. Guards against findings that
/// are taken in the wrong order: datagrams may be late or repeated.
#[tokio::test(start_paused = true)]
async fn findings_reach_a_router_without_the_store() {
    let (first, second) = (router("vm-1"), router("vm-2"));
    let peer = "127.0.0.1:9".parse().expect("an address");
    let peer = Peer::new("vm-2", peer, second.incarnation);
    first.peers.lock().set(vec![peer], true);
    tell_batch(&first, true, batch(1, 10, vec![evacuated("east", 9)]));
    let begun = gossip::new_findings(&first);
    assert_eq!(begun.len(), 1);
    assert_eq!(gossip::new_findings(&first), []);
    gossip::receive(&second, &begun[0].1);
    assert_eq!(names(&second), ["east"]);
    tell_batch(&first, false, batch(1, 12, vec![ended("east", 11)]));
    // The first datagram is lost; the exchange repeats what it said.
    assert_eq!(gossip::new_findings(&first).len(), 1);
    for (_, findings) in gossip::all_findings(&first) {
        gossip::receive(&second, &findings);
    }
    assert_eq!(names(&second), [""; 0]);
    gossip::receive(&second, &begun[0].1);
    assert_eq!(names(&second), [""; 0]);
}

/// Guards against a change that is sent to all routers by each router that learns of it from the store.
#[tokio::test(start_paused = true)]
async fn findings_of_evacuations_go_to_few_routers() {
    let gateway = router("vm-1");
    let peer = |number: u16| {
        let address = ([127, 0, 0, 1], number).into();
        Peer::new(&format!("vm-{number}"), address, Incarnation::new(1))
    };
    gateway.peers.lock().set((2..90).map(peer).collect(), true);
    tell_batch(&gateway, true, batch(1, 10, vec![evacuated("east", 9)]));
    assert_eq!(gossip::new_findings(&gateway).len(), 4);
}

/// Guards against findings of a router that is cut off and revive an evacuation that the feed ended, also at
/// a router that started since; and against such a router that is never told.
#[tokio::test(start_paused = true)]
async fn findings_do_not_contradict_the_feed() {
    let gateway = router("vm-1");
    tell_batch(&gateway, true, batch(1, 20, Vec::new()));
    tell(&gateway, finding(1, 9, true));
    assert_eq!(names(&gateway), [""; 0]);
    let cut_off = router("vm-2");
    tell(&cut_off, finding(1, 9, true));
    evacuations::receive(&cut_off, &gateway.evacuations.findings());
    assert_eq!(names(&cut_off), [""; 0]);
    // The feed is behind.
    tell(&gateway, finding(1, 21, true));
    assert_eq!(names(&gateway), ["east"]);
    // An end that the feed's later reading contradicts.
    tell_batch(&gateway, false, batch(1, 25, vec![evacuated("east", 21)]));
    tell(&gateway, finding(1, 24, false));
    assert_eq!(names(&gateway), ["east"]);
}

/// A router that starts while others hold an evacuation that the copy lacks holds it too, and for no longer
/// than they do.
#[tokio::test(start_paused = true)]
async fn findings_tell_a_starting_router_what_a_copy_lacks() {
    let (holder, started) = (router("vm-1"), router("vm-2"));
    tell_batch(&holder, true, batch(1, 10, vec![evacuated("east", 9)]));
    tell_batch(&holder, true, batch(2, 8, Vec::new()));
    advance(HOLD_TIME / 2).await;
    tell_batch(&started, true, batch(2, 8, Vec::new()));
    evacuations::receive(&started, &holder.evacuations.findings());
    assert_eq!(names(&started), ["east"]);
    evacuations::receive(&holder, &started.evacuations.findings());
    assert_eq!(names(&holder), ["east"]);
    advance(HOLD_TIME / 2).await;
    evacuations::expire(&holder);
    assert_eq!(names(&holder), [""; 0]);
    evacuations::receive(&started, &holder.evacuations.findings());
    assert_eq!(names(&started), [""; 0]);
    evacuations::receive(&holder, &[finding(1, 9, true)]);
    assert_eq!(names(&holder), [""; 0]);
}

/// Routers exchange findings in any order, some lost or repeated, and one of them reads the store. Guards
/// against routers that don't agree in the end, by generated cases.
#[tokio::test(start_paused = true)]
async fn findings_converge_in_any_order() {
    for seed in first_seed()..first_seed() + case_count(50) {
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let routers = ["vm-1", "vm-2", "vm-3"].map(router);
        let (mut era, mut version, mut stored) = (1, 1, false);
        let mut sent: Vec<Vec<EvacuationFinding>> = Vec::new();
        for _ in 0..30 {
            version += 1;
            match random.random_range(0..6) {
                0 | 1 => {
                    stored = !stored;
                    let entry = if stored { evacuated } else { ended };
                    tell_batch(
                        &routers[0],
                        false,
                        batch(era, version, vec![entry("east", version)]),
                    );
                }
                2 => {
                    (era, version, stored) = (era + 1, version / 2, false);
                    tell_batch(&routers[0], true, batch(era, version, Vec::new()));
                }
                _ => {}
            }
            let from = random.random_range(0..3);
            sent.push(routers[from].evacuations.findings());
            sent.shuffle(&mut random);
            evacuations::receive(&routers[random.random_range(0..3)], &sent[0]);
        }
        advance(HOLD_TIME).await;
        for _ in 0..2 {
            evacuations::expire(&routers[0]);
            for router in &routers[1..] {
                evacuations::receive(&routers[0], &router.evacuations.findings());
                evacuations::receive(router, &routers[0].evacuations.findings());
            }
            advance(HOLD_TIME).await;
        }
        let expected: &[&str] = if stored { &["east"] } else { &[] };
        for router in &routers {
            assert_eq!(names(router), expected, "seed {seed}");
        }
    }
}

/// Guards against a change of the wire format, which routers of other builds read: a finding without an era is
/// read, unknown fields are ignored, and no field is sent without evacuations.
#[test]
fn findings_wire_format() {
    let text = r#"{"evacuations":[{"data_centre":"east","version":7,"active":true,"new":1}]}"#;
    let read: Findings = serde_json::from_str(text).expect("findings");
    let expected = EvacuationFinding {
        era: None,
        ..finding(1, 7, true)
    };
    assert_eq!(read.evacuations, [expected]);
    let sent = serde_json::to_value(Findings::default()).expect("JSON");
    assert_eq!(sent.get("evacuations"), None);
}
