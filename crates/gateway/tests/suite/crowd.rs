//! What a crowded router refuses, and what it knows of its neighbours.

use std::time::Duration;

use fescue_gateway::crowd::Crowd;
use fescue_gateway::peers::{Peer, Peers};
use fescue_policy::crowding::Usage;

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
