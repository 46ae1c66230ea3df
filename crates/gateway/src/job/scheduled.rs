//! The placement of a prompt by the home of a shard of engines.

use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::{Refusal, UpstreamId, hash};
use fescue_policy::quarantine::Standing;
use tokio::time::Instant;

use super::Job;
use crate::origins::Continuation;
use crate::permits;
use crate::schedulers::{self, Grant, Outcome, Place, short_hash};
use crate::upstreams::{Requirements, Slot};

/// The shortest `Retry-After` while engines are saturated.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

impl Job {
    /// Returns whether homes place the request: a new prompt for a model engine that isn't suspected of
    /// crashing upstreams. One that an upstream may be running is placed without waiting for an answer.
    pub(super) fn is_scheduled(&self) -> bool {
        self.gateway.settings.scheduling
            && self.service.engine.is_some()
            && self.call.input.get() > 0
            && self.sends == 0
            && self.continuation == Continuation::Fresh
            && self.gateway.standing(&self.prints) == Standing::Clear
    }

    /// Asks the homes of up to two shards for an upstream; `None` if the request is placed without them.
    ///
    /// # Errors
    ///
    /// The time after which the request may come again if the engines are saturated.
    pub(super) async fn schedule(&self) -> Result<Option<Grant>, Duration> {
        let Some(shard) = self.choose_shard(None) else {
            return Ok(None);
        };
        let first = self.ask_home(shard).await;
        let late = match &first {
            Outcome::Granted(grant) => grant.expected > self.target_left(),
            Outcome::Refused(_) => true,
            Outcome::Unavailable => return Ok(None),
        };
        let second = match late.then(|| self.choose_shard(Some(shard))).flatten() {
            Some(other) => self.ask_home(other).await,
            None => Outcome::Unavailable,
        };
        let grant = match (first, second) {
            (Outcome::Granted(first), Outcome::Granted(second)) => {
                match second.expected < first.expected {
                    true => second,
                    false => first,
                }
            }
            (Outcome::Granted(grant), _) | (_, Outcome::Granted(grant)) => grant,
            (Outcome::Refused(first), Outcome::Refused(second)) => return Err(first.min(second)),
            (Outcome::Refused(wait), _) | (_, Outcome::Refused(wait)) => return Err(wait),
            (Outcome::Unavailable, Outcome::Unavailable) => return Ok(None),
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        match grant.expected.checked_sub(left) {
            Some(excess) if !excess.is_zero() => Err(excess),
            _ => Ok(Some(grant)),
        }
    }

    /// Returns the shard to ask for an engine, other than the shard `besides`.
    fn choose_shard(&self, besides: Option<u32>) -> Option<u32> {
        let key = self.call.shared_prefix().unwrap_or(self.prints.request);
        let requirements = self.requirements(&[]);
        let servers = self.gateway.servers.lock();
        servers.choose_shard(self.gateway.now(), &requirements, key, besides)
    }

    async fn ask_home(&self, shard: u32) -> Outcome {
        let shared = self
            .call
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let claim = permits::claim(self.team.as_ref(), self.rank);
        let excluded = |id: &UpstreamId| short_hash(hash::digest64(id.as_str().as_bytes()));
        let place = Place {
            number: rand::random(),
            service: self.service.name.clone(),
            shard,
            prefix: self.call.shared_prefix(),
            shared: shared.iter().map(|part| part.tokens).sum(),
            input: self.call.input.get(),
            output: self.call.output.get(),
            rank: self.rank,
            team: short_hash(claim.team),
            target: self.target_left(),
            deadline: self.deadline.saturating_duration_since(Instant::now()),
            excluded: self.tried.iter().map(excluded).collect(),
        };
        schedulers::ask(&self.gateway, place, self.route.target).await
    }

    fn target_left(&self) -> Duration {
        let target = self.arrival + self.route.target;
        target.saturating_duration_since(Instant::now())
    }

    /// Acquires a slot at the upstream that a home chose. If the request may not be sent there, dropping the
    /// grant tells the home.
    pub(super) fn place_granted(
        &self,
        grant: Grant,
        requirements: &Requirements<'_>,
    ) -> Option<Slot> {
        let slot = {
            let servers = self.gateway.servers.lock();
            servers.acquire_at(self.gateway.now(), requirements, &grant.upstream)
        };
        let mut slot = slot?;
        slot.attach(grant);
        Some(slot)
    }

    /// Builds the refusal of a request for which the engines are saturated.
    pub(super) fn refuse_saturated(&self, wait: Duration) -> Refusal {
        let message = "the engines can't begin the answer in time";
        let wait = self.gateway.retry_after(wait.max(MIN_RETRY_AFTER));
        Refusal::not_run(Reason::Overload, message).with_retry_after(wait)
    }
}
