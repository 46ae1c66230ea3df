//! Response bodies for callers, and the responses for refusals.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use fescue_core::Refusal;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The error of a stream that ended before its upstream had sent all of it.
#[derive(Debug, thiserror::Error)]
#[error("the stream ended before the upstream had sent all of it")]
pub struct Truncated;

/// A body that is relayed as it arrives. An error closes the connection without the end of the
/// body, so that the caller can't take the response for complete.
pub struct StreamBody(pub mpsc::Receiver<Result<Bytes, Truncated>>);

impl Body for StreamBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let next = self.0.poll_recv(cx);
        next.map(|bytes| bytes.map(|bytes| bytes.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// The body of a response to a caller: known in full, or relayed.
pub type ResponseBody = Either<Full<Bytes>, StreamBody>;

/// Creates a body whose bytes are all known.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Either::Left(Full::new(bytes))
}

/// Marks a response after which the caller's connection is kept, as it would reach this router again.
#[derive(Clone, Copy, Debug)]
pub struct KeepConnection;

/// Encodes a refusal as a JSON response, with `Retry-After` if the refusal has a delay.
pub fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let body = serde_json::json!({
        "error": {
            "code": refusal.reason.code(),
            "execution": refusal.execution.as_str(),
            "message": refusal.message,
        }
    });
    let mut response = Response::new(full_body(Bytes::from(body.to_string())));
    let status = StatusCode::from_u16(refusal.reason.status());
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(delay) = refusal.retry_after {
        let seconds = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
