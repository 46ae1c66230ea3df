//! Checks the first configuration of a process against those that the other routers have in force.
//!
//! After the store has come back from an older copy, it has an older configuration until the operator
//! has written the newer one again. A process that starts in between asks the other routers for their
//! versions, and takes the older one only if none of them has a newer one, or it doesn't come. See
//! [docs/design/restored-store.md](../../../docs/design/restored-store.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Era, TeamId, Tokens};
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};

use crate::catalog::Catalog;
use crate::gateway::Gateway;
use crate::lifecycle::Event;
use crate::model::Manifest;

/// Interval at which other routers are asked.
const ASK_INTERVAL: Duration = Duration::from_millis(60);

/// Number of routers that are asked at once.
const ASKED_ROUTERS: usize = 5;

/// Number of routers with a configuration whose answers suffice.
const MIN_ANSWERS: usize = 3;

/// Time limit for the answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for a newer configuration that another router has in force.
const NEWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of the checks whether the process is prepared.
const PREPARE_INTERVAL: Duration = Duration::from_millis(100);

/// The configuration that waits to be taken, and what the other routers answered.
#[derive(Debug, Default)]
pub struct Startup {
    pending: Option<Box<Manifest>>,
    /// Whether the task that takes it is running.
    running: bool,
    /// The version that each router has in force; `None` if it has none yet.
    answers: HashMap<SocketAddr, Option<u64>>,
}

/// What to do with a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Take it.
    Take,
    /// Wait for answers of the other routers, or for a newer one.
    Wait,
    /// Take it, although another router has this newer one.
    GiveUp(u64),
}

impl Startup {
    /// Records the version that another router has in force; `None` if it has none. Only the answers
    /// while a configuration waits are kept.
    pub fn record_answer(&mut self, peer: SocketAddr, version: Option<u64>) {
        if self.pending.is_some() {
            self.answers.insert(peer, version);
        }
    }

    /// Decides about a configuration that has waited for some time, where `peers` are the other
    /// routers if they are known.
    pub fn decide(&self, version: u64, waited: Duration, peers: Option<&[SocketAddr]>) -> Decision {
        let newest = self.answers.values().flatten().max();
        if let Some(newest) = newest.filter(|newest| **newest > version) {
            return match waited < NEWER_TIMEOUT {
                true => Decision::Wait,
                false => Decision::GiveUp(*newest),
            };
        }
        let informed = self.answers.values().flatten().count() >= MIN_ANSWERS;
        let all = |peers: &[SocketAddr]| peers.iter().all(|peer| self.answers.contains_key(peer));
        match informed || peers.is_some_and(all) || waited >= ANSWER_TIMEOUT {
            true => Decision::Take,
            false => Decision::Wait,
        }
    }
}

/// Takes a configuration over if it is newer than the one in force. The first one of a process waits
/// for the answers of other routers if the store has come back from a copy before.
pub fn receive(gateway: &Arc<Gateway>, manifest: Box<Manifest>, era: Option<Era>) {
    if gateway.catalog().is_some() || era.is_none_or(|era| era <= Era::FIRST) {
        install(gateway, *manifest);
        return;
    }
    let mut startup = gateway.startup.lock();
    let known = startup.pending.as_ref().map(|pending| pending.version);
    if known.is_none_or(|known| known < manifest.version) {
        tracing::info!(
            version = manifest.version,
            "comparing the configuration with other routers'"
        );
        startup.pending = Some(manifest);
    }
    if !std::mem::replace(&mut startup.running, true) {
        tokio::spawn(confirm(Arc::clone(gateway)));
    }
}

/// Asks other routers until the pending configuration can be taken.
async fn confirm(gateway: Arc<Gateway>) {
    let begun = Instant::now();
    loop {
        let (peers, complete) = {
            let peers = gateway.peers.lock();
            (peers.addresses(), peers.is_complete())
        };
        let asked: Vec<_> = peers
            .choose_multiple(&mut rand::rng(), ASKED_ROUTERS)
            .copied()
            .collect();
        gateway.courier.probe(&asked);
        let taken = {
            let mut startup = gateway.startup.lock();
            let Some(version) = startup.pending.as_ref().map(|pending| pending.version) else {
                startup.running = false;
                return;
            };
            let waited = begun.elapsed();
            let decision = startup.decide(version, waited, complete.then_some(&*peers));
            let answers = startup.answers.len();
            match decision {
                Decision::Wait => None,
                Decision::Take => {
                    tracing::info!(
                        version,
                        answers,
                        ?waited,
                        "no router answered with a newer configuration"
                    );
                    startup.pending.take()
                }
                Decision::GiveUp(newest) => {
                    tracing::warn!(
                        version,
                        newest,
                        "newer configuration didn't come; taking the older one"
                    );
                    startup.pending.take()
                }
            }
        };
        match taken {
            Some(manifest) => install(&gateway, *manifest),
            None => sleep(ASK_INTERVAL).await,
        }
    }
}

/// Reports the process as prepared once the configuration and at least one upstream are known, and the
/// budget has completed a round.
pub async fn await_prepared(gateway: Arc<Gateway>) {
    let mut rounds = gateway.budget.rounds();
    loop {
        // The sender lives as long as the gateway.
        let _changed = rounds.changed().await;
        if gateway.catalog().is_some() && !gateway.servers.lock().is_empty() {
            gateway.handle(Event::Prepared);
            return;
        }
        gateway.budget.wake();
        sleep(PREPARE_INTERVAL).await;
    }
}

/// Puts a configuration in force if it is newer than the current one.
fn install(gateway: &Gateway, manifest: Manifest) {
    let (version, routes) = (manifest.version, manifest.routes.len());
    let before = gateway.catalog();
    let new = gateway.set_catalog(Catalog::open(manifest));
    tracing::info!(version, routes, new, "received configuration");
    if new {
        if let Some(catalog) = gateway.catalog() {
            gateway.drain.retain_routes(&catalog.manifest().routes);
        }
        gateway.metrics.manifest_version.set(version as i64);
        gateway.changed.notify_waiters();
        log_prepaid(before.as_deref(), gateway.catalog().as_deref());
    }
}

/// Logs each team whose prepaid tokens differ between two configurations.
fn log_prepaid(before: Option<&Catalog>, after: Option<&Catalog>) {
    let prepaid = |catalog: Option<&Catalog>, team: &TeamId| {
        let mut teams = catalog?.manifest().teams.iter().flatten();
        let team = teams.find(|listed| listed.name == *team)?;
        team.prepaid.map(Tokens::get)
    };
    let teams = after.and_then(|catalog| catalog.manifest().teams.as_ref());
    for team in teams.into_iter().flatten() {
        let (before, after) = (prepaid(before, &team.name), prepaid(after, &team.name));
        if before != after {
            let team = team.name.as_str();
            tracing::info!(team, before, after, "prepaid tokens of a team changed");
        }
    }
}
