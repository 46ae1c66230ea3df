//! Streams of a route that leads to two services, or to another one than when they began.

use fescue_site::engine::Upstream;
use fescue_site::manifest::ENGINES;
use fescue_site::resuming::Stream;
use serde_json::{Value, json};

use super::{
    Fleet, MAX_ATTEMPTS, PROPAGATION, assert_continued, assert_none_joined, assert_refused,
};

/// Name of the second service, whose upstreams have the same version as those of the first.
const OTHER: &str = "others";

/// The number of streams of a test.
const STREAMS: usize = 60;

/// Leads the resumable route to the two services with these chances, in percent.
fn lead(wire: &mut Value, engines: u32, others: u32) {
    let mut service = wire["services"][0].clone();
    service["name"] = json!(OTHER);
    wire["services"]
        .as_array_mut()
        .expect("services")
        .push(service);
    let route = wire["routes"][0].as_object_mut().expect("a route");
    route.remove("service");
    route.insert(
        "traffic_split".to_owned(),
        json!([
            { "service": ENGINES, "weight": engines },
            { "service": OTHER, "weight": others },
        ]),
    );
}

/// Starts routers before three engines of each of two services. Their streams show the service, and their
/// entries name the same version.
async fn open(name: &str) -> Fleet {
    let engines = [("a-0", "a"), ("a-1", "a"), ("a-2", "a")];
    let others = [("b-0", "b"), ("b-1", "b"), ("b-2", "b")];
    let mut fleet = Fleet::open(name, 2, &[engines, others].concat()).await;
    let service = |engine: &Upstream| {
        if engine.version == "a" {
            ENGINES
        } else {
            OTHER
        }
    };
    for engine in &fleet.engines {
        fleet.register_at(service(engine), engine, &json!({ "version": "v1" }));
    }
    let teams = [fleet.site.team.clone()];
    fleet.publish(&teams, |wire| lead(wire, 70, 30));
    tokio::time::sleep(PROPAGATION).await;
    fleet
}

/// Guards against a service that is drawn anew for each attempt, whose id is another one.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_streams_at_the_service_that_began() {
    let mut fleet = open("split").await;
    let streams = fleet.begin(0, STREAMS).await;
    let begun = streams
        .iter()
        .filter(|stream| stream.version() == Some("b"));
    let begun = begun.count();
    assert!((6..STREAMS - 20).contains(&begun), "{begun} of {STREAMS}");
    let streams = fleet.resume(streams, &[0, 1], MAX_ATTEMPTS).await;
    assert_continued(&streams);
}

/// Guards against streams that go on at the route's new service, or at one to which it leads no longer.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refuses_streams_whose_route_changed() {
    let mut fleet = open("route-changed").await;
    let streams = fleet.begin(0, STREAMS).await;
    let teams = [fleet.site.team.clone()];
    fleet.publish(&teams, |wire| lead(wire, 0, 100));
    tokio::time::sleep(PROPAGATION).await;
    let (moved, kept): (Vec<_>, Vec<_>) = streams
        .into_iter()
        .partition(|stream| stream.version() == Some("a"));
    let moved = fleet.resume(moved, &[0, 1], 1).await;
    let kept = fleet.resume(kept, &[0, 1], MAX_ATTEMPTS).await;
    assert_none_joined(&moved);
    moved.iter().for_each(assert_refused);
    assert_continued(&kept);
    assert!(kept.iter().all(Stream::is_complete), "{kept:#?}");
}
