//! Connections that report an orderly end only if they did not break.
//!
//! The kernel reports a reset once, to the system call that comes first. If that call is a write, or if the
//! peer ended its side before the reset, the next read returns the end of the stream as if it were orderly. A
//! body that ends where its connection does would then pass as complete.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use ::http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

/// A TCP connection whose orderly end is reported once all that was to be written has been accepted.
#[derive(Debug)]
pub struct Transport {
    stream: TcpStream,
    /// Whether a write has failed, so that later reads can't tell a reset from an orderly end.
    failed: bool,
    /// Whether the latest write left a part unwritten.
    blocked: bool,
    /// The reader that waits for the end while a write is blocked.
    reader: Option<Waker>,
}

impl Transport {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            failed: false,
            blocked: false,
            reader: None,
        }
    }

    /// Returns the error that the end of the stream hides, if there is one.
    fn hidden_error(&mut self) -> io::Result<()> {
        let error = self.stream.take_error()?;
        self.failed |= error.is_some();
        match error {
            Some(error) => Err(error),
            None if self.failed => Err(io::ErrorKind::ConnectionReset.into()),
            None => Ok(()),
        }
    }

    fn record_write(&mut self, wanted: usize, written: &Poll<io::Result<usize>>) {
        self.failed |= matches!(written, Poll::Ready(Err(_)));
        self.blocked = !matches!(written, Poll::Ready(Ok(count)) if *count >= wanted);
        if let Some(reader) = self.reader.take_if(|_| self.failed || !self.blocked) {
            reader.wake();
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let transport = self.get_mut();
        let before = buffer.remaining();
        let read = Pin::new(&mut transport.stream).poll_read(context, buffer);
        let ended = matches!(read, Poll::Ready(Ok(()))) && before > 0;
        if !ended || buffer.remaining() < before {
            return read;
        }
        transport.hidden_error()?;
        if transport.blocked {
            // Whether the peer closed the connection or only its side shows as the rest is written.
            transport.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let transport = self.get_mut();
        let written = Pin::new(&mut transport.stream).poll_write(context, bytes);
        transport.record_write(bytes.len(), &written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let transport = self.get_mut();
        let flushed = Pin::new(&mut transport.stream).poll_flush(context);
        transport.failed |= matches!(flushed, Poll::Ready(Err(_)));
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let transport = self.get_mut();
        let wanted = slices.iter().map(|slice| slice.len()).sum();
        let written = Pin::new(&mut transport.stream).poll_write_vectored(context, slices);
        transport.record_write(wanted, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Connection for Transport {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

/// Opens connections for an HTTP client.
#[derive(Clone, Debug)]
pub struct Connector(pub HttpConnector);

impl Service<Uri> for Connector {
    type Response = TokioIo<Transport>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(Transport::new(stream)))
        })
    }
}
