//! Tests for the selection of a team's home.

use fescue_policy::homes::{MAX_CANDIDATES, Role, rank};

/// The number of routers in the largest deployment that the design supports.
const ROUTERS: u64 = 650;

fn members() -> Vec<u64> {
    (0..ROUTERS).collect()
}

#[test]
fn rank_is_independent_of_member_order() {
    let members = members();
    let mut reversed = members.clone();
    reversed.reverse();
    for key in 0..100 {
        let named =
            |list: &[u64]| -> Vec<u64> { rank(key, list).into_iter().map(|at| list[at]).collect() };
        assert_eq!(named(&members), named(&reversed));
    }
}

#[test]
fn rank_moves_only_the_keys_of_a_removed_router() {
    let members = members();
    for key in 0..200 {
        let first = members[rank(key, &members)[0]];
        let second = members[rank(key, &members)[1]];
        let gone = 17;
        let rest: Vec<_> = members.iter().copied().filter(|m| *m != gone).collect();
        let now = rest[rank(key, &rest)[0]];
        let expected = if first == gone { second } else { first };
        assert_eq!(now, expected);
    }
}

/// With 850 teams on 650 routers, no router is the home of more than eight.
#[test]
fn rank_spreads_teams_over_routers() {
    let members = members();
    let mut homes = vec![0; members.len()];
    for team in 0..850_u64 {
        homes[rank(team.wrapping_mul(0x9e37_79b9_7f4a_7c15), &members)[0]] += 1;
    }
    assert!(homes.iter().max() <= Some(&8), "{homes:?}");
}

#[test]
fn rank_few_routers() {
    assert_eq!(rank(7, &[]), Vec::<usize>::new());
    assert_eq!(rank(7, &[3]), vec![0]);
    assert_eq!(rank(7, &members()).len(), MAX_CANDIDATES);
    assert_eq!(Role::of_rank(0), Role::Home);
    assert_eq!(Role::of_rank(2), Role::Other);
}
