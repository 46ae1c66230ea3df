//! The body of a response, which tells the recorder of its connection when it ends.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::recorder::HeadRecorder;
use crate::reply::ResponseBody;

/// A response body on a recorded connection. It ends when it is dropped.
pub(super) struct RecordedBody {
    body: ResponseBody,
    recorder: Arc<HeadRecorder>,
}

impl RecordedBody {
    pub(super) fn new(body: ResponseBody, recorder: Arc<HeadRecorder>) -> Self {
        Self { body, recorder }
    }
}

impl Drop for RecordedBody {
    fn drop(&mut self) {
        self.recorder.end_response();
    }
}

impl Body for RecordedBody {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
