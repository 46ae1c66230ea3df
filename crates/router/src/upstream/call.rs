//! Calls to upstreams over HTTP.
//!
//! Each call carries the request's id and the attempt's number, and an answer that names others is
//! not taken for ours.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fescue_core::{Priority, RequestId, VmId};
use fescue_policy::retry::Failure;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// How long a connection may take to stand.
const CONNECT: Duration = Duration::from_millis(500);

/// How long a report may take.
const REPORT: Duration = Duration::from_millis(400);

/// The largest answer of a plain service or report, in bytes.
const MOST_ANSWER: usize = 1 << 20;

/// Makes calls.
#[derive(Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// One attempt at one upstream.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// The path, with its slash.
    pub path: &'a str,
    /// The request.
    pub request: &'a RequestId,
    /// Which attempt it is, from one.
    pub attempt: u32,
    /// The request's priority.
    pub priority: Priority,
    /// The VM that gives the order.
    pub vm: &'a VmId,
    /// Its fencing number.
    pub fence: u64,
    /// How many tokens the caller has already.
    pub resume: u64,
    /// The body.
    pub body: Bytes,
    /// The longest wait for the answer's headers.
    pub timeout: Duration,
}

/// An upstream's answer, its body still to come.
pub type Reply = Response<Incoming>;

impl Caller {
    /// Opens a caller; connections are made when they are needed.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { http }
    }

    /// Makes one attempt and returns the answer once its headers are there.
    ///
    /// # Errors
    ///
    /// The failure, which says whether the upstream may have run the request.
    pub async fn call(&self, call: &Call<'_>) -> Result<Reply, Failure> {
        let request = build(call).ok_or(Failure::NotSent)?;
        let sent = tokio::time::timeout(call.timeout, self.http.request(request));
        let reply = match sent.await {
            Err(_) => return Err(Failure::TimedOut),
            Ok(Err(error)) if error.is_connect() => return Err(Failure::NotSent),
            Ok(Err(_)) => return Err(Failure::Broke),
            Ok(Ok(reply)) => reply,
        };
        let declined = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::PRECONDITION_FAILED,
        ];
        if declined.contains(&reply.status()) {
            return Err(Failure::Declined);
        }
        if reply.status().is_success() && !is_ours(reply.headers(), call) {
            tracing::error!(request = %call.request, upstream = %call.address, "the answer names another request");
            return Err(Failure::Broke);
        }
        Ok(reply)
    }

    /// Fetches a small answer; `None` where there is none in time.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        let request = Request::builder().method(Method::GET);
        let request = request.uri(format!("http://{address}{path}"));
        let request = request.body(Full::default()).ok()?;
        let fetched = tokio::time::timeout(REPORT, async {
            let reply = self.http.request(request).await.ok()?;
            collect(reply).await.ok()
        });
        fetched.await.ok()?
    }
}

/// Reads a whole answer.
///
/// # Errors
///
/// When it breaks off or is too large.
pub async fn collect(reply: Reply) -> Result<Bytes, Failure> {
    let body = Limited::new(reply.into_body(), MOST_ANSWER).collect();
    body.await
        .map(|b| b.to_bytes())
        .map_err(|_| Failure::MidAnswer)
}

fn build(call: &Call<'_>) -> Option<Request<Full<Bytes>>> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{}", call.address, call.path))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", call.request.as_str())
        .header("x-attempt", call.attempt)
        .header("x-priority", call.priority.as_str())
        .header("x-vm", call.vm.as_str())
        .header("x-fence", call.fence)
        .header("x-resume-from", call.resume);
    request.body(Full::new(call.body.clone())).ok()
}

/// Returns whether an answer names the attempt that was made; one that names none is taken.
fn is_ours(headers: &HeaderMap, call: &Call<'_>) -> bool {
    let named = |name: &str, own: &str| {
        let value = headers.get(name);
        value.is_none_or(|value| value.as_bytes() == own.as_bytes())
    };
    let attempt = call.attempt.to_string();
    named("x-request-id", call.request.as_str()) && named("x-attempt", &attempt)
}
