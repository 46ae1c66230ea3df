//! Streams that break while upstreams of two software versions serve: what two versions write doesn't fit
//! together, so each stream goes on only at the version that began it.

mod breaks;
mod deaths;
mod draining;
mod entries;
mod lookups;
mod out_of_step;
mod restarts;
mod services;
mod stops;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fescue_site::caller::{Kind, RequestSpec};
use fescue_site::engine::{Faults, Upstream};
use fescue_site::manifest::{ENGINES, Team, manifest};
use fescue_site::process::Gateway;
use fescue_site::resuming::{Ending, Stream};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::gateway_site::{EXIT_TIMEOUT, READY_TIMEOUT, Site};

/// Time for the routers to list each other, which takes two scans.
const DISCOVERY: Duration = Duration::from_secs(5);

/// Time for a change in the store to reach the routers.
const PROPAGATION: Duration = Duration::from_millis(500);

/// Time within which a request is refused that is known not to be served, whatever its deadline.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Deadline of the streams, over all attempts.
const DEADLINE: Duration = Duration::from_secs(30);

/// The number of events of a stream, which takes about 0.5 s.
const EVENTS: u64 = 50;

/// The number of events after which callers leave that resume their streams elsewhere.
const LEAVE_AFTER: u64 = 5;

/// The number of attempts of one stream, where routers that serve are asked.
const MAX_ATTEMPTS: usize = 8;

/// The share of the resumed streams that must go on, in percent.
const MIN_CONTINUED_PERCENT: usize = 90;

/// The fewest resumed streams of which a share is taken.
const MIN_STREAMS: usize = 12;

/// Routers before upstreams of several versions.
struct Fleet {
    site: Site,
    gateways: Vec<Gateway>,
    engines: Vec<Upstream>,
    /// When the process of each engine started, by id, in milliseconds since 1970.
    born: HashMap<String, u64>,
    manifests: u64,
    streams: usize,
}

impl Fleet {
    /// Starts routers before the given engines, by id and version, and waits until they know each other.
    async fn open(name: &str, routers: usize, engines: &[(&str, &str)]) -> Self {
        let site = Site::open(name, 100_000_000).await;
        for engine in &site.engines {
            site.store.store.remove("servers", &engine.id);
        }
        let mut fleet = Self {
            site,
            gateways: Vec::new(),
            engines: Vec::new(),
            born: HashMap::new(),
            manifests: 1,
            streams: 0,
        };
        for (id, version) in engines {
            fleet.add(id, version).await;
        }
        for index in 0..routers {
            fleet
                .gateways
                .push(fleet.site.spawn(&format!("vm-{index}")));
        }
        fleet.await_ready().await;
        if routers > 1 {
            tokio::time::sleep(DISCOVERY).await;
        }
        fleet
    }

    /// Starts routers before four engines of each of two versions.
    async fn with_two_versions(name: &str, routers: usize) -> Self {
        let old = ["o-0", "o-1", "o-2", "o-3"];
        let new = ["n-0", "n-1", "n-2", "n-3"];
        let old = old.map(|id| (id, "v1"));
        let new = new.map(|id| (id, "v2"));
        Self::open(name, routers, &[old, new].concat()).await
    }

    async fn await_ready(&self) {
        for gateway in &self.gateways {
            assert!(
                gateway.await_ready(READY_TIMEOUT).await,
                "a router is ready"
            );
        }
    }

    /// Starts an engine and registers it.
    async fn add(&mut self, id: &str, version: &str) {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = self.bind(any, id, version).await;
        self.register(&engine, &json!({}));
        self.engines.push(engine);
    }

    async fn bind(&mut self, address: SocketAddr, id: &str, version: &str) -> Upstream {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.expect("a time after 1970").as_millis() as u64;
        self.born.insert(id.to_owned(), now);
        let engine = Upstream::bind(address, id, version, &self.site.record).await;
        engine.expect("the address is free")
    }

    /// Registers an engine; `fields` replace those of its entry.
    fn register(&self, engine: &Upstream, fields: &Value) {
        self.register_at(ENGINES, engine, fields);
    }

    /// Registers an engine of a service, with more slots than a test has streams.
    fn register_at(&self, service: &str, engine: &Upstream, fields: &Value) {
        let mut entry = json!({ "slots": 256, "born": self.born[&engine.id] });
        for (name, value) in fields.as_object().into_iter().flatten() {
            entry[name] = value.clone();
        }
        self.site.register_with(engine, service, &entry);
    }

    /// Starts an engine at the address of another one, which is ended. It isn't registered.
    async fn replace(&mut self, index: usize, id: &str, version: &str) {
        self.engines[index].kill();
        let address = self.engines[index].address;
        self.engines[index] = self.bind(address, id, version).await;
    }

    /// Lets two engines of each version leave, so that the streams that they began go on elsewhere. Two of
    /// each version are left.
    async fn retire_half(&self) {
        for engine in self.engines.iter().filter(|engine| is_retired(engine)) {
            self.site.store.store.remove("servers", &engine.id);
            engine.kill();
        }
        tokio::time::sleep(PROPAGATION).await;
    }

    fn set_cuts(&self, percent: u32) {
        for engine in &self.engines {
            engine.set_faults(Faults {
                cut_percent: percent,
                ..Faults::default()
            });
        }
    }

    /// Publishes a manifest that `edit` has changed.
    fn publish(&mut self, teams: &[Team], edit: impl FnOnce(&mut Value)) {
        self.manifests += 1;
        let mut wire = manifest(self.manifests, teams);
        edit(&mut wire);
        self.site.store.store.put("op", "config", &wire);
    }

    fn callers(&self, router: usize) -> SocketAddr {
        self.gateways[router].ports.callers
    }

    /// Returns the addresses of some routers.
    fn all_callers(&self, routers: &[usize]) -> Vec<SocketAddr> {
        routers.iter().map(|router| self.callers(*router)).collect()
    }

    /// Returns a new stream, whose prompt differs from those of the others, so that placement spreads them.
    fn stream(&mut self, events: u64) -> Stream {
        self.streams += 1;
        let mut spec: RequestSpec = self.site.ask(Kind::Chat, &format!("s{}", self.streams));
        spec.part = format!("{:x}", self.streams);
        spec.events = events;
        spec.deadline = DEADLINE;
        Stream::new(spec)
    }

    /// Begins streams at a router, whose callers leave after a few events.
    async fn begin(&mut self, router: usize, count: usize) -> Vec<Stream> {
        let address = self.callers(router);
        let streams = (0..count).map(|_| self.stream(EVENTS));
        let streams: Vec<_> = streams.collect();
        each(streams, async move |stream| {
            let ending = stream.attempt(address, LEAVE_AFTER).await;
            assert_eq!(ending, Ending::Left, "{stream:?}");
        })
        .await
    }

    /// Starts streams at routers in turn, which run until their connections break.
    fn start(&mut self, routers: &[usize], count: usize, events: u64) -> JoinSet<Stream> {
        let mut running = JoinSet::new();
        let addresses = self.all_callers(routers);
        for address in addresses.into_iter().cycle().take(count) {
            let mut stream = self.stream(events);
            running.spawn(async move {
                stream.attempt(address, u64::MAX).await;
                stream
            });
        }
        running
    }

    /// Resumes streams at routers in turn until they are complete.
    async fn resume(&self, streams: Vec<Stream>, routers: &[usize], most: usize) -> Vec<Stream> {
        let addresses = self.all_callers(routers);
        each(streams, async move |stream| {
            stream.run(&addresses, most).await
        })
        .await
    }

    async fn kill(&self, routers: &[usize]) {
        for router in routers {
            self.gateways[*router].signal(Signal::KILL);
        }
        for router in routers {
            self.gateways[*router].await_exit(EXIT_TIMEOUT).await;
        }
    }

    /// Starts a router again as a process of the same VM.
    fn restart(&mut self, router: usize) {
        self.gateways[router] = self.site.spawn(&format!("vm-{router}"));
    }
}

/// Returns whether an engine is among those that leave with [`Fleet::retire_half`].
fn is_retired(engine: &Upstream) -> bool {
    engine.id.ends_with("-0") || engine.id.ends_with("-1")
}

/// Runs a job for all streams at once.
async fn each<F>(streams: Vec<Stream>, job: F) -> Vec<Stream>
where
    F: AsyncFn(&mut Stream),
{
    let jobs = streams.into_iter().map(async |mut stream| {
        job(&mut stream).await;
        stream
    });
    futures_util::future::join_all(jobs).await
}

/// Checks that no stream is joined or has a wrong text, and that a router refuses only with status 503.
fn assert_none_joined(streams: &[Stream]) {
    let joined = streams.iter().filter(|stream| stream.is_joined()).count();
    let wrong: Vec<_> = streams.iter().flat_map(Stream::faults).take(3).collect();
    let attempts = streams.iter().flat_map(|stream| &stream.attempts);
    let refused = attempts.filter_map(|attempt| match &attempt.ending {
        Ending::Refused { status, .. } if status.as_u16() != 503 => Some((&attempt.id, status)),
        _ => None,
    });
    let refused: Vec<_> = refused.collect();
    let count = streams.len();
    assert_eq!(joined, 0, "joined of {count} streams");
    assert!(
        wrong.is_empty() && refused.is_empty(),
        "{wrong:?} {refused:?}"
    );
}

/// Checks that no stream is joined and that nearly all of those that were resumed go on.
fn assert_continued(streams: &[Stream]) {
    let resumed: Vec<_> = streams
        .iter()
        .filter(|stream| stream.was_resumed())
        .collect();
    let lost = resumed.iter().filter(|stream| !stream.went_on());
    let lost: Vec<_> = lost.collect();
    let (all, on) = (resumed.len(), resumed.len() - lost.len());
    println!("{on} of {all} resumed streams went on");
    assert_none_joined(streams);
    assert!(all >= MIN_STREAMS, "only {all} resumed streams");
    let sample = &lost[..lost.len().min(2)];
    assert!(
        on * 100 >= all * MIN_CONTINUED_PERCENT,
        "{on} of {all} go on; others: {sample:#?}"
    );
}

/// Checks that the last attempt of a stream was refused at once as not run.
fn assert_refused(stream: &Stream) {
    let last = stream.attempts.last().expect("an attempt");
    let refused = matches!(&last.ending, Ending::Refused { status, .. } if status.as_u16() == 503);
    assert!(
        refused && last.length < REFUSAL_TIMEOUT,
        "{last:?} of a stream of {:?}",
        stream.version()
    );
}
