//! Streams that break off while engines of two software versions serve the model.

use std::time::Duration;

use fescue_standin::caller::{Request, Response};
use fescue_standin::engine::{EngineFaults, Profile};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::site::{QUICK, SLOW, Site, chat, eventually, text_of_version};

/// The versions that the engines of these tests have.
const VERSIONS: [&str; 2] = ["1", "2"];

/// The time within which a caller learns that no engine of the version is left. It is well below the
/// target of the priority, after which waiting requests are refused.
const BREAK_OFF_TIME: Duration = Duration::from_secs(4);

/// Starts a router and one engine for each of the versions, and waits until the router knows them.
async fn start(versions: &[&str], profile: Profile) -> Site {
    let site = Site::start(&["dakar-1"], versions.len(), profile).await;
    for ((engine, _), version) in site.engines.iter().zip(versions) {
        engine.replace(version);
    }
    wait_for_reports(&site, versions).await;
    site
}

/// Waits until the router has a report from each engine that names its version.
async fn wait_for_reports(site: &Site, versions: &[&str]) {
    eventually("the versions are known", || async {
        let answer = site.admin(&Request::get("/admin/v1/upstreams")).await;
        let value: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let known = value["upstreams"].as_array().cloned().unwrap_or_default();
        versions.iter().enumerate().all(|(index, version)| {
            let name = format!("engine-{index}");
            let state = known.iter().find(|upstream| upstream["name"] == *name);
            state.is_some_and(|state| state["software_version"] == *version)
        })
    })
    .await;
}

/// Returns the version that wrote all of a text, or `None` if it isn't the beginning of any one's.
fn origin(text: &str, prompt: &str) -> Option<&'static str> {
    let tokens = text.split(' ').count() as u64;
    let mut versions = VERSIONS.into_iter();
    versions.find(|version| text_of_version(version, prompt, tokens).starts_with(text))
}

/// Returns whether the answer ends with an error that says that it ran.
fn is_broken_off(answer: &Response) -> bool {
    let last = answer.body.trim_end().rsplit("data: ").next();
    let last: Value = serde_json::from_str(last.unwrap_or_default()).unwrap_or_default();
    !answer.is_complete() && last["error"]["code"] == "upstream_failed" && last["outcome"] == "ran"
}

/// The answers to streams N, which have the prompt `lot N`, and those that were cut at an engine.
struct Played {
    answers: Vec<Response>,
    cut: Vec<usize>,
}

impl Played {
    /// Waits for the answers and finds in the router's log which streams were cut.
    async fn collect(site: &Site, open: Vec<tokio::task::JoinHandle<Option<Response>>>) -> Self {
        let mut answers = Vec::new();
        for stream in open {
            let answer = stream.await.expect("the caller's task completes");
            answers.push(answer.expect("an answer"));
        }
        let router = &site.routers[0];
        let cut = || -> Vec<usize> {
            let failed = router.logged("attempt failed");
            let is_cut = |n: &usize| {
                let id = format!("r-{n}");
                let mut lines = failed.iter().filter(|line| line["request"] == *id);
                lines.any(|line| line["delivered"].as_u64() > Some(0))
            };
            (0..answers.len()).filter(is_cut).collect()
        };
        // The log is read in the background.
        eventually("the log tells of each answer that broke off", || async {
            let cut = cut();
            (0..answers.len()).all(|n| answers[n].is_complete() || cut.contains(&n))
        })
        .await;
        let cut = cut();
        Self { answers, cut }
    }

    /// Fails if a text was joined, or an answer is neither complete nor visibly broken off.
    fn check(&self) {
        for (n, answer) in self.answers.iter().enumerate() {
            let text = answer.text();
            let whole = answer.is_complete() || is_broken_off(answer);
            assert!(whole, "stream {n}: {}", answer.body);
            assert!(
                origin(&text, &format!("lot {n}")).is_some(),
                "stream {n} is joined: {text}"
            );
        }
    }

    /// Returns the share of the cut streams that went on to the end.
    fn share(&self) -> f64 {
        let whole = |n: &&usize| self.answers[**n].is_complete();
        let complete = self.cut.iter().filter(whole).count();
        complete as f64 / self.cut.len() as f64
    }

    /// Returns the version that wrote the answer to stream `n`.
    fn origin(&self, n: usize) -> Option<&'static str> {
        origin(&self.answers[n].text(), &format!("lot {n}"))
    }
}

/// Guards against an answer that goes on at an engine of another version, and against one that doesn't
/// go on although an engine of its version serves.
#[tokio::test(flavor = "multi_thread")]
async fn cut_streams_go_on_at_their_version() {
    const ROUNDS: usize = 20;
    const STREAMS: usize = 12;
    const TOKENS: u64 = 50;
    const SOUND_TIME: Duration = Duration::from_millis(300);
    let site = start(&["1", "1", "1", "2", "2", "2"], QUICK).await;
    let seed = std::env::var("FESCUE_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let mut rng = StdRng::seed_from_u64(seed.unwrap_or(7));
    let mut open = Vec::new();
    for round in 0..ROUNDS {
        let cut = EngineFaults {
            cut_after: rng.random_range(1..TOKENS),
            ..EngineFaults::default()
        };
        let engine = &site.engines[rng.random_range(0..site.engines.len())].0;
        engine.set_faults(cut);
        for n in round * STREAMS..(round + 1) * STREAMS {
            open.push(site.spawn_ask(0, &chat(&format!("r-{n}"), &format!("lot {n}"), TOKENS)));
        }
        sleep(Duration::from_millis(rng.random_range(60..160))).await;
        engine.set_faults(EngineFaults::default());
        // Most streams are cut once: a request has three attempts.
        sleep(SOUND_TIME).await;
    }
    let played = Played::collect(&site, open).await;
    played.check();
    let (cut, share) = (played.cut.len(), played.share());
    println!("{share:.3} of {cut} cut streams went on");
    assert!(cut >= 12, "only {cut} streams were cut");
    assert!(share >= 0.9, "only {share:.3} of {cut} cut streams went on");
    let bills = site.wait_for_bills(ROUNDS * STREAMS).await;
    for n in (0..played.answers.len()).filter(|n| played.answers[*n].is_complete()) {
        assert_eq!(bills[&format!("r-{n}")], 2 + TOKENS, "stream {n}");
    }
}

/// Guards against a stream that goes on at another version, or waits for its deadline, when no engine of
/// its own version is left.
#[tokio::test(flavor = "multi_thread")]
async fn streams_break_off_if_only_the_other_version_is_left() {
    for replaced in [false, true] {
        let site = start(&["1", "2"], SLOW).await;
        let open = site.open_streams(0, 12, 60).await;
        sleep(Duration::from_millis(200)).await;
        let cut_at = Instant::now();
        let engine = &site.engines[0].0;
        if replaced {
            engine.replace("2");
        } else {
            engine.set_faults(EngineFaults {
                down: true,
                ..EngineFaults::default()
            });
        }
        let played = Played::collect(&site, open).await;
        let took = cut_at.elapsed();
        played.check();
        assert!(!played.cut.is_empty(), "no stream was cut");
        for n in 0..12 {
            let of_cut = played.cut.contains(&n);
            assert_eq!(played.answers[n].is_complete(), !of_cut, "stream {n}");
            assert_eq!(played.origin(n), Some(VERSIONS[usize::from(!of_cut)]));
        }
        assert!(
            took < BREAK_OFF_TIME,
            "told after {took:?}, replaced: {replaced}"
        );
    }
}

/// Guards against trust in a report that is older than a replacement at the same address.
#[tokio::test(flavor = "multi_thread")]
async fn streams_pass_by_an_engine_replaced_after_its_report() {
    for unchecked_version in [false, true] {
        let site = start(&["1", "1", "1", "2"], SLOW).await;
        let open = site.open_streams(0, 12, 60).await;
        sleep(Duration::from_millis(200)).await;
        // Both stale engines still report the version that they had.
        for (engine, _) in &site.engines[..2] {
            engine.set_faults(EngineFaults {
                reported_version: "1".to_owned(),
                unchecked_version,
                ..EngineFaults::default()
            });
            engine.replace("2");
        }
        let played = Played::collect(&site, open).await;
        played.check();
        assert!(!played.cut.is_empty(), "no stream was cut");
        let share = played.share();
        assert!(
            share >= 0.9,
            "{share:.3} went on, unchecked: {unchecked_version}"
        );
    }
}

/// Guards against taking what can't be read, or nothing, for a version that two engines share.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_an_unknown_version_break_off_at_once() {
    let long = "1".repeat(65);
    for (case, version) in ["", "a\tb", "\u{e9}", &long].into_iter().enumerate() {
        for reported in ["", "1"] {
            let site = Site::start(&["dakar-1"], 2, QUICK).await;
            let other = format!("{version}\tc");
            for ((engine, _), version) in site.engines.iter().zip([version, &other]) {
                engine.replace(version);
                engine.set_faults(EngineFaults {
                    reported_version: reported.to_owned(),
                    ..EngineFaults::default()
                });
            }
            sleep(Duration::from_millis(700)).await;
            let cut = EngineFaults {
                cut_after: 7,
                ..site.engines[0].0.faults()
            };
            site.engines[0].0.set_faults(cut);
            let mut open = Vec::new();
            let started = Instant::now();
            for n in 0..12 {
                open.push(site.spawn_ask(0, &chat(&format!("r-{n}"), &format!("lot {n}"), 30)));
            }
            let played = Played::collect(&site, open).await;
            let took = started.elapsed();
            assert!(!played.cut.is_empty(), "no stream was cut");
            for n in &played.cut {
                let answer = &played.answers[*n];
                assert!(is_broken_off(answer), "case {case}: {}", answer.body);
                let known = text_of_version(version, &format!("lot {n}"), 7);
                assert_eq!(answer.text(), known, "case {case}");
            }
            assert!(took < Duration::from_secs(2), "told after {took:?}");
        }
    }
}

/// Guards against a continuation at the address that the rules give the engine's name now, and against
/// one that is given up before a new address has reported its version.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_their_version_after_a_change_of_the_rules() {
    let site = start(&["1", "1", "2"], SLOW).await;
    let first = site.rules();
    let only_first = |line: &&str| !line.contains("engine-1") && !line.contains("engine-2");
    let text: String = first
        .lines()
        .filter(only_first)
        .map(|line| format!("{line}\n"))
        .collect();
    let version = site.apply_rules("one", &text).await;
    site.wait_for_version(version).await;
    let open = site.open_streams(0, 12, 200).await;
    sleep(Duration::from_millis(200)).await;
    // The names change hands: `engine-1` is of the other version now, and `engine-0` is gone.
    let address = |index: usize| site.engines[index].1.address.to_string();
    let swapped = first.replace(&address(1), "first");
    let swapped = swapped
        .replace(&address(2), &address(1))
        .replace("first", &address(2));
    let swapped = swapped.lines().filter(|line| !line.contains("engine-0"));
    let swapped: String = swapped.map(|line| format!("{line}\n")).collect();
    let version = site.apply_rules("swapped", &swapped).await;
    site.wait_for_version(version).await;
    site.engines[0].0.set_faults(EngineFaults {
        down: true,
        ..EngineFaults::default()
    });
    let played = Played::collect(&site, open).await;
    played.check();
    assert_eq!(played.cut.len(), 12);
    assert!(played.share() >= 0.9, "{:.3} went on", played.share());
}

/// Guards against a stream that breaks off, or holds up requests that others can serve, while the engine
/// of its version is merely busy.
#[tokio::test(flavor = "multi_thread")]
async fn stream_waits_for_a_busy_engine_of_its_version() {
    let site = start(&["1", "1", "2"], SLOW).await;
    let version = site
        .apply_rules("one-slot", &site.rules().replace("slots=128", "slots=1"))
        .await;
    site.wait_for_version(version).await;
    wait_for_reports(&site, &["1", "1", "2"]).await;
    let open = site.open_streams(0, 3, 150).await;
    sleep(Duration::from_millis(300)).await;
    site.engines[0].0.set_faults(EngineFaults {
        down: true,
        ..EngineFaults::default()
    });
    sleep(Duration::from_millis(100)).await;
    // The engine of the other version is free soon after; the stream that was cut doesn't need it.
    let new = site.spawn_ask(0, &chat("new", "lot new", 5));
    let played = Played::collect(&site, open).await;
    played.check();
    assert_eq!(played.cut.len(), 1);
    assert!(
        played.share() >= 1.0,
        "{}",
        played.answers[played.cut[0]].body
    );
    let new = new
        .await
        .expect("the caller's task completes")
        .expect("an answer");
    assert!(new.is_complete(), "{}", new.body);
}
