//! The choice of an upstream for an attempt, within the limits that upstreams name.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::UpstreamId;
use fescue_policy::rate_limit::RequestRate;
use tokio::time::{Instant, timeout, timeout_at};

use super::Job;
use crate::origins::Continuation;
use crate::permits;
use crate::schedulers::Grant;
use crate::upstreams::{Block, Requirements, Slot};

/// The longest wait for an upstream to become available before the first attempt.
const MAX_UPSTREAM_WAIT: Duration = Duration::from_secs(1);

/// The part of its target for which a request waits for an upstream's limit.
const HELD_PART: u32 = 8;

/// The shortest wait for an upstream's limit.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(5);

/// The number of limited upstreams that one request is tried at.
const MAX_DENIALS: usize = 4;

impl Job {
    /// Waits for a slot at an upstream; `None` if none may be used in time. A request that may have run
    /// waits until its deadline, since nothing else can complete it.
    pub(super) async fn acquire(&mut self) -> Option<Slot> {
        if let Some(slot) = self.secured.take() {
            return Some(slot);
        }
        let gateway = Arc::clone(&self.gateway);
        let (mut give_up, mut hold_until) = (self.deadline, self.deadline);
        if self.sends == 0 {
            give_up = give_up.min(Instant::now() + MAX_UPSTREAM_WAIT);
            hold_until = hold_until.min(Instant::now() + self.route.target / HELD_PART);
        }
        loop {
            let changed = gateway.changed.notified();
            let evacuated = gateway.evacuations.changed.notified();
            if let Some(slot) = self.try_acquire().await {
                self.limited = None;
                return Some(slot);
            }
            if self.saturated.is_some() || !self.can_continue() || self.is_excluded() {
                return None;
            }
            if let Some(Block { wait, .. }) = self.limited {
                if Instant::now() + wait >= hold_until {
                    return None;
                }
                // An evacuation may leave nothing to wait for.
                let _woken = timeout(wait.max(MIN_LIMIT_WAIT), evacuated).await;
                continue;
            }
            let exhausted = self.sends == 0 && !self.tried.is_empty();
            if exhausted || timeout_at(give_up, changed).await.is_err() {
                return None;
            }
        }
    }

    /// Acquires a slot at an upstream whose limit, if it names one, allows the request.
    pub(super) async fn try_acquire(&mut self) -> Option<Slot> {
        let claim = permits::claim(self.team.as_ref(), self.rank);
        let mut denied = Vec::new();
        let mut shortest: Option<Duration> = None;
        // A request that waits for limits or pauses has asked before.
        let scheduled = self.limited.is_none() && self.is_scheduled();
        let mut grant = None;
        if scheduled {
            match self.schedule().await {
                Ok(granted) => grant = granted,
                Err(wait) => {
                    self.gateway.metrics.count_scheduled("refused");
                    self.saturated = Some(wait);
                    return None;
                }
            }
        }
        while let Some(mut slot) = self.place(&denied, grant.take()) {
            let server = Arc::clone(slot.server());
            let Some(rate) = server.limit(self.gateway.now()) else {
                self.log_placed(&slot, None, scheduled);
                return Some(slot);
            };
            match permits::take(&self.gateway, &server, rate, claim).await {
                Ok(permit) => {
                    slot.mark_permitted(permit);
                    self.log_placed(&slot, Some(rate), scheduled);
                    return Some(slot);
                }
                Err(denial) => {
                    slot.cancel();
                    if denial.empty {
                        server.block(denial.wait);
                    }
                    denied.push(server.entry.id.clone());
                    let wait = shortest.map_or(denial.wait, |known| known.min(denial.wait));
                    shortest = Some(wait);
                }
            }
        }
        let servers = self.gateway.servers.lock();
        let blocked = servers.blocked(&self.requirements(&[]), self.gateway.now());
        drop(servers);
        let denied = shortest.map(|wait| Block {
            wait,
            pausing: false,
        });
        self.limited = [denied, blocked].into_iter().flatten().min();
        None
    }

    /// Returns what an upstream must be like to get the request.
    pub(super) fn requirements<'a>(&'a self, denied: &'a [UpstreamId]) -> Requirements<'a> {
        Requirements {
            service: &self.service.name,
            prefix: self.call.shared_prefix(),
            input: self.call.input.get(),
            origin: self.continuation.origin(),
            tried: &self.tried,
            denied,
            allowed: self.allowed.as_ref(),
            // After some denials only upstreams without a limit are left to try.
            limited: denied.len() < MAX_DENIALS,
            tie_breaker: self.prints.request,
        }
    }

    /// Acquires a slot where a home placed the request, if it did and that is possible; otherwise at the best
    /// upstream by what this router knows.
    fn place(&self, denied: &[UpstreamId], grant: Option<Grant>) -> Option<Slot> {
        if self.continuation == Continuation::Unknown {
            return None;
        }
        let requirements = self.requirements(denied);
        let granted = grant.and_then(|grant| self.place_granted(grant, &requirements));
        if granted.is_some() {
            return granted;
        }
        let near = self.gateway.settings.data_centre.as_str();
        let servers = self.gateway.servers.lock();
        servers.acquire(self.gateway.now(), &requirements, near)
    }

    fn log_placed(&self, slot: &Slot, limit: Option<RequestRate>, scheduled: bool) {
        let (server, grant) = (slot.server(), slot.grant());
        if scheduled {
            let outcome = if grant.is_some() {
                "placed"
            } else {
                "fallback"
            };
            self.gateway.metrics.count_scheduled(outcome);
        }
        let listed = self.gateway.servers.lock().len();
        tracing::info!(
            request = self.call.id,
            upstream = server.entry.id.as_str(),
            running = server.running(),
            listed,
            limit = limit.map(RequestRate::per_second),
            scheduler = grant.map(Grant::scheduler),
            expected_ms = grant.map(|grant| grant.expected.as_millis() as u64),
            leaving = server.is_leaving().then_some(true),
            attempt = self.tried.len() + 1,
            ms = self.arrival.elapsed().as_millis() as u64,
            "placed"
        );
    }

    /// Gives back the permit of a request that the upstream did not get.
    pub(super) fn return_permit(&self, slot: &Slot) {
        if let Some(permit) = slot.permit() {
            permits::put_back(&self.gateway, slot.server(), permit);
        }
    }

    /// Gives back the permit of a request that the upstream rejected without naming a limit. A cold upstream has
    /// received it, unless it was `misdirected`.
    pub(super) fn return_declined(&self, slot: &Slot, misdirected: bool) {
        if misdirected || slot.permit().is_some_and(|permit| !permit.is_cold()) {
            self.return_permit(slot);
        }
    }

    /// Returns whether a request must not be sent since its upstream is cold.
    pub(super) fn lacks_permit(&self, slot: &Slot) -> bool {
        let lacking = slot.lacks_permit(self.gateway.now());
        if lacking {
            let upstream = slot.server().entry.id.as_str();
            tracing::info!(
                request = self.call.id,
                upstream,
                "no valid permit for a cold upstream; not sent"
            );
        }
        lacking
    }
}
