//! Requests whose response is read whole before it is passed on.

use std::time::Duration;

use fescue_core::Refusal;
use fescue_policy::retry::Failure;
use fescue_store::head;
use http::{Method, Response, StatusCode};
use tokio::time::Instant;

use crate::job::{Job, Limit, OpenResponse};
use crate::reply::ResponseBody;

/// The time after which another upstream may take an idempotent request over, as a multiple of the
/// route's target.
const TARGETS_PER_ATTEMPT: u32 = 2;

/// The shortest time after which another upstream may take a request over.
const MIN_TAKEOVER_TIME: Duration = Duration::from_millis(120);

/// Sends a request until an attempt succeeds or no further one is allowed.
///
/// # Errors
///
/// The refusal for the caller if every attempt failed.
pub async fn serve(job: &mut Job) -> Result<Response<ResponseBody>, Refusal> {
    loop {
        let limit = attempt_limit(job);
        let failure = match job.send(None, limit).await {
            Ok(opened) => match finish(job, opened, limit).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if !job.may_continue(failure) {
            return Err(job.refusal(failure));
        }
    }
}

/// Returns the time that the next attempt may take.
fn attempt_limit(job: &Job) -> Limit {
    let more = job.route.repeatable() && job.sends + 1 < job.route.attempts;
    let wait = (job.route.target * TARGETS_PER_ATTEMPT).max(MIN_TAKEOVER_TIME);
    Limit {
        takeover: more.then(|| Instant::now() + wait),
        end: job.deadline,
    }
}

/// Reads the body of a response and passes it on. A server error counts as a failed attempt if
/// another one can follow.
async fn finish(
    job: &mut Job,
    opened: OpenResponse,
    limit: Limit,
) -> Result<Response<ResponseBody>, Failure> {
    let OpenResponse {
        response,
        link,
        slot,
        weights: _,
    } = opened;
    let (head, body) = response.into_parts();
    let server = slot.server();
    let body = job.read_body(body, limit).await;
    let body = body.inspect_err(|failure| job.record_failure(server, *failure))?;
    let lost = head::may_lack_body(head.version, head.status, &head.headers);
    if body.is_empty() && lost && job.head.method != Method::HEAD {
        job.record_failure(server, Failure::Broke);
        return Err(Failure::Broke);
    }
    server.record_outcome(job.gateway.now(), true);
    server.recycle(link);
    job.record_complete(server, head::is_unframed(&head.headers));
    let failed = head.status >= StatusCode::INTERNAL_SERVER_ERROR;
    if failed && job.secure_next(Failure::Broke).await {
        tracing::info!(
            request = job.call.id,
            status = head.status.as_u16(),
            "upstream answered with a server error; trying another"
        );
        return Err(Failure::Broke);
    }
    let length = job.arrival.elapsed();
    job.gateway.drain.record_length(&job.route, length, false);
    job.gateway
        .metrics
        .first_byte
        .observe(job.arrival.elapsed().as_secs_f64());
    Ok(job.pass_on(&server.entry.id, &head, body))
}
