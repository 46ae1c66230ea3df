//! Records the raw bytes of each request head.
//!
//! The HTTP library drops some of what makes a head ambiguous, such as a `Content-Length` beside a
//! chunked body, so the raw bytes are checked before the request is served.

use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use crate::gateway::Gateway;
use crate::time_limits::History;

/// The largest number of bytes recorded per request.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// The largest number of header lines that are parsed; a head with more is refused.
const MAX_HEADERS: usize = 128;

#[derive(Debug)]
struct Record {
    bytes: Vec<u8>,
    since: Option<Instant>,
    head: bool,
    /// Whether a response is being written. The next head isn't read before its end.
    responding: bool,
    /// When bytes were last read or written.
    active: Instant,
    /// When the latest response began, whose caller may go by the time limits of that moment.
    answered: Instant,
}

/// The recorder of one connection.
#[derive(Debug)]
pub(super) struct HeadRecorder(Mutex<Record>);

/// A part of a connection's time that lasts too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Overdue {
    /// A head has begun and isn't complete.
    Head,
    /// No request arrives.
    Idle,
}

impl HeadRecorder {
    /// Creates the recorder of a new connection.
    pub(super) fn open() -> Self {
        let now = Instant::now();
        Self(Mutex::new(Record {
            bytes: Vec::new(),
            since: None,
            head: true,
            responding: false,
            active: now,
            answered: now,
        }))
    }

    fn record(&self, bytes: &[u8]) {
        let mut record = self.0.lock();
        record.active = Instant::now();
        if !record.head || bytes.is_empty() {
            return;
        }
        record.since.get_or_insert_with(Instant::now);
        let room = MAX_RECORDED_BYTES.saturating_sub(record.bytes.len());
        record
            .bytes
            .extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn record_write(&self) {
        self.0.lock().active = Instant::now();
    }

    /// Returns when the next request will be overdue by the limits known by now, and in which way; `None`
    /// while none is awaited.
    fn due(&self, limits: &Mutex<History>) -> Option<(Instant, Overdue)> {
        let record = self.0.lock();
        if !record.head || record.responding {
            return None;
        }
        let limits = limits.lock().longest_since(record.answered);
        Some(match record.since {
            Some(since) => (since + limits.head, Overdue::Head),
            None => (record.active + limits.idle, Overdue::Idle),
        })
    }

    /// Waits until the next request is overdue. Must be polled whenever the connection is: what is awaited
    /// changes with it.
    pub(super) async fn overdue(&self, limits: &Mutex<History>) -> Overdue {
        let mut timer = std::pin::pin!(sleep_until(Instant::now()));
        poll_fn(|context| {
            loop {
                let Some((due, overdue)) = self.due(limits) else {
                    return Poll::Pending;
                };
                if due <= Instant::now() {
                    return Poll::Ready(overdue);
                }
                // A timer that fires too early finds a later due time.
                if timer.is_elapsed() || due < timer.deadline() {
                    timer.as_mut().reset(due);
                }
                if timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
            }
        })
        .await
    }

    /// Takes the recorded head and stops recording, as the request's body follows.
    pub(super) fn take_head(&self) -> Head {
        let mut record = self.0.lock();
        record.head = false;
        record.since = None;
        Head(std::mem::take(&mut record.bytes))
    }

    /// Starts recording again as a response begins: the next bytes belong to another head.
    pub(super) fn start_head(&self) {
        let mut record = self.0.lock();
        record.head = true;
        record.responding = true;
        record.answered = Instant::now();
    }

    /// Records that the response has ended. The time for a head that has begun to arrive starts now.
    pub(super) fn end_response(&self) {
        let mut record = self.0.lock();
        record.responding = false;
        record.active = Instant::now();
        record.since = record.since.map(|_| record.active);
    }
}

/// A recorded head, possibly followed by the start of the body.
#[derive(Debug)]
pub(super) struct Head(Vec<u8>);

impl Head {
    /// Returns the length of the head in bytes, without what follows it.
    pub(super) fn len(&self) -> usize {
        let end = self.0.windows(4).position(|four| four == b"\r\n\r\n");
        end.map_or(self.0.len(), |end| end + 4)
    }

    /// Returns why the end of the request is ambiguous; `None` if it isn't.
    pub(super) fn ambiguity(&self) -> Option<&'static str> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if request.parse(&self.0).is_err() {
            return Some("the head can't be read");
        }
        let named = |name: &str| {
            let headers = request.headers.iter();
            headers
                .filter(|header| header.name.eq_ignore_ascii_case(name))
                .count()
        };
        let (lengths, codings) = (named("content-length"), named("transfer-encoding"));
        match (lengths, codings) {
            (0 | 1, 0) | (0, 1) => None,
            (_, 0) => Some("more than one Content-Length"),
            (0, _) => Some("more than one Transfer-Encoding"),
            _ => Some("both Content-Length and Transfer-Encoding"),
        }
    }
}

/// A connection that records request heads and counts the bytes of both directions.
pub(super) struct RecordedStream {
    stream: TcpStream,
    recorder: Arc<HeadRecorder>,
    gateway: Arc<Gateway>,
}

impl RecordedStream {
    pub(super) fn new(
        stream: TcpStream,
        recorder: Arc<HeadRecorder>,
        gateway: Arc<Gateway>,
    ) -> Self {
        Self {
            stream,
            recorder,
            gateway,
        }
    }

    /// Counts written bytes in the use of the link.
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.gateway.link.count_write(bytes);
            self.recorder.record_write();
        }
        written
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if matches!(read, Poll::Ready(Ok(()))) {
            let bytes = &buffer.filled()[before..];
            self.recorder.record(bytes);
            self.gateway.link.count_read(bytes.len());
        }
        read
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
