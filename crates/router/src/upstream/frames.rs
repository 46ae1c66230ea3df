//! Splits an engine's answer into server-sent events.

use bytes::{Buf, Bytes, BytesMut};
use fescue_policy::retry::Failure;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The largest event, in bytes.
const MOST_FRAME: usize = 1 << 20;

/// The mark between two events.
const MARK: &[u8] = b"\n\n";

/// The events of one answer.
pub struct Frames {
    body: Incoming,
    buffer: BytesMut,
}

impl Frames {
    /// Reads the events of `body`.
    pub fn open(body: Incoming) -> Self {
        let buffer = BytesMut::new();
        Self { body, buffer }
    }

    /// Returns the data of the next event, or `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// When the answer breaks off or an event is too large.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if let Some(frame) = self.split() {
                return Ok(Some(frame));
            }
            if self.buffer.len() > MOST_FRAME {
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
        let end = self.buffer.windows(MARK.len()).position(|w| w == MARK)?;
        let frame = self.buffer.split_to(end).freeze();
        self.buffer.advance(MARK.len());
        let data = frame.strip_prefix(b"data:").map(<[u8]>::trim_ascii_start);
        Some(data.map_or_else(|| frame.clone(), |data| frame.slice_ref(data)))
    }
}
