//! Splits an engine's answer into server-sent events.

use bytes::{Buf, Bytes, BytesMut};
use fescue_policy::retry::Failure;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The separator between two events.
const SEPARATOR: &[u8] = b"\n\n";

/// The server-sent events of one answer, in the order of arrival.
pub struct Events {
    body: Incoming,
    buffer: BytesMut,
}

impl Events {
    /// Creates a reader of the events in `body`.
    pub fn open(body: Incoming) -> Self {
        let buffer = BytesMut::new();
        Self { body, buffer }
    }

    /// Returns the data of the next event, or `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::MidAnswer`] when the answer is truncated or an event is too large.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if let Some(event) = self.split() {
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Failure::MidAnswer);
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(Failure::MidAnswer),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    fn split(&mut self) -> Option<Bytes> {
        let end = self
            .buffer
            .windows(SEPARATOR.len())
            .position(|w| w == SEPARATOR)?;
        let event = self.buffer.split_to(end).freeze();
        self.buffer.advance(SEPARATOR.len());
        let data = event.strip_prefix(b"data:").map(<[u8]>::trim_ascii_start);
        Some(data.map_or_else(|| event.clone(), |data| event.slice_ref(data)))
    }
}
