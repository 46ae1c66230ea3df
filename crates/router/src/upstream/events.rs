//! Splits an engine's answer into server-sent events.

use bytes::Bytes;
use fescue_gateway::sse::Splitter;
use fescue_policy::retry::Failure;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The server-sent events of one answer, in the order of arrival.
pub struct Events {
    body: Incoming,
    splitter: Splitter,
}

impl Events {
    /// Creates a reader of the events in `body`.
    pub fn open(body: Incoming) -> Self {
        let splitter = Splitter::default();
        Self { body, splitter }
    }

    /// Returns the data of the next event, or `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::MidAnswer`] when the answer is truncated, an event is too large, or what comes
    /// is no event, such as an error's text.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return data(&event.bytes).map(Some).ok_or(Failure::MidAnswer);
            }
            if self.splitter.exceeds_limit() {
                return Err(Failure::MidAnswer);
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(Failure::MidAnswer),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }
}

/// Returns the data of an event that has only a data field of one line; `None` for anything else.
fn data(event: &Bytes) -> Option<Bytes> {
    let text = std::str::from_utf8(event).ok()?.trim_ascii_end();
    let data = text.strip_prefix("data:")?.trim_ascii_start();
    (!data.contains('\n')).then(|| event.slice_ref(data.as_bytes()))
}
