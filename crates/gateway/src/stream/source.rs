//! The answer of one upstream, as a sequence of events.

use bytes::{Bytes, BytesMut};
use fescue_policy::retry::Failure;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::next_event_limit;
use crate::job::{Job, Limit};
use crate::link::Link;
use crate::sse::{Event, MAX_EVENT_BYTES, Splitter};
use crate::upstreams::Slot;

/// An event stream from one upstream.
pub(super) struct Source {
    pub body: Incoming,
    pub splitter: Splitter,
    pub link: Link,
    pub slot: Slot,
    /// Whether the answer ends with its connection.
    pub unframed: bool,
    /// Whether the answer has cleared the parts of its prompt.
    pub cleared: bool,
}

/// The next item of a stream.
pub(super) enum Item {
    Event(Event),
    End,
}

impl Source {
    /// Waits for the next item until `limit`.
    pub async fn next(&mut self, limit: Instant) -> Result<Item, Failure> {
        // Events that are always available would never let the time-out below expire.
        if Instant::now() >= limit {
            return Err(Failure::TimedOut);
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Item::Event(event));
            }
            if self.splitter.exceeds_limit() {
                return Err(Failure::MidAnswer);
            }
            match timeout_at(limit, self.body.frame()).await {
                Err(_) => return Err(Failure::TimedOut),
                Ok(None) if self.splitter.is_partial() => return Err(Failure::MidAnswer),
                Ok(None) => return Ok(Item::End),
                Ok(Some(Err(error))) => {
                    tracing::debug!(%error, "can't read the stream from the upstream");
                    return Err(Failure::MidAnswer);
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }

    /// Reads an answer up to its first item that is no comment, and returns the comments before it too.
    pub async fn read_opening(
        &mut self,
        job: &mut Job,
        mut limit: Limit,
    ) -> (Bytes, Result<Item, Failure>) {
        let mut comments = BytesMut::new();
        loop {
            match job.wait(limit, self.next(limit.end)).await.flatten() {
                Ok(Item::Event(event)) if event.is_comment() => {
                    comments.extend_from_slice(&event.bytes);
                    if comments.len() > MAX_EVENT_BYTES {
                        return (Bytes::new(), Err(Failure::MidAnswer));
                    }
                    limit = next_event_limit(job);
                }
                first => return (comments.freeze(), first),
            }
        }
    }

    /// Clears the parts of the prompt once the answer has gone on for some time.
    pub fn settle(&mut self, job: &Job) {
        if !self.cleared && job.progress.is_settled(job.gateway.now()) {
            self.cleared = true;
            job.gateway.record_begun(&job.attempt);
        }
    }
}
