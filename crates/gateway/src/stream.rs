//! Requests that are answered by a stream of server-sent events.
//!
//! Only whole events are relayed, so that a stream that breaks inside an event can be resumed at
//! another upstream. A stream that can't be resumed is aborted without the end of its body, so that
//! the caller can't take it for complete.

mod resume;
mod source;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescue_core::{Refusal, UpstreamId};
use fescue_policy::retry::Failure;
use fescue_store::head;
use http::{Response, response};
use http_body_util::Either;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::gateway::RequestGuard;
use crate::job::{Ending, Job, Limit, OpenResponse, end_to_end};
use crate::reply::{ResponseBody, StreamBody, Truncated};
use crate::sse::{Event, MAX_EVENT_BYTES, Splitter};
use resume::Form;
use source::{Item, Source};

/// How long an upstream may be silent before another one may take a resumable stream over. It is
/// well under 2 s, the shortest gap after which callers give up.
const STALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// The number of events that are buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 16;

/// How long after its deadline an unfinished stream is aborted.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);

/// An open stream whose first item has been read.
struct OpenStream {
    head: response::Parts,
    source: Source,
    /// The comments that precede the first item. They are forwarded with it, so that nothing has been forwarded
    /// of an answer that breaks off before.
    comments: Bytes,
    first: Item,
    /// The version of the weights that the response begins with.
    weights: Option<u64>,
}

/// The result of opening a stream: the stream, or an error response that is passed on whole.
enum Start {
    Stream(Box<OpenStream>),
    Whole(Response<ResponseBody>),
}

/// Serves a request whose response is a stream. A spawned task relays the stream after the first
/// event.
///
/// # Errors
///
/// The refusal for the caller if no event arrived.
pub async fn serve(mut job: Job, running: RequestGuard) -> Result<Response<ResponseBody>, Refusal> {
    let last = job.call.last_event.clone();
    let started = start(&mut job, last.as_deref(), None).await;
    let started = match started {
        Ok(Start::Stream(started)) => *started,
        Ok(Start::Whole(response)) => return Ok(response),
        Err(failure) => return Err(job.refusal(failure)),
    };
    if matches!(started.first, Item::Event(_)) {
        let server = started.source.slot.server();
        if !job.secure_origin(server).await {
            return Err(job.refusal(Failure::Broke));
        }
        job.record_origin(server, started.weights);
    }
    let elapsed = job.arrival.elapsed();
    job.gateway
        .metrics
        .first_byte
        .observe(elapsed.as_secs_f64());
    let (events, relayed) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let mut response = Response::new(Either::Right(StreamBody(relayed)));
    *response.status_mut() = started.head.status;
    *response.headers_mut() = end_to_end(&started.head.headers);
    tracing::info!(
        request = job.call.id,
        ms = elapsed.as_millis() as u64,
        "stream started"
    );
    let relay = Relay {
        form: Form::of(&started.head.headers),
        job,
        events,
        last,
        count: 0,
        comments: 0,
        _running: running,
    };
    tokio::spawn(relay.run(started));
    Ok(response)
}

/// Opens a stream and waits for its first event, with further attempts as far as they are allowed. An answer
/// must have the `form` of the stream that it goes on with.
async fn start(job: &mut Job, last: Option<&str>, form: Option<&Form>) -> Result<Start, Failure> {
    loop {
        let limit = next_event_limit(job);
        let failure = match job.send(last, limit).await {
            Ok(opened) => match read_first(job, opened, limit, last, form).await {
                Ok(start) => return Ok(start),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if !job.may_continue(failure) {
            return Err(failure);
        }
    }
}

/// Returns the time within which the next event must arrive.
fn next_event_limit(job: &Job) -> Limit {
    let more = job.route.resumable && job.sends < job.route.attempts;
    let stall = STALL_TIMEOUT.max(job.route.target * 2);
    Limit {
        takeover: more.then(|| Instant::now() + stall),
        end: job.deadline + DEADLINE_GRACE,
    }
}

/// Reads the first event of a successful response, or the whole body of any other.
async fn read_first(
    job: &mut Job,
    opened: OpenResponse,
    limit: Limit,
    last: Option<&str>,
    form: Option<&Form>,
) -> Result<Start, Failure> {
    let OpenResponse {
        response,
        link,
        slot,
        weights,
    } = opened;
    let (head, body) = response.into_parts();
    let own = Form::of(&head.headers);
    let other_form = form.is_some_and(|form| !head.status.is_success() || *form != own);
    if other_form || job.has_other_weights(weights) {
        let (request, status) = (&job.call.id, head.status.as_u16());
        let upstream = slot.server().entry.id.as_str();
        tracing::warn!(
            request,
            upstream,
            status,
            ?own,
            weights,
            "answer doesn't go on with the stream"
        );
        let good = head.status.is_client_error();
        slot.server().record_outcome(job.gateway.now(), good);
        return Err(Failure::Broke);
    }
    if !head.status.is_success() {
        let server = slot.server();
        let body = job.read_body(body, limit).await;
        let body = body.inspect_err(|failure| job.record_failure(server, *failure))?;
        server.recycle(link);
        let response = job.pass_on(&server.entry.id, &head, body);
        return Ok(Start::Whole(response));
    }
    job.count_input();
    let mut source = Source {
        body,
        splitter: Splitter::default(),
        link,
        slot,
        unframed: head::is_unframed(&head.headers),
        cleared: false,
    };
    let (comments, first) = source.read_opening(job, limit).await;
    let first = match first {
        // A new stream has events; one that is taken up may have ended with the event before.
        Ok(Item::End) if last.is_none() || form.is_none() && source.unframed => Err(Failure::Broke),
        Ok(Item::Event(event)) if !resume::follows(job, last, &event) => {
            resume::log_stray(job, source.slot.server(), last, &event);
            Err(Failure::MidAnswer)
        }
        first => first,
    };
    let first = first.inspect_err(|failure| job.record_failure(source.slot.server(), *failure))?;
    job.progress.record_content(job.gateway.now());
    if !job.may_come_from(source.slot.server()) {
        let (request, upstream) = (&job.call.id, source.slot.server().entry.id.as_str());
        tracing::warn!(
            request,
            upstream,
            "upstream may have been replaced since the request was placed; its answer is not joined"
        );
        return Err(Failure::Broke);
    }
    source.slot.mark_prompt_read();
    source.slot.server().record_outcome(job.gateway.now(), true);
    Ok(Start::Stream(Box::new(OpenStream {
        head,
        source,
        comments,
        first,
        weights,
    })))
}

/// Relays a stream to its caller, resuming it at other upstreams when it breaks.
///
/// # Invariants
///
/// What has been forwarded begins the stream that goes on: only events that follow the one before are, and the
/// comments between them. Before the first event nothing is forwarded.
struct Relay {
    job: Job,
    /// How the caller was told to read the stream.
    form: Form,
    events: mpsc::Sender<Result<Bytes, Truncated>>,
    last: Option<String>,
    /// The number of events that were forwarded.
    count: u64,
    /// The bytes of comments that were forwarded since the last event.
    comments: usize,
    _running: RequestGuard,
}

impl Relay {
    async fn run(mut self, started: OpenStream) {
        let status = http::StatusCode::OK;
        let caller = self.events.clone();
        let gateway = Arc::clone(&self.job.gateway);
        let ended = tokio::select! {
            biased;
            ended = self.relay(started) => Some(ended),
            () = caller.closed() => None,
            () = gateway.drain.aborted() => Some(Err(Failure::TimedOut)),
        };
        drop(caller);
        if !matches!(ended, Some(Ok(_))) {
            let length = self.job.arrival.elapsed();
            gateway.drain.record_length(&self.job.route, length, true);
        }
        match ended {
            Some(Ok(upstream)) => {
                gateway.origins.close(self.job.stream_key());
                self.job.finish(status, &upstream, Ending::Streamed);
            }
            Some(Err(failure)) => {
                tracing::info!(
                    request = self.job.call.id,
                    ?failure,
                    events = self.count,
                    stopping = gateway.drain.is_started(),
                    "cut"
                );
                self.job.finish(status, &self.upstream(), Ending::Cut);
                // The tokens are free at once, however slowly the caller reads.
                let Self {
                    events,
                    job,
                    _running: running,
                    ..
                } = self;
                drop((job, running));
                // A closed channel means that the caller disconnected, which also ends the stream.
                let _sent = events.send(Err(Truncated)).await;
            }
            None => self.job.finish(status, &self.upstream(), Ending::Left),
        }
    }

    fn upstream(&self) -> UpstreamId {
        let last = self.job.tried.last().cloned();
        last.expect("a stream has an upstream")
    }

    /// Relays events until the stream ends, resuming it at another upstream after a failure.
    async fn relay(&mut self, started: OpenStream) -> Result<UpstreamId, Failure> {
        let (mut source, mut next) = self.begin(started).await;
        loop {
            let failure = loop {
                match next {
                    Item::End => return Ok(self.end(source)),
                    Item::Event(event) if event.is_comment() => {
                        self.comments += event.bytes.len();
                        if self.comments > MAX_EVENT_BYTES {
                            break Failure::MidAnswer;
                        }
                        self.forward(event.bytes).await;
                    }
                    Item::Event(_) if !self.job.covers_event() => {
                        break Failure::MidAnswer;
                    }
                    Item::Event(event) => {
                        let last = self.last.as_deref();
                        if !resume::follows(&self.job, last, &event) {
                            resume::log_stray(&self.job, source.slot.server(), last, &event);
                            break Failure::MidAnswer;
                        }
                        source.settle(&self.job);
                        self.forward_event(event).await;
                    }
                }
                let limit = next_event_limit(&self.job);
                let waited = self.job.wait(limit, source.next(limit.end)).await;
                next = match waited.flatten() {
                    Ok(next) => next,
                    Err(failure) => break failure,
                };
            };
            self.job.record_failure(source.slot.server(), failure);
            drop(source);
            let started = self.resume(failure).await?;
            (source, next) = self.begin(started).await;
        }
    }

    /// Forwards the comments that an answer begins with; returns the answer and its first item.
    async fn begin(&mut self, started: OpenStream) -> (Source, Item) {
        if !started.comments.is_empty() {
            self.forward(started.comments).await;
        }
        (started.source, started.first)
    }

    /// Records that the stream is complete, and returns the upstream that ended it.
    fn end(&self, source: Source) -> UpstreamId {
        let job = &self.job;
        job.record_complete(source.slot.server(), source.unframed);
        // A stream that goes on after an event of the caller's is shorter than usual.
        if job.call.last_event.is_none() {
            let length = job.arrival.elapsed();
            job.gateway.drain.record_length(&job.route, length, false);
        }
        let server = Arc::clone(source.slot.server());
        server.recycle(source.link);
        server.entry.id.clone()
    }

    async fn forward_event(&mut self, event: Event) {
        self.job.count_event(event.bytes.len());
        self.count += 1;
        self.comments = 0;
        self.last = event.id;
        self.forward(event.bytes).await;
    }

    async fn forward(&self, bytes: Bytes) {
        // `run` detects a caller that disconnected.
        let _sent = self.events.send(Ok(bytes)).await;
    }
}
