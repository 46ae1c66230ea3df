//! The router's metrics, in the Prometheus text format.

use fescue_core::Priority;
use fescue_core::outcome::Reason;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The label set of metrics that are counted by priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByPriority {
    priority: &'static str,
}

/// The label set of metrics that are counted by the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByReason {
    reason: &'static str,
}

/// The metrics of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// The number of chat completions answered in full.
    pub answered: Family<ByPriority, Counter>,
    /// The number of refusals sent as responses; a failure within a stream is not counted.
    pub refused: Family<ByReason, Counter>,
    /// Seconds from the arrival of a chat request to the headers of the engine's answer.
    pub first_token: Family<ByPriority, Histogram>,
    /// The number of tokens billed to all budgets.
    pub billed_tokens: Counter,
    /// Bills of requests that had been billed before.
    pub duplicate_bills: Counter,
    /// Answers completed while their bill was stored on this router only.
    pub exposed_bills: Counter,
    /// Answers in which an upstream used more than its bound.
    pub over_bound: Counter,
    /// The number of requests running now.
    pub running: Gauge,
    /// Failed calls to the table service.
    pub store_failures: Counter,
    /// The number of tokens transferred from peers' allowances to this router.
    pub taken_tokens: Counter,
}

fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("fescue"),
            answered: Family::default(),
            refused: Family::default(),
            first_token: Family::new_with_constructor(seconds),
            billed_tokens: Counter::default(),
            duplicate_bills: Counter::default(),
            exposed_bills: Counter::default(),
            over_bound: Counter::default(),
            running: Gauge::default(),
            store_failures: Counter::default(),
            taken_tokens: Counter::default(),
        };
        metrics.register()
    }
}

impl Metrics {
    fn register(mut self) -> Self {
        let r = &mut self.registry;
        r.register("answered", "Requests answered.", self.answered.clone());
        r.register("refused", "Requests refused.", self.refused.clone());
        let help = "Seconds from a request's arrival to its first token.";
        r.register("first_token_seconds", help, self.first_token.clone());
        r.register(
            "billed_tokens",
            "Tokens billed.",
            self.billed_tokens.clone(),
        );
        let help = "Bills of requests that had been billed before.";
        r.register("duplicate_bills", help, self.duplicate_bills.clone());
        let help = "Answers released while their bill had no copy elsewhere.";
        r.register("exposed_bills", help, self.exposed_bills.clone());
        let help = "Answers in which an upstream used more than the bound.";
        r.register("over_bound", help, self.over_bound.clone());
        r.register("running", "Requests that run now.", self.running.clone());
        let help = "Calls of the table service that failed.";
        r.register("store_failures", help, self.store_failures.clone());
        let help = "Tokens taken from peers.";
        r.register("taken_tokens", help, self.taken_tokens.clone());
        self
    }

    /// Returns the label set of a priority.
    pub fn by_priority(priority: Priority) -> ByPriority {
        let priority = priority.as_str();
        ByPriority { priority }
    }

    /// Counts a refusal under its reason.
    pub fn count_refusal(&self, reason: Reason) {
        let reason = reason.code();
        self.refused.get_or_create(&ByReason { reason }).inc();
    }

    /// Returns all metrics as text for a scrape.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` can't fail.
        let _written = encode(&mut text, &self.registry);
        text
    }
}
