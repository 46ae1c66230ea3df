//! A limit on the bytes that precede the end of a response head.
//!
//! Interim responses are parsed and dropped one by one, so the HTTP client's own limit on the size of
//! a head never ends them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The number of bytes that may still be read before a response head is complete.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Creates a limit that is off.
    pub fn open() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Allows `bytes` more bytes.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Removes the limit, since the head is complete.
    pub fn clear(&self) {
        self.set(usize::MAX);
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        match left.checked_sub(bytes) {
            Some(left) => {
                self.set(left);
                Ok(())
            }
            None => Err(io::Error::other("no response head within the limit")),
        }
    }
}

/// A connection whose reads fail once they exceed a [`HeadLimit`].
#[derive(Debug)]
pub struct Guarded<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> Guarded<S> {
    /// Applies a limit to a connection.
    pub fn open(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Guarded<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let guarded = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut guarded.stream).poll_read(context, buffer);
        match read {
            Poll::Ready(Ok(())) => Poll::Ready(guarded.limit.count(buffer.filled().len() - before)),
            other => other,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
