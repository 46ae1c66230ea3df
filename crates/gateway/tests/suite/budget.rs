//! Tests that spending stays within the prepaid tokens under failures of routers and the store.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_gateway::budget::{Budget, Controller, Goal, Reservation, Shortage, Transfer};
use fescue_standin::platform::Faults;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, advance};

use super::site::{Store, WaitingRequest, ask, budget, case_count, first_seed, outcome, prepay};

const PREPAID: u64 = 1_000_000;

fn team() -> TeamId {
    "yard".parse().expect("a team")
}

struct Router {
    budget: Arc<Budget>,
    controller: Controller,
    /// Reservations of open requests.
    open: Vec<Reservation>,
    waiting: Vec<WaitingRequest>,
    refused: Vec<Shortage>,
}

impl Router {
    fn start(vm: &str, store: &Arc<Store>) -> Self {
        let budget = budget(vm, store);
        prepay(&budget, &team(), PREPAID);
        Self {
            controller: Controller::open(Arc::clone(&budget)),
            budget,
            open: Vec::new(),
            waiting: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Asks for tokens; returns whether they were there. If not, the request waits until the end of the
    /// next round.
    async fn reserve(&mut self, tokens: u64) -> bool {
        let mut waiting = ask(&self.budget, &team(), tokens).await;
        match outcome(&mut waiting).await {
            Some(Ok(reservation)) => {
                self.open.push(reservation);
                true
            }
            Some(Err(shortage)) => {
                self.refused.push(shortage);
                false
            }
            None => {
                self.waiting.push(waiting);
                false
            }
        }
    }

    /// Asks for tokens and runs a round if they aren't there; returns whether the request got them.
    async fn draw(&mut self, tokens: u64) -> bool {
        if self.reserve(tokens).await {
            return true;
        }
        let before = self.open.len();
        assert!(self.round().await, "the round succeeds");
        self.open.len() > before
    }

    /// Settles a reservation with `part` of it consumed; returns the consumed tokens.
    fn settle(&mut self, index: usize, part: f64) -> u64 {
        let mut reservation = self.open.swap_remove(index);
        let consumed = reservation.reserved().scale(part);
        reservation.consume(consumed);
        consumed.get()
    }

    /// Runs a round, after which no request waits any more.
    async fn round(&mut self) -> bool {
        self.budget.observe_spending(Duration::from_millis(300));
        let succeeded = self.controller.round(Goal::Serve).await;
        for mut waiting in std::mem::take(&mut self.waiting) {
            match outcome(&mut waiting).await {
                Some(Ok(reservation)) => self.open.push(reservation),
                Some(Err(shortage)) => self.refused.push(shortage),
                None => waiting.abort(),
            }
        }
        succeeded
    }

    fn reserved(&self) -> u64 {
        let open = self.open.iter();
        open.map(|reservation| reservation.reserved().get()).sum()
    }
}

#[tokio::test(start_paused = true)]
async fn round_draws_what_a_request_waits_for() {
    let store = Store::open(1);
    let mut router = Router::start("vm-1", &store);
    assert!(!router.reserve(200_000).await);
    assert!(router.round().await);
    assert_eq!(router.reserved(), 200_000);
}

/// An idle router renews its licenses about once a second, so that a crash loses few tokens.
#[tokio::test(start_paused = true)]
async fn round_calm_router_writes_at_most_once_a_second() {
    let store = Store::open(1);
    let mut router = Router::start("vm-1", &store);
    assert!(router.round().await);
    let before = store.memory.usage();
    for _ in 0..100 {
        advance(Duration::from_millis(300)).await;
        assert!(router.round().await);
    }
    let after = store.memory.usage();
    assert!(after.writes - before.writes <= 30, "{after:?}");
    assert!(after.reads - before.reads <= 30, "{after:?}");
}

#[tokio::test(start_paused = true)]
async fn round_stop_gives_everything_back() {
    let store = Store::open(1);
    let mut router = Router::start("vm-1", &store);
    assert!(router.draw(1000).await);
    assert_eq!(router.settle(0, 1.0), 1000);
    assert!(router.controller.round(Goal::Stop).await);
    let mut other = Router::start("vm-2", &store);
    assert!(!other.reserve(PREPAID - 1000).await);
    assert!(other.round().await);
    assert_eq!(other.reserved(), PREPAID - 1000);
}

/// Runs a process that spends a twentieth of the prepaid tokens, idles and crashes.
async fn spend_and_die(store: &Arc<Store>) {
    let mut router = Router::start("vm-1", store);
    assert!(!router.reserve(500_000).await);
    assert!(router.round().await);
    assert_eq!(router.reserved(), 500_000);
    router.settle(0, 0.1);
    for _ in 0..40 {
        // The spending rate decreases while there are no requests.
        advance(Duration::from_millis(300)).await;
        assert!(router.round().await);
    }
}

/// After a crash, the next process on the VM returns the tokens that the crashed one cannot have
/// spent.
#[tokio::test(start_paused = true)]
async fn round_next_process_recovers_what_was_not_spent() {
    let store = Store::open(1);
    spend_and_die(&store).await;
    advance(Duration::from_secs(1)).await;
    let mut next = Router::start("vm-1", &store);
    assert!(!next.reserve(900_000).await);
    assert!(next.round().await);
    assert_eq!(next.reserved(), 900_000);
    assert!(!next.draw(60_000).await);
    assert!(
        matches!(next.refused[..], [Shortage::Exhausted(_)]),
        "{:?}",
        next.refused
    );
}

/// The store is down when the next process starts. The crashed one spent nothing in the meantime.
#[tokio::test(start_paused = true)]
async fn round_next_process_recovers_the_same_after_an_outage() {
    let store = Store::open(1);
    spend_and_die(&store).await;
    store.memory.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let mut next = Router::start("vm-1", &store);
    for _ in 0..60 {
        advance(Duration::from_secs(1)).await;
        assert!(!next.round().await);
    }
    store.memory.set_faults(Faults::default());
    assert!(next.round().await);
    assert!(next.draw(900_000).await);
}

/// While the store is known to be down, a request that the license doesn't cover is refused at once, and
/// the reason says so.
#[tokio::test(start_paused = true)]
async fn reserve_without_a_store_is_refused_at_once() {
    let store = Store::open(1);
    let mut router = Router::start("vm-1", &store);
    assert!(router.round().await);
    store.memory.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let before = Instant::now();
    assert!(!router.reserve(100_000).await);
    assert!(!router.round().await);
    assert!(!router.reserve(100_000).await);
    assert!(!router.round().await);
    assert!(!router.reserve(100_000).await);
    assert_eq!(before.elapsed(), Duration::ZERO);
    let [Shortage::Pending(pending), ..] = &router.refused[..] else {
        panic!("{:?}", router.refused);
    };
    assert!(pending.store_down, "{pending:?}");
}

/// A license that allows more soon: requests wait for it, rather than come back later, and are told when if
/// that is too late for them.
#[tokio::test(start_paused = true)]
async fn reserve_in_an_outage_waits_for_what_the_license_allows_soon() {
    let store = Store::open(1);
    let mut router = Router::start("vm-1", &store);
    for _ in 0..30 {
        router.reserve(20_000).await;
        assert!(router.round().await);
        while !router.open.is_empty() {
            router.settle(0, 1.0);
        }
        advance(Duration::from_millis(300)).await;
    }
    store.memory.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    while router.reserve(5_000).await {}
    for _ in 0..2 {
        assert!(!router.controller.round(Goal::Serve).await);
    }
    let mut waiting = ask(&router.budget, &team(), 5_000).await;
    let mut served = false;
    for _ in 0..30 {
        advance(Duration::from_millis(100)).await;
        router.budget.step(false);
        served |= matches!(outcome(&mut waiting).await, Some(Ok(_)));
        if served {
            break;
        }
    }
    assert!(served, "the rate applies within three seconds");
    let mut late = ask(&router.budget, &team(), 300_000).await;
    let Some(Err(Shortage::Pending(pending))) = outcome(&mut late).await else {
        panic!("it comes too late");
    };
    assert!(
        pending
            .wait
            .is_none_or(|wait| wait > Duration::from_secs(2)),
        "{pending:?}"
    );
}

/// A process without access to the store spends all that its license allows and crashes. Together
/// with the tokens drawn by the next process, spending must not exceed the prepaid amount.
#[tokio::test(start_paused = true)]
async fn round_next_process_counts_what_an_outage_allowed() {
    for outage in [2, 4, 8, 16] {
        let store = Store::open(1);
        let mut router = Router::start("vm-1", &store);
        for _ in 0..10 {
            router.reserve(20_000).await;
            advance(Duration::from_millis(300)).await;
            assert!(router.round().await);
        }
        let away = Faults {
            outage: true,
            ..Faults::default()
        };
        store.memory.set_faults(away);
        advance(Duration::from_secs(outage)).await;
        while router.reserve(1_000).await {}
        let spent = router.reserved();
        store.memory.set_faults(Faults::default());
        drop(router);
        let mut next = Router::start("vm-1", &store);
        assert!(next.round().await);
        for _ in 0..PREPAID / 1_000 {
            next.draw(1_000).await;
        }
        let again = next.reserved();
        assert!(
            spent + again <= PREPAID,
            "{outage} s: {spent} + {again} of {PREPAID}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn round_quota_cut_below_use_stops_spending() {
    let store = Store::open(1);
    let mut router = Router::start("vm-1", &store);
    assert!(router.draw(100_000).await);
    prepay(&router.budget, &team(), 50_000);
    advance(Duration::from_secs(2)).await;
    assert!(router.round().await);
    assert!(!router.reserve(1).await);
    prepay(&router.budget, &team(), 200_000);
    advance(Duration::from_secs(2)).await;
    assert!(router.round().await);
    assert!(!router.reserve(90_000).await);
    assert!(router.round().await);
    assert_eq!(router.reserved(), 190_000);
}

/// Four routers spend at full rate while the store is down, slow or loses responses before or after
/// the write, one or all processes crash with open requests and restart, and answers to token transfers
/// get lost. Consumption must not exceed the prepaid amount.
#[tokio::test(start_paused = true)]
async fn round_never_overspends_in_generated_stories() {
    for seed in first_seed()..first_seed() + case_count(150) {
        let consumed = run_case(seed).await;
        assert!(
            consumed <= PREPAID,
            "FESCUE_SEED={seed}: {consumed} of {PREPAID} consumed"
        );
    }
}

async fn run_case(seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let store = Store::open(seed);
    let names = ["vm-1", "vm-2", "vm-3", "vm-4"];
    let mut routers: Vec<_> = names.iter().map(|vm| Router::start(vm, &store)).collect();
    let mut consumed = 0;
    for _ in 0..400 {
        let at = rng.random_range(0..routers.len());
        match rng.random_range(0..100) {
            0..45 => {
                routers[at].reserve(rng.random_range(1..20_000)).await;
            }
            45..65 if !routers[at].open.is_empty() => {
                let index = rng.random_range(0..routers[at].open.len());
                consumed += routers[at].settle(index, rng.random_range(0.0..=1.0));
            }
            65..85 => {
                routers[at].round().await;
            }
            85..89 => advance(Duration::from_millis(rng.random_range(1..4000))).await,
            89..92 => store.memory.set_faults(Faults {
                outage: rng.random_bool(0.4),
                lose_next: rng.random_range(0..3),
                late_next: rng.random_range(0..3),
                refuse_percent: rng.random_range(0..30),
                ..Faults::default()
            }),
            92..94 => {
                store.memory.apply_delayed_writes();
            }
            94..97 => hand_over(&mut rng, &routers, at),
            97..99 => {
                let all = rng.random_bool(0.3);
                for index in 0..routers.len() {
                    if all || index == at {
                        // Open requests count in full, since an engine may have consumed all of it.
                        consumed += routers[index].reserved();
                        routers[index]
                            .waiting
                            .iter()
                            .for_each(WaitingRequest::abort);
                        routers[index] = Router::start(names[index], &store);
                    }
                }
            }
            _ => store.memory.set_faults(Faults::default()),
        }
    }
    consumed + routers.iter().map(Router::reserved).sum::<u64>()
}

/// Returns the surplus of earlier transfers, passes all on as at a planned stop, or answers a question.
fn hand_over(rng: &mut StdRng, routers: &[Router], giver: usize) {
    let taker = rng.random_range(0..routers.len());
    let wanted = Tokens::new(rng.random_range(1..20_000));
    let needed = wanted.scale(rng.random());
    let kind = match rng.random_range(0..10) {
        0..3 => Transfer::Surplus(rng.random()),
        3 => Transfer::All,
        _ => Transfer::Answer { needed, wanted },
    };
    let given = routers[giver].budget.take(&team(), kind);
    let answered = rng.random_bool(0.8);
    if answered && taker != giver {
        routers[taker].budget.add(&team(), given);
    }
}
