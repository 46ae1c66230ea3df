//! Tests for cold upstreams: reports, and the bound on requests over all routers.

use std::collections::BinaryHeap;
use std::time::Duration;

use fescue_core::hash;
use fescue_policy::homes;
use fescue_policy::rate_limit::{Claim, RequestRate};
use fescue_policy::warmup::{Cold, Grants, LAST_RANK, PERMIT_TTL, Report, grant_rate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NOW: Duration = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

fn report(started: u64, sequence: u64, remaining: Duration) -> Report {
    Report {
        started: Some(started),
        sequence: Some(sequence),
        remaining,
    }
}

#[test]
fn record_keeps_the_latest_end() {
    let mut cold = Cold::default();
    assert_eq!(cold.remaining(NOW), None);
    assert!(cold.record(report(1, 1, 3 * SECOND), NOW));
    assert!(!cold.record(report(1, 2, SECOND), NOW + SECOND), "no news");
    assert_eq!(cold.remaining(NOW + SECOND), Some(2 * SECOND));
    let late = NOW + 2 * SECOND;
    assert!(cold.record(report(1, 3, 3 * SECOND), late), "cold again");
    assert_eq!(cold.remaining(late), Some(3 * SECOND));
    assert_eq!(cold.remaining(late + 3 * SECOND), None);
}

/// An entry says the same whenever it is read. Guards against a warm upstream that each new reading makes cold.
#[test]
fn record_ignores_entries_that_are_read_again() {
    let mut cold = Cold::default();
    cold.record(report(1, 5, 3 * SECOND), NOW);
    let later = NOW + 10 * SECOND;
    for sequence in [5, 4] {
        assert!(!cold.record(report(1, sequence, 3 * SECOND), later));
        assert_eq!(cold.remaining(later), None);
    }
}

/// Guards against an upstream that an old entry, or one of the process before, makes warm early.
#[test]
fn record_of_an_old_process_ends_no_cold_time() {
    let mut cold = Cold::default();
    cold.record(report(1, 900, Duration::ZERO), NOW);
    assert!(cold.record(report(2, 1, 3 * SECOND), NOW), "a new start");
    assert!(!cold.record(report(1, 901, Duration::ZERO), NOW + SECOND));
    assert!(!cold.record(report(2, 1, Duration::ZERO), NOW + SECOND));
    assert_eq!(cold.remaining(NOW + SECOND), Some(2 * SECOND));
}

/// Guards against a cold upstream that a late report of its earlier process makes cold for longer.
#[test]
fn record_ignores_the_former_process() {
    let mut cold = Cold::default();
    cold.record(report(2, 1, SECOND), NOW);
    assert!(!cold.record(report(1, 7, 60 * SECOND), NOW));
    assert_eq!(cold.remaining(NOW + SECOND), None);
}

/// Guards against a clock of an upstream that is set back: its later starts must count.
#[test]
fn forget_process_accepts_an_earlier_start() {
    let mut cold = Cold::default();
    cold.record(report(9, 9, Duration::ZERO), NOW);
    cold.forget_process();
    assert!(cold.record(report(1, 1, SECOND), NOW));
}

#[test]
fn record_accepts_reports_without_a_number() {
    let mut cold = Cold::default();
    let unnumbered = Report {
        sequence: None,
        ..report(1, 0, SECOND)
    };
    cold.record(report(1, 5, Duration::ZERO), NOW);
    assert!(cold.record(unnumbered, NOW));
    assert_eq!(cold.remaining(NOW), Some(SECOND));
    assert!(!cold.record(report(1, 5, 9 * SECOND), NOW), "still known");
}

/// Without a start time, a lower number may be that of a successor. Guards against its report being missed.
#[test]
fn record_trusts_no_number_without_a_start_time() {
    let numbered = |sequence, remaining| Report {
        started: None,
        ..report(1, sequence, remaining)
    };
    let mut cold = Cold::default();
    cold.record(numbered(500, Duration::ZERO), NOW);
    assert!(!numbered(1, SECOND).is_numbered());
    assert!(cold.record(numbered(1, SECOND), NOW));
}

#[test]
fn mark_and_report_are_apart() {
    let mut cold = Cold::default();
    cold.mark(3 * SECOND, NOW);
    assert_eq!(cold.remaining(NOW), Some(3 * SECOND));
    assert_eq!(cold.report(NOW), None, "nothing was reported");
    cold.record(report(1, 1, SECOND), NOW);
    let told = cold.report(NOW + 400 * MS).expect("a report");
    assert_eq!(told, report(1, 1, 600 * MS));
    assert_eq!(cold.report(NOW + SECOND), None);
    assert_eq!(cold.remaining(NOW + SECOND), Some(2 * SECOND));
}

/// Guards against limits so strict that a cold upstream idles.
#[test]
fn grant_rate_is_half_of_the_rate_at_least() {
    for per_second in [1.0, 2.0, 4.0, 16.0, 100.0] {
        let granted = grant_rate(rate(per_second));
        assert!(granted >= per_second / 2.0 && granted <= per_second);
    }
    assert!(grant_rate(rate(0.2)) > 0.0);
}

/// Guards against a fleet of which many routers grant when the first home is away.
#[test]
fn grant_by_other_routers_is_single() {
    let claim = Claim { team: 1, rank: 0 };
    let (limit, later) = (rate(16.0), NOW + 2 * SECOND);
    for rank in [Some(1), Some(LAST_RANK)] {
        let mut grants = Grants::open(NOW);
        assert!(grants.grant(claim, limit, rank, NOW + SECOND).is_err());
        assert!(grants.grant(claim, limit, rank, later).is_ok());
        let denial = grants.grant(claim, limit, rank, later + SECOND);
        assert!(denial.is_err_and(|denial| denial.empty));
    }
    for rank in [Some(LAST_RANK + 1), None] {
        let mut grants = Grants::open(NOW);
        assert!(grants.grant(claim, limit, rank, later).is_err());
    }
}

/// Guards against refunds, or repeated ones, that add up to a burst.
#[test]
fn put_back_adds_up_to_no_burst() {
    let claim = Claim { team: 1, rank: 0 };
    let mut grants = Grants::open(NOW);
    for _ in 0..100 {
        grants.put_back(rate(16.0));
    }
    let granted = (0..100).filter(|_| grants.grant(claim, rate(16.0), Some(0), NOW).is_ok());
    assert_eq!(granted.count(), 2);
}

/// What goes wrong in a simulated fleet.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// Whether routers restart, the homes among them.
    restarts: bool,
    /// The percentage of pairs of routers that don't reach each other.
    silent_percent: u32,
    /// Whether half of the routers don't list the first home.
    split: bool,
    /// The percentage of granted requests that are not sent and whose permits go back.
    unsent_percent: u32,
}

/// The routers of one simulated fleet, each with its grants.
struct Fleet {
    members: Vec<u64>,
    grants: Vec<Grants>,
    /// The ranking by the routers that list all others, and by those that miss the first home.
    rankings: [Vec<usize>; 2],
    trouble: Trouble,
}

const KEY: u64 = 7;

impl Fleet {
    fn open(routers: usize, trouble: Trouble) -> Self {
        let name = |index: usize| hash::digest64(format!("vm-{index}").as_bytes());
        let members: Vec<_> = (0..routers).map(name).collect();
        let all = homes::order(KEY, &members, homes::MAX_DRAWERS);
        let without = members.iter().map(|member| match *member {
            member if trouble.split && member == members[all[0]] => None,
            member => Some(member),
        });
        let (places, known): (Vec<_>, Vec<_>) = without
            .enumerate()
            .filter_map(|(place, member)| Some((place, member?)))
            .unzip();
        let less = homes::order(KEY, &known, homes::MAX_DRAWERS).into_iter();
        Self {
            grants: vec![Grants::open(NOW); routers],
            rankings: [all, less.map(|place| places[place]).collect()],
            members,
            trouble,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let pair = self.members[from.min(to)] ^ self.members[from.max(to)].rotate_left(7);
        pair % 100 >= u64::from(self.trouble.silent_percent)
    }

    /// Returns a router's ranking of the homes. The first home lists itself.
    fn ranking(&self, router: usize) -> &[usize] {
        let misses = self.rankings[0][0] != router && router % 2 == 1;
        &self.rankings[usize::from(misses && self.trouble.split)]
    }

    fn grant(&mut self, home: usize, claim: Claim, rate: RequestRate, now: Duration) -> bool {
        let rank = self.ranking(home).iter().position(|place| *place == home);
        self.grants[home].grant(claim, rate, rank, now).is_ok()
    }

    /// Returns who granted that a router sends a request; `None` if nobody did.
    fn ask(&mut self, router: usize, rate: RequestRate, now: Duration) -> Option<usize> {
        let claim = Claim {
            team: router as u64 % 5,
            rank: (router % 3) as u8,
        };
        let homes = self.ranking(router).iter().take(2).copied();
        let homes: Vec<_> = homes.collect();
        let reached = |home: &usize| *home == router || self.reaches(router, *home);
        let granter = homes.into_iter().find(reached).unwrap_or(router);
        self.grant(granter, claim, rate, now).then_some(granter)
    }
}

/// Time for which a fleet is played: four times the warm-up in use.
const PLAY_TIME: Duration = Duration::from_secs(12);

/// Plays all routers asking as often as they can for some seconds; returns when requests arrived.
fn play(routers: usize, rate: RequestRate, trouble: Trouble, seed: u64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::open(routers, trouble);
    let mut arrivals = BinaryHeap::new();
    let end = NOW + PLAY_TIME;
    let (mut now, mut restart) = (NOW, NOW + 2 * SECOND);
    while now < end {
        now += rng.random_range(1..16) * MS;
        if trouble.restarts && now >= restart {
            // One of the homes starts anew, at once.
            let home = fleet.rankings[0][rng.random_range(0..2) % routers];
            fleet.grants[home] = Grants::open(now);
            restart = now + 2 * SECOND;
        }
        let router = rng.random_range(0..routers);
        let Some(granter) = fleet.ask(router, rate, now) else {
            continue;
        };
        if rng.random_range(0..100) < trouble.unsent_percent {
            fleet.grants[granter].put_back(rate);
            continue;
        }
        // Permits are used until they expire, and latencies differ by 50 ms.
        let delay = (PERMIT_TTL + 50 * MS).mul_f64(rng.random_range(0.0..1.0));
        arrivals.push(now + delay);
    }
    arrivals.into_sorted_vec()
}

fn busiest_second(arrivals: &[Duration]) -> usize {
    let in_window = |index: usize| {
        let end = arrivals[index] + SECOND;
        arrivals[index..].iter().filter(|at| **at < end).count()
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or_default()
}

fn assert_bound(trouble: Trouble) {
    for routers in [1, 2, 3, 5, 8, 30, 88, 300] {
        for per_second in [0.5, 16.0, 60.0] {
            for seed in 0..2 {
                let arrivals = play(routers, rate(per_second), trouble, seed);
                let most = busiest_second(&arrivals);
                let bound = per_second * 1.5 + 5.0;
                assert!(
                    most as f64 <= bound,
                    "{most} of {bound}: {routers} routers, {per_second}/s, seed {seed}, {trouble:?}"
                );
            }
        }
    }
}

/// Guards against a cold upstream that gets more than it tolerates while nothing is wrong, or next to nothing.
#[test]
fn fleet_keeps_to_the_bound_and_uses_it() {
    assert_bound(Trouble::default());
    for routers in [1, 2, 88, 300] {
        let arrivals = play(routers, rate(16.0), Trouble::default(), 1);
        let used = arrivals.len() as f64 / PLAY_TIME.as_secs_f64();
        assert!(used >= 8.0, "{used} requests a second, {routers} routers");
    }
}

/// Guards against homes that grant anew what they granted before their restart.
#[test]
fn fleet_keeps_to_the_bound_while_homes_restart() {
    assert_bound(Trouble {
        restarts: true,
        ..Trouble::default()
    });
}

/// Guards against many routers that each send a little because no home answers them.
#[test]
fn fleet_keeps_to_the_bound_while_routers_are_silent() {
    for silent_percent in [10, 50, 100] {
        assert_bound(Trouble {
            silent_percent,
            ..Trouble::default()
        });
    }
}

/// Guards against two routers that both act as the home.
#[test]
fn fleet_keeps_to_the_bound_while_routers_disagree() {
    assert_bound(Trouble {
        split: true,
        ..Trouble::default()
    });
}

/// Guards against permits that are given back and lead to more requests than were granted.
#[test]
fn fleet_keeps_to_the_bound_while_permits_go_back() {
    assert_bound(Trouble {
        unsent_percent: 40,
        ..Trouble::default()
    });
}

/// Guards against causes that each stay within the bound and break it together.
#[test]
fn fleet_keeps_to_the_bound_in_all_trouble() {
    assert_bound(Trouble {
        restarts: true,
        silent_percent: 30,
        split: true,
        unsent_percent: 20,
    });
}
