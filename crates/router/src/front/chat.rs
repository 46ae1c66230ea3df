//! Serves chat completions: admission, placement, relay of the answer, and billing.

mod continuation;
mod crash;
mod response;

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, Request};
use axum::response::Response;
use bytes::Bytes;
use fescue_core::outcome::Reason;
use fescue_core::{Execution, Refusal, Tokens, UpstreamId, VmId, hash};
use fescue_policy::homes;
use fescue_policy::ledger::Reservation;
use fescue_policy::quarantine::{Attempt, Prints, Progress as AnswerProgress, Standing};
use fescue_policy::retry::{self, Failure};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::answer::Known;
use super::caller::Caller;
use super::intake::{self, ChatRequest};
use super::pace::PaceMeter;
use super::relay::{self, Outcome, Piece, Progress};
use super::{Front, answer};
use crate::billing::RequestDetails;
use crate::dispatch::{self, Job, Permit, Pool};
use crate::grace;
use crate::metrics::Metrics;
use crate::upstream::{Call, is_declined, software_version};

/// The maximum number of attempts at one request.
const MAX_ATTEMPTS: u32 = 3;

/// The number of events buffered for a slow caller before backpressure reaches the engine.
const EVENT_BUFFER: usize = 64;

/// Serves a chat completion.
pub(super) async fn complete(State(front): State<Arc<Front>>, request: Request<Body>) -> Response {
    let (parts, body) = request.into_parts();
    let arrived = front.board.now();
    let running = front.board.start_request();
    let mut known = Known::default();
    let admitted = admit(&front, &parts.headers, body, &mut known).await;
    let (caller, chat, reservation) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return answer::refuse(&front.board, &known, *refusal),
    };
    let (id, stream) = (caller.request.clone(), chat.stream);
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    let (started, start) = oneshot::channel();
    let run = Run {
        front: Arc::clone(&front),
        caller,
        chat,
        arrived,
        sender,
        started: Some(started),
        failed: Vec::new(),
        resumed: false,
        waited: Duration::ZERO,
        deadline: None,
        answer: AnswerProgress::default(),
    };
    tokio::spawn(async move {
        run.run(reservation).await;
        drop(running);
    });
    let mut response = match start.await {
        Ok(Ok(())) if stream => response::stream(receiver),
        Ok(Ok(())) => match response::collect(receiver).await {
            Ok(response) => response,
            Err(refusal) => return answer::refuse(&front.board, &known, refusal),
        },
        Ok(Err(refusal)) => return answer::refuse(&front.board, &known, refusal),
        Err(_) => {
            let refusal = Refusal::unknown(Reason::UpstreamFailed, "the request was given up");
            return answer::refuse(&front.board, &known, refusal);
        }
    };
    answer::set_headers(&mut response, Some(&id), Execution::Ran);
    response
}

type Admitted = (Caller, ChatRequest, Reservation);

/// Reads and checks a request, and reserves its tokens.
async fn admit(
    front: &Front,
    headers: &HeaderMap,
    body: Body,
    known: &mut Known,
) -> Result<Admitted, Box<Refusal>> {
    let board = &front.board;
    let caller = Caller::read(board, headers, known)?;
    let limits = &board.settings.limits;
    let shortest = board.shortest_stream_time();
    let body = intake::read_in_time(board, shortest, body).await;
    let chat = ChatRequest::parse(&body?, limits)?;
    known.model = Some(chat.model.clone());
    let longest = board.stream_time(&chat.model, chat.max_tokens);
    let reserved = board.unless_too_late(longest, reserve(front, &caller, &chat));
    let reservation = reserved.await?;
    Ok((caller, chat, reservation))
}

/// Checks a parsed request and reserves its tokens.
async fn reserve(
    front: &Front,
    caller: &Caller,
    chat: &ChatRequest,
) -> Result<Reservation, Refusal> {
    check_id(front, caller, chat).await?;
    check_quarantine(front, chat)?;
    let book = front.board.book();
    if book.upstreams_for_model(&chat.model).next().is_none() {
        let message = format!("no upstream serves model {}", chat.model);
        return Err(Refusal::not_run(Reason::NotFound, message));
    }
    front.allowance.reserve(&caller.budget, chat.bound()).await
}

/// Refuses an id that was used with another body.
async fn check_id(front: &Front, caller: &Caller, chat: &ChatRequest) -> Result<(), Refusal> {
    let (team, id, body) = (&caller.team.name, &caller.request, chat.prints.request);
    let before = front.board.recent.lock().record(team, id, body);
    let before = match before {
        Some(other) => Some(other),
        None => front.biller.body_of(&caller.budget, id).await,
    };
    if before.is_some_and(|other| other != body) {
        let message = format!("request id {id} was used with another body");
        return Err(Refusal::not_run(Reason::RequestIdReused, message));
    }
    Ok(())
}

fn check_quarantine(front: &Front, chat: &ChatRequest) -> Result<(), Refusal> {
    let now = front.board.now();
    let standing = front.board.suspects.lock().standing(&chat.prints, now);
    match standing {
        Standing::Quarantined(print) if print == chat.prints.request => {
            let message = "this request ran before and brought upstreams down";
            Err(Refusal::ran(Reason::Quarantined, message))
        }
        Standing::Quarantined(part) if start_probe(front, &chat.prints, part) => {
            tracing::warn!(
                part,
                "running one request with a quarantined part as a probe"
            );
            Ok(())
        }
        Standing::Quarantined(_) => {
            let message = "requests that hold one of these messages brought upstreams down";
            Err(Refusal::not_run(Reason::Quarantined, message))
        }
        Standing::Clear | Standing::Suspect => Ok(()),
    }
}

/// Returns whether a request that is quarantined for a part of its prompt is run as a probe. The routers that the part
/// selects come first.
fn start_probe(front: &Front, prints: &Prints, part: u64) -> bool {
    let board = &front.board;
    let digest = |vm: &VmId| hash::digest64(vm.as_str().as_bytes());
    let mut routers: Vec<_> = {
        let members = board.members.lock();
        let alive = members.alive();
        alive.map(|(_, member)| digest(&member.vm)).collect()
    };
    let own = routers.len();
    routers.push(digest(&board.me.vm));
    let order = homes::order(part, &routers, routers.len());
    let turn = order.iter().position(|place| *place == own);
    let mut suspects = board.suspects.lock();
    suspects.start_probe(prints, part, turn, board.now())
}

/// A request that was admitted and is being run.
struct Run {
    front: Arc<Front>,
    caller: Caller,
    chat: ChatRequest,
    arrived: Duration,
    sender: mpsc::Sender<Piece>,
    /// Reports to the handler that the answer starts or that the request is refused.
    started: Option<oneshot::Sender<Result<(), Refusal>>>,
    failed: Vec<UpstreamId>,
    /// Whether the answer broke off before.
    resumed: bool,
    /// The time that the attempts have waited for upstreams.
    waited: Duration,
    /// The end of the time-out, which begins when the request is first sent.
    deadline: Option<Instant>,
    /// How far the answer of the current attempt has got.
    answer: AnswerProgress,
}

impl Run {
    /// Runs attempts until the answer is complete, stores the bill, then sends the final events.
    async fn run(mut self, reservation: Reservation) {
        let mut progress = Progress::default();
        let ended = self.attempts(&mut progress).await;
        let used = self.used(&progress);
        let item = RequestDetails {
            budget: self.caller.budget.clone(),
            request: self.caller.request.clone(),
            body: self.chat.prints.request,
        };
        if used.is_zero() {
            self.front.board.ledger.lock().release(reservation);
        } else {
            self.front.biller.bill(reservation, item, used).await;
        }
        match ended {
            Ok(()) => self.finish(progress).await,
            Err(refusal) => self.fail(refusal).await,
        }
    }

    async fn attempts(&mut self, progress: &mut Progress) -> Result<(), Refusal> {
        self.front.retries.lock().earn();
        let mut attempt = 1;
        // The last failure that doesn't prove that the request didn't run.
        let mut may_have_run = None;
        loop {
            let mut permit = match self.place(progress).await {
                Ok(permit) => permit,
                Err(refusal) => {
                    self.log_break_off(progress, &refusal.message);
                    return Err(known_refusal(refusal, may_have_run, progress));
                }
            };
            let sent = self.front.board.suspects.lock().start(&self.chat.prints);
            self.answer = AnswerProgress::default();
            let board = Arc::clone(&self.front.board);
            let outcome = tokio::select! {
                biased;
                () = board.too_late_for(Duration::ZERO) => Outcome::Stopped,
                outcome = self.attempt(&permit, attempt, &sent, progress) => outcome,
            };
            let failure = match outcome {
                Outcome::Complete => {
                    permit.record_outcome(true);
                    self.settle(&permit, sent);
                    return Ok(());
                }
                Outcome::Disconnected => return Ok(()),
                Outcome::Stopped => {
                    let delivered = progress.delivered;
                    tracing::warn!(request = %self.caller.request, delivered, "grace period over; ending the request");
                    return Err(grace::ended(delivered));
                }
                // It says nothing of the upstream's health.
                Outcome::OtherVersion => Failure::Declined,
                Outcome::Failed(failure) => {
                    permit.record_outcome(false);
                    failure
                }
            };
            self.failed.push(permit.upstream.name.clone());
            let (started, upstream) = (permit.started(), permit.handle().clone());
            drop(permit);
            self.record_crash(&upstream, (failure, started), &sent)
                .await;
            self.log_failure(failure, attempt, progress.delivered);
            attempt += 1;
            if let Some(refusal) = self.unknown_version(progress) {
                return Err(refusal);
            }
            let in_time = self.deadline.is_none_or(|end| Instant::now() < end);
            let again = in_time && retry::may_retry(failure, true, true) && attempt <= MAX_ATTEMPTS;
            if !failure.proves_not_run() {
                may_have_run = Some(failure);
            }
            if !again || !self.spend_retry(progress.delivered) {
                let last = may_have_run.unwrap_or(failure);
                return Err(final_refusal(last, progress.delivered));
            }
            if let Err(refusal) = check_quarantine(&self.front, &self.chat) {
                return Err(known_refusal(refusal, may_have_run, progress));
            }
        }
    }

    /// Waits for an upstream, unless the router stops and the rest of the answer might not end
    /// before that.
    async fn place(&mut self, progress: &Progress) -> Result<Permit, Refusal> {
        let board = &self.front.board;
        let prints = &self.chat.prints;
        let now = board.now();
        let standing = board.suspects.lock().standing(prints, now);
        let job = Job {
            request: self.caller.request.clone(),
            team: self.caller.team.name.clone(),
            weight: self.caller.team.weight,
            priority: self.caller.priority,
            cost: self.chat.bound(),
            prompt: self.chat.prompt,
            prefix: self.chat.prefix,
            failed: self.failed.clone(),
            isolate: (standing == Standing::Suspect).then_some(prints.request),
            max_wait: None,
            waited: self.waited,
            version: progress.resume_version().cloned(),
        };
        let pool = Pool::Model(self.chat.model.clone());
        let tokens = self.chat.max_tokens.saturating_sub(progress.delivered);
        let longest = board.stream_time(&self.chat.model, tokens);
        let placed = dispatch::acquire(board, &pool, job);
        let placed = board.unless_too_late(longest, placed).await;
        self.waited += board.now().saturating_sub(now);
        placed
    }

    async fn attempt(
        &mut self,
        permit: &Permit,
        attempt: u32,
        sent: &Attempt,
        progress: &mut Progress,
    ) -> Outcome {
        let board = Arc::clone(&self.front.board);
        let sent_at = Instant::now();
        let timeout = board.settings.limits.request_timeout;
        let deadline = *self.deadline.get_or_insert(sent_at + timeout);
        let call = Call {
            address: permit.upstream.address,
            path: "/v1/chat/completions",
            request: &self.caller.request,
            attempt,
            priority: self.caller.priority,
            vm: &board.me.vm,
            fence: board.fence(),
            resume: progress.delivered,
            version: progress.resume_version(),
            body: self.chat.body.clone(),
            timeout: deadline.saturating_duration_since(sent_at),
        };
        let reply = tokio::select! {
            reply = self.front.client.send(&call) => reply,
            () = self.sender.closed() => return Outcome::Disconnected,
        };
        if let Ok(reply) = &reply
            && self.is_other_version(permit, reply, progress)
        {
            return Outcome::OtherVersion;
        }
        let reply = match reply {
            Ok(reply) if is_declined(&reply) => return Outcome::Failed(Failure::Declined),
            Ok(reply) if reply.status().is_success() && relay::is_stream(reply.headers()) => {
                self.front.record_limit(permit.handle(), reply.headers());
                reply
            }
            // An error of the upstream's own, or a success that is no stream, doesn't prove that it hasn't
            // run the request.
            Ok(_) => return Outcome::Failed(Failure::Broke),
            Err(failure) => return Outcome::Failed(failure),
        };
        self.report_start();
        if progress.delivered == 0 {
            progress.version = software_version(reply.headers());
        }
        let record = |pace| board.record_pace(&self.chat.model, pace);
        let meter = PaceMeter::open(sent_at.elapsed(), record);
        let (mut answer, mut is_cleared) = (self.answer, false);
        let on_event = || {
            let now = board.now();
            answer.record_content(now);
            if is_cleared || !answer.is_settled(now) {
                return;
            }
            is_cleared = true;
            let mut suspects = board.suspects.lock();
            let cleared = suspects.record_begun(sent, now);
            if !cleared.is_empty() {
                self.front.membership_wake.notify_one();
            }
        };
        let relayed = relay::relay(
            reply,
            self.chat.max_tokens,
            progress,
            &self.sender,
            on_event,
            meter,
        );
        let relayed = tokio::time::timeout_at(deadline, relayed).await;
        self.answer = answer;
        relayed.unwrap_or(Outcome::Failed(Failure::TimedOut))
    }

    /// Reports to the handler that the answer starts; only the first call has an effect.
    fn report_start(&mut self) {
        let Some(started) = self.started.take() else {
            return;
        };
        let board = &self.front.board;
        let took = board.now().saturating_sub(self.arrived);
        let label = Metrics::by_priority(self.caller.priority);
        let seconds = took.as_secs_f64();
        board
            .metrics
            .first_token
            .get_or_create(&label)
            .observe(seconds);
        let _disconnected = started.send(Ok(()));
    }

    fn log_failure(&self, failure: Failure, attempt: u32, delivered: u64) {
        tracing::warn!(
            target: "decision",
            request = %self.caller.request,
            upstream = self.failed.last().map(UpstreamId::as_str),
            ?failure,
            attempt,
            delivered,
            "attempt failed"
        );
    }

    /// Returns the tokens used: the engine's report, or an estimate from what was delivered.
    fn used(&self, progress: &Progress) -> Tokens {
        if let Some(usage) = progress.usage {
            return Tokens::new(usage.prompt.saturating_add(usage.completion));
        }
        if progress.delivered == 0 {
            return Tokens::ZERO;
        }
        Tokens::new(self.chat.prompt.saturating_add(progress.delivered))
    }

    async fn finish(&self, progress: Progress) {
        let label = Metrics::by_priority(self.caller.priority);
        self.front
            .board
            .metrics
            .answered
            .get_or_create(&label)
            .inc();
        for data in progress.final_events {
            let _disconnected = self.sender.send(Piece::Event(data)).await;
        }
    }

    async fn fail(&mut self, refusal: Refusal) {
        match self.started.take() {
            Some(started) => {
                let _disconnected = started.send(Err(refusal));
            }
            None => {
                let body = answer::body(Some(&self.caller.request), &refusal).to_string();
                let _disconnected = self.sender.send(Piece::Event(Bytes::from(body))).await;
            }
        }
    }
}

/// Returns the refusal for a request that isn't sent again, though an earlier attempt may have run.
fn known_refusal(refusal: Refusal, before: Option<Failure>, progress: &Progress) -> Refusal {
    let Some(failure) = before.filter(|_| refusal.execution == Execution::NotRun) else {
        return refusal;
    };
    let known = final_refusal(failure, progress.delivered);
    match refusal.reason {
        Reason::Quarantined => Refusal {
            execution: known.execution,
            ..refusal
        },
        _ => known,
    }
}

/// Returns the refusal for an answer that has begun and doesn't go on.
fn broken_off(delivered: u64) -> Refusal {
    let message =
        format!("the answer broke off after {delivered} tokens; a repeat is a new answer");
    Refusal::ran(Reason::UpstreamFailed, message)
}

/// Returns the refusal for a request whose last attempt failed.
fn final_refusal(failure: Failure, delivered: u64) -> Refusal {
    if delivered > 0 {
        return broken_off(delivered);
    }
    match failure {
        Failure::NotSent | Failure::Declined => answer::not_taken("no upstream took the request"),
        Failure::TimedOut => Refusal::unknown(Reason::Deadline, "no answer came in time"),
        Failure::Broke | Failure::MidAnswer => {
            Refusal::unknown(Reason::UpstreamFailed, "the upstream broke off")
        }
    }
}
