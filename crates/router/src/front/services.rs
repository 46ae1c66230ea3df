//! Serves calls to plain services, both idempotent and non-idempotent ones.
//!
//! A non-idempotent call is claimed in the table before it is sent. What each failure proves, and
//! what the caller is told, is in [docs/design/calls.md](../../../../docs/design/calls.md).

mod claimed;

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use fescue_core::outcome::Reason;
use fescue_core::rules::Service;
use fescue_core::{Execution, Refusal, RequestId, ServiceId, Tokens, UpstreamId, hash};
use fescue_policy::ledger::Reservation;
use fescue_policy::retry::{self, Failure};
use fescue_store::claims::{Answer, ClaimOutcome, ClaimRow};
use fescue_store::head;

use super::answer::Known;
use super::caller::Caller;
use super::{Front, answer, intake};
use crate::billing::RequestDetails;
use crate::dispatch::{self, Job, Permit, Pool};
use crate::upstream::{Call, collect};

/// The maximum number of attempts at one call.
const MAX_ATTEMPTS: u32 = 3;

/// Serves a call to a plain service.
pub(super) async fn call(
    State(front): State<Arc<Front>>,
    Path((service, path)): Path<(String, String)>,
    request: Request<Body>,
) -> Response {
    let (parts, body) = request.into_parts();
    let running = front.board.start_request();
    let mut known = Known::default();
    let admitted = admit(&front, &service, &path, &parts.headers, body, &mut known).await;
    let call = match admitted {
        Ok(call) => call,
        Err(refusal) => return answer::refuse(&front.board, &known, *refusal),
    };
    let id = call.caller.request.clone();
    // The call runs in a task of its own, so that a claim gets its outcome even if the caller
    // disconnects.
    let done = tokio::spawn(async move {
        let done = call.run().await;
        drop(running);
        done
    });
    let given_up = || Refusal::unknown(Reason::UpstreamFailed, "the call was given up");
    match done.await.unwrap_or_else(|_| Err(given_up())) {
        Ok(stored) => respond(&id, stored),
        Err(refusal) => answer::refuse(&front.board, &known, refusal),
    }
}

async fn admit(
    front: &Arc<Front>,
    service: &str,
    path: &str,
    headers: &HeaderMap,
    body: Body,
    known: &mut Known,
) -> Result<ServiceCall, Box<Refusal>> {
    let board = &front.board;
    let caller = Caller::read(board, headers, known)?;
    let unknown = || Refusal::not_run(Reason::NotFound, format!("there is no service {service}"));
    let name: ServiceId = service.parse().map_err(|_| unknown())?;
    let book = board.book();
    let rule = book.services.get(&name).cloned();
    let rule = rule.ok_or_else(unknown)?;
    known.service = Some(name.clone());
    // An earlier attempt at a claimed call may have run, and is looked up by its body.
    let claimed = caller.keyed && !rule.retryable;
    let time = if claimed {
        Duration::ZERO
    } else {
        rule.timeout
    };
    let body = intake::read_in_time(board, time, body).await;
    let body = body.map_err(|refusal| match claimed {
        true => claimed::not_looked_up(refusal),
        false => refusal,
    })?;
    let content = [format!("{name}/{path}\n").as_bytes(), &body].concat();
    let fingerprint = hash::digest64(&content);
    Ok(ServiceCall {
        front: Arc::clone(front),
        caller,
        rule,
        path: format!("/{path}"),
        body,
        fingerprint,
    })
}

fn respond(id: &RequestId, stored: Answer) -> Response {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let kind = HeaderValue::from_str(&stored.content_type);
    let kind = kind.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    let mut response = (status, stored.body).into_response();
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer::set_headers(&mut response, Some(id), Execution::Ran);
    response
}

/// A call that was admitted and is being run.
struct ServiceCall {
    front: Arc<Front>,
    caller: Caller,
    rule: Service,
    path: String,
    body: Bytes,
    fingerprint: u64,
}

/// The combined outcome of all attempts at a call.
enum Outcome {
    Answered(Answer),
    /// No upstream ran the call.
    NotRun(Refusal),
    /// An upstream may have run the call.
    Unknown(Failure),
}

impl ServiceCall {
    async fn run(self) -> Result<Answer, Refusal> {
        let price = self.rule.price;
        if self.rule.retryable {
            self.check_id()?;
            let reservation = self.reserve(price).await?;
            return self.run_repeatable(reservation).await;
        }
        let deadline = tokio::time::Instant::now() + self.rule.timeout;
        let era = self.front.claims.era();
        if let Some(earlier) = self.find(deadline).await? {
            return self.answer_from_claim(earlier, era, deadline).await;
        }
        let reservation = self.reserve(price).await?;
        let claim = ClaimRow {
            by: self.front.board.me.incarnation,
            number: self.front.board.next_number(),
            body: self.fingerprint,
            answer: None,
        };
        match self.claim(&claim, deadline).await {
            Ok(ClaimOutcome::Acquired) => self.run_claimed(claim, reservation).await,
            Ok(ClaimOutcome::Existing(earlier)) => {
                self.front.board.ledger.lock().release(reservation);
                self.answer_from_claim(earlier, era, deadline).await
            }
            Err(refusal) => {
                self.front.board.ledger.lock().release(reservation);
                Err(refusal)
            }
        }
    }

    async fn reserve(&self, price: Tokens) -> Result<Reservation, Refusal> {
        let reserved = self.front.allowance.reserve(&self.caller.budget, price);
        let board = &self.front.board;
        board.unless_too_late(self.rule.timeout, reserved).await
    }

    fn check_id(&self) -> Result<(), Refusal> {
        let (team, id) = (&self.caller.team.name, &self.caller.request);
        let before = self
            .front
            .board
            .recent
            .lock()
            .record(team, id, self.fingerprint);
        if before.is_some() {
            return Err(self.id_reused());
        }
        Ok(())
    }

    fn id_reused(&self) -> Refusal {
        let id = &self.caller.request;
        let message = format!("request id {id} was used with another body");
        Refusal::not_run(Reason::RequestIdReused, message)
    }

    async fn run_claimed(
        &self,
        claim: ClaimRow,
        reservation: Reservation,
    ) -> Result<Answer, Refusal> {
        match self.attempts(false).await {
            Outcome::Answered(answer) => {
                self.bill(reservation).await;
                self.store_answer(claim, answer.clone()).await;
                Ok(answer)
            }
            Outcome::NotRun(refusal) => {
                self.front.board.ledger.lock().release(reservation);
                self.withdraw(claim);
                Err(refusal)
            }
            Outcome::Unknown(failure) => {
                // The call may have run, so it is billed. A repeat finds the claim and is not billed.
                self.bill(reservation).await;
                Err(unknown_outcome(failure))
            }
        }
    }

    async fn run_repeatable(&self, reservation: Reservation) -> Result<Answer, Refusal> {
        match self.attempts(true).await {
            Outcome::Answered(answer) => {
                self.bill(reservation).await;
                Ok(answer)
            }
            Outcome::NotRun(refusal) => {
                self.front.board.ledger.lock().release(reservation);
                Err(refusal)
            }
            Outcome::Unknown(failure) => {
                self.front.board.ledger.lock().release(reservation);
                Err(unknown_outcome(failure))
            }
        }
    }

    async fn attempts(&self, repeat: bool) -> Outcome {
        self.front.retries.lock().earn();
        let mut failed = Vec::new();
        let mut attempt = 1;
        let mut waited = Duration::ZERO;
        // The last failure that doesn't prove that the call didn't run.
        let mut may_have_run = None;
        loop {
            let start = self.front.board.now();
            let placed = self.place(&failed, waited).await;
            waited += self.front.board.now().saturating_sub(start);
            let mut permit = match placed {
                Ok(permit) => permit,
                Err(refusal) => {
                    return may_have_run.map_or(Outcome::NotRun(refusal), Outcome::Unknown);
                }
            };
            let board = &self.front.board;
            let answer = tokio::select! {
                biased;
                () = board.too_late_for(Duration::ZERO) => {
                    tracing::warn!(request = %self.caller.request, "grace period over; ending the call");
                    return Outcome::Unknown(Failure::TimedOut);
                }
                answer = self.attempt(&permit, attempt) => answer,
            };
            let failure = match answer {
                Ok(answer) => {
                    permit.record_outcome(true);
                    return Outcome::Answered(answer);
                }
                Err(failure) => failure,
            };
            permit.record_outcome(false);
            tracing::warn!(target: "decision", request = %self.caller.request, upstream = %permit.upstream.name, ?failure, attempt, "attempt failed");
            failed.push(permit.upstream.name.clone());
            drop(permit);
            attempt += 1;
            let again = retry::may_retry(failure, repeat, false) && attempt <= MAX_ATTEMPTS;
            if !failure.proves_not_run() {
                may_have_run = Some(failure);
            }
            if again && self.front.retries.lock().spend() {
                continue;
            }
            let not_run = Outcome::NotRun(answer::not_taken("no upstream took the call"));
            return may_have_run.map_or(not_run, Outcome::Unknown);
        }
    }

    /// Waits for an upstream, after `waited` before earlier attempts.
    async fn place(&self, failed: &[UpstreamId], waited: Duration) -> Result<Permit, Refusal> {
        let job = Job {
            request: self.caller.request.clone(),
            team: self.caller.team.name.clone(),
            weight: self.caller.team.weight,
            priority: self.caller.priority,
            cost: self.rule.price,
            prompt: 0,
            prefix: 0,
            failed: failed.to_vec(),
            isolate: None,
            max_wait: Some(self.rule.timeout),
            version: None,
            waited,
        };
        let pool = Pool::Service(self.rule.name.clone());
        let board = &self.front.board;
        let placed = dispatch::acquire(board, &pool, job);
        board.unless_too_late(self.rule.timeout, placed).await
    }

    async fn attempt(&self, permit: &Permit, attempt: u32) -> Result<Answer, Failure> {
        let board = &self.front.board;
        let call = Call {
            address: permit.upstream.address,
            path: &self.path,
            request: &self.caller.request,
            attempt,
            priority: self.caller.priority,
            vm: &board.me.vm,
            fence: board.fence(),
            resume: 0,
            version: None,
            body: self.body.clone(),
            timeout: self.rule.timeout,
        };
        let deadline = tokio::time::Instant::now() + self.rule.timeout;
        let reply = self.front.client.call(&call).await?;
        self.front.record_limit(permit.handle(), reply.headers());
        let status = reply.status().as_u16();
        let kind = reply.headers().get(header::CONTENT_TYPE);
        let kind = kind.and_then(|k| k.to_str().ok()).unwrap_or_default();
        let kind = kind.to_owned();
        let lost = head::may_lack_body(reply.version(), reply.status(), reply.headers());
        let read = tokio::time::timeout_at(deadline, collect(reply)).await;
        let body = read.map_err(|_| Failure::TimedOut)??;
        if body.is_empty() && lost {
            return Err(Failure::Broke);
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Answer {
            status,
            content_type: kind,
            body,
        })
    }

    async fn bill(&self, reservation: Reservation) {
        let item = RequestDetails {
            budget: self.caller.budget.clone(),
            request: self.caller.request.clone(),
            body: self.fingerprint,
        };
        let biller = &self.front.biller;
        biller.bill(reservation, item, self.rule.price).await;
    }
}

fn unknown_outcome(failure: Failure) -> Refusal {
    match failure {
        Failure::TimedOut => Refusal::unknown(Reason::Deadline, "no answer came in time"),
        _ => Refusal::unknown(Reason::UpstreamFailed, "the answer was lost"),
    }
}
