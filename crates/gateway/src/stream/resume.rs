//! What an answer must be like to go on with a stream that another upstream has begun.

use fescue_policy::retry::Failure;
use http::{HeaderMap, HeaderValue, header};
use tokio::time::Instant;

use super::{Item, Relay, Source, Start, start};
use crate::job::event_tokens;
use crate::sse::Event;

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
    pub(super) async fn resume(&mut self, failure: Failure) -> Result<(Source, Item), Failure> {
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
            let goes_on = match &started.first {
                Item::Event(event) => self.follows(event),
                Item::End => self.is_full(),
            };
            let request = &self.job.call.id;
            if goes_on {
                let events = self.count;
                tracing::info!(request, last, events, ?failure, "stream resumed");
                return Ok((started.source, started.first));
            }
            let server = started.source.slot.server();
            let upstream = server.entry.id.as_str();
            tracing::warn!(
                request,
                upstream,
                last,
                "answer doesn't go on after the last event"
            );
            server.record_outcome(self.job.gateway.now(), false);
            failure = Failure::Broke;
        }
    }

    /// Returns whether an event may come after those that were forwarded: ids increase, and an event
    /// without one among others that have it is no part of the stream.
    pub(super) fn follows(&self, event: &Event) -> bool {
        let last = self.last.as_deref().filter(|_| self.count > 0);
        let Some(last) = last else { return true };
        let Some(id) = event.id.as_deref() else {
            return event.is_comment();
        };
        match (last.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last), Ok(id)) => id > last,
            _ => id != last,
        }
    }

    /// Returns whether the stream has all events that the request asked for.
    fn is_full(&self) -> bool {
        let tokens = event_tokens(&self.job.service).saturating_mul(self.count);
        tokens > 0 && tokens >= self.job.call.output.get()
    }
}
