//! Generated loads on the routers of one data centre, and the decisions of a single one.

mod data_centre;

use std::time::Duration;

use data_centre::{Caller, DataCentre};
use fescue_policy::crowding::{Arrival, Crowding, Neighbours, Usage};

/// Sixty small routers and three of four times their speed, as in the users' largest data centre.
fn speeds() -> Vec<f64> {
    let mut speeds = vec![4.0; 3];
    speeds.resize(63, 1.0);
    speeds
}

/// Callers with one or two requests a second each.
fn small_callers() -> Vec<Caller> {
    (0..128)
        .map(|index| Caller::steady(100 + index % 39, 1.5))
        .collect()
}

/// One caller sends as many requests as three small routers can serve; the balancer sends all of its
/// connections to one.
fn one_large_caller() -> Vec<Caller> {
    let mut callers = small_callers();
    callers.push(Caller::steady(1, 300.0));
    callers
}

/// Of three changes of a router, two are withdrawals: it must have been calm for 20 s in between.
const MAX_CHANGES: u32 = 3;

/// A quarter of 63 routers.
const MAX_WITHDRAWN: usize = 15;

/// 62 calm routers.
const NEIGHBOURS: Neighbours = Neighbours {
    routers: 63,
    missing: 0,
    withdrawn: 0,
    before: 0,
    calm_before: 0,
    busy: 0.1,
};

/// Half of 63 routers.
const MAX_REMOVED: usize = 31;

#[test]
fn large_caller_is_served_by_several_routers() {
    let before = DataCentre::open(&speeds(), one_large_caller(), false).run(34.0, 0.0);
    let after = DataCentre::open(&speeds(), one_large_caller(), true).run(34.0, 0.0);
    assert!(before.share(1) < 0.3, "{before}");
    assert!(after.share(1) >= 0.7, "{after}");
    assert!(after.calm_from <= 15.0, "{after}");
    assert!(after.changes <= MAX_CHANGES, "{after}");
    assert!(after.withdrawn <= MAX_WITHDRAWN, "{after}");
    assert!(after.removed <= MAX_REMOVED, "{after}");
}

/// The caller of a team sends many times its usual for six seconds.
#[test]
fn hot_team_leaves_small_teams_served() {
    let hot = Caller {
        span: (10.0, 16.0),
        ..Caller::steady(1, 300.0)
    };
    let callers = || [small_callers(), vec![hot]].concat();
    let before = DataCentre::open(&speeds(), callers(), false).run(34.0, 10.0);
    let after = DataCentre::open(&speeds(), callers(), true).run(34.0, 10.0);
    assert!(after.share(1) > before.share(1) + 0.2, "{before}\n{after}");
    for team in 100..139 {
        assert!(after.share(team) >= 0.9, "team {team}: {after}");
    }
}

/// All routers are offered a fifth more than the 9,000 requests a second that they can serve: there is
/// nowhere to go.
#[test]
fn routers_that_are_all_crowded_stay() {
    let callers = || (0..630).map(|index| Caller::steady(100 + index % 39, 17.0));
    let before = DataCentre::open(&speeds(), callers().collect(), false).run(20.0, 0.0);
    let after = DataCentre::open(&speeds(), callers().collect(), true).run(20.0, 0.0);
    assert!(after.withdrawn <= MAX_WITHDRAWN, "{after}");
    assert!(after.removed <= MAX_REMOVED, "{after}");
    assert!(after.changes <= MAX_CHANGES, "{after}");
    assert!(after.total() >= 0.5 * 9000.0 / (630.0 * 17.0), "{after}");
    assert!(after.total() > before.total(), "{before}\n{after}");
}

/// A crowded router serves the urgent requests of its large team before the others.
#[test]
fn urgent_requests_come_first() {
    let mut crowding = Crowding::default();
    let mut served = [0; 3];
    for step in 0..1000_u32 {
        for rank in 0..3 {
            let arrival = Arrival { team: 1, rank };
            served[usize::from(rank)] += u32::from(crowding.admit(arrival).is_ok());
        }
        if step.is_multiple_of(10) {
            observe(&mut crowding, 0.95, 0.0);
        }
    }
    assert!(served[0] > served[1] && served[1] > served[2], "{served:?}");
}

/// A full link withdraws the router as a full processor does. Requests are limited only if it is still full
/// when the balancer has removed the router: refused ones use the link as well, and come back.
#[test]
fn full_link_withdraws_and_limits_if_it_stays_full() {
    let mut crowding = Crowding::default();
    for tenth in 0..70 {
        for _ in 0..20 {
            let _ = crowding.admit(Arrival { team: 1, rank: 0 });
        }
        observe(&mut crowding, 0.1, 1.0);
        if tenth < 50 {
            assert_eq!(crowding.limit(), None, "{tenth}");
        }
    }
    assert!(crowding.is_withdrawn());
    assert!(crowding.limit().is_some());
}

/// The limit leaves to answers what bodies leave of the link, also if these fill it. Guards against a limit
/// that falls to its minimum as it doesn't change what it measures.
#[test]
fn limit_of_full_link_leaves_its_rest_to_answers() {
    for (requests, least) in [(0.5, 70.0), (0.9, 25.0), (1.0, 25.0)] {
        let mut crowding = Crowding::default();
        for _ in 0..200 {
            let admitted = (0..20)
                .filter(|_| crowding.admit(Arrival { team: 1, rank: 0 }).is_ok())
                .count();
            // An answer takes half a hundredth of what the link carries in a second.
            let usage = Usage {
                processor: 0.1,
                link: requests + 0.005 * admitted as f64 * 10.0,
                requests,
            };
            crowding.observe(usage, Duration::from_millis(100), NEIGHBOURS);
        }
        let limit = crowding.limit().unwrap_or(f64::INFINITY);
        assert!(limit >= least, "{requests}: {limit}");
    }
}

/// A VM that stood still for some seconds has not been busy.
#[test]
fn standstill_changes_nothing() {
    let mut crowding = Crowding::default();
    observe(&mut crowding, 0.1, 0.0);
    for _ in 0..30 {
        let _ = crowding.admit(Arrival { team: 1, rank: 0 });
    }
    let usage = Usage {
        processor: 1.0,
        link: 0.0,
        requests: 0.0,
    };
    crowding.observe(usage, Duration::from_secs(4), NEIGHBOURS);
    assert!(!crowding.is_withdrawn() && crowding.limit().is_none());
    assert!(crowding.busy() < 0.1, "{}", crowding.busy());
}

/// A withdrawn router takes new connections again when it has been calm for 20 s, not before.
#[test]
fn withdrawn_router_returns_after_calm() {
    let mut crowding = Crowding::default();
    while !crowding.is_withdrawn() {
        observe(&mut crowding, 1.0, 0.0);
    }
    let calm = (0..).take_while(|_| observe(&mut crowding, 0.0, 0.0) != Some(false));
    let count = calm.count();
    assert!((200..220).contains(&count), "{count} tenths of a second");
}

/// A refused request comes again when the balancer knows that the router has withdrawn; until then its
/// caller keeps the connection.
#[test]
fn refusal_names_time_of_removal() {
    let mut crowding = Crowding::default();
    let mut refused = Vec::new();
    for _ in 0..40 {
        for _ in 0..100 {
            refused.extend(crowding.admit(Arrival { team: 1, rank: 0 }).err());
        }
        observe(&mut crowding, 1.0, 0.0);
    }
    assert!(refused.iter().any(|refused| !refused.reconnect));
    assert!(refused.last().is_some_and(|refused| refused.reconnect));
    let longest = refused.iter().map(|refused| refused.retry_after).max();
    assert!(longest <= Some(Duration::from_millis(2200)), "{longest:?}");
}

/// The limit of a router whose link stays full leaves room in its processor as well. Guards against work that
/// waits for a full processor because the link would carry more.
#[test]
fn limit_of_full_link_counts_a_full_processor() {
    let mut crowding = Crowding::default();
    let mut late = 0;
    for tenth in 0..300 {
        let admitted = (0..20)
            .filter(|_| crowding.admit(Arrival { team: 1, rank: 0 }).is_ok())
            .count();
        // Bodies fill the link; the processor can serve twenty requests a second.
        let rate = admitted as f64 * 10.0;
        let usage = Usage {
            processor: rate / 20.0,
            link: 1.0 + 0.005 * rate,
            requests: 1.0,
        };
        crowding.observe(usage, Duration::from_millis(100), NEIGHBOURS);
        late += if tenth >= 200 { admitted } else { 0 };
    }
    assert!(late <= 200, "{late} requests in 10 s");
}

/// A router with a full link withdraws although a quarter has, never beyond a half, and the balancer removes it:
/// callers leave it 2.2 s later as well. Guards against callers that stay at a router with a full link, and
/// against a data centre with fewer than half of its routers in rotation.
#[test]
fn callers_leave_router_that_withdraws_for_its_link() {
    let quarter = Neighbours {
        withdrawn: 15,
        ..NEIGHBOURS
    };
    let usage = Usage {
        processor: 1.0,
        link: 1.0,
        requests: 0.0,
    };
    let (mut crowding, mut refused) = (Crowding::default(), Vec::new());
    for _ in 0..40 {
        for _ in 0..100 {
            refused.extend(crowding.admit(Arrival { team: 1, rank: 0 }).err());
        }
        crowding.observe(usage, Duration::from_millis(100), quarter);
    }
    assert!(crowding.is_withdrawn());
    assert!(refused.first().is_some_and(|refused| !refused.reconnect));
    assert!(refused.last().is_some_and(|refused| refused.reconnect));

    let most = Neighbours {
        withdrawn: 31,
        ..NEIGHBOURS
    };
    let crowding = observe_for(40, usage, most);
    assert!(!crowding.is_withdrawn());
    assert!(crowding.awaits_removal());
}

/// What a router knows of the others comes through its link. Guards against one that never withdraws as it
/// believes that too many have, because nothing newer reaches it.
#[test]
fn router_with_long_full_link_withdraws_up_to_half() {
    let usage = Usage {
        processor: 0.1,
        link: 1.0,
        requests: 0.9,
    };
    for (withdrawn, withdraws) in [(25, true), (30, true), (31, false)] {
        let neighbours = Neighbours {
            withdrawn,
            before: withdrawn,
            ..NEIGHBOURS
        };
        let crowding = observe_for(100, usage, neighbours);
        assert_eq!(crowding.is_withdrawn(), withdraws, "{withdrawn} others");
    }
}

/// Routers that have failed count as away: the balancer counts them. Guards against fewer than half of a data
/// centre in rotation after some have died.
#[test]
fn failed_routers_count_as_away() {
    let usage = Usage {
        processor: 0.1,
        link: 0.8,
        requests: 0.5,
    };
    for (withdrawn, withdraws) in [(17, true), (18, false)] {
        let neighbours = Neighbours {
            routers: 53,
            missing: 10,
            withdrawn,
            ..NEIGHBOURS
        };
        let crowding = observe_for(30, usage, neighbours);
        assert_eq!(crowding.is_withdrawn(), withdraws, "{withdrawn} others");
    }
}

/// While nearly as many routers have withdrawn as may, the first calm ones return after 3 s. Guards against a
/// large caller that stays at a router with a small link because no other may withdraw.
#[test]
fn calm_router_returns_early_if_others_need_to_withdraw() {
    for (withdrawn, calm_before, tenths) in [(15, 0, 200), (27, 0, 30), (27, 1, 200)] {
        let neighbours = Neighbours {
            withdrawn,
            calm_before,
            ..NEIGHBOURS
        };
        let mut crowding = Crowding::default();
        crowding.resume();
        let idle = Usage::default();
        let calm = (0..)
            .take_while(|_| {
                crowding
                    .observe(idle, Duration::from_millis(100), neighbours)
                    .is_none()
            })
            .count();
        assert!(
            calm.abs_diff(tenths) < 5,
            "{withdrawn}: {calm} tenths of a second"
        );
    }
}

/// A restarted router whose previous process had withdrawn must be calm first, unless four tenths of the
/// others stay away. Guards against callers that fill the same small routers one after another again when
/// all have restarted.
#[test]
fn restarted_router_stays_withdrawn_until_calm() {
    let mut crowding = Crowding::default();
    crowding.resume();
    assert!(crowding.is_withdrawn());
    let calm = (0..).take_while(|_| observe(&mut crowding, 0.0, 0.0) != Some(false));
    let count = calm.count();
    assert!((195..205).contains(&count), "{count} tenths of a second");

    let idle = Usage {
        processor: 0.0,
        link: 0.0,
        requests: 0.0,
    };
    for (withdrawn, changed) in [(24, None), (25, Some(false))] {
        let neighbours = Neighbours {
            withdrawn,
            before: withdrawn,
            ..NEIGHBOURS
        };
        let mut crowding = Crowding::default();
        crowding.resume();
        let seen = crowding.observe(idle, Duration::from_millis(100), neighbours);
        assert_eq!(seen, changed, "{withdrawn} others");
    }
}

/// Observes the same use for some tenths of a second on a new router.
fn observe_for(tenths: u32, usage: Usage, neighbours: Neighbours) -> Crowding {
    let mut crowding = Crowding::default();
    for _ in 0..tenths {
        crowding.observe(usage, Duration::from_millis(100), neighbours);
    }
    crowding
}

/// Observes a tenth of a second on one of 63 routers.
fn observe(crowding: &mut Crowding, processor: f64, link: f64) -> Option<bool> {
    let usage = Usage {
        processor,
        link,
        requests: 0.0,
    };
    crowding.observe(usage, Duration::from_millis(100), NEIGHBOURS)
}
