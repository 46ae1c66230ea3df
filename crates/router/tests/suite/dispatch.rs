//! The dispatcher on a paused clock: which requests wait, for how long, and what ends the wait.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::rules::RuleSet;
use fescue_core::settings::Settings;
use fescue_core::{Execution, Incarnation, Priority, Refusal, Tokens, Weight, hash};
use fescue_router::blackboard::Board;
use fescue_router::dispatch::{self, Job, Permit, Pool};
use fescue_router::upstream::{State, Upstreams};
use tokio::time::Instant;

/// The target of the standard priority.
const TARGET: Duration = Duration::from_secs(20);

/// The longest wait of a request whose outcome is known, with some checks of the queues.
const AT_ONCE: Duration = Duration::from_millis(100);

/// A router's dispatcher without the rest of the router.
struct Dispatcher {
    board: Arc<Board>,
}

fn upstream(name: &str, slots: u32) -> String {
    format!(
        "upstream {name} at=127.0.0.1:9 data-centre=dakar-1 models=price slots={slots} \
         fencing=ignores orders=unchecked # asked by Awa\n"
    )
}

fn standard(target: Duration) -> String {
    let target = target.as_millis();
    format!("priority standard share=30 target={target}ms # asked by Awa\n")
}

impl Dispatcher {
    /// Starts a dispatcher with these upstreams.
    fn spawn(upstreams: &[String]) -> Self {
        let text = r#"{
            "vm": "vm-0", "data_centre": "dakar-1",
            "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"},
            "platform": {"address": "127.0.0.1:4"},
            "operator_token_file": "none", "peer_token_file": "none"
        }"#;
        let settings = Settings::parse("settings", text).expect("the settings parse");
        let board = Board::new(settings, Incarnation::new(1));
        let dispatcher = Self { board };
        dispatcher.apply(TARGET, upstreams);
        tokio::spawn(dispatch::run(Arc::clone(&dispatcher.board)));
        dispatcher
    }

    /// Puts rules in force.
    fn apply(&self, target: Duration, upstreams: &[String]) {
        let text = standard(target) + &upstreams.concat();
        let book = RuleSet::parse("rules", &text).expect("the rules parse");
        dispatch::apply_rules(&self.board, &Arc::new(book));
    }

    /// Waits for an upstream; also returns the time that it took.
    async fn acquire(&self, job: Job) -> (Result<Permit, Refusal>, Duration) {
        let start = Instant::now();
        let pool = Pool::Model("price".parse().expect("a model"));
        let acquired = dispatch::acquire(&self.board, &pool, job).await;
        (acquired, start.elapsed())
    }

    /// Acquires a permit for an upstream, which must be free.
    async fn permit(&self, job: Job) -> Permit {
        let (permit, waited) = self.acquire(job).await;
        assert!(waited <= AT_ONCE, "{waited:?}");
        permit.expect("a permit")
    }

    /// Opens the circuit of an upstream that gets these jobs.
    async fn fail(&self, job: &Job) {
        for _ in 0..3 {
            self.permit(job.clone()).await.record_outcome(false);
        }
    }
}

fn job(id: &str) -> Job {
    Job {
        request: id.parse().expect("a request id"),
        team: "yard".parse().expect("a team"),
        weight: Weight::ONE,
        priority: Priority::Standard,
        cost: Tokens::new(100),
        prompt: 10,
        prefix: 7,
        failed: Vec::new(),
        isolate: None,
        max_wait: None,
        waited: Duration::ZERO,
        version: None,
    }
}

fn isolated(id: &str, fingerprint: u64) -> Job {
    Job {
        isolate: Some(fingerprint),
        ..job(id)
    }
}

/// Returns a fingerprint whose requests go to the first of these upstreams.
fn fingerprint_of(first: &str, second: &str) -> u64 {
    let score = |print, name: &str| hash::score(print, hash::digest64(name.as_bytes()));
    let mut prints = 1..1000;
    let found = prints.find(|print| score(*print, first) > score(*print, second));
    found.expect("a fingerprint")
}

/// Guards against a suspect request that waits until its target for the upstream where its first attempt
/// failed, while another is free: that upstream was the only choice, and closed to the request.
#[tokio::test(start_paused = true)]
async fn isolated_request_goes_on_where_it_has_not_failed() {
    let dispatcher = Dispatcher::spawn(&[upstream("a", 8), upstream("b", 8)]);
    let mut job = isolated("r-1", fingerprint_of("a", "b"));
    for name in ["a", "b"] {
        let permit = dispatcher.permit(job.clone()).await;
        assert_eq!(permit.upstream.name.as_str(), name);
        job.failed.push(permit.upstream.name.clone());
    }
    // Once it has failed everywhere, it goes to the first again.
    let permit = dispatcher.permit(job).await;
    assert_eq!(permit.upstream.name.as_str(), "a");
}

/// Guards against sound requests that wait behind suspect ones whose upstream is closed, though another
/// upstream is free: each check of the queue ended at the first request that it couldn't place.
#[tokio::test(start_paused = true)]
async fn isolated_requests_hold_back_no_others() {
    let dispatcher = Arc::new(Dispatcher::spawn(&[upstream("a", 8), upstream("b", 64)]));
    let suspect = |id: &str| Job {
        priority: Priority::Urgent,
        ..isolated(id, fingerprint_of("a", "b"))
    };
    dispatcher.fail(&suspect("r-0")).await;
    let spawn = |job: Job| {
        let dispatcher = Arc::clone(&dispatcher);
        tokio::spawn(async move { dispatcher.acquire(job).await })
    };
    let suspects: Vec<_> = (0..8).map(|n| spawn(suspect(&format!("r-{n}")))).collect();
    tokio::time::sleep(AT_ONCE).await;
    let sound: Vec<_> = (0..50).map(|n| spawn(job(&format!("s-{n}")))).collect();
    let mut permits = Vec::new();
    for task in sound {
        let (permit, waited) = task.await.expect("the task completes");
        assert!(waited <= AT_ONCE, "{waited:?}");
        permits.push(permit.expect("a permit"));
    }
    assert!(
        permits
            .iter()
            .all(|permit| permit.upstream.name.as_str() == "b")
    );
    // Once the circuit may be probed, the suspect requests run, one after the other until one succeeds.
    for task in suspects {
        let (permit, waited) = task.await.expect("the task completes");
        let mut permit = permit.expect("a permit");
        assert_eq!(permit.upstream.name.as_str(), "a");
        assert!(waited < Duration::from_secs(3), "{waited:?}");
        permit.record_outcome(true);
    }
}

/// Fills the only upstream and returns what a request that waits for it gets, and after what time;
/// `change` is called once it waits.
async fn waiting(
    job: Job,
    change: impl FnOnce(&Dispatcher),
) -> (Result<Permit, Refusal>, Duration) {
    let dispatcher = Arc::new(Dispatcher::spawn(&[upstream("a", 1)]));
    let _running = dispatcher.permit(self::job("r-1")).await;
    let other = Arc::clone(&dispatcher);
    let task = tokio::spawn(async move { other.acquire(job).await });
    tokio::time::sleep(AT_ONCE).await;
    change(&dispatcher);
    task.await.expect("the task completes")
}

fn refusal(result: Result<Permit, Refusal>) -> Refusal {
    match result {
        Err(refusal) => refusal,
        Ok(permit) => panic!("granted {}", permit.upstream.name),
    }
}

/// Guards against requests that wait until their target after a change of the rules has taken the last
/// upstream of their pool away.
#[tokio::test(start_paused = true)]
async fn change_that_takes_the_pool_away_refuses_what_waits() {
    for job in [job("r-2"), isolated("r-2", 1)] {
        let (result, waited) = waiting(job, |d| d.apply(TARGET, &[])).await;
        let refusal = refusal(result);
        assert_eq!(refusal.reason, Reason::NotFound);
        assert_eq!(refusal.execution, Execution::NotRun);
        assert!(waited <= 2 * AT_ONCE, "{waited:?}");
    }
}

/// Guards against requests that keep the target of old rules: they are refused though the new target still
/// holds, or wait although it has passed.
#[tokio::test(start_paused = true)]
async fn changed_target_applies_to_what_waits() {
    for (target, expected) in [(2, 2), (40, 40), (0, 0)] {
        let target = Duration::from_secs(target);
        for job in [job("r-2"), isolated("r-2", 1)] {
            let change = |d: &Dispatcher| d.apply(target, &[upstream("a", 1)]);
            let (result, waited) = waiting(job, change).await;
            assert_eq!(refusal(result).reason, Reason::Overload);
            let over = waited.saturating_sub(Duration::from_secs(expected));
            assert!(waited >= target && over <= 2 * AT_ONCE, "{waited:?}");
        }
    }
}

/// Guards against requests that wait until their target for upstreams that all leave.
#[tokio::test(start_paused = true)]
async fn leaving_upstreams_refuse_what_waits() {
    for job in [job("r-2"), isolated("r-2", 1)] {
        let leave = |d: &Dispatcher| {
            let drained = d
                .board
                .upstreams
                .lock()
                .drain(&"a".parse().expect("a name"));
            assert!(drained);
        };
        let (result, waited) = waiting(job, leave).await;
        let refusal = refusal(result);
        assert_eq!(refusal.reason, Reason::NoUpstream);
        assert_eq!(refusal.execution, Execution::NotRun);
        assert!(refusal.retry_after.is_some());
        assert!(waited <= 2 * AT_ONCE, "{waited:?}");
    }
}

/// Guards against requests that wait until their target for upstreams that are all down, and against a
/// refusal because of a silence of a second.
#[tokio::test(start_paused = true)]
async fn upstreams_that_stay_down_refuse_what_waits() {
    let miss = |d: &Dispatcher| {
        let name = "a".parse().expect("a name");
        let now = d.board.now();
        let mut upstreams = d.board.upstreams.lock();
        let handle = upstreams.get(&name).expect("the upstream").handle();
        let since = upstreams.record_missed_report(&handle, now);
        assert!(since.is_some());
    };
    for job in [job("r-2"), isolated("r-2", 1)] {
        let (result, waited) = waiting(job, miss).await;
        let refusal = refusal(result);
        assert_eq!(refusal.reason, Reason::NoUpstream);
        assert!(refusal.retry_after.is_some());
        let silence = Duration::from_secs(1);
        assert!(waited > silence && waited < 3 * silence, "{waited:?}");
    }
    let dispatcher = Dispatcher::spawn(&[upstream("a", 1)]);
    miss(&dispatcher);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (result, waited) = dispatcher.acquire(job("r-3")).await;
    assert_eq!(refusal(result).reason, Reason::NoUpstream);
    assert_eq!(waited, Duration::ZERO);
}

/// Guards against a request whose attempts each wait for an upstream as long as the first one may.
#[tokio::test(start_paused = true)]
async fn later_attempt_has_the_rest_of_the_wait() {
    for (spent, left) in [(15, 5), (20, 0), (100, 0)] {
        let again = Job {
            waited: Duration::from_secs(spent),
            ..job("r-2")
        };
        let (result, waited) = waiting(again.clone(), |_| ()).await;
        assert_eq!(refusal(result).reason, Reason::Overload);
        let over = waited.saturating_sub(Duration::from_secs(left));
        assert!(over <= AT_ONCE, "{spent} s before: {waited:?}");
        // An upstream that is free is still used.
        let dispatcher = Dispatcher::spawn(&[upstream("a", 1)]);
        dispatcher.permit(again).await;
    }
}

/// Guards against requests of an upstream that a change of the rules has replaced under its name: their ends
/// freed slots of the new one, and their failures opened its circuit.
#[tokio::test(start_paused = true)]
async fn replaced_upstream_counts_for_no_other() {
    for slots in [1, 8] {
        let dispatcher = Dispatcher::spawn(&[upstream("a", slots)]);
        let mut old = Vec::new();
        for number in 0..slots.min(4) {
            old.push(dispatcher.permit(job(&format!("r-{number}"))).await);
        }
        let moved = upstream("a", slots).replace("at=127.0.0.1:9 ", "at=127.0.0.1:10 ");
        dispatcher.apply(TARGET, &[moved]);
        let mut new = vec![dispatcher.permit(job("s-0")).await];
        for mut permit in old {
            permit.record_outcome(false);
        }
        for number in 1..slots {
            new.push(dispatcher.permit(job(&format!("s-{number}"))).await);
        }
        assert!(
            new.iter()
                .all(|permit| permit.upstream.address.port() == 10)
        );
        let (full, waited) = dispatcher.acquire(job("t")).await;
        assert_eq!(refusal(full).reason, Reason::Overload);
        assert!(waited >= TARGET, "{waited:?}");
    }
}

/// Guards against a service's upstream that gets no calls for good, since another one that had its name was
/// drained: it is never polled, so peers repeated that mark without saying which of the two is leaving.
#[test]
fn drained_upstream_says_nothing_of_its_replacement() {
    let rules = |port: u16| {
        let text = format!(
            "service purchases price=20 repeat=never timeout=2s # asked by Awa\n\
             upstream a at=127.0.0.1:{port} data-centre=dakar-1 services=purchases slots=8 \
             fencing=ignores orders=unchecked # asked by Awa\n"
        );
        RuleSet::parse("rules", &text).expect("the rules parse")
    };
    let name = "a".parse().expect("a name");
    let mut upstreams = Upstreams::default();
    upstreams.apply_rules(&rules(9));
    assert!(upstreams.drain(&name));
    let mut peer = Upstreams::default();
    peer.apply_rules(&rules(9));
    for (port, up) in [(9, false), (10, true)] {
        for routers in [&mut upstreams, &mut peer] {
            routers.apply_rules(&rules(port));
        }
        for (name, incarnation) in upstreams.leaving() {
            peer.mark_leaving(&name, incarnation);
            upstreams.mark_leaving(&name, incarnation);
        }
        for routers in [&upstreams, &peer] {
            assert_eq!(routers.get(&name).map(State::is_up), Some(up), "{port}");
        }
    }
}
