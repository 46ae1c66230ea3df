//! The metrics of a gateway, in the Prometheus text format.

mod teams;

use std::sync::Arc;

use fescue_core::Tokens;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

pub use teams::{MAX_TEAMS, NO_TEAM, OTHER_TEAMS, Outcome, TeamRequests};

/// Labels of finished requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// HTTP status of the answer.
    pub status: u16,
    /// Outcome or cause of failure, as a stable identifier.
    pub reason: &'static str,
}

/// Labels of attempts at upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// Result of the attempt, as a stable identifier.
    pub outcome: &'static str,
}

/// Labels of prompts that the homes of shards were asked to place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ScheduledLabels {
    /// `placed`, `fallback` or `refused`.
    pub outcome: &'static str,
}

/// Labels of calls to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Kind of call.
    pub call: &'static str,
    /// `ok` or `failed`.
    pub outcome: &'static str,
}

/// Labels of tokens transferred between routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TransferLabels {
    /// `given`, `received`, `returned`, `taken_back` or `lost`.
    pub event: &'static str,
}

/// Labels of messages about tokens between routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TokenMessageLabels {
    /// `asked`, `question`, `answer`, `held` or `returned`.
    pub kind: &'static str,
}

/// Labels of bytes exchanged with callers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabels {
    /// `received` or `sent`.
    pub direction: &'static str,
}

/// The metrics of one gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests by status and reason.
    pub requests: Family<RequestLabels, Counter>,
    /// Ended requests by team and outcome.
    pub teams: Arc<TeamRequests>,
    /// Attempts at upstreams by outcome.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Placements of prompts for model engines by outcome.
    pub scheduled: Family<ScheduledLabels, Counter>,
    /// Prompt tokens that the engines scheduled by this router have yet to read.
    pub reading_tokens: Gauge,
    /// Seconds from a question for an engine to the answer.
    pub schedule_seconds: Histogram,
    /// Calls to the store by kind and outcome.
    pub store: Family<StoreCallLabels, Counter>,
    /// Seconds from the arrival of a request to the first event or the answer.
    pub first_byte: Histogram,
    /// Seconds from the first event of a stream until the store has its origin.
    pub origin_seconds: Histogram,
    /// Tokens consumed by finished requests.
    pub tokens: Counter,
    /// Tokens transferred between routers by event.
    pub moved: Family<TransferLabels, Counter>,
    /// Messages about tokens by kind.
    pub token_messages: Family<TokenMessageLabels, Counter>,
    /// Connections that callers have opened.
    pub connections: Counter,
    /// Bytes received from callers and sent to them, without packet headers.
    pub caller_bytes: Family<DirectionLabels, Counter>,
    /// Utilization of the VM's link in percent.
    pub link_percent: Gauge,
    /// Part of the time for which the process's tasks run, in percent.
    pub processor_percent: Gauge,
    /// Number of open requests.
    pub running: Gauge,
    /// Log lines dropped since the start because the output was slow.
    pub log_dropped: Gauge,
    /// Version of the configuration in force.
    pub manifest_version: Gauge,
    /// Number of upstreams listed by the platform.
    pub upstreams: Gauge,
    /// Number of data centres that are evacuated.
    pub evacuated_data_centres: Gauge,
    /// Number of upstreams that are cold.
    pub cold_upstreams: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("fescue_gateway"),
            requests: Family::default(),
            teams: Arc::default(),
            attempts: Family::default(),
            scheduled: Family::default(),
            reading_tokens: Gauge::default(),
            schedule_seconds: Histogram::new(exponential_buckets(0.0005, 2.0, 8)),
            store: Family::default(),
            first_byte: Histogram::new(exponential_buckets(0.001, 2.0, 15)),
            origin_seconds: Histogram::new(exponential_buckets(0.005, 2.0, 12)),
            tokens: Counter::default(),
            moved: Family::default(),
            token_messages: Family::default(),
            connections: Counter::default(),
            caller_bytes: Family::default(),
            link_percent: Gauge::default(),
            processor_percent: Gauge::default(),
            running: Gauge::default(),
            log_dropped: Gauge::default(),
            manifest_version: Gauge::default(),
            upstreams: Gauge::default(),
            evacuated_data_centres: Gauge::default(),
            cold_upstreams: Gauge::default(),
        };
        metrics.register()
    }
}

impl Metrics {
    fn register(mut self) -> Self {
        let r = &mut self.registry;
        let help = "Requests by status and reason.";
        r.register("requests", help, self.requests.clone());
        r.register_collector(Box::new(Arc::clone(&self.teams)));
        let help = "Tries at upstreams by outcome.";
        r.register("attempts", help, self.attempts.clone());
        let help = "Placements of prompts for model engines, by outcome.";
        r.register("scheduled", help, self.scheduled.clone());
        let help = "Prompt tokens yet to be read by the engines that this router schedules.";
        r.register("reading_tokens", help, self.reading_tokens.clone());
        let help = "Seconds from a question for an engine to the answer.";
        r.register("schedule_seconds", help, self.schedule_seconds.clone());
        let help = "Calls of the platform's store by outcome.";
        r.register("store_calls", help, self.store.clone());
        let help = "Seconds from arrival to the first event or the answer.";
        r.register("first_byte_seconds", help, self.first_byte.clone());
        let help = "Seconds from a stream's first event until the store has its origin.";
        r.register("origin_seconds", help, self.origin_seconds.clone());
        r.register("tokens", "Tokens consumed.", self.tokens.clone());
        let help = "Tokens that moved between routers, by what happened to them.";
        r.register("tokens_moved", help, self.moved.clone());
        let help = "Messages about tokens between routers, sent or received, by kind.";
        r.register("token_messages", help, self.token_messages.clone());
        let help = "Connections that callers have opened.";
        r.register("connections", help, self.connections.clone());
        let help = "Bytes received from callers and sent to them.";
        r.register("caller_bytes", help, self.caller_bytes.clone());
        let help = "Percent of the VM's link in use.";
        r.register("link_percent", help, self.link_percent.clone());
        let help = "Percent of the time for which the process's tasks run.";
        let gauge = self.processor_percent.clone();
        r.register("processor_percent", help, gauge);
        r.register("running", "Requests that are open.", self.running.clone());
        let help = "Log lines dropped since the start.";
        r.register("log_dropped", help, self.log_dropped.clone());
        let help = "The configuration's version in force.";
        r.register("manifest_version", help, self.manifest_version.clone());
        let help = "Upstreams that are listed.";
        r.register("upstreams", help, self.upstreams.clone());
        let help = "Data centres that are evacuated.";
        let gauge = self.evacuated_data_centres.clone();
        r.register("evacuated_data_centres", help, gauge);
        let help = "Upstreams that are cold.";
        r.register("cold_upstreams", help, self.cold_upstreams.clone());
        self
    }

    /// Counts bytes that were received from callers, and bytes sent to them.
    pub fn count_bytes(&self, received: u64, sent: u64) {
        for (direction, bytes) in [("received", received), ("sent", sent)] {
            let labels = DirectionLabels { direction };
            self.caller_bytes.get_or_create(&labels).inc_by(bytes);
        }
    }

    /// Counts a finished request.
    pub fn count_request(&self, status: u16, reason: &'static str) {
        let ending = RequestLabels { status, reason };
        self.requests.get_or_create(&ending).inc();
    }

    /// Counts an attempt at an upstream.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&AttemptLabels { outcome })
            .inc();
    }

    /// Counts a placement of a prompt; see [`ScheduledLabels::outcome`].
    pub fn count_scheduled(&self, outcome: &'static str) {
        let labels = ScheduledLabels { outcome };
        self.scheduled.get_or_create(&labels).inc();
    }

    /// Counts tokens transferred between routers; see [`TransferLabels::event`].
    pub fn count_transfer(&self, event: &'static str, tokens: Tokens) {
        let moved = self.moved.get_or_create(&TransferLabels { event });
        moved.inc_by(tokens.get());
    }

    /// Counts a message about tokens; see [`TokenMessageLabels::kind`].
    pub fn count_token_message(&self, kind: &'static str) {
        let labels = TokenMessageLabels { kind };
        self.token_messages.get_or_create(&labels).inc();
    }

    /// Counts a call to the store and whether it succeeded.
    pub fn count_store(&self, call: &'static str, good: bool) {
        let outcome = if good { "ok" } else { "failed" };
        self.store
            .get_or_create(&StoreCallLabels { call, outcome })
            .inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _written = encode(&mut text, &self.registry);
        text
    }
}
