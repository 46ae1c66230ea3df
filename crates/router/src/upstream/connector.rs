//! Connections to upstreams that count the answers on each.
//!
//! An answer that doesn't name its request can be that to an earlier request on the same connection.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use fescue_store::transport::{self, Transport};
use http::{Extensions, Uri};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use tower_service::Service;

/// The number of reads in a row after which a connection lets other tasks run. What it read may have woken the
/// task that ends the request, and that can't run on another thread.
const MAX_READS: u32 = 4;

/// The number of answers on one connection; each answer has it among its extensions.
#[derive(Clone, Debug, Default)]
struct Answers(Arc<AtomicUsize>);

/// Counts an answer by its extensions; returns whether it is the first on its connection.
pub(super) fn count_answer(extensions: &Extensions) -> bool {
    let answers = extensions.get::<Answers>();
    answers.is_some_and(|answers| answers.0.fetch_add(1, Ordering::Relaxed) == 0)
}

/// Opens connections.
#[derive(Clone)]
pub(super) struct Connector(pub(super) transport::Connector);

impl Service<Uri> for Connector {
    type Response = Counted;
    type Error = <transport::Connector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Counted, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            let answers = Answers::default();
            Ok(Counted {
                stream,
                answers,
                reads: 0,
            })
        })
    }
}

/// A connection whose answers are counted.
pub(super) struct Counted {
    stream: TokioIo<Transport>,
    answers: Answers,
    /// The number of reads since the connection last let other tasks run.
    reads: u32,
}

impl Connection for Counted {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.answers.clone())
    }
}

impl Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads >= MAX_READS {
            self.reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.reads = match read {
            Poll::Ready(_) => self.reads + 1,
            Poll::Pending => 0,
        };
        read
    }
}

impl Write for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
