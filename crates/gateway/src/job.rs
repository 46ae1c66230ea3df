//! An admitted request and its attempts at upstreams.

mod answer;
mod continuation;
mod ending;
mod placement;
mod scheduled;
mod takeover;
mod usage;
mod withdrawal;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fescue_core::outcome::Reason;
use fescue_core::{DataCentreId, Execution, Refusal, TeamId, UpstreamId};
use fescue_policy::quarantine::{Attempt, Prints, Progress, SETTLE_TIME, Standing};
use fescue_policy::retry::{Failure, may_retry};
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use indexmap::IndexSet;
use tokio::time::{Instant, timeout_at};

use crate::adapter::ForwardContext;
use crate::crash_check;
use crate::evacuations::refuse_excluded;
use crate::gateway::Gateway;
use crate::link::{Link, LinkError};
use crate::model::{Call, Route, Service};
use crate::origins::{Continuation, Intent};
use crate::pipeline::refuse_stopping;
use crate::upstreams::{Block, BrokenRequest, Server, Slot};
pub use ending::Ending;
pub use takeover::Limit;
pub use usage::{Usage, event_tokens};
use withdrawal::refuse_blocked;

/// The number of attempts that may fail without the request having run, on top of the route's
/// attempts.
const MAX_UNSENT_ATTEMPTS: usize = 4;

/// How long before the idle timeout that the upstream announced a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// `Retry-After` when no upstream accepted the request.
const RETRY_AFTER_DECLINED: Duration = Duration::from_millis(300);

/// An admitted request, with the state of its attempts.
pub struct Job {
    /// The gateway's shared state.
    pub gateway: Arc<Gateway>,
    /// The route that its host and path matched.
    pub route: Arc<Route>,
    /// The service that was chosen for it.
    pub service: Service,
    /// The request head as the caller sent it.
    pub head: Parts,
    /// The whole body, kept for further attempts.
    pub body: Bytes,
    /// The request's decoded headers.
    pub call: Call,
    /// The caller's team; `None` if its key belongs to none.
    pub team: Option<TeamId>,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// When the head of the request arrived.
    pub arrival: Instant,
    /// The earlier of the caller's and the route's time-outs.
    pub deadline: Instant,
    /// The upstreams of all attempts so far, in order.
    pub tried: Vec<UpstreamId>,
    /// The number of attempts in which the upstream may have run the request.
    pub sends: u32,
    /// Whether an upstream may have run the request; readable while an attempt is under way.
    pub sent: Arc<AtomicBool>,
    /// The hashes of the request and of its prompt, equal when its caller sends it again.
    pub prints: Prints,
    /// What was known of these hashes when the current attempt was sent.
    pub attempt: Attempt,
    /// How far the answer of the current attempt has got.
    pub progress: Progress,
    /// The time until an upstream may get a request, if limits or pauses kept this one from being sent.
    pub limited: Option<Block>,
    /// The time after which the request may come again, if the engines are saturated.
    pub saturated: Option<Duration>,
    /// The slot that the next attempt uses, if one was taken before the current attempt was given up.
    pub secured: Option<Slot>,
    /// Whether no upstream is left that the request may be sent to.
    pub unplaced: bool,
    /// Whether the request was not sent because the process stops before it could end.
    pub stopping: bool,
    /// Which upstreams may run the request, given what its caller has of the answer.
    pub continuation: Continuation,
    /// What was last announced of the version that its stream begins at; `None` if nothing was.
    pub intent: Option<Intent>,
    /// The data centres that its route and team allow; `None` if they allow all.
    pub allowed: Option<IndexSet<DataCentreId>>,
    /// The tokens that it consumes.
    pub usage: Usage,
}

/// An upstream's response whose head has arrived.
pub struct OpenResponse {
    /// The response, with its body still to be read.
    pub response: Response<Incoming>,
    /// The connection that carries it.
    pub link: Link,
    /// The slot that the request occupies at the upstream.
    pub slot: Slot,
    /// The version of the weights that the response begins with.
    pub weights: Option<u64>,
}

impl Job {
    /// Sends the request to one upstream and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// How the attempt failed, if no response to this request arrived within `limit`.
    pub async fn send(
        &mut self,
        last_event: Option<&str>,
        limit: Limit,
    ) -> Result<OpenResponse, Failure> {
        let Some(slot) = self.acquire().await else {
            self.unplaced = true;
            return Err(Failure::NotSent);
        };
        // The stop may have begun while the request waited. What may have run goes on nevertheless.
        if self.sends == 0 && !self.gateway.drain.may_start(&self.route, self.deadline) {
            self.stopping = true;
            self.return_permit(&slot);
            slot.cancel();
            return Err(Failure::NotSent);
        }
        let id = slot.server().entry.id.clone();
        self.tried.push(id.clone());
        self.attempt = self.gateway.suspects.lock().start(&self.prints);
        self.progress = Progress::default();
        let result = self.exchange(slot, last_event, limit).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(failure) => failure_label(*failure),
        };
        self.gateway.metrics.count_attempt(outcome);
        if let Err(failure) = result.as_ref() {
            let ms = self.arrival.elapsed().as_millis() as u64;
            tracing::info!(request = self.call.id, upstream = %id, ?failure, ms, "attempt failed");
        }
        result
    }

    async fn exchange(
        &mut self,
        slot: Slot,
        last_event: Option<&str>,
        limit: Limit,
    ) -> Result<OpenResponse, Failure> {
        let once = !self.route.repeatable();
        let server = Arc::clone(slot.server());
        let link_full = self.gateway.link.is_full();
        let opened = timeout_at(limit.end, server.connect(once, link_full)).await;
        let mut link = match opened {
            Ok(Ok(link)) => link,
            Ok(Err(error)) => {
                tracing::info!(request = self.call.id, upstream = %server.entry.id, %error, "can't connect to the upstream");
                if matches!(error, LinkError::Refused(_)) {
                    server.record_outcome(self.gateway.now(), false);
                    crash_check::record(&self.gateway, &server);
                } else {
                    server.record_unreachable(self.gateway.now(), link_full);
                }
                self.return_permit(&slot);
                return Err(Failure::NotSent);
            }
            Err(_) => return Err(Failure::TimedOut),
        };
        // Connecting takes long at a full link, through which changes of the upstreams come as well.
        if self.is_withdrawn(&server) || self.gateway.is_isolated() || self.lacks_permit(&slot) {
            self.return_permit(&slot);
            server.recycle(link);
            slot.cancel();
            return Err(Failure::NotSent);
        }
        self.announce_origin(&server);
        let request = self.request(&slot, last_event);
        self.count_send();
        let sent = Instant::now();
        let answered = self.wait(limit, link.send(request)).await;
        let now = self.gateway.now();
        let response = match answered {
            Err(_) => {
                server.record_outcome(now, false);
                return Err(Failure::TimedOut);
            }
            Ok(Err(error @ (LinkError::NotSent(_) | LinkError::Refused(_)))) => {
                tracing::info!(
                    request = self.call.id,
                    %error,
                    "request not sent: the connection failed first"
                );
                self.discount_send();
                self.return_permit(&slot);
                return Err(Failure::NotSent);
            }
            Ok(Err(LinkError::Broke(error))) => {
                tracing::info!(
                    request = self.call.id,
                    error,
                    "connection broke before the response"
                );
                server.record_outcome(now, false);
                self.record_disconnect(&server);
                return Err(Failure::Broke);
            }
            Ok(Ok(response)) => response,
        };
        if let Some(limit) = keep_alive(response.headers()) {
            link.set_idle_limit(limit.saturating_sub(IDLE_MARGIN));
        }
        let headers = response.headers();
        let meta = self
            .gateway
            .codec
            .decode_response(response.status(), headers);
        self.record_withdrawal(&server, &meta, sent);
        let own = meta.id.as_ref().map(|id| *id == self.call.id);
        // Without an id it can only belong to the first request of its connection.
        if !own.unwrap_or(!link.is_reused()) {
            tracing::warn!(
                request = self.call.id,
                upstream = %server.entry.id,
                status = response.status().as_u16(),
                other = meta.id,
                "response can't be proved to belong to the request; the attempt fails"
            );
            server.record_outcome(now, false);
            return Err(Failure::Broke);
        }
        if meta.limit.is_some() || !(meta.declined || meta.misdirected) {
            self.gateway.record_limit(&server, meta.limit);
        } else {
            self.return_declined(&slot, meta.misdirected);
        }
        if meta.declined || meta.misdirected {
            // An upstream whose weights differ from those that a stream began with is sound.
            let expected = self.continuation.origin().and_then(|origin| origin.weights);
            server.record_outcome(now, !meta.misdirected || expected.is_some());
            self.discount_send();
            return Err(Failure::Declined);
        }
        let unsigned = response.status().is_success() && !meta.signed;
        if unsigned {
            tracing::warn!(
                request = self.call.id,
                "successful response without the upstream's signature; the attempt fails"
            );
            return Err(Failure::Broke);
        }
        Ok(OpenResponse {
            response,
            link,
            slot,
            weights: meta.weights,
        })
    }

    fn count_send(&mut self) {
        self.sends += 1;
        self.sent.store(true, Ordering::Relaxed);
    }

    /// Takes back the latest attempt, which the upstream certainly did not run.
    fn discount_send(&mut self) {
        self.sends -= 1;
        self.sent.store(self.sends > 0, Ordering::Relaxed);
    }

    /// Records that the connection to an upstream broke, and checks whether the upstream has crashed.
    pub fn record_disconnect(&self, server: &Arc<Server>) {
        if server.record_disconnect(self.as_broken()) {
            crash_check::spawn(&self.gateway, server);
        }
    }

    fn as_broken(&self) -> BrokenRequest {
        BrokenRequest {
            id: self.call.id.clone(),
            attempt: self.attempt.clone(),
            settled: self.progress.is_settled(self.gateway.now()),
            at: Instant::now(),
        }
    }

    /// Records that an answer is complete. It clears the request and the parts of its prompt, once the upstream has
    /// outlived the beginning of the answer. `closed` tells that the connection ended with the answer.
    pub fn record_complete(&self, server: &Arc<Server>, closed: bool) {
        let rest = self.progress.settles_in(self.gateway.now());
        let rest = rest.unwrap_or(SETTLE_TIME);
        if rest.is_zero() || !self.attempt.has_parts() {
            self.gateway.record_complete(&self.attempt);
        } else {
            crash_check::settle(&self.gateway, server, self.as_broken(), rest, closed);
        }
    }

    fn request(&self, slot: &Slot, last_event: Option<&str>) -> Request<Full<Bytes>> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let context = ForwardContext {
            upstream: &slot.server().entry.id,
            team: self.team.as_ref(),
            left: Some(left),
            rank: self.rank,
            engine: self.service.engine.is_some(),
            last_event,
            weights: self.continuation.origin().and_then(|origin| origin.weights),
        };
        let headers = self.gateway.codec.encode(&self.head, &context);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.target();
        *request.headers_mut() = headers;
        request
    }

    /// Returns the request target in origin form: path and query, without a host.
    fn target(&self) -> http::Uri {
        let target = self.head.uri.path_and_query().cloned();
        target.map_or_else(http::Uri::default, http::Uri::from)
    }

    /// Returns whether the route and the state of the request allow another attempt after a failed one.
    fn may_follow(&self, failure: Failure) -> bool {
        let repeat = self.route.repeatable();
        may_retry(failure, repeat, self.route.resumable)
            && Instant::now() < self.deadline
            && !self.stopping
            && !self.unplaced
            && self.tried.len() < MAX_UNSENT_ATTEMPTS + self.route.attempts as usize
    }

    /// Returns whether another attempt may follow a failed one. Unless the request was
    /// not sent, the attempt is taken out of the service's retry budget.
    pub fn may_continue(&self, failure: Failure) -> bool {
        if self.secured.is_some() {
            return true;
        }
        if !self.may_follow(failure) || !self.can_continue() {
            return false;
        }
        if let Standing::Quarantined(print) = self.gateway.standing(&self.prints) {
            tracing::info!(
                request = self.call.id,
                print,
                "quarantined since it was sent; not sent again"
            );
            return false;
        }
        match failure {
            Failure::NotSent => !self.tried.is_empty(),
            _ => {
                self.sends < self.route.attempts.max(1)
                    && self.gateway.take_retry(&self.service.name)
            }
        }
    }

    /// Builds the refusal for a request whose last attempt failed. It says that the request was
    /// not run only if no upstream can have run it.
    pub fn refusal(&self, failure: Failure) -> Refusal {
        let proved = failure.proves_not_run() && self.sends == 0;
        if proved {
            if self.stopping {
                return refuse_stopping("the router stopped before the request could be sent");
            }
            if let Some(wait) = self.saturated {
                return self.refuse_saturated(wait);
            }
            if !self.can_continue() {
                return self.refuse_continuation();
            }
            if self.is_excluded() {
                return refuse_excluded(&self.gateway);
            }
            if let Some(block) = self.limited.or_else(|| self.all_blocked()) {
                return refuse_blocked(block);
            }
            let message = "no upstream took the request";
            return Refusal::not_run(Reason::NoUpstream, message)
                .with_retry_after(self.gateway.retry_after(RETRY_AFTER_DECLINED));
        }
        let reason = match failure {
            Failure::TimedOut => Reason::Deadline,
            _ => Reason::UpstreamFailed,
        };
        let mut refusal = Refusal::unknown(reason, "the upstream gave no complete answer");
        refusal.execution = Execution::Unknown;
        refusal
    }
}

/// Returns the value of the `outcome` label of the attempts metric.
fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::NotSent => "not_sent",
        Failure::Declined => "declined",
        Failure::Broke => "broke",
        Failure::MidAnswer => "mid_answer",
        Failure::TimedOut => "timed_out",
    }
}

/// Returns the idle timeout in a `Keep-Alive` header.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value.split(',');
    let timeout = fields.find_map(|field| field.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}

/// Hop-by-hop headers, which are not forwarded.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];

/// Copies headers without the hop-by-hop ones, including those that `Connection` names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop = HOP_HEADERS.contains(name)
            || matches!(name.as_str(), "keep-alive" | "proxy-connection")
            || named.iter().any(|hop| hop == name.as_str());
        if !hop {
            copy.append(name, value.clone());
        }
    }
    copy
}
