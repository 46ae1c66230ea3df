//! Changes of every kind in series, beside callers with kept connections and upstreams that fall silent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::caller::{Caller, Kind, Outcome, RequestSpec};
use fescue_site::engine::{Faults, Upstream};
use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest};
use fescue_site::process::Gateway;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use super::gateway_site::{Site, status};

const LENGTH: Duration = Duration::from_secs(4);
const CALLERS: u64 = 24;
const SILENCE_PERCENT: u32 = 15;

/// The services that the routes are moved to and split with.
const OTHERS: [(&str, &str); 2] = [(ENGINES, "engines-b"), (LEDGER, "ledger-b")];

/// The shortest timeout of a route: a silent upstream answers well before it.
const MIN_TIMEOUT_MS: u64 = 5000;

/// The longest time in which all callers end their last requests.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// What the callers saw.
#[derive(Debug, Default)]
struct Tally {
    served: u64,
    /// The refused requests of the team whose key stays, by status.
    refused: BTreeMap<u16, u64>,
    faults: Vec<String>,
}

/// A team whose key comes and goes.
fn guest() -> Team {
    Team::new("guest", 100_000_000)
}

/// The configuration and the settings, which change step by step.
struct Changes {
    rng: StdRng,
    version: u64,
    wire: Value,
    settings: Value,
    path: std::path::PathBuf,
}

impl Changes {
    fn open(site: &Site, seed: u64) -> Self {
        let mut wire = manifest(1, &[site.team.clone(), guest()]);
        let services = wire["services"].as_array_mut().expect("services");
        for (known, other) in OTHERS {
            let same = services.iter().find(|service| service["name"] == known);
            let mut service = same.expect("a service").clone();
            service["name"] = json!(other);
            services.push(service);
        }
        for route in wire["routes"].as_array_mut().expect("routes") {
            route["timeout_ms"] = json!(MIN_TIMEOUT_MS);
        }
        let path = site.folder.join("vm-1.json");
        let text = std::fs::read_to_string(&path).expect("settings");
        Self {
            rng: StdRng::seed_from_u64(seed),
            version: 1,
            wire,
            settings: serde_json::from_str(&text).expect("valid settings"),
            path,
        }
    }

    /// Makes one change and publishes it.
    fn step(&mut self, site: &Site, gateway: &Gateway) {
        match self.rng.random_range(0..8) {
            0..2 => self.change_routes(),
            2 => self.change_timeouts(),
            3 => self.change_limits(),
            4 => self.change_keys(site),
            5 => self.change_services(),
            6 => return self.change_settings(gateway),
            _ => {
                // Settings that can't be read change nothing.
                std::fs::write(&self.path, "{").expect("a written file");
                return gateway.signal(Signal::HUP);
            }
        }
        self.publish(site);
    }

    fn publish(&mut self, site: &Site) {
        self.version += self.rng.random_range(1..4);
        self.wire["version"] = json!(self.version);
        site.store.store.put("op", "config", &self.wire);
    }

    /// Moves or splits a route, or adds or removes one that nobody uses.
    fn change_routes(&mut self) {
        let index = self.rng.random_range(0..4);
        let (a, b) = OTHERS[usize::from(index >= 2)];
        let weights = [(1, 0), (0, 1), (1, 1), (1, 9)];
        let (first, second) = weights.choose(&mut self.rng).expect("a weight");
        let services = self.wire["services"].as_array().expect("services");
        if !services.iter().any(|service| service["name"] == b) {
            // The store accepts no route to a service that isn't listed.
            return;
        }
        let routes = self.wire["routes"].as_array_mut().expect("routes");
        routes[index]["traffic_split"] = json!([
            { "service": a, "weight": first }, { "service": b, "weight": second },
        ]);
        match routes.len() {
            4 => {
                let mut route = routes[index].clone();
                route["name"] = json!("extra");
                route["prefix"] = json!("/extra/");
                routes.push(route);
            }
            _ => routes.truncate(4),
        }
    }

    fn change_timeouts(&mut self) {
        for route in self.wire["routes"].as_array_mut().expect("routes") {
            route["timeout_ms"] = json!(self.rng.random_range(MIN_TIMEOUT_MS..12_000));
            route["target_latency_ms"] = json!(self.rng.random_range(60..1500));
        }
    }

    fn change_limits(&mut self) {
        let limits = &mut self.wire["limits"];
        limits["idle_timeout_ms"] = json!(self.rng.random_range(2000..15_000));
        limits["header_timeout_ms"] = json!(self.rng.random_range(1000..5000));
    }

    /// Removes or adds the key of the second team, or the team, and raises the first team's tokens.
    fn change_keys(&mut self, site: &Site) {
        let mut own = site.team.clone();
        own.prepaid += self.rng.random_range(0..1_000_000);
        let mut teams = manifest(1, &[own, guest()])["tenants"].take();
        let list = teams.as_array_mut().expect("teams");
        match self.rng.random_range(0..3) {
            0 => list.truncate(1),
            1 => list[1]["api_keys"] = json!([]),
            _ => {}
        }
        self.wire["tenants"] = teams;
    }

    /// Drops the second service of a kind from all routes and from the list, or adds it again.
    fn change_services(&mut self) {
        let (known, other) = *OTHERS.choose(&mut self.rng).expect("a service");
        let services = self.wire["services"].as_array_mut().expect("services");
        let before = services.len();
        let mut service = services[usize::from(known == LEDGER)].clone();
        services.retain(|service| service["name"] != other);
        if services.len() == before {
            service["name"] = json!(other);
            services.push(service);
            return;
        }
        for route in self.wire["routes"].as_array_mut().expect("routes") {
            if route["service"] == known {
                route["traffic_split"] = json!([{ "service": known, "weight": 1 }]);
            }
        }
    }

    fn change_settings(&mut self, gateway: &Gateway) {
        let rng = &mut self.rng;
        let (ratio, extra) = [(0.0, 0.0), (0.1, 2.0), (0.2, 56.0)][rng.random_range(0..3)];
        self.settings["relist_ms"] = json!(rng.random_range(500..4000));
        self.settings["link_mbps"] = json!(rng.random_range(200..1000));
        self.settings["retries"] = json!({
            "window_s": rng.random_range(2..20),
            "ratio": ratio,
            "extra": extra,
        });
        std::fs::write(&self.path, self.settings.to_string()).expect("a written file");
        gateway.signal(Signal::HUP);
    }
}

/// Returns what is wrong with the outcome of a request.
fn fault(seen: &Outcome, guest: bool) -> Option<String> {
    let sound = match seen {
        Outcome::Served { .. } => true,
        Outcome::Refused {
            status,
            retry_after,
        } => match status.as_u16() {
            429 | 503 => retry_after.is_some(),
            401 => guest,
            _ => false,
        },
        Outcome::Broken(_) | Outcome::Wrong(_) => false,
    };
    (!sound).then(|| format!("{seen:?}"))
}

async fn call(
    address: std::net::SocketAddr,
    team: Team,
    seed: u64,
    until: Instant,
    tally: Arc<Mutex<Tally>>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut caller, guest) = (Caller::default(), team.name == "guest");
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let kind = *Kind::ALL.choose(&mut rng).expect("a kind");
        let mut spec = RequestSpec::new(kind, &team, &format!("g-{seed}-{number}"));
        spec.events = rng.random_range(2..20);
        spec.deadline = Duration::from_secs(20);
        let seen = caller.send(address, &spec).await;
        {
            let mut tally = tally.lock();
            match &seen {
                Outcome::Served { .. } => tally.served += 1,
                _ if guest => {}
                seen => *tally.refused.entry(status(seen).unwrap_or(0)).or_default() += 1,
            }
            let fault = fault(&seen, guest);
            tally
                .faults
                .extend(fault.map(|fault| format!("{}: {kind:?} {fault}", spec.id)));
        }
        sleep(Duration::from_millis(rng.random_range(0..150))).await;
    }
}

async fn play(seed: u64) {
    let mut site = Site::open(&format!("changes-{seed}"), 100_000_000).await;
    for (name, (_, service)) in ["b-0", "b-1"].into_iter().zip(OTHERS) {
        // A service with one upstream leaves none that could take a request over.
        let other = Upstream::spawn(name, &site.record).await;
        let other = other.expect("an upstream");
        site.register(&other, service, false);
        site.engines.push(other);
    }
    for upstream in site.engines.iter().chain(&site.ledgers) {
        upstream.set_faults(Faults {
            silence_percent: SILENCE_PERCENT,
            ..Faults::default()
        });
    }
    let gateway = site.ready("vm-1").await;
    let mut changes = Changes::open(&site, seed);
    changes.publish(&site);
    sleep(Duration::from_millis(300)).await;
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let until = Instant::now() + LENGTH;
    let callers = (0..CALLERS).map(|index| {
        let team = [site.team.clone(), guest()][usize::from(index % 4 == 3)].clone();
        let seed = seed * 1000 + index;
        let (address, tally) = (gateway.ports.callers, Arc::clone(&tally));
        tokio::spawn(call(address, team, seed, until, tally))
    });
    let callers: Vec<_> = callers.collect();
    while Instant::now() < until {
        changes.step(&site, &gateway);
        let pause = changes.rng.random_range(10..200);
        sleep(Duration::from_millis(pause)).await;
    }
    for caller in callers {
        let ended = timeout(END_TIMEOUT, caller).await;
        assert!(matches!(ended, Ok(Ok(()))), "seed {seed}: {ended:?}");
    }
    assert!(gateway.exit_status().is_none(), "seed {seed}: exited");
    let tally = std::mem::take(&mut *tally.lock());
    println!(
        "seed {seed}: {} served, refused {:?}, version {}",
        tally.served, tally.refused, changes.version
    );
    assert!(tally.faults.is_empty(), "seed {seed}: {:#?}", tally.faults);
    let refused: u64 = tally.refused.values().sum();
    assert!(tally.served > 4 * refused, "seed {seed}: {tally:?}");
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against a request that gets neither a complete answer nor a refusal with the time for its
/// retry, while the configuration and the settings change.
///
/// FESCUE_SEED and FESCUE_CASES replace the first seed and the number of runs.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_answers_each_request_beside_changes() {
    let first = number("FESCUE_SEED").unwrap_or(1);
    let count = number("FESCUE_CASES").unwrap_or(2);
    for seed in first..first + count {
        play(seed).await;
    }
}
