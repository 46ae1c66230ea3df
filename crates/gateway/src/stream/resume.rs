//! What an answer must be like to go on with a stream that another upstream has begun.

use fescue_policy::retry::Failure;
use http::{HeaderMap, HeaderValue, header};
use tokio::time::Instant;

use super::{Item, OpenStream, Relay, Start, start};
use crate::job::{Job, event_tokens};
use crate::sse::Event;
use crate::upstreams::Server;

/// The headers that say how the body of a stream is to be read, which its caller got from the first
/// upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Form {
    kind: Option<HeaderValue>,
    encoding: Option<HeaderValue>,
}

impl Form {
    /// Takes them from the headers of an answer.
    pub(super) fn of(headers: &HeaderMap) -> Self {
        Self {
            kind: headers.get(header::CONTENT_TYPE).cloned(),
            encoding: headers.get(header::CONTENT_ENCODING).cloned(),
        }
    }
}

impl Relay {
    /// Resumes the stream after a failure, at the first upstream whose answer goes on with it. The others
    /// count as failed attempts, and nothing of their answers is forwarded.
    pub(super) async fn resume(&mut self, failure: Failure) -> Result<OpenStream, Failure> {
        let mut failure = failure;
        loop {
            if Instant::now() >= self.job.deadline || !self.job.may_continue(failure) {
                return Err(failure);
            }
            let (last, form) = (self.last.clone(), Some(&self.form));
            let started = start(&mut self.job, last.as_deref(), form).await?;
            let Start::Stream(started) = started else {
                return Err(Failure::MidAnswer);
            };
            let request = &self.job.call.id;
            if matches!(started.first, Item::Event(_)) || self.is_full() {
                let events = self.count;
                tracing::info!(request, last, events, ?failure, "stream resumed");
                return Ok(*started);
            }
            let server = started.source.slot.server();
            let upstream = server.entry.id.as_str();
            tracing::warn!(
                request,
                upstream,
                last,
                "answer ends where the stream should go on"
            );
            server.record_outcome(self.job.gateway.now(), false);
            failure = Failure::Broke;
        }
    }

    /// Returns whether the stream has all events that the request asked for.
    fn is_full(&self) -> bool {
        let tokens = event_tokens(&self.job.service).saturating_mul(self.count);
        tokens > 0 && tokens >= self.job.call.output.get()
    }
}

/// Returns whether an event may come after the event `last` of its stream, or begin the stream: its number must be
/// higher, and what has no number is no event of a stream.
pub(super) fn follows(job: &Job, last: Option<&str>, event: &Event) -> bool {
    let Some(number) = event.number(job.gateway.codec.event_field()) else {
        return false;
    };
    last.is_none_or(|last| last.parse::<u64>().is_ok_and(|last| number > last))
}

/// The number of bytes that are logged of what is no event.
const MAX_LOGGED_BYTES: usize = 80;

/// Logs a part of an answer that doesn't follow the event `last` of its stream.
pub(super) fn log_stray(job: &Job, server: &Server, last: Option<&str>, event: &Event) {
    let text = &event.bytes[..event.bytes.len().min(MAX_LOGGED_BYTES)];
    let text = String::from_utf8_lossy(text);
    tracing::warn!(
        request = job.call.id,
        upstream = server.entry.id.as_str(),
        last,
        %text,
        "answer holds what is no event of the stream; the attempt fails"
    );
}
