//! The log lines and counts of requests that end without an upstream's answer.

use std::sync::Arc;

use fescue_core::{Refusal, ServiceId, TeamId};
use tokio::time::Instant;

use crate::crowd::Load;
use crate::gateway::Gateway;
use crate::metrics::Outcome;
use crate::model::Route;

/// What is known of a request so far; the steps of its admission fill it in.
#[derive(Debug, Default)]
pub struct Known {
    /// The route that its host and path matched.
    pub route: Option<Arc<Route>>,
    /// The team that holds its key.
    pub team: Option<TeamId>,
    /// The service that it goes to, or would go to.
    pub service: Option<ServiceId>,
    /// Its rank; zero is the most urgent.
    pub rank: Option<u8>,
    /// The router's load, if that was the reason to refuse it.
    pub load: Option<Load>,
}

impl Known {
    fn route(&self) -> Option<&str> {
        self.route.as_ref().map(|route| route.name.as_str())
    }

    fn team(&self) -> Option<&str> {
        self.team.as_ref().map(TeamId::as_str)
    }

    fn service(&self) -> Option<&str> {
        self.service.as_ref().map(ServiceId::as_str)
    }
}

/// Logs and counts a request that is refused or whose caller disconnects before it is answered; the latter
/// when dropped.
pub struct RequestLogger<'a> {
    gateway: &'a Gateway,
    id: &'a str,
    arrival: Instant,
    answered: bool,
    /// What is known of the request so far.
    pub known: Known,
}

impl<'a> RequestLogger<'a> {
    /// Creates the logger of a request that has arrived.
    pub fn open(gateway: &'a Gateway, id: &'a str, arrival: Instant) -> Self {
        Self {
            gateway,
            id,
            arrival,
            answered: false,
            known: Known::default(),
        }
    }

    /// Notes that the request is answered.
    pub fn answer(&mut self) {
        self.answered = true;
    }

    fn elapsed_ms(&self) -> u64 {
        self.arrival.elapsed().as_millis() as u64
    }

    /// Logs and counts a refusal.
    pub fn refuse(&self, refusal: &Refusal) {
        let (status, reason) = (refusal.reason.status(), refusal.reason.code());
        let metrics = &self.gateway.metrics;
        metrics.count_request(status, reason);
        metrics
            .teams
            .count(self.known.team.as_ref(), refusal.reason.into());
        let load = self.known.load.as_ref();
        tracing::info!(
            request = self.id,
            status,
            reason,
            team = self.known.team(),
            route = self.known.route(),
            service = self.known.service(),
            rank = self.known.rank,
            execution = refusal.execution.as_str(),
            retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64),
            ms = self.elapsed_ms(),
            busy_percent = load.map(Load::busy_percent),
            processor_percent = load.map(Load::processor_percent),
            link_percent = load.map(Load::link_percent),
            limit = load.and_then(Load::limit_rate),
            withdrawn = load.map(|load| load.withdrawn),
            detail = refusal.message,
            "refused"
        );
    }
}

impl Drop for RequestLogger<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let teams = &self.gateway.metrics.teams;
        teams.count(self.known.team.as_ref(), Outcome::Left);
        tracing::info!(
            request = self.id,
            team = self.known.team(),
            route = self.known.route(),
            service = self.known.service(),
            rank = self.known.rank,
            ms = self.elapsed_ms(),
            "caller disconnected before a response was sent"
        );
    }
}
