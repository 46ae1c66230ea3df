//! Tells the origin of a stream that nobody knows, if its service has had one version for long enough.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Era, ServiceId};
use fescue_store::table::TableError;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::admission::Listed;
use super::{MANIFEST_KEY, ManifestRow, ServiceRow, service_key};
use crate::gateway::Gateway;
use crate::model::{Call, Route};
use crate::origins::Origin;

/// The time by which a stream may be older than its caller's deadline or its route's time-out: those that were begun
/// with a configuration or a list that was just replaced.
const AGE_MARGIN: Duration = Duration::from_secs(2);

/// Interval between two reads of the rows.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// What can be told of the origin of an unknown stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Inferred {
    /// It can only be this.
    Origin(Origin),
    /// It can't be told yet.
    Later,
    /// It can't be told: there were several possible ones.
    Never,
}

/// The rows that one inference depends on.
#[derive(Clone, Debug)]
pub struct Rows {
    /// The row of the service.
    pub service: Option<ServiceRow>,
    /// The row of the configuration.
    pub manifest: Option<ManifestRow>,
}

/// The latest read of each service's rows.
#[derive(Debug, Default)]
pub(super) struct Reads(tokio::sync::Mutex<Option<(Instant, ServiceId, Rows)>>);

/// What is known of the present when the rows are judged.
#[derive(Clone, Copy, Debug)]
pub struct Present<'a> {
    /// The version of the configuration in force.
    pub manifest: u64,
    /// The store's clock.
    pub clock: Duration,
    /// The store's era.
    pub era: Option<Era>,
    /// The host of the request's route, and the path of the request.
    pub target: (&'a str, &'a str),
    /// How old a stream can be at most.
    pub age: Duration,
}

impl Rows {
    /// Returns the row of the service if it has had one version, and the path has led to it, for as long as any
    /// stream can be old.
    pub fn certain(&self, present: &Present<'_>) -> Option<&ServiceRow> {
        let (service, manifest) = (self.service.as_ref()?, self.manifest.as_ref()?);
        let (host, path) = present.target;
        let lasted = |since_ms: u64| {
            let since = Duration::from_millis(since_ms);
            since.saturating_add(present.age) <= present.clock
        };
        let stayed = manifest.moved.iter().all(|moved| {
            moved.host != host || !path.starts_with(&moved.prefix) || lasted(moved.at_ms)
        });
        let current = service.era == present.era
            && manifest.era == present.era
            && manifest.version == present.manifest;
        let certain = current && stayed && lasted(service.since_ms) && lasted(manifest.since_ms);
        certain.then_some(service)
    }
}

/// Tells the origin of a stream that no router and no row knows, by `limit` at the latest.
pub async fn infer(
    gateway: &Arc<Gateway>,
    route: &Route,
    path: &str,
    call: &Call,
    limit: Instant,
) -> Inferred {
    let arrival = Instant::now();
    let [(service, _)] = &route.split[..] else {
        return Inferred::Never;
    };
    if !gateway.versions.is_list_complete() {
        return later(call, "the list of upstreams may be incomplete");
    }
    let Ok(Ok(rows)) = timeout_at(limit, read_since(gateway, service, arrival)).await else {
        return later(call, "the rows can't be read");
    };
    let Some(catalog) = gateway.catalog() else {
        return later(call, "no configuration is known");
    };
    let present = Present {
        manifest: catalog.manifest().version,
        clock: gateway.table.clock().unwrap_or_default(),
        era: gateway.table.era(),
        target: (&route.host, path),
        age: route.timeout.max(call.deadline.unwrap_or_default()) + AGE_MARGIN,
    };
    let manifest = rows.manifest.as_ref().map(|manifest| manifest.version);
    if manifest != Some(present.manifest) {
        return later(call, "the row of the configuration is out of date");
    }
    if gateway.versions.is_unverified(service) {
        return later(
            call,
            "the service uses a version that its row may not allow",
        );
    }
    if has_ended_process(gateway, service) {
        return later(call, "an upstream has ended and may have started again");
    }
    let Some(row) = rows.certain(&present) else {
        return Inferred::Never;
    };
    let listed = gateway.versions.listed(gateway, service);
    match (&row.version, listed) {
        (Some(version), Listed::One(listed)) if *version == listed => Inferred::Origin(Origin {
            service: service.clone(),
            version: listed,
            weights: None,
        }),
        (Some(_), Listed::None) => later(call, "no upstream is listed"),
        _ => Inferred::Never,
    }
}

fn later(call: &Call, reason: &'static str) -> Inferred {
    tracing::info!(
        request = call.id,
        reason,
        "origin of a stream can't be told yet"
    );
    Inferred::Later
}

/// Returns whether a process of a service has ended whose successor may run unlisted, with any version.
fn has_ended_process(gateway: &Gateway, service: &ServiceId) -> bool {
    let servers = gateway.servers.lock();
    let mut servers = servers.iter();
    servers.any(|server| {
        let named = server.entry.version.is_some();
        server.entry.service == *service && named && server.version().is_none()
    })
}

/// Reads the rows, unless a read that began at `since` or later has succeeded.
async fn read_since(
    gateway: &Arc<Gateway>,
    service: &ServiceId,
    since: Instant,
) -> Result<Rows, TableError> {
    let mut latest = gateway.versions.reads.0.lock().await;
    if let Some((begun, of, rows)) = &*latest
        && *begun >= since
        && of == service
    {
        return Ok(rows.clone());
    }
    if let Some((begun, ..)) = &*latest {
        sleep_until(*begun + READ_INTERVAL).await;
    }
    let begun = Instant::now();
    let keys = [service_key(service), MANIFEST_KEY.to_owned()];
    let read = gateway.table.read(&keys).await;
    gateway.metrics.count_store("versions", read.is_ok());
    let read = read?;
    let [service_row, manifest] = &read[..] else {
        return Err(TableError::Unavailable("a row is missing".to_owned()));
    };
    let rows = Rows {
        service: service_row.decode()?,
        manifest: manifest.decode()?,
    };
    *latest = Some((begun, service.clone(), rows.clone()));
    Ok(rows)
}
