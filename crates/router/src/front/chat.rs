//! Chat completions: admitted, placed, relayed, billed.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, Request, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use fescue_core::outcome::Reason;
use fescue_core::{Execution, Refusal, Tokens, UpstreamId};
use fescue_policy::ledger::Reservation;
use fescue_policy::quarantine::Standing;
use fescue_policy::retry::{self, Failure};
use futures_util::StreamExt;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;

use super::caller::Caller;
use super::intake::{self, Order};
use super::relay::{self, Ending, Piece, Progress};
use super::{Front, answer};
use crate::billing::Item;
use crate::dispatch::{self, Job, Permit, Pool};
use crate::metrics::Metrics;
use crate::upstream::Call;

/// The most attempts at one request.
const ATTEMPTS: u32 = 3;

/// How many events wait for a slow caller before its engine is slowed.
const AHEAD: usize = 64;

/// Serves a chat completion.
pub(super) async fn complete(State(front): State<Arc<Front>>, request: Request<Body>) -> Response {
    let (parts, body) = request.into_parts();
    let arrived = front.board.now();
    let running = front.board.start_request();
    let (caller, order, reservation) = match admit(&front, &parts.headers, body).await {
        Ok(admitted) => admitted,
        Err((request, refusal)) => {
            return answer::refuse(&front.board, request.as_ref(), *refusal);
        }
    };
    let (id, stream) = (caller.request.clone(), order.stream);
    let (sender, receiver) = mpsc::channel(AHEAD);
    let (began, begins) = oneshot::channel();
    let run = Run {
        front: Arc::clone(&front),
        caller,
        order,
        arrived,
        sender,
        began: Some(began),
        avoid: Vec::new(),
    };
    tokio::spawn(async move {
        run.run(reservation).await;
        drop(running);
    });
    let mut response = match begins.await {
        Ok(Ok(())) if stream => events(receiver),
        Ok(Ok(())) => match whole(receiver).await {
            Ok(response) => response,
            Err(refusal) => return answer::refuse(&front.board, Some(&id), refusal),
        },
        Ok(Err(refusal)) => return answer::refuse(&front.board, Some(&id), refusal),
        Err(_) => {
            let refusal = Refusal::unknown(Reason::UpstreamFailed, "the request was given up");
            return answer::refuse(&front.board, Some(&id), refusal);
        }
    };
    answer::label(&mut response, Some(&id), Execution::Ran);
    response
}

type Admitted = (Caller, Order, Reservation);

/// Reads a request and sets its tokens aside.
async fn admit(
    front: &Front,
    headers: &HeaderMap,
    body: Body,
) -> Result<Admitted, (Option<fescue_core::RequestId>, Box<Refusal>)> {
    let board = &front.board;
    let caller = Caller::read(board, headers).map_err(|r| (None, Box::new(r)))?;
    let id = caller.request.clone();
    let refused = |refusal: Refusal| (Some(id.clone()), Box::new(refusal));
    let limits = &board.settings.limits;
    let body = intake::read(body, limits).await.map_err(refused)?;
    let order = Order::parse(&body, limits).map_err(refused)?;
    check_id(front, &caller, &order).await.map_err(refused)?;
    check_quarantine(front, &order).map_err(refused)?;
    let book = board.book();
    if book.serving(&order.model).next().is_none() {
        let message = format!("no upstream serves model {}", order.model);
        return Err(refused(Refusal::not_run(Reason::NotFound, message)));
    }
    let reserved = front.allowance.reserve(&caller.budget, order.bound()).await;
    let reservation = reserved.map_err(refused)?;
    Ok((caller, order, reservation))
}

/// Refuses an id that was used with another body.
async fn check_id(front: &Front, caller: &Caller, order: &Order) -> Result<(), Refusal> {
    let (team, id, body) = (&caller.team.name, &caller.request, order.fingerprint);
    let before = front.board.recent.lock().note(team, id, body);
    let before = match before {
        Some(other) => Some(other),
        None => front.biller.body_of(&caller.budget, id).await,
    };
    if before.is_some_and(|other| other != body) {
        let message = format!("request id {id} was used with another body");
        return Err(Refusal::not_run(Reason::IdReused, message));
    }
    Ok(())
}

fn check_quarantine(front: &Front, order: &Order) -> Result<(), Refusal> {
    let now = front.board.now();
    let standing = front.board.suspects.lock().standing(order.fingerprint, now);
    if standing == Standing::Guilty {
        let message = "this request ran before and brought upstreams down";
        return Err(Refusal::ran(Reason::Quarantined, message));
    }
    Ok(())
}

/// One request on its way.
struct Run {
    front: Arc<Front>,
    caller: Caller,
    order: Order,
    arrived: Duration,
    sender: mpsc::Sender<Piece>,
    began: Option<oneshot::Sender<Result<(), Refusal>>>,
    avoid: Vec<UpstreamId>,
}

impl Run {
    /// Makes attempts until the answer is whole, then bills and releases its end.
    async fn run(mut self, reservation: Reservation) {
        let mut progress = Progress::default();
        let ended = self.attempts(&mut progress).await;
        let used = self.used(&progress);
        let item = Item {
            budget: self.caller.budget.clone(),
            request: self.caller.request.clone(),
            body: self.order.fingerprint,
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
        loop {
            let mut permit = self.place().await?;
            let ending = self.attempt(&permit, attempt, progress).await;
            let failure = match ending {
                Ending::Whole => {
                    permit.record_outcome(true);
                    self.front
                        .board
                        .suspects
                        .lock()
                        .clear(self.order.fingerprint);
                    return Ok(());
                }
                Ending::CallerGone => return Ok(()),
                Ending::Failed(failure) => failure,
            };
            permit.record_outcome(false);
            self.avoid.push(permit.upstream.name.clone());
            let started = permit.started();
            drop(permit);
            self.blame(failure, started).await;
            self.log_failure(failure, attempt, progress.delivered);
            attempt += 1;
            let again = retry::may_retry(failure, true, true) && attempt <= ATTEMPTS;
            if !again || !self.front.retries.lock().spend() {
                return Err(gave_up(failure, progress.delivered));
            }
            check_quarantine(&self.front, &self.order)?;
        }
    }

    async fn place(&self) -> Result<Permit, Refusal> {
        let board = &self.front.board;
        let fingerprint = self.order.fingerprint;
        let standing = board.suspects.lock().standing(fingerprint, board.now());
        let job = Job {
            request: self.caller.request.clone(),
            team: self.caller.team.name.clone(),
            weight: self.caller.team.weight,
            priority: self.caller.priority,
            cost: self.order.bound(),
            prompt: self.order.prompt,
            prefix: self.order.prefix,
            failed: self.avoid.clone(),
            isolate: (standing == Standing::Suspect).then_some(fingerprint),
            max_wait: None,
        };
        let pool = Pool::Model(self.order.model.clone());
        dispatch::acquire(board, &pool, job).await
    }

    async fn attempt(&mut self, permit: &Permit, attempt: u32, progress: &mut Progress) -> Ending {
        let board = Arc::clone(&self.front.board);
        let call = Call {
            address: permit.upstream.address,
            path: "/v1/chat/completions",
            request: &self.caller.request,
            attempt,
            priority: self.caller.priority,
            vm: &board.me.vm,
            fence: board.fence(),
            resume: progress.delivered,
            body: self.order.body.clone(),
            timeout: board.settings.limits.request,
        };
        let reply = tokio::select! {
            reply = self.front.client.call(&call) => reply,
            () = self.sender.closed() => return Ending::CallerGone,
        };
        let reply = match reply {
            Ok(reply) if reply.status().is_success() => reply,
            Ok(_) => return Ending::Failed(Failure::Declined),
            Err(failure) => return Ending::Failed(failure),
        };
        self.begin();
        let limit = board.settings.limits.request;
        let relayed = relay::relay(reply, progress, &self.sender);
        let relayed = tokio::time::timeout(limit, relayed).await;
        relayed.unwrap_or(Ending::Failed(Failure::TimedOut))
    }

    /// Tells the caller's side that an answer begins.
    fn begin(&mut self) {
        let Some(began) = self.began.take() else {
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
        let _gone = began.send(Ok(()));
    }

    /// Holds a crash against the request, if the upstream went down while it ran.
    ///
    /// One that was down when the request was placed says nothing of the request.
    async fn blame(&self, failure: Failure, started: Duration) {
        let broke = matches!(failure, Failure::Broke | Failure::MidAnswer);
        let Some(last) = self.avoid.last().filter(|_| broke) else {
            return;
        };
        let board = &self.front.board;
        let address = board.upstreams.lock().get(last).map(|s| s.rule().address);
        let Some(address) = address else { return };
        if self.front.client.get(address, "/v1/load").await.is_some() {
            return;
        }
        let now = board.now();
        let since = board.upstreams.lock().record_missed_report(last, now);
        if since.is_none_or(|since| started > since) {
            return;
        }
        let crashes = board.suspects.lock().blame(self.order.fingerprint, now);
        tracing::warn!(request = %self.caller.request, upstream = %last, crashes, "an upstream went down with this request");
        self.front.news.notify_one();
    }

    fn log_failure(&self, failure: Failure, attempt: u32, delivered: u64) {
        tracing::warn!(
            target: "decision",
            request = %self.caller.request,
            upstream = self.avoid.last().map(UpstreamId::as_str),
            ?failure,
            attempt,
            delivered,
            "an attempt failed"
        );
    }

    /// Returns what the request used: what the engine says, or what the caller got.
    fn used(&self, progress: &Progress) -> Tokens {
        if let Some(usage) = progress.usage {
            return Tokens::new(usage.prompt.saturating_add(usage.completion));
        }
        if progress.delivered == 0 {
            return Tokens::ZERO;
        }
        Tokens::new(self.order.prompt.saturating_add(progress.delivered))
    }

    async fn finish(&self, progress: Progress) {
        let label = Metrics::by_priority(self.caller.priority);
        self.front
            .board
            .metrics
            .answered
            .get_or_create(&label)
            .inc();
        for data in progress.end {
            let _gone = self.sender.send(Piece::Event(data)).await;
        }
    }

    async fn fail(&mut self, refusal: Refusal) {
        match self.began.take() {
            Some(began) => {
                let _gone = began.send(Err(refusal));
            }
            None => {
                let body = answer::body(Some(&self.caller.request), &refusal).to_string();
                let _gone = self.sender.send(Piece::Event(Bytes::from(body))).await;
            }
        }
    }
}

/// Returns the refusal after the last attempt.
fn gave_up(failure: Failure, delivered: u64) -> Refusal {
    if delivered > 0 {
        let message = format!("the answer broke off after {delivered} tokens");
        return Refusal::ran(Reason::UpstreamFailed, message);
    }
    match failure {
        Failure::NotSent | Failure::Declined => {
            Refusal::not_run(Reason::NoUpstream, "no upstream took the request")
        }
        Failure::TimedOut => Refusal::unknown(Reason::Deadline, "no answer came in time"),
        Failure::Broke | Failure::MidAnswer => {
            Refusal::unknown(Reason::UpstreamFailed, "the upstream broke off")
        }
    }
}

/// Answers with events as they come.
fn events(receiver: mpsc::Receiver<Piece>) -> Response {
    let pieces = ReceiverStream::new(receiver).map(|Piece::Event(data)| {
        let frame = [b"data: ", data.as_ref(), b"\n\n"].concat();
        Ok::<_, std::convert::Infallible>(Bytes::from(frame))
    });
    let kind = (header::CONTENT_TYPE, "text/event-stream");
    ([kind], Body::from_stream(pieces)).into_response()
}

/// Gathers all events into one answer.
async fn whole(mut receiver: mpsc::Receiver<Piece>) -> Result<Response, Refusal> {
    let (mut text, mut usage, mut ended) = (String::new(), Value::Null, false);
    while let Some(Piece::Event(data)) = receiver.recv().await {
        let Ok(value) = serde_json::from_slice::<Value>(&data) else {
            ended = true;
            continue;
        };
        if value.get("error").is_some() {
            break;
        }
        let content = &value["choices"][0]["delta"]["content"];
        text.push_str(content.as_str().unwrap_or_default());
        if let Some(found) = value.get("usage") {
            usage = found.clone();
        }
    }
    if !ended {
        return Err(Refusal::ran(Reason::UpstreamFailed, "the answer broke off"));
    }
    let message = json!({"role": "assistant", "content": text});
    let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
    let body = json!({"object": "chat.completion", "choices": [choice], "usage": usage});
    Ok(Json(body).into_response())
}
