//! The budgets of 295 routers and 40 teams, driven by the requests of the users' large site without a
//! network.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_gateway::budget::{Request, Shortage};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::mesh::{Counts, Fleet};

const ROUTERS: usize = 295;

const TEAMS: usize = 40;

/// Requests a second that take tokens.
const RATE: f64 = 900.0;

/// The time of the day that the prepaid tokens are for.
const DAY: Duration = Duration::from_secs(34);

/// The ratio of the prepaid tokens to those that the day's requests take on average.
const PREPAID_RATIO: f64 = 1.3;

/// Time from the start of the routers to the first request.
const LEAD: Duration = Duration::from_secs(5);

/// A kind of request: its share, its prompt, and its output on average and at most.
const KINDS: [(f64, u64, u64, u64); 3] = [
    (0.25, 12_000, 380, 1_120),
    (0.25, 828, 290, 950),
    (0.50, 2_370, 22, 90),
];

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u64,
    pending: u64,
    exhausted: u64,
    /// Those that waited for longer than half a second.
    slow: u64,
    consumed: u64,
}

/// The teams' shares of the requests; the first of each five comes from one router only.
fn shares() -> Vec<f64> {
    let weights: Vec<_> = (1..=TEAMS).map(|rank| (rank as f64).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / total).collect()
}

fn team(index: usize) -> TeamId {
    format!("team-{index}").parse().expect("a team")
}

fn prepaid() -> IndexMap<TeamId, Tokens> {
    let mean: f64 = KINDS
        .iter()
        .map(|(share, input, output, _)| share * (input + output) as f64)
        .sum();
    let all = RATE * mean * DAY.as_secs_f64() * PREPAID_RATIO;
    let teams = shares().into_iter().enumerate();
    teams
        .map(|(index, share)| (team(index), Tokens::new((all * share) as u64)))
        .collect()
}

fn pick(rng: &mut StdRng, shares: &[f64]) -> usize {
    let mut point: f64 = rng.random();
    for (index, share) in shares.iter().enumerate() {
        point -= share;
        if point < 0.0 {
            return index;
        }
    }
    shares.len() - 1
}

/// Sends requests to the fleet for some time; returns what became of them once all have ended.
async fn run(fleet: &Fleet, rng: &mut StdRng, time: Duration) -> Tally {
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let (shares, kinds) = (shares(), KINDS.map(|(share, ..)| share));
    let (mut open, mut at) = (JoinSet::new(), Instant::now());
    let until = at + time;
    while at < until {
        at += Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0).ln() / RATE);
        sleep_until(at).await;
        let index = pick(rng, &shares);
        let router = match index % 5 {
            0 => index * 7 % ROUTERS,
            _ => rng.random_range(0..ROUTERS),
        };
        let (_, input, output, most) = KINDS[pick(rng, &kinds)];
        let used = input + rng.random_range(1..2 * output).min(most);
        let (budget, tally) = (
            Arc::clone(&fleet.routers[router].budget),
            Arc::clone(&tally),
        );
        let length = Duration::from_millis(rng.random_range(100..1500));
        open.spawn(async move {
            let (team, begun) = (team(index), Instant::now());
            let request = Request {
                team: &team,
                tokens: Tokens::new(input + most),
                rank: 0,
                target: begun + Duration::from_millis(500),
                deadline: begun + Duration::from_secs(10),
            };
            let reserved = budget.reserve(&request).await;
            {
                let mut tally = tally.lock();
                tally.requests += 1;
                tally.slow += u64::from(begun.elapsed() > Duration::from_millis(500));
                match &reserved {
                    Ok(_) => tally.consumed += used,
                    Err(Shortage::Exhausted(_)) => tally.exhausted += 1,
                    Err(Shortage::Pending(_)) => tally.pending += 1,
                }
            }
            if let Ok(mut reservation) = reserved {
                sleep(length).await;
                reservation.consume(Tokens::new(used));
            }
        });
    }
    while open.join_next().await.is_some() {}
    *tally.lock()
}

fn per_request(count: u64, tally: &Tally) -> f64 {
    count as f64 / tally.requests as f64
}

/// Guards against questions that are asked again and again while a home draws, and against requests that are
/// refused although their team has tokens: from the first second on, when no rates are known yet.
#[tokio::test(start_paused = true)]
async fn large_fleet_asks_once_a_request_and_refuses_none() {
    let mut rng = StdRng::seed_from_u64(1);
    let fleet = Fleet::start(ROUTERS, &prepaid());
    sleep(LEAD).await;
    *fleet.network.counts.lock() = Counts::default();
    let tally = run(&fleet, &mut rng, Duration::from_secs(6)).await;
    let counts = *fleet.network.counts.lock();
    println!(
        "{tally:?} {counts:?} {:.2} datagrams a request",
        per_request(counts.all(), &tally)
    );
    assert!(per_request(counts.asks, &tally) <= 1.0, "{counts:?}");
    assert_eq!(tally.exhausted, 0, "{tally:?}");
    assert!(per_request(tally.pending, &tally) <= 0.01, "{tally:?}");
    assert!(per_request(tally.slow, &tally) <= 0.01, "{tally:?}");
}

/// The store is away from all routers for seven seconds. Requests that come while licenses allow spending
/// again must be answered in time: those that are late already must not go before them.
#[tokio::test(start_paused = true)]
async fn large_fleet_serves_in_time_through_an_outage() {
    let mut rng = StdRng::seed_from_u64(2);
    let fleet = Fleet::start(ROUTERS, &prepaid());
    sleep(LEAD).await;
    let calm = run(&fleet, &mut rng, Duration::from_secs(6)).await;
    fleet.store.set_down(true);
    let first = run(&fleet, &mut rng, Duration::from_millis(2500)).await;
    let then = run(&fleet, &mut rng, Duration::from_millis(4500)).await;
    fleet.store.set_down(false);
    let after = run(&fleet, &mut rng, Duration::from_secs(2)).await;
    for tally in [calm, first, then, after] {
        println!("{tally:?}");
    }
    let in_time = |tally: &Tally| 1.0 - per_request(tally.slow + tally.pending, tally);
    assert!(in_time(&then) >= 0.9, "{then:?}");
    assert!(in_time(&after) >= 0.95, "{after:?}");
}
