//! Requests that resume a stream whose connection to the caller broke.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::{Refusal, TeamId};
use tokio::time::Instant;

use crate::catalog::Catalog;
use crate::gateway::Gateway;
use crate::model::{Call, Route, RouteKind, Service};
use crate::origins::{self, Continuation, Missing, Origin, StreamKey};
use crate::versions::{self, Inferred};

/// The time for which a request waits until other routers or the store tell how its stream began.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// `Retry-After` while the store can't be read.
const RETRY_AFTER_LOOKUP: Duration = Duration::from_secs(1);

/// The number of characters that are logged of what a caller names as an attempt.
const MAX_LOGGED_CHARS: usize = 64;

/// Returns whether a request resumes a stream.
pub fn is_resumption(route: &Route, call: &Call) -> bool {
    route.kind == RouteKind::Streaming && call.last_event.is_some()
}

/// Finds out which upstreams may run a request.
///
/// # Errors
///
/// The refusal of a request that resumes a stream of unknown origin.
pub async fn find_continuation(
    gateway: &Arc<Gateway>,
    route: &Route,
    team: Option<&TeamId>,
    call: &Call,
    path: &str,
    deadline: Instant,
) -> Result<Continuation, Refusal> {
    if !is_resumption(route, call) {
        return Ok(Continuation::Fresh);
    }
    let last = call.last_event.as_deref().unwrap_or_default();
    if last.parse::<u64>().is_err() {
        let message = "the last event id is not the number of an event";
        return Err(Refusal::not_run(Reason::BadRequest, message));
    }
    let Some(first) = &call.resumes else {
        tracing::info!(
            request = call.id,
            "the request doesn't say which stream it resumes"
        );
        return Err(refuse(Missing::Unknown));
    };
    let begun = Instant::now();
    let limit = deadline.min(begun + LOOKUP_TIMEOUT);
    let key = StreamKey::new(team, &call.model, first);
    let mut services = route.split.iter();
    let mixed = services.any(|(service, _)| gateway.versions.is_mixed(service));
    let found = match origins::find(gateway, key, mixed, limit).await {
        Err(Missing::Unknown) => infer(gateway, route, path, call, limit).await,
        found => found,
    };
    let ms = begun.elapsed().as_millis() as u64;
    match found {
        Ok(origin) => {
            tracing::info!(
                request = call.id,
                ?origin,
                ms,
                "found the origin of a stream"
            );
            Ok(Continuation::Of(origin))
        }
        Err(missing) => {
            let resumes: String = first.chars().take(MAX_LOGGED_CHARS).collect();
            tracing::info!(
                request = call.id,
                resumes,
                ?missing,
                ms,
                "origin of a stream not found"
            );
            Err(refuse(missing))
        }
    }
}

/// Tells the origin of a stream that nobody knows, if there is only one that it can have.
async fn infer(
    gateway: &Arc<Gateway>,
    route: &Route,
    path: &str,
    call: &Call,
    limit: Instant,
) -> Result<Origin, Missing> {
    match versions::infer(gateway, route, path, call, limit).await {
        Inferred::Origin(origin) => {
            tracing::info!(
                request = call.id,
                service = origin.service.as_str(),
                "nobody knows the origin of a stream, and its service has had one version only"
            );
            Ok(origin)
        }
        Inferred::Later => Err(Missing::Unavailable),
        Inferred::Never => Err(Missing::Unknown),
    }
}

fn refuse(missing: Missing) -> Refusal {
    let message = match missing {
        Missing::Unknown => "no router knows which upstream version began the stream",
        Missing::Ambiguous => "two streams of different upstream versions have this attempt id",
        Missing::Unavailable => "it can't be told yet which upstream version began the stream",
    };
    let refusal = Refusal::not_run(Reason::NoUpstream, message);
    match missing {
        Missing::Unavailable => refusal.with_retry_after(RETRY_AFTER_LOOKUP),
        // No later attempt can succeed.
        Missing::Unknown | Missing::Ambiguous => refusal,
    }
}

/// Finds the service that began a stream.
///
/// # Errors
///
/// The refusal of a request whose route no longer leads there.
pub fn find_service<'a>(
    route: &Route,
    catalog: &'a Catalog,
    origin: &Origin,
) -> Result<&'a Service, Refusal> {
    let weighted = route.split.iter().any(|(_, weight)| *weight > 0);
    let mut split = route.split.iter();
    let leads = split.any(|(name, weight)| *name == origin.service && (*weight > 0 || !weighted));
    let service = catalog.manifest().services.get(&origin.service);
    service.filter(|_| leads).ok_or_else(|| {
        let message = format!(
            "route {} no longer leads to the service that began",
            route.name
        );
        Refusal::not_run(Reason::NoUpstream, message)
    })
}
