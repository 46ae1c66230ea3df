//! Whether a team that is told that it is out of tokens really is.

use std::sync::{Arc, Weak};
use std::time::Duration;

use fescue_core::Tokens;
use fescue_gateway::budget::{Budget, Request, Shortage};
use fescue_policy::escrow::Account;
use fescue_store::table::Table;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::cut_off::{prepaid, team};
use super::mesh::{Fleet, PacedStore};
use super::site::first_seed;

const ROUTERS: usize = 11;

/// Requests a second.
const RATE: f64 = 44.0;

/// The most that a request takes; it uses 2,400 on average.
const BOUND: u64 = 3_000;

const SECOND: Duration = Duration::from_secs(1);

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u64,
    served: u64,
    pending: u64,
    exhausted: u64,
    /// Of these, those that the account and what the routers held would have covered.
    coverable: u64,
    consumed: u64,
}

/// What a team has left when a request is refused.
struct Check {
    store: Arc<PacedStore>,
    budgets: Vec<Weak<Budget>>,
    tokens: u64,
}

impl Check {
    fn of(fleet: &Fleet, tokens: u64) -> Self {
        let budgets = fleet.routers.iter();
        Self {
            store: Arc::clone(&fleet.store),
            budgets: budgets
                .map(|router| Arc::downgrade(&router.budget))
                .collect(),
            tokens,
        }
    }

    /// Returns what the account and the routers hold unreserved.
    async fn remaining(&self) -> u64 {
        let budgets = self.budgets.iter().filter_map(Weak::upgrade);
        let held: u64 = budgets.map(|budget| budget.unused(&team()).get()).sum();
        let key = format!("budgets/{}", team());
        let rows = self.store.read(&[key]).await.unwrap_or_default();
        let account: Option<Account> = rows.first().and_then(|row| row.decode().ok().flatten());
        let granted = account.unwrap_or_default().granted;
        self.tokens.saturating_sub(granted.get()) + held
    }
}

/// Sends requests for 25 s, and loses all routers once.
async fn run(fleet: &mut Fleet, rng: &mut StdRng, tokens: u64, loss: Duration) -> Tally {
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let (begun, mut lost) = (Instant::now(), false);
    let mut open = JoinSet::new();
    while begun.elapsed() < 25 * SECOND {
        let pause = -rng.random_range(f64::EPSILON..1.0).ln() / RATE;
        sleep(Duration::from_secs_f64(pause)).await;
        if !lost && begun.elapsed() >= loss {
            lost = true;
            open.abort_all();
            fleet.restart(ROUTERS, &prepaid(tokens));
        }
        let budget = Arc::clone(&fleet.routers[rng.random_range(0..ROUTERS)].budget);
        let used = rng.random_range(1_800..BOUND);
        let length = Duration::from_millis(rng.random_range(100..1500));
        let tally = Arc::clone(&tally);
        let check = Check::of(fleet, tokens);
        open.spawn(async move {
            let (team, now) = (team(), Instant::now());
            let request = Request {
                team: &team,
                tokens: Tokens::new(BOUND),
                rank: 0,
                target: now + SECOND / 2,
                deadline: now + 10 * SECOND,
            };
            tally.lock().requests += 1;
            match budget.reserve(&request).await {
                Ok(mut reservation) => {
                    tally.lock().served += 1;
                    sleep(length).await;
                    reservation.consume(Tokens::new(used));
                    tally.lock().consumed += used;
                }
                Err(Shortage::Pending(_)) => tally.lock().pending += 1,
                Err(Shortage::Exhausted(_)) => {
                    let remaining = check.remaining().await;
                    let mut tally = tally.lock();
                    tally.exhausted += 1;
                    tally.coverable += u64::from(remaining >= BOUND);
                }
            }
        });
    }
    while open.join_next().await.is_some() {}
    *tally.lock()
}

/// Runs a fleet whose routers are all lost once, for several seeds.
async fn lose_all(tokens: u64, at: u32) -> Tally {
    let mut all = Tally::default();
    for seed in first_seed()..first_seed() + 4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::start(ROUTERS, &prepaid(tokens));
        sleep(2 * SECOND).await;
        let tally = run(&mut fleet, &mut rng, tokens, SECOND * at).await;
        println!("{tokens} tokens, lost after {at} s, seed {seed}: {tally:?}");
        assert!(tally.consumed <= tokens, "{tally:?}");
        all.requests += tally.requests;
        all.exhausted += tally.exhausted;
        all.coverable += tally.coverable;
    }
    all
}

/// Guards against routers that take the licenses of their predecessors for spent: the team has plenty left.
#[tokio::test(start_paused = true)]
async fn loss_of_all_exhausts_no_team_that_has_tokens() {
    for at in [1, 5, 15] {
        let tally = lose_all(40_000_000, at).await;
        assert_eq!(tally.exhausted, 0, "{tally:?}");
    }
}

/// Guards against a team that is told that it is out of tokens while the account and what the routers hold
/// unreserved would cover the request: under one in 1,000 requests.
#[tokio::test(start_paused = true)]
async fn exhausted_team_has_less_than_a_request_left() {
    let loads = [(2_000_000, 5), (2_000_000, 15), (1_600_000, 14)];
    let mut all = Vec::new();
    for (tokens, at) in loads {
        let tally = lose_all(tokens, at).await;
        println!("{tokens} tokens, lost after {at} s: {tally:?}");
        all.push(tally);
    }
    for tally in all {
        assert!(tally.exhausted > 0, "{tally:?}");
        assert!(1_000 * tally.coverable < tally.requests, "{tally:?}");
    }
}
