//! Budgets of a fleet of which some routers have no path to the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens, hash};
use fescue_gateway::budget::{Request, Shortage};
use fescue_gateway::peers::{Home, Peer, Peers};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, advance, sleep};

use super::mesh::{Counts, Fleet, Reach};
use super::site::{case_count, first_seed};

const ROUTERS: usize = 40;

/// Requests a second.
const RATE: f64 = 80.0;

/// The most that a request takes, and what it uses on average.
const BOUND: u64 = 3_000;
const USED: u64 = 2_400;

const PREPAID: u64 = 10_000_000;

/// Time from the start of the routers to the first request.
const LEAD: Duration = Duration::from_secs(5);

const SECOND: Duration = Duration::from_secs(1);

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub requests: u64,
    pub served: u64,
    pub exhausted: u64,
    store_down: u64,
    pending: u64,
    /// Served after more than half a second, and after more than one.
    slow: u64,
    late: u64,
    pub consumed: u64,
}

pub fn team() -> TeamId {
    "yard".parse().expect("a team")
}

pub fn prepaid(tokens: u64) -> IndexMap<TeamId, Tokens> {
    [(team(), Tokens::new(tokens))].into_iter().collect()
}

/// A fleet with one team, its candidates, and routers that aren't among them.
pub struct Site {
    pub fleet: Fleet,
    pub candidates: Vec<usize>,
    pub askers: Vec<usize>,
    pub rng: StdRng,
    /// What all requests so far have consumed.
    pub consumed: u64,
}

impl Site {
    /// Starts routers; all but the first candidates take requests.
    pub async fn open(seed: u64, routers: usize, tokens: u64) -> Self {
        let fleet = Fleet::start(routers, &prepaid(tokens));
        let candidates = fleet.candidates(&team());
        let askers = candidates.iter().skip(8).copied().collect();
        let site = Self {
            fleet,
            candidates,
            askers,
            rng: StdRng::seed_from_u64(seed),
            consumed: 0,
        };
        sleep(LEAD).await;
        site
    }

    async fn start(seed: u64, routers: usize, tokens: u64) -> Self {
        let mut site = Self::open(seed, routers, tokens).await;
        let calm = site.run(3 * SECOND).await;
        assert_eq!(calm.served, calm.requests, "{calm:?}");
        site
    }

    /// Sets the paths to the store of the candidates at some places of the ranking.
    fn cut(&self, places: impl IntoIterator<Item = usize>, reach: Reach) {
        for place in places {
            self.fleet.routers[self.candidates[place]].way.set(reach);
        }
    }

    /// As [`Self::cut`], in the midst of the requests that come next: after a second of them.
    fn cut_soon(&self, places: impl IntoIterator<Item = usize>, reach: Reach) {
        for place in places {
            let way = Arc::clone(&self.fleet.routers[self.candidates[place]].way);
            tokio::spawn(async move {
                sleep(SECOND).await;
                way.set(reach);
            });
        }
    }

    /// Sends requests for some time; returns what became of them once all have ended.
    pub async fn run(&mut self, time: Duration) -> Tally {
        let tally: Arc<Mutex<Tally>> = Arc::default();
        let (mut open, until) = (JoinSet::new(), Instant::now() + time);
        while Instant::now() < until {
            let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / RATE;
            sleep(Duration::from_secs_f64(pause)).await;
            let router = self.askers[self.rng.random_range(0..self.askers.len())];
            let budget = Arc::clone(&self.fleet.routers[router].budget);
            let used = self.rng.random_range(2 * USED - BOUND..BOUND);
            let length = Duration::from_millis(self.rng.random_range(100..1500));
            let tally = Arc::clone(&tally);
            open.spawn(async move {
                let (team, begun) = (team(), Instant::now());
                let request = Request {
                    team: &team,
                    tokens: Tokens::new(BOUND),
                    rank: 0,
                    target: begun + Duration::from_millis(500),
                    deadline: begun + 10 * SECOND,
                };
                let reserved = budget.reserve(&request).await;
                tally.lock().count(&reserved, begun.elapsed(), used);
                if let Ok(mut reservation) = reserved {
                    sleep(length).await;
                    reservation.consume(Tokens::new(used));
                }
            });
        }
        while open.join_next().await.is_some() {}
        let tally = *tally.lock();
        self.consumed += tally.consumed;
        tally
    }

    /// Returns what became of the requests of some time, and prints it with its cost.
    async fn measure(&mut self, name: &str, time: Duration) -> (Tally, Counts, Vec<u64>) {
        *self.fleet.network.counts.lock() = Counts::default();
        let before = self.writes();
        let tally = self.run(time).await;
        let counts = *self.fleet.network.counts.lock();
        let writes = self.writes().into_iter().zip(before).map(|(a, b)| a - b);
        let writes: Vec<_> = writes.filter(|writes| *writes > 0).collect();
        println!("{name}: {tally:?} {counts:?} writes {writes:?}");
        (tally, counts, writes)
    }

    fn writes(&self) -> Vec<u64> {
        let routers = self.fleet.routers.iter();
        routers
            .map(|router| router.way.writes.load(Ordering::Relaxed))
            .collect()
    }
}

impl Tally {
    fn count<T>(&mut self, reserved: &Result<T, Shortage>, after: Duration, used: u64) {
        self.requests += 1;
        match reserved {
            Ok(_) => {
                self.served += 1;
                self.consumed += used;
                self.slow += u64::from(after > SECOND / 2);
                self.late += u64::from(after > SECOND);
            }
            Err(Shortage::Exhausted(_)) => self.exhausted += 1,
            Err(Shortage::Pending(pending)) if pending.store_down => self.store_down += 1,
            Err(Shortage::Pending(_)) => self.pending += 1,
        }
    }

    /// Asserts that all but a part of the requests were served, and nearly all within their target: the loss of
    /// a path may delay those of half a second, of six.
    fn assert_served(&self, refused: f64) {
        let most = (self.requests as f64 * refused) as u64;
        assert!(self.requests - self.served <= most, "{self:?}");
        assert!(self.late <= most, "{self:?}");
        assert!(self.slow as f64 <= self.requests as f64 * 0.08, "{self:?}");
    }
}

/// Cuts a team's home off from the store for 8 s, as `reach` says: its requests are served meanwhile and afterwards.
async fn assert_cut_off_home_is_replaced(seed: u64, reach: Reach) {
    let mut site = Site::start(seed, ROUTERS, PREPAID).await;
    site.cut_soon([0], reach);
    let (cut, counts, writes) = site.measure("cut", 8 * SECOND).await;
    site.cut_soon([0], Reach::Open);
    let (back, ..) = site.measure("back", 5 * SECOND).await;
    cut.assert_served(0.0);
    back.assert_served(0.0);
    assert!(counts.asks <= 3 * cut.requests / 2, "{counts:?}");
    assert!(writes.len() <= 3, "{writes:?}");
}

/// Guards against a whole team that waits for its home, which the store refuses, while most routers could
/// draw: the path is there at first, is lost, and comes back.
#[tokio::test(start_paused = true)]
async fn home_refused_by_the_store_is_replaced() {
    assert_cut_off_home_is_replaced(1, Reach::Refused).await;
}

/// As before, but the home's calls fail only after a time, in which its license runs dry.
#[tokio::test(start_paused = true)]
async fn home_without_answers_of_the_store_is_replaced() {
    assert_cut_off_home_is_replaced(2, Reach::Silent).await;
}

/// Guards against a team that starts while its home has no path: the home has no license to give from.
#[tokio::test(start_paused = true)]
async fn home_that_never_reached_the_store_is_replaced() {
    for reach in [Reach::Refused, Reach::Silent] {
        let fleet = Fleet::start(ROUTERS, &prepaid(PREPAID));
        let candidates = fleet.candidates(&team());
        fleet.routers[candidates[0]].way.set(reach);
        let mut site = Site {
            askers: candidates[8..].to_vec(),
            fleet,
            candidates,
            rng: StdRng::seed_from_u64(3),
            consumed: 0,
        };
        sleep(LEAD).await;
        let (tally, counts, _) = site.measure("never", 4 * SECOND).await;
        tally.assert_served(0.0);
        assert!(counts.asks <= 3 * tally.requests / 2, "{counts:?}");
    }
}

/// Guards against a fleet in which the next in line is cut off as well. Few others may draw, however many
/// routers there are.
#[tokio::test(start_paused = true)]
async fn home_and_backup_cut_off_leave_the_third() {
    for (routers, places) in [(ROUTERS, 2), (ROUTERS, 4), (4 * ROUTERS, 4)] {
        for reach in [Reach::Refused, Reach::Silent] {
            let mut site = Site::start(4, routers, PREPAID).await;
            site.cut_soon(0..places, reach);
            let name = format!("{routers} routers, {places} cut off, {reach:?}");
            let (cut, counts, writes) = site.measure(&name, 6 * SECOND).await;
            // Each router that the store leaves without an answer costs 0.4 s, of 0.9 s that a request waits: with
            // four of them those of 0.7 s, of six, may be refused.
            let refused = match (places, reach) {
                (4, Reach::Silent) => 0.08,
                _ => 0.02,
            };
            cut.assert_served(refused);
            assert!(counts.asks <= 2 * cut.requests, "{counts:?}");
            assert!(writes.len() <= 5, "{writes:?}");
        }
    }
}

/// Guards against a router that can't help its callers because it is the home itself, and cut off.
#[tokio::test(start_paused = true)]
async fn home_that_is_cut_off_asks_the_next() {
    for reach in [Reach::Refused, Reach::Silent] {
        let mut site = Site::start(5, ROUTERS, PREPAID).await;
        site.askers = vec![site.candidates[0]];
        let _warm = site.run(2 * SECOND).await;
        site.cut_soon([0], reach);
        let (cut, counts, writes) = site.measure("own home", 6 * SECOND).await;
        cut.assert_served(0.0);
        assert!(counts.asks <= cut.requests, "{counts:?}");
        assert!(writes.len() <= 2, "{writes:?}");
    }
}

/// The router of the callers needs no path to the store as long as the home has one.
#[tokio::test(start_paused = true)]
async fn asker_that_is_cut_off_is_served_by_the_home() {
    let mut site = Site::start(6, ROUTERS, PREPAID).await;
    site.askers.truncate(1);
    site.fleet.routers[site.askers[0]].way.set(Reach::Refused);
    let (tally, _, writes) = site.measure("asker cut off", 4 * SECOND).await;
    tally.assert_served(0.0);
    assert!(writes.len() <= 2, "{writes:?}");
}

/// Guards against a remedy for one home that makes an outage for all worse: more messages, a shorter time
/// in which licenses are used, or another reason than the store.
#[tokio::test(start_paused = true)]
async fn all_cut_off_spend_what_licenses_allow() {
    for reach in [Reach::Refused, Reach::Silent] {
        let mut site = Site::start(7, ROUTERS, PREPAID).await;
        site.cut_soon(0..ROUTERS, reach);
        let (first, early, _) = site.measure("first", 3 * SECOND).await;
        let (then, later, writes) = site.measure("then", 5 * SECOND).await;
        // Each router finds out about four more candidates, once.
        let search = 4 * site.askers.len() as u64;
        assert!(early.asks <= 3 * first.requests / 2 + search, "{early:?}");
        assert!(later.asks <= then.requests + 10, "{later:?}");
        assert!(then.served as f64 >= 0.9 * then.requests as f64, "{then:?}");
        assert!(writes.is_empty(), "{writes:?}");
        site.cut(0..ROUTERS, Reach::Open);
        let (back, ..) = site.measure("back", 3 * SECOND).await;
        back.assert_served(0.02);
    }
}

/// Guards against a team that is out of tokens and is told that the store is away, because one of the routers
/// that are asked has no path to it.
#[tokio::test(start_paused = true)]
async fn team_without_tokens_is_told_so_by_the_others() {
    for places in [0..1, 1..2, 1..3] {
        let mut site = Site::start(8, ROUTERS, 1_200_000).await;
        let spent = site.run(5 * SECOND).await;
        assert!(spent.exhausted > 0, "{spent:?}");
        site.cut(places, Reach::Refused);
        sleep(2 * SECOND).await;
        let (out, counts, _) = site.measure("out of tokens", 3 * SECOND).await;
        assert!(out.store_down + out.pending <= out.requests / 50, "{out:?}");
        assert!(counts.asks <= 4 * out.requests, "{counts:?}");
    }
}

/// Routers are cut off from the store and reached again at random, in all ways. What all requests consumed
/// never exceeds the prepaid amount, and nearly all of it can be spent in the end.
#[tokio::test(start_paused = true)]
async fn random_cuts_never_overspend() {
    for seed in (first_seed()..).take(case_count(12) as usize) {
        let tokens = 3_000_000;
        let mut site = Site::start(seed, 16, tokens).await;
        site.askers = (0..16).collect();
        for _ in 0..8 {
            for router in &site.fleet.routers {
                let reach = match site.rng.random_range(0..10) {
                    0..2 => Reach::Refused,
                    2..4 => Reach::Silent,
                    _ => Reach::Open,
                };
                router.way.set(reach);
            }
            let time = Duration::from_millis(site.rng.random_range(300..2500));
            site.run(time).await;
        }
        site.cut(0..16, Reach::Open);
        let last = site.run(8 * SECOND).await;
        println!("seed {seed}: {} in all, {last:?}", site.consumed);
        assert!(site.consumed <= tokens, "seed {seed}: {}", site.consumed);
        assert!(
            site.consumed >= tokens / 50 * 49,
            "seed {seed}: tokens lost"
        );
    }
}

/// The routers that can't draw are asked last, the fourth and the fifth only if none of the first three can,
/// and no mark stays for long.
#[tokio::test(start_paused = true)]
async fn homes_that_are_cut_off_come_last() {
    let mut peers = Peers::open(&"vm-0".parse().expect("a VM"));
    let others = (1..20_u16).map(|vm| {
        let address = SocketAddr::from(([10, 1, 0, 1], vm));
        Peer::new(&format!("vm-{vm}"), address, Incarnation::new(1))
    });
    peers.set(others.collect(), true);
    let usual = peers.homes(&team(), false);
    assert_eq!(usual.len(), 3);
    let order: Vec<_> = peers
        .select(hash::digest64(team().as_str().as_bytes()), 5)
        .into_iter()
        .collect();
    assert_eq!(
        usual,
        order[..3]
            .iter()
            .map(|a| Home::Peer(*a))
            .collect::<Vec<_>>(),
        "this router is none of the first"
    );
    let expected =
        |places: &[usize]| -> Vec<_> { places.iter().map(|at| Home::Peer(order[*at])).collect() };
    let steps: [(usize, &[usize]); 5] = [
        (0, &[1, 2, 0]),
        (1, &[2, 0, 1]),
        (2, &[3, 4, 0, 1, 2]),
        (3, &[4, 0, 1, 2]),
        (4, &[0, 1, 2]),
    ];
    for (place, after) in steps {
        peers.mark_cut_off(order[place], true);
        assert_eq!(peers.homes(&team(), false), expected(after));
    }
    peers.mark_cut_off(order[1], false);
    assert_eq!(peers.homes(&team(), false), expected(&[1, 0, 2]));
    advance(Duration::from_millis(2_001)).await;
    assert_eq!(peers.homes(&team(), false), usual);
}
