//! The rest of an answer whose head has arrived.

use std::sync::Arc;

use bytes::Bytes;
use fescue_core::UpstreamId;
use fescue_policy::retry::Failure;
use http::{Response, response};
use hyper::body::Incoming;

use super::{Ending, Job, Limit, end_to_end};
use crate::reply::{ResponseBody, full_body};
use crate::upstreams::Server;

/// The largest response body that is read whole; a larger one fails the attempt.
const MAX_BODY_BYTES: usize = 4 << 20;

impl Job {
    /// Passes an upstream's whole answer on to the caller: counts what the team gets with it, and the end of the
    /// request.
    pub fn pass_on(
        &mut self,
        upstream: &UpstreamId,
        head: &response::Parts,
        body: Bytes,
    ) -> Response<ResponseBody> {
        self.count_whole(head.status, body.len());
        self.finish(head.status, upstream, Ending::Answered);
        let mut response = Response::new(full_body(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = end_to_end(&head.headers);
        response
    }

    /// Reads the rest of an answer.
    ///
    /// # Errors
    ///
    /// [`Failure::Broke`] or [`Failure::TimedOut`] if it is incomplete; no part of it is passed on.
    pub async fn read_body(&mut self, body: Incoming, limit: Limit) -> Result<Bytes, Failure> {
        let gateway = Arc::clone(&self.gateway);
        let mut progress = self.progress;
        let on_content = || progress.record_content(gateway.now());
        let collected = gateway.buffers.collect(body, MAX_BODY_BYTES, on_content);
        let collected = self.wait(limit, collected).await;
        self.progress = progress;
        match collected {
            // A caller that reads slowly holds the body for longer than the upstream took.
            Ok(Ok((body, share))) => Ok(share.keep(body)),
            Ok(Err(error)) => {
                tracing::info!(
                    request = self.call.id,
                    error,
                    "can't read the response body"
                );
                Err(Failure::Broke)
            }
            Err(failure) => Err(failure),
        }
    }

    /// Records with the upstream that it did not finish an answer whose head had arrived.
    pub fn record_failure(&self, server: &Arc<Server>, failure: Failure) {
        server.record_outcome(self.gateway.now(), false);
        if failure != Failure::TimedOut {
            self.record_disconnect(server);
        }
        let upstream = server.entry.id.as_str();
        tracing::info!(
            request = self.call.id,
            upstream,
            ?failure,
            settled = self.progress.is_settled(self.gateway.now()),
            "answer failed"
        );
    }
}
