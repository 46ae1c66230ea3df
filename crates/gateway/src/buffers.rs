//! Limits on the memory that whole bodies take together, from their first byte until the last use of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// A limit on the memory of all bodies of one kind.
#[derive(Debug)]
pub struct Buffers {
    held: Arc<AtomicUsize>,
    /// The part of each body that doesn't count, so that ordinary bodies are read also while others exhaust
    /// the limit.
    unshared: usize,
    /// The limit on what all bodies together hold beyond their unshared parts.
    shared: usize,
}

/// The bytes of one body that count against a limit, released on drop.
#[derive(Debug)]
pub struct Share {
    all: Arc<AtomicUsize>,
    held: usize,
    unshared: usize,
    shared: usize,
}

/// The bytes of a body with its share.
struct Kept {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Share {
    /// Grows the share to a body of `bytes`; returns false if that exceeds the limit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(self.unshared);
        let more = counted.saturating_sub(self.held);
        let before = self.all.fetch_add(more, Ordering::Relaxed);
        self.held += more;
        more == 0 || before + more <= self.shared
    }

    /// Ties the share to bytes: it is released with the last reference to them.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Kept {
            bytes,
            _share: self,
        })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.all.fetch_sub(self.held, Ordering::Relaxed);
    }
}

impl Buffers {
    /// Creates a limit: all bodies together hold up to `shared` bytes beyond the first `unshared` of each.
    pub fn open(unshared: usize, shared: usize) -> Self {
        Self {
            held: Arc::default(),
            unshared,
            shared,
        }
    }

    /// Returns the empty share of a new body.
    pub fn share(&self) -> Share {
        Share {
            all: Arc::clone(&self.held),
            held: 0,
            unshared: self.unshared,
            shared: self.shared,
        }
    }

    /// Reads a body of up to `longest` bytes to its end. Its share is to be held as long as the bytes are.
    ///
    /// # Errors
    ///
    /// The reason for which the body can't be read: it is truncated or too large.
    pub async fn collect(
        &self,
        mut body: Incoming,
        longest: usize,
    ) -> Result<(Bytes, Share), String> {
        let mut bytes = BytesMut::new();
        let mut share = self.share();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > longest {
                return Err(format!("the body is over {longest} bytes"));
            }
            if !share.grow(length) {
                return Err(format!("bodies hold over {} bytes together", self.shared));
            }
            bytes.extend_from_slice(&data);
        }
        Ok((bytes.freeze(), share))
    }
}
