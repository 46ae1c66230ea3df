//! What a crowded router refuses, and what it knows of its neighbours.

use std::time::Duration;

use fescue_gateway::crowd::Crowd;
use fescue_gateway::peers::{Peer, Peers};
use fescue_policy::crowding::Usage;

use crate::site::{Store, gateway_with, settings_text};

const TENTH: Duration = Duration::from_millis(100);

const FULL: Usage = Usage {
    processor: 1.0,
    link: 0.0,
    requests: 0.0,
};

fn peer(vm: &str, near: bool, busy_percent: u8, withdrawn: bool) -> Peer {
    let address = "127.0.0.1:9".parse().expect("an address");
    let incarnation = "0000000000000007".parse().expect("an incarnation");
    Peer::new(vm, address, incarnation)
        .placed(near)
        .using(busy_percent, withdrawn)
}

#[test]
fn neighbours_are_those_of_the_data_centre() {
    let mut peers = Peers::open(&"vm-0".parse().expect("a name"));
    let list = vec![
        peer("vm-1", true, 20, false),
        peer("vm-2", true, 40, false),
        peer("vm-3", true, 90, true),
        peer("vm-4", false, 99, true),
    ];
    peers.set(list, true);
    let near = peers.near();
    assert_eq!((near.routers, near.withdrawn), (4, 1));
    assert!((near.busy - 0.3).abs() < 1e-9, "{near:?}");

    // One of two routers comes before the other.
    let mut other = Peers::open(&"vm-3".parse().expect("a name"));
    other.set(vec![peer("vm-0", true, 20, true)], true);
    assert_eq!(near.before + other.near().before, 1);
}

#[test]
fn crowded_router_withdraws_and_refuses() {
    let crowd = Crowd::default();
    let mut peers = Peers::open(&"own".parse().expect("a name"));
    let others = (0..7).map(|index| peer(&format!("vm-{index}"), true, 10, false));
    peers.set(others.collect(), true);
    let team = "small".parse().expect("a team");
    let mut refused = 0;
    for _ in 0..30 {
        for _ in 0..50 {
            refused += u32::from(crowd.admit(Some(&team), 0).is_err());
        }
        crowd.observe(FULL, TENTH, peers.near());
    }
    assert!(crowd.is_withdrawn());
    assert!(refused > 0, "nothing was refused");
    assert!(!crowd.awaits_removal(), "the balancer knows after 3 s");
}

/// A request that is refused while the link is full comes back when the balancer has removed the router, not
/// earlier, and not together with the others. Guards against bodies of refused requests that fill the link again
/// every 50 ms, or that of the next router all at once.
#[tokio::test(start_paused = true)]
async fn refusal_at_full_link_names_the_removal() {
    let mut settings = settings_text("vm-0");
    settings["link_mbps"] = 10.into();
    settings["crowding"] = true.into();
    let gateway = gateway_with(&settings, &Store::open(1));
    let usual = Duration::from_millis(50);
    assert_eq!(gateway.retry_after(usual), usual);
    for _ in 0..20 {
        gateway.link.count_read(125_000);
        gateway.link.sample(TENTH);
    }
    let times: Vec<_> = (0..20).map(|_| gateway.retry_after(usual)).collect();
    let (first, last) = (times.iter().min(), times.iter().max());
    assert!(first >= Some(&Duration::from_secs(1)), "{first:?}");
    let spread = last.zip(first).map(|(last, first)| *last - *first);
    assert!(spread > Some(Duration::from_secs(2)), "{spread:?}");

    let mut peers = Peers::open(&"own".parse().expect("a name"));
    let others = (0..7).map(|index| peer(&format!("vm-{index}"), true, 10, false));
    peers.set(others.collect(), true);
    let full = Usage {
        processor: 0.1,
        link: 1.0,
        requests: 0.9,
    };
    while !gateway.crowd.is_withdrawn() {
        gateway.crowd.observe(full, TENTH, peers.near());
    }
    assert!(gateway.retry_after(usual) > Duration::from_secs(2));
    for _ in 0..23 {
        gateway.crowd.observe(full, TENTH, peers.near());
    }
    let least = (0..20).map(|_| gateway.retry_after(usual)).min();
    assert!(least < Some(Duration::from_millis(500)), "{least:?}");
}
