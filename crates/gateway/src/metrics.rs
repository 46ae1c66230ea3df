//! What operators measure of a gateway, in the text format of Prometheus.

use fescue_core::Tokens;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Names a route and how a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Ending {
    /// The answer's status.
    pub status: u16,
    /// Why, as a stable word.
    pub reason: &'static str,
}

/// Names how a try at an upstream went.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Attempt {
    /// The outcome.
    pub outcome: &'static str,
}

/// Names a kind of call of the store and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCall {
    /// What was asked for.
    pub call: &'static str,
    /// How it went.
    pub outcome: &'static str,
}

/// Names what happened to tokens between routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Moved {
    /// Given to another router, received, returned to a home, taken back by it, or lost on the way.
    pub event: &'static str,
}

/// The metrics of one gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: Family<Ending, Counter>,
    /// Tries at upstreams by outcome.
    pub attempts: Family<Attempt, Counter>,
    /// Calls of the store.
    pub store: Family<StoreCall, Counter>,
    /// Seconds from a request's arrival to the first event or the answer.
    pub first_byte: Histogram,
    /// Tokens consumed.
    pub tokens: Counter,
    /// Tokens that moved between routers.
    pub moved: Family<Moved, Counter>,
    /// How much of the VM's link is used, in percent.
    pub link_percent: Gauge,
    /// Requests that are open.
    pub running: Gauge,
    /// Log lines dropped because the output was slow.
    pub log_dropped: Gauge,
    /// The version of the configuration in force.
    pub manifest_version: Gauge,
    /// The upstreams that are listed.
    pub upstreams: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("fescue_gateway"),
            requests: Family::default(),
            attempts: Family::default(),
            store: Family::default(),
            first_byte: Histogram::new(exponential_buckets(0.001, 2.0, 15)),
            tokens: Counter::default(),
            moved: Family::default(),
            link_percent: Gauge::default(),
            running: Gauge::default(),
            log_dropped: Gauge::default(),
            manifest_version: Gauge::default(),
            upstreams: Gauge::default(),
        };
        metrics.register()
    }
}

impl Metrics {
    fn register(mut self) -> Self {
        let r = &mut self.registry;
        let help = "Requests by status and reason.";
        r.register("requests", help, self.requests.clone());
        let help = "Tries at upstreams by outcome.";
        r.register("attempts", help, self.attempts.clone());
        let help = "Calls of the platform's store by outcome.";
        r.register("store_calls", help, self.store.clone());
        let help = "Seconds from arrival to the first event or the answer.";
        r.register("first_byte_seconds", help, self.first_byte.clone());
        r.register("tokens", "Tokens consumed.", self.tokens.clone());
        let help = "Tokens that moved between routers, by what happened to them.";
        r.register("tokens_moved", help, self.moved.clone());
        let help = "Percent of the VM's link in use.";
        r.register("link_percent", help, self.link_percent.clone());
        r.register("running", "Requests that are open.", self.running.clone());
        let help = "Log lines dropped since the start.";
        r.register("log_dropped", help, self.log_dropped.clone());
        let help = "The configuration's version in force.";
        r.register("manifest_version", help, self.manifest_version.clone());
        let help = "Upstreams that are listed.";
        r.register("upstreams", help, self.upstreams.clone());
        self
    }

    /// Counts a request's end.
    pub fn count_request(&self, status: u16, reason: &'static str) {
        let ending = Ending { status, reason };
        self.requests.get_or_create(&ending).inc();
    }

    /// Counts a try at an upstream.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Attempt { outcome }).inc();
    }

    /// Counts tokens that moved between routers.
    pub fn count_moved(&self, event: &'static str, tokens: Tokens) {
        let moved = self.moved.get_or_create(&Moved { event });
        moved.inc_by(tokens.get());
    }

    /// Counts a call of the store.
    pub fn count_store(&self, call: &'static str, good: bool) {
        let outcome = if good { "ok" } else { "failed" };
        self.store.get_or_create(&StoreCall { call, outcome }).inc();
    }

    /// Writes all metrics as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _written = encode(&mut text, &self.registry);
        text
    }
}
