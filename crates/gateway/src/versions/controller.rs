//! Keeps the rows that say which versions services have had, and which routes have moved.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{ServiceId, SoftwareVersion, hash};
use fescue_store::table::{Commit, Row, TableError, Transaction};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout};

use super::admission::Listed;
use super::{
    MANIFEST_KEY, ManifestRow, Moved, ServiceRow, millis, resumable_services, service_key,
};
use crate::catalog::Catalog;
use crate::gateway::Gateway;
use crate::model::Manifest;
use crate::peers::Home;

/// Interval of the rounds without a reason.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after a round that failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which a service must have had one version here before its row says so.
const STABLE_TIME: Duration = Duration::from_secs(1);

/// Time after which no router uses an upstream any more that has left, also one that is cut off from the store.
const DEPARTURE_TIME: Duration = Duration::from_secs(15);

/// Time for which a router waits for one before it in the order to write.
const TURN: Duration = Duration::from_secs(3);

/// Time after which the rows are read again.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);

/// Time for which changes of routes are kept: longer than a stream can be old.
const MOVED_RETENTION: Duration = Duration::from_secs(120);

/// The largest number of changes of routes that are kept; with more, all count as changed.
const MAX_MOVED: usize = 1000;

/// Runs the controller for as long as the process does.
pub async fn run(gateway: Arc<Gateway>) {
    gateway.versions.state.lock().running = true;
    let mut controller = Controller::open();
    loop {
        let _woken = timeout(ROUND_INTERVAL, gateway.versions.wake.notified()).await;
        while !gateway.versions.due().is_empty() {
            if let Err(error) = controller.verify_all(&gateway).await {
                tracing::debug!(%error, "versions of services not read or written; retrying");
                sleep(FAILURE_BACKOFF).await;
            }
        }
        if controller.read.elapsed() >= REREAD_INTERVAL {
            controller.forget();
        }
        if let Err(error) = controller.round(&gateway).await {
            tracing::info!(%error, "versions of services not read or written; retrying");
        }
    }
}

/// A row as it was last read or written.
type Known<T> = Option<(Row, Option<T>)>;

/// What was last known of the rows, and of what they are about.
struct Controller {
    /// Since when rows are kept; others may change them.
    read: Instant,
    services: HashMap<ServiceId, Known<ServiceRow>>,
    manifest: Known<ManifestRow>,
    /// What each service had when it last changed here, and when that was.
    listed: HashMap<ServiceId, (Listed, Instant)>,
    /// The configuration that was in force in the last round.
    former: Option<Arc<Catalog>>,
    /// When this router first found that the configuration's row is out of date.
    outdated: Option<Instant>,
}

impl Controller {
    fn open() -> Self {
        Self {
            read: Instant::now(),
            services: HashMap::new(),
            manifest: None,
            listed: HashMap::new(),
            former: None,
            outdated: None,
        }
    }

    /// Drops what was read, so that it is read again.
    fn forget(&mut self) {
        self.read = Instant::now();
        self.services.clear();
        self.manifest = None;
    }

    /// Makes the rows of services allow what these have, and takes the entries over that are held until then.
    async fn verify_all(&mut self, gateway: &Gateway) -> Result<(), TableError> {
        let mut failed = Ok(());
        for service in gateway.versions.due() {
            let catalog = gateway.catalog();
            let needed = catalog.is_none_or(|catalog| {
                resumable_services(catalog.manifest()).contains_key(&service)
            });
            let verified = match needed {
                true => self.verify(gateway, &service).await,
                false => Ok(gateway.versions.listed(gateway, &service)),
            };
            match verified {
                Ok(listed) => gateway.versions.release(gateway, &service, &listed),
                Err(error) => {
                    gateway.versions.release_unverified(gateway, &service);
                    failed = Err(error);
                }
            }
        }
        failed
    }

    /// Makes the row of a service say what its upstreams are, so that all of them may be used; returns that.
    async fn verify(
        &mut self,
        gateway: &Gateway,
        service: &ServiceId,
    ) -> Result<Listed, TableError> {
        loop {
            let listed = gateway.versions.listed(gateway, service);
            let (row, known) = read::<ServiceRow>(gateway, &service_key(service)).await?;
            let era = gateway.table.era();
            let valid = known.clone().filter(|known| known.era == era);
            let fits = |known: &ServiceRow| match (&known.version, &listed) {
                (None, _) | (_, Listed::None) => true,
                (Some(version), Listed::One(one)) => version == one,
                (Some(_), Listed::Several) => false,
            };
            if valid.as_ref().is_some_and(fits) {
                self.services.insert(service.clone(), Some((row, valid)));
                return Ok(listed);
            }
            let version = match (&valid, &listed) {
                (None, Listed::One(version)) => Some(version.clone()),
                _ => None,
            };
            // A row that can't be read, or comes from a copy, may have said otherwise.
            let first = !row.exists();
            let next = service_row(gateway, version, first);
            if write(gateway, &row, &next).await? {
                tracing::info!(service = service.as_str(), version = ?next.version, "wrote which version a service has");
                self.services.remove(service);
                return Ok(listed);
            }
        }
    }

    /// Writes what has changed, if this router is the next to do so.
    async fn round(&mut self, gateway: &Gateway) -> Result<(), TableError> {
        let Some(catalog) = gateway.catalog() else {
            return Ok(());
        };
        for service in resumable_services(catalog.manifest()).into_keys() {
            self.round_service(gateway, &service).await?;
        }
        self.round_manifest(gateway, &catalog).await
    }

    /// Writes that a service has one version again.
    async fn round_service(
        &mut self,
        gateway: &Gateway,
        service: &ServiceId,
    ) -> Result<(), TableError> {
        let listed = gateway.versions.listed(gateway, service);
        let (before, since) = self
            .listed
            .entry(service.clone())
            .or_insert_with(|| (listed.clone(), Instant::now()));
        if *before != listed {
            (*before, *since) = (listed.clone(), Instant::now());
        }
        let stable = since.elapsed();
        if listed == Listed::Several {
            gateway.versions.note_mixed(service);
        }
        let Listed::One(version) = listed else {
            return Ok(());
        };
        let key = hash::digest64(service.as_str().as_bytes());
        let early = wait(gateway, key).is_none_or(|wait| stable < STABLE_TIME + wait);
        if early || !gateway.versions.is_list_complete() {
            return Ok(());
        }
        let era = gateway.table.era();
        let says = |known: &Known<ServiceRow>| {
            let row = known.as_ref().and_then(|(_, row)| row.as_ref());
            row.is_some_and(|row| row.version.as_ref() == Some(&version) && row.era == era)
        };
        if self.services.get(service).is_some_and(says) {
            return Ok(());
        }
        let (row, known) = read::<ServiceRow>(gateway, &service_key(service)).await?;
        let current = Some((row.clone(), known));
        if !says(&current) {
            let next = service_row(gateway, Some(version.clone()), !row.exists());
            if write(gateway, &row, &next).await? {
                tracing::info!(
                    service = service.as_str(),
                    version = version.as_str(),
                    "wrote that a service has one version"
                );
            }
            return Ok(());
        }
        self.services.insert(service.clone(), current);
        Ok(())
    }

    /// Writes which configuration is in force, and which routes have changed with it.
    async fn round_manifest(
        &mut self,
        gateway: &Gateway,
        catalog: &Arc<Catalog>,
    ) -> Result<(), TableError> {
        let manifest = catalog.manifest();
        let era = gateway.table.era();
        let says = |known: &Known<ManifestRow>| {
            let row = known.as_ref().and_then(|(_, row)| row.as_ref());
            row.is_some_and(|row| row.version >= manifest.version && row.era == era)
        };
        if says(&self.manifest) {
            self.former = Some(Arc::clone(catalog));
            self.outdated = None;
            return Ok(());
        }
        let outdated = *self.outdated.get_or_insert_with(Instant::now);
        let key = hash::digest64(MANIFEST_KEY.as_bytes());
        if wait(gateway, key).is_none_or(|wait| outdated.elapsed() < wait) {
            return Ok(());
        }
        let (row, known) = read::<ManifestRow>(gateway, MANIFEST_KEY).await?;
        let current = Some((row.clone(), known));
        if says(&current) {
            self.manifest = current;
            return Ok(());
        }
        let clock = gateway.table.clock().unwrap_or_default();
        let known = current.and_then(|(_, known)| known);
        let former = self.former.as_ref().map(|former| former.manifest());
        let next = next_manifest(known, former, manifest, clock);
        let next = ManifestRow { era, ..next };
        if write(gateway, &row, &next).await? {
            tracing::info!(
                version = next.version,
                moved = next.moved.len(),
                "wrote which routes have changed"
            );
        }
        Ok(())
    }
}

/// Returns the time for which this router waits for those before it in the order of a key; `None` if it is
/// not among the first.
fn wait(gateway: &Gateway, key: u64) -> Option<Duration> {
    let homes = gateway.peers.lock().homes_of(key)?;
    let place = homes.iter().position(|home| *home == Home::Own)?;
    Some(TURN * place as u32)
}

/// Returns the row of a service that has, from now on, one version or several. `first` tells whether there was
/// none before.
fn service_row(gateway: &Gateway, version: Option<SoftwareVersion>, first: bool) -> ServiceRow {
    let clock = gateway.table.clock().unwrap_or_default();
    let since = match first {
        true => clock,
        false => clock + DEPARTURE_TIME,
    };
    ServiceRow {
        version,
        since_ms: millis(since),
        era: gateway.table.era(),
    }
}

/// Returns the row of a configuration that is in force, after `known` and, if this process had it in force,
/// a `former` one.
pub(super) fn next_manifest(
    known: Option<ManifestRow>,
    former: Option<&Manifest>,
    manifest: &Manifest,
    clock: Duration,
) -> ManifestRow {
    let now = millis(clock);
    let anew = ManifestRow {
        version: manifest.version,
        since_ms: now,
        moved: Vec::new(),
        era: None,
    };
    let (Some(known), Some(former)) = (known, former) else {
        return anew;
    };
    if known.version != former.version {
        return anew;
    }
    let kept = |moved: &Moved| moved.at_ms + millis(MOVED_RETENTION) > now;
    let mut moved: Vec<_> = known.moved.into_iter().filter(kept).collect();
    moved.extend(moved_routes(former, manifest, now));
    match moved.len() > MAX_MOVED {
        true => anew,
        false => ManifestRow {
            since_ms: known.since_ms,
            moved,
            ..anew
        },
    }
}

/// Returns the routes that one of two configurations lacks, or that lead elsewhere in it.
fn moved_routes(former: &Manifest, manifest: &Manifest, now: u64) -> Vec<Moved> {
    let targets = |manifest: &Manifest| -> IndexMap<(String, String), Vec<ServiceId>> {
        let routes = manifest.routes.iter().map(|route| {
            let services = route.split.iter().map(|(name, _)| name.clone()).collect();
            ((route.host.clone(), route.prefix.clone()), services)
        });
        routes.collect()
    };
    let (before, after) = (targets(former), targets(manifest));
    let changed = after
        .iter()
        .filter(|(route, services)| before.get(*route) != Some(services));
    let gone = before
        .iter()
        .filter(|(route, _)| !after.contains_key(*route));
    let moved = changed.chain(gone).map(|((host, prefix), _)| Moved {
        host: host.clone(),
        prefix: prefix.clone(),
        at_ms: now,
    });
    moved.collect()
}

async fn read<T: DeserializeOwned>(
    gateway: &Gateway,
    key: &str,
) -> Result<(Row, Option<T>), TableError> {
    let rows = gateway.table.read(&[key.to_owned()]).await?;
    let row = rows.into_iter().next().unwrap_or_else(|| Row::absent(key));
    let known = row.decode().unwrap_or_else(|error| {
        tracing::warn!(%error, "row of versions is malformed; replaced");
        None
    });
    Ok((row, known))
}

/// Writes a row that is unchanged since it was read; returns whether it was.
async fn write(
    gateway: &Gateway,
    row: &Row,
    next: &impl serde::Serialize,
) -> Result<bool, TableError> {
    let mut transaction = Transaction::default();
    transaction.replace(row, next);
    let commit = gateway.table.transact(&transaction).await?;
    Ok(matches!(commit, Commit::Done(_)))
}
