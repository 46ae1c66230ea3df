//! Limits on the memory that whole bodies take together, from their first byte until the last use of them.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A limit on the memory of all bodies of one kind.
#[derive(Debug)]
pub struct Buffers {
    /// One permit for each byte that is left.
    room: Arc<Semaphore>,
    /// The part of each body that doesn't count, so that ordinary bodies are read also while others exhaust
    /// the limit.
    unshared: usize,
    /// The limit on what all bodies together hold beyond their unshared parts.
    shared: usize,
}

/// The bytes of one body that count against a limit, released on drop.
#[derive(Debug)]
pub struct Share {
    room: Arc<Semaphore>,
    permits: Option<OwnedSemaphorePermit>,
    unshared: usize,
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
        let room = Arc::clone(&self.room);
        match self.missing(bytes) {
            Some(0) => true,
            Some(more) => self.add(room.try_acquire_many_owned(more).ok()),
            None => false,
        }
    }

    /// Waits until the share can be grown to a body of `bytes`. A share that grows in steps must not wait:
    /// several could each hold what the others lack.
    async fn reserve(&mut self, bytes: usize) -> bool {
        let room = Arc::clone(&self.room);
        match self.missing(bytes) {
            Some(0) => true,
            Some(more) => self.add(room.acquire_many_owned(more).await.ok()),
            None => false,
        }
    }

    /// Returns the number of permits that a body of `bytes` lacks.
    fn missing(&self, bytes: usize) -> Option<u32> {
        let held = self.permits.as_ref().map_or(0, |held| held.num_permits());
        let more = bytes.saturating_sub(self.unshared).saturating_sub(held);
        u32::try_from(more).ok()
    }

    fn add(&mut self, more: Option<OwnedSemaphorePermit>) -> bool {
        let added = more.is_some();
        match (&mut self.permits, more) {
            (Some(held), Some(more)) => held.merge(more),
            (held, more) => *held = held.take().or(more),
        }
        added
    }

    /// Ties the share to bytes: it is released with the last reference to them.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Kept {
            bytes,
            _share: self,
        })
    }
}

impl Buffers {
    /// Creates a limit: all bodies together hold up to `shared` bytes beyond the first `unshared` of each.
    pub fn open(unshared: usize, shared: usize) -> Self {
        Self {
            room: Arc::new(Semaphore::new(shared)),
            unshared,
            shared,
        }
    }

    /// Returns the empty share of a new body.
    pub fn share(&self) -> Share {
        Share {
            room: Arc::clone(&self.room),
            permits: None,
            unshared: self.unshared,
        }
    }

    /// Reads a body of up to `longest` bytes to its end. One that announces its length waits until there is room
    /// for all of it; others fail without room. Its share is to be held as long as the bytes are. `on_content` is called
    /// with each part of the body that arrives.
    ///
    /// # Errors
    ///
    /// The reason for which the body can't be read: it is truncated or too large.
    pub async fn collect(
        &self,
        mut body: Incoming,
        longest: usize,
        mut on_content: impl FnMut(),
    ) -> Result<(Bytes, Share), String> {
        let mut bytes = BytesMut::new();
        let mut share = self.share();
        if let Some(length) = body.size_hint().exact().filter(|length| *length > 0) {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > longest {
                return Err(format!("the body is over {longest} bytes"));
            }
            if length > self.unshared + self.shared || !share.reserve(length).await {
                return Err(format!("bodies hold over {} bytes together", self.shared));
            }
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            on_content();
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
