//! The HTTP/1 listener for callers.

mod body;
mod recorder;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::Refusal;
use fescue_core::outcome::Reason;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::link;
use crate::pipeline;
use crate::reply::{KeepConnection, ResponseBody, refusal_response};
use body::RecordedBody;
use recorder::{HeadRecorder, Overdue, RecordedStream};

/// The largest number of open connections from callers; half of the smallest descriptor limit.
const MAX_CONNECTIONS: usize = 2000;

/// The read buffer of one connection; a little larger than the largest head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// The pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process stops. Open connections are shut down gracefully once
/// `drain` is set.
pub async fn run(gateway: Arc<Gateway>, listener: TcpListener, drain: watch::Receiver<bool>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection from a caller; pausing");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if gateway.connections() >= MAX_CONNECTIONS {
            tracing::warn!("too many connections from callers; closing a new one unread");
            continue;
        }
        gateway.open_connection();
        let (gateway, drain) = (Arc::clone(&gateway), drain.clone());
        tokio::spawn(async move {
            serve(Arc::clone(&gateway), stream, drain).await;
            gateway.close_connection();
        });
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, mut drain: watch::Receiver<bool>) {
    if let Err(error) = link::set_socket_options(&stream) {
        tracing::info!(%error, "can't set up a caller's connection; closing it");
        return;
    }
    let recorder = Arc::new(HeadRecorder::open());
    let service = {
        let (gateway, recorder) = (Arc::clone(&gateway), Arc::clone(&recorder));
        service_fn(move |request| answer(Arc::clone(&gateway), Arc::clone(&recorder), request))
    };
    let tapped = RecordedStream::new(stream, Arc::clone(&recorder), Arc::clone(&gateway));
    let io = TokioIo::new(tapped);
    let mut builder = http1::Builder::new();
    // The timeout of the HTTP library can't change with the configuration; see `time_limits`.
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let connection = builder.serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut overdue = std::pin::pin!(recorder.overdue(&gateway.time_limits));
    let mut closing = false;
    // A connection opened while the process is draining still has one request served.
    let mut draining = *drain.borrow();
    loop {
        tokio::select! {
            // A request that has arrived is read before the connection may be closed.
            biased;
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "a caller's connection ended with an error");
                }
                return;
            }
            changed = drain.changed(), if !draining => {
                draining = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            overdue = overdue.as_mut(), if !closing => match overdue {
                Overdue::Idle => {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                Overdue::Head => {
                    tracing::info!("request head did not arrive in time; closing the caller's connection");
                    return;
                }
            }
        }
    }
}

/// Serves a request and records when its response begins and ends.
async fn answer(
    gateway: Arc<Gateway>,
    recorder: Arc<HeadRecorder>,
    request: Request<Incoming>,
) -> Result<Response<RecordedBody>, Infallible> {
    let response = respond(&gateway, &recorder, request).await;
    recorder.start_head();
    Ok(response.map(|body| RecordedBody::new(body, recorder)))
}

/// Checks the recorded head of a request, then serves the request.
async fn respond(
    gateway: &Arc<Gateway>,
    recorder: &HeadRecorder,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let head = recorder.take_head();
    if let Some(problem) = head.ambiguity() {
        return close(refusal_response(&Refusal::not_run(
            Reason::BadRequest,
            problem,
        )));
    }
    let limits = gateway.catalog().map(|catalog| catalog.manifest().limits);
    if limits.is_some_and(|limits| head.len() > limits.header_bytes) {
        let mut response =
            refusal_response(&Refusal::not_run(Reason::TooLarge, "the head is too large"));
        *response.status_mut() = http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return close(response);
    }
    let response = pipeline::serve(Arc::clone(gateway), request).await;
    // Closing the connection makes the caller reconnect, and so reach another router.
    let keeps = response.extensions().get::<KeepConnection>().is_some();
    let turned_away = response.status() == StatusCode::TOO_MANY_REQUESTS && !keeps;
    let closing = gateway.drain.is_started() || turned_away || gateway.should_shed();
    if closing { close(response) } else { response }
}

/// Adds `Connection: close`, so that the connection is closed after the response.
fn close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}
