//! The division of a service's engines into shards, and the choice of an upstream by a shard's home.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescue_core::{ServiceId, UpstreamId, hash};
use fescue_policy::scheduling::{self, Member};

use super::rating::Moment;
use super::{Requirements, Server, Servers, Slot};
use crate::schedulers::short_hash;

/// The shard of a server for the number of shards that was last used: the shard in the upper half, the
/// number in the lower one. Computing it takes one hash for each shard.
#[derive(Debug, Default)]
pub(super) struct ShardMemo(AtomicU64);

impl ShardMemo {
    fn shard(&self, member: u64, shards: u32) -> u32 {
        let known = self.0.load(Ordering::Relaxed);
        if known as u32 == shards {
            return (known >> 32) as u32;
        }
        let shard = scheduling::shard_of(member, shards);
        let known = u64::from(shard) << 32 | u64::from(shards);
        self.0.store(known, Ordering::Relaxed);
        shard
    }
}

impl Server {
    fn shard(&self, shards: u32) -> u32 {
        self.shard_memo.shard(self.member, shards)
    }

    fn is_cold(&self, now: Duration) -> bool {
        self.cold_rate(now).is_some()
    }

    /// Returns the hash by which a home is told not to choose the upstream.
    pub fn short_hash(&self) -> u32 {
        short_hash(self.member)
    }
}

impl Servers {
    fn of_service(&self, service: &ServiceId) -> (Vec<&Arc<Server>>, u32) {
        let servers = self.table.values();
        let servers: Vec<_> = servers.filter(|s| s.entry.service == *service).collect();
        let shards = scheduling::shards(servers.len());
        (servers, shards)
    }

    /// Returns the shard of the upstream that `key` selects among those that a request may be sent to.
    /// The upstreams of the shard `besides` are left out. `None` if no other may be used.
    pub fn choose_shard(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        key: u64,
        besides: Option<u32>,
    ) -> Option<u32> {
        let at = Moment::new(now);
        let (servers, shards) = self.of_service(requirements.service);
        let mut best: Option<(u64, &Arc<Server>)> = None;
        for server in servers {
            let score = hash::score(key, server.member);
            let better = best.is_none_or(|(known, _)| score > known);
            let other = || besides.is_none_or(|shard| server.shard(shards) != shard);
            let open = || {
                self.admits(server, requirements.allowed)
                    && server.rate(requirements, at).is_some_and(|r| r.accepts)
            };
            if better && other() && open() {
                best = Some((score, server));
            }
        }
        best.map(|(_, server)| server.shard(shards))
    }

    /// Returns the upstreams of a shard that this router may use for a new request, without those
    /// `excluded`, which are named by [`Server::short_hash`].
    pub fn members(
        &self,
        service: &ServiceId,
        shard: u32,
        excluded: &[u32],
        memory: u64,
        now: Duration,
    ) -> Vec<(Member, UpstreamId)> {
        let at = Moment::new(now);
        let requirements = Requirements {
            service,
            prefix: None,
            input: 0,
            origin: None,
            tried: &[],
            denied: &[],
            allowed: None,
            limited: true,
            tie_breaker: 0,
        };
        let (servers, shards) = self.of_service(service);
        let members = servers.into_iter().filter(|server| {
            server.shard(shards) == shard
                && !excluded.contains(&server.short_hash())
                && self.admits(server, None)
                && server.rate(&requirements, at).is_some_and(|r| r.accepts)
        });
        let member = |server: &Server| Member {
            hash: server.member,
            slots: server.entry.slots,
            memory,
        };
        let mut members: Vec<_> = members.collect();
        // A cold upstream is idle, and would get more prompts than its limit allows.
        if members.iter().any(|server| !server.is_cold(now)) {
            members.retain(|server| !server.is_cold(now));
        }
        let members = members.into_iter();
        let members = members.map(|server| (member(server), server.entry.id.clone()));
        members.collect()
    }

    /// Acquires a slot at a given upstream; `None` if the request may not be sent there now.
    pub fn acquire_at(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        upstream: &UpstreamId,
    ) -> Option<Slot> {
        let server = self.table.get(upstream)?;
        if !self.admits(server, requirements.allowed) {
            return None;
        }
        let rating = server.rate(requirements, Moment::new(now))?;
        let slot = || Slot::open(Arc::clone(server), requirements.input);
        rating.accepts.then(slot)
    }
}
