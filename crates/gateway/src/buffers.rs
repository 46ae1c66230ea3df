//! Reads whole response bodies within a limit on the memory that all of them take together.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The largest response body that is read whole; a larger one fails the attempt.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The part of each body that doesn't count against the shared limit, so that ordinary responses are
/// read also while others exhaust it.
const UNSHARED_BYTES: usize = 64 << 10;

/// The limit on what all bodies together hold beyond their unshared parts.
const SHARED_BYTES: usize = 16 << 20;

/// The memory for bodies that are being read.
#[derive(Debug, Default)]
pub struct Buffers {
    shared: AtomicUsize,
}

/// Shared bytes that one body holds, released on drop.
struct Share<'a> {
    buffers: &'a Buffers,
    held: usize,
}

impl Share<'_> {
    /// Grows the share to `bytes`; returns false if that exceeds the shared limit.
    fn grow(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.held);
        let held = self.buffers.shared.fetch_add(more, Ordering::Relaxed);
        self.held += more;
        held + more <= SHARED_BYTES
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.buffers.shared.fetch_sub(self.held, Ordering::Relaxed);
    }
}

impl Buffers {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// The reason for which the body can't be read: it is truncated or too large.
    pub async fn collect(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut bytes = BytesMut::new();
        let mut share = Share {
            buffers: self,
            held: 0,
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > MAX_BODY_BYTES {
                return Err(format!("the body is over {MAX_BODY_BYTES} bytes"));
            }
            if !share.grow(length.saturating_sub(UNSHARED_BYTES)) {
                return Err(format!("bodies hold over {SHARED_BYTES} bytes together"));
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}
