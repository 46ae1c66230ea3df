//! One admitted request and its tries at upstreams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescue_core::outcome::Reason;
use fescue_core::{Execution, Refusal, TeamId, Tokens, UpstreamId};
use fescue_policy::retry::{Failure, may_retry};
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::adapter::ForwardContext;
use crate::gateway::Gateway;
use crate::link::{Link, LinkError};
use crate::model::{Call, Route, Service};
use crate::reply::{ResponseBody, full_body};
use crate::upstreams::{Requirements, Slot};

/// How long a request waits for an upstream to be listed at most.
const MAX_UPSTREAM_WAIT: Duration = Duration::from_secs(1);

/// How many tries may find an upstream that didn't run the request, beside the route's attempts.
const MAX_UNSENT_TRIES: usize = 4;

/// How much sooner than announced an idle connection is given up.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// When a caller should ask again after upstreams declined.
const RETRY_AFTER_DECLINED: Duration = Duration::from_millis(300);

/// An admitted request.
pub struct Job {
    /// The tables.
    pub gateway: Arc<Gateway>,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: Service,
    /// Its head as the caller sent it.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// What its headers ask for.
    pub call: Call,
    /// The caller's team.
    pub team: Option<TeamId>,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// When it arrived.
    pub arrival: Instant,
    /// When its caller or its route gives up.
    pub deadline: Instant,
    /// The upstreams that were tried.
    pub tried: Vec<UpstreamId>,
    /// How many upstreams may have run it.
    pub sends: u32,
    /// What makes it the same when its caller sends it again.
    pub fingerprint: u64,
}

/// An answer whose head has come.
pub struct OpenResponse {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection that it comes on.
    pub link: Link,
    /// The slot at the upstream.
    pub slot: Slot,
}

impl Job {
    /// Sends the request to one upstream and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// What is known of the try where no answer to this request came.
    pub async fn send(
        &mut self,
        last_event: Option<&str>,
        limit: Instant,
    ) -> Result<OpenResponse, Failure> {
        let Some(slot) = self.acquire().await else {
            return Err(Failure::NotSent);
        };
        let id = slot.server().entry.id.clone();
        self.tried.push(id.clone());
        let result = self.exchange(slot, last_event, limit).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(failure) => failure_label(*failure),
        };
        self.gateway.metrics.count_attempt(outcome);
        if let Err(failure) = result.as_ref() {
            let ms = self.arrival.elapsed().as_millis() as u64;
            tracing::info!(request = self.call.id, upstream = %id, ?failure, ms, "try failed");
        }
        result
    }

    async fn acquire(&self) -> Option<Slot> {
        let give_up = self.deadline.min(Instant::now() + MAX_UPSTREAM_WAIT);
        loop {
            let changed = self.gateway.changed.notified();
            if let Some(slot) = self.try_acquire() {
                return Some(slot);
            }
            if !self.tried.is_empty() || timeout_at(give_up, changed).await.is_err() {
                return None;
            }
        }
    }

    fn try_acquire(&self) -> Option<Slot> {
        let requirements = Requirements {
            service: &self.service.name,
            prefix: self.call.shared_prefix(),
            input: self.call.input.get(),
            tried: &self.tried,
            tie_breaker: self.fingerprint,
        };
        let near = self.gateway.settings.data_centre.as_str();
        let servers = self.gateway.servers.lock();
        let slot = servers.acquire(self.gateway.now(), &requirements, near)?;
        let server = slot.server();
        tracing::info!(
            request = self.call.id,
            upstream = server.entry.id.as_str(),
            running = server.running(),
            listed = servers.len(),
            attempt = self.tried.len() + 1,
            ms = self.arrival.elapsed().as_millis() as u64,
            "placed"
        );
        Some(slot)
    }

    async fn exchange(
        &mut self,
        slot: Slot,
        last_event: Option<&str>,
        limit: Instant,
    ) -> Result<OpenResponse, Failure> {
        let once = !self.route.repeatable();
        let server = Arc::clone(slot.server());
        let opened = timeout_at(limit, server.link(once)).await;
        let mut link = match opened {
            Ok(Ok(link)) => link,
            Ok(Err(error)) => {
                tracing::info!(request = self.call.id, upstream = %server.entry.id, %error, "no connection");
                server.record_outcome(self.gateway.now(), false);
                for fingerprint in server.take_crash_suspects() {
                    self.gateway.record_crash(fingerprint);
                }
                return Err(Failure::NotSent);
            }
            Err(_) => return Err(Failure::TimedOut),
        };
        let request = self.request(&slot, last_event);
        self.sends += 1;
        let answered = timeout_at(limit, link.send(request)).await;
        let now = self.gateway.now();
        let response = match answered {
            Err(_) => {
                server.record_outcome(now, false);
                return Err(Failure::TimedOut);
            }
            Ok(Err(LinkError::NotSent(error))) => {
                tracing::info!(request = self.call.id, error, "not sent");
                self.sends -= 1;
                return Err(Failure::NotSent);
            }
            Ok(Err(LinkError::Broke(error))) => {
                tracing::info!(request = self.call.id, error, "connection broke");
                server.record_outcome(now, false);
                server.record_disconnect(self.fingerprint);
                return Err(Failure::Broke);
            }
            Ok(Ok(response)) => response,
        };
        if let Some(limit) = keep_alive(response.headers()) {
            link.set_idle_limit(limit.saturating_sub(IDLE_MARGIN));
        }
        let headers = response.headers();
        let verdict = self
            .gateway
            .codec
            .decode_response(response.status(), headers);
        if verdict.id.as_ref().is_some_and(|id| *id != self.call.id) {
            tracing::warn!(
                request = self.call.id,
                other = verdict.id,
                "answer of another request"
            );
            return Err(Failure::Broke);
        }
        if verdict.declined || verdict.misdirected {
            server.record_outcome(now, !verdict.misdirected);
            self.sends -= 1;
            return Err(Failure::Declined);
        }
        let unsound = response.status().is_success() && !verdict.signed;
        if unsound {
            tracing::warn!(request = self.call.id, "a success without a signature");
            return Err(Failure::Broke);
        }
        Ok(OpenResponse {
            response,
            link,
            slot,
        })
    }

    fn request(&self, slot: &Slot, last_event: Option<&str>) -> Request<Full<Bytes>> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let sending = ForwardContext {
            upstream: &slot.server().entry.id,
            team: self.team.as_ref(),
            left: Some(left),
            rank: self.rank,
            engine: self.service.engine.is_some(),
            last_event,
        };
        let headers = self.gateway.codec.encode(&self.head, &sending);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.target();
        *request.headers_mut() = headers;
        request
    }

    /// Returns the path and query, without a host.
    fn target(&self) -> http::Uri {
        let target = self.head.uri.path_and_query().cloned();
        target.map_or_else(http::Uri::default, http::Uri::from)
    }

    /// Returns whether a failed try may be followed by another now, and takes it out of the
    /// budget.
    pub fn may_continue(&self, failure: Failure) -> bool {
        let repeat = self.route.repeatable();
        if !may_retry(failure, repeat, self.route.resumable) || Instant::now() >= self.deadline {
            return false;
        }
        if self.tried.len() >= MAX_UNSENT_TRIES + self.route.attempts as usize {
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

    /// Says to the caller how its request failed.
    pub fn refusal(&self, failure: Failure) -> Refusal {
        let proved = failure.proves_not_run() && self.sends == 0;
        if proved {
            let message = "no upstream took the request";
            return Refusal::not_run(Reason::NoUpstream, message).after(RETRY_AFTER_DECLINED);
        }
        let reason = match failure {
            Failure::TimedOut => Reason::Deadline,
            _ => Reason::UpstreamFailed,
        };
        let mut refusal = Refusal::unknown(reason, "the upstream gave no complete answer");
        refusal.execution = Execution::Unknown;
        refusal
    }

    /// Notes how the request ended.
    pub fn finish(
        &self,
        status: StatusCode,
        upstream: &UpstreamId,
        reason: &'static str,
        tokens: Tokens,
    ) {
        self.gateway.metrics.count_request(status.as_u16(), reason);
        tracing::info!(
            request = self.call.id,
            upstream = upstream.as_str(),
            status = status.as_u16(),
            reason,
            sends = self.sends,
            tokens = tokens.get(),
            ms = self.arrival.elapsed().as_millis() as u64,
            "finished"
        );
    }
}

fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::NotSent => "not_sent",
        Failure::Declined => "declined",
        Failure::Broke => "broke",
        Failure::MidAnswer => "mid_answer",
        Failure::TimedOut => "timed_out",
    }
}

/// Returns the idle time that a `Keep-Alive` header states.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value.split(',');
    let timeout = fields.find_map(|field| field.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}

/// The headers that concern only one connection.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];

/// Makes the caller's answer out of an upstream's whole answer.
pub fn whole_response(head: &response::Parts, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response
}

/// Copies headers, less those that concern only one connection.
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
