//! Calls to upstreams over HTTP.
//!
//! Each call carries the request's id and the number of the attempt. An answer that names another
//! request or attempt is rejected, and so is a refusal that may be that of an earlier request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fescue_core::{Priority, RequestId, SoftwareVersion, VmId};
use fescue_gateway::adapter;
use fescue_gateway::buffers::{Buffers, Share};
use fescue_policy::rate_limit::RequestRate;
use fescue_policy::retry::Failure;
use fescue_store::{head, transport};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::Notify;

use super::connector::{Connector, count_answer};

/// The time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time limit for fetching a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The size limit of a plain service's answer or a load report.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The part of each of these that doesn't count against the limit on all of them, and that limit.
const ORDINARY_ANSWER_BYTES: usize = 16 << 10;
const ANSWER_BYTES: usize = 16 << 20;

/// The limit on the head of an answer, and on what is read ahead of its body.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// The header in which an upstream names the requests per second that it takes from all routers.
const LIMIT_HEADER: &str = "x-request-limit";

/// The header in which an upstream names its software version.
const VERSION_HEADER: &str = "x-software-version";

/// The header that names the software version at which an answer must go on.
const RESUME_VERSION_HEADER: &str = "x-resume-version";

/// The header that names the request, which upstreams echo in their answers.
const REQUEST_HEADER: &str = "x-request-id";

/// The statuses with which an upstream refuses a request without running it.
const DECLINED: [StatusCode; 3] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::PRECONDITION_FAILED,
];

/// The limit on interim responses before an answer.
const MAX_INTERIM_RESPONSES: usize = 16;

/// The HTTP client for calls to upstreams; clones share its connections.
#[derive(Clone)]
pub struct Client {
    http: legacy::Client<Connector, Full<Bytes>>,
    /// Opens a connection for each request.
    unpooled: legacy::Client<Connector, Full<Bytes>>,
    /// The memory for answers that are read whole.
    buffers: Arc<Buffers>,
}

/// One attempt to run a request on one upstream.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// The path, with its leading slash.
    pub path: &'a str,
    /// The request's id, the same in all attempts.
    pub request: &'a RequestId,
    /// The number of the attempt, starting at 1.
    pub attempt: u32,
    /// The request's priority, passed on in a header.
    pub priority: Priority,
    /// The VM that this router runs on.
    pub vm: &'a VmId,
    /// The fencing number of that VM.
    pub fence: u64,
    /// The number of tokens already delivered to the caller, after which the answer resumes.
    pub resume: u64,
    /// The software version that began the answer, if it resumes.
    pub version: Option<&'a SoftwareVersion>,
    /// The request body, in JSON.
    pub body: Bytes,
    /// The time limit for receiving the answer's headers.
    pub timeout: Duration,
}

/// An upstream's answer with its body not read yet.
pub type Reply = Response<Incoming>;

impl Client {
    /// Creates a client, which connects when a call needs it.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let connector = Connector(transport::Connector(connector));
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        builder.http1_max_buf_size(MAX_BUFFER_BYTES);
        let http = builder.build(connector.clone());
        let unpooled = builder.pool_max_idle_per_host(0).build(connector);
        let buffers = Arc::new(Buffers::open(ORDINARY_ANSWER_BYTES, ANSWER_BYTES));
        Self {
            http,
            unpooled,
            buffers,
        }
    }

    /// Makes one attempt and returns the answer once its headers have arrived.
    ///
    /// # Errors
    ///
    /// Returns the failure, which tells whether the upstream may have run the request.
    pub async fn call(&self, call: &Call<'_>) -> Result<Reply, Failure> {
        let reply = self.send(call).await?;
        if is_declined(&reply) {
            return Err(Failure::Declined);
        }
        Ok(reply)
    }

    /// Makes one attempt as [`Self::call`] does, but returns the answer also if it declines the request, which
    /// [`is_declined`] tells.
    ///
    /// # Errors
    ///
    /// Returns the failure, which tells whether the upstream may have run the request.
    pub async fn send(&self, call: &Call<'_>) -> Result<Reply, Failure> {
        let mut request = build(call).ok_or(Failure::NotSent)?;
        let interim = InterimLimit::watch(&mut request);
        let sent = tokio::time::timeout(call.timeout, self.http.request(request));
        let sent = tokio::select! {
            sent = sent => sent,
            () = interim.exceeded() => return Err(Failure::Broke),
        };
        let reply = match sent {
            Err(_) => return Err(Failure::TimedOut),
            Ok(Err(error)) if error.is_connect() => return Err(Failure::NotSent),
            Ok(Err(_)) => return Err(Failure::Broke),
            Ok(Ok(reply)) => reply,
        };
        let first = count_answer(reply.extensions());
        let declined = is_declined(&reply);
        let proved = first || reply.headers().contains_key(REQUEST_HEADER);
        if !head::is_single(&reply) {
            tracing::error!(request = %call.request, upstream = %call.address, status = reply.status().as_u16(), "answer's head contains the start of another; treated as lost");
            return Err(Failure::Broke);
        }
        if !matches_attempt(reply.headers(), call) || (declined && !proved) {
            tracing::error!(request = %call.request, upstream = %call.address, status = reply.status().as_u16(), "answer can't be proved to belong to the attempt; treated as lost");
            return Err(Failure::Broke);
        }
        Ok(reply)
    }

    /// Fetches a small answer, or `None` if it does not arrive in time or the request fails.
    ///
    /// A kept connection may have been closed by the upstream at any moment, so its failure is followed
    /// by a request on a new one.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        let uri = format!("http://{address}{path}");
        let fetched = tokio::time::timeout(REPORT_TIMEOUT, async {
            match self.fetch(&self.http, &uri).await {
                Some(body) => Some(body),
                None => self.fetch(&self.unpooled, &uri).await,
            }
        });
        fetched.await.ok()?
    }

    async fn fetch(
        &self,
        http: &legacy::Client<Connector, Full<Bytes>>,
        uri: &str,
    ) -> Option<Bytes> {
        let request = Request::builder().method(Method::GET).uri(uri);
        let reply = http.request(request.body(Full::default()).ok()?).await;
        let reply = reply.ok()?;
        count_answer(reply.extensions());
        if !head::is_single(&reply) {
            tracing::warn!(
                uri,
                "answer's head contains the start of another; treated as lost"
            );
            return None;
        }
        let (body, share) = self.collect(reply).await.ok()?;
        Some(share.keep(body))
    }

    /// Reads the whole body of an answer. Its share is to be held as long as the answer is.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::MidAnswer`] when the body is truncated or too large.
    pub async fn collect(&self, reply: Reply) -> Result<(Bytes, Share), Failure> {
        let body = self
            .buffers
            .collect(reply.into_body(), MAX_ANSWER_BYTES, || {});
        body.await.map_err(|error| {
            tracing::warn!(error, "can't read the answer's body");
            Failure::MidAnswer
        })
    }
}

/// A limit on the interim responses that precede an answer. They are dropped one by one, so no limit on
/// the size of a response head ends them.
struct InterimLimit {
    exceeded: Arc<Notify>,
}

impl InterimLimit {
    /// Counts the interim responses to a request.
    fn watch<B>(request: &mut Request<B>) -> Self {
        let exceeded = Arc::new(Notify::new());
        let (notify, count) = (Arc::clone(&exceeded), AtomicUsize::new(0));
        hyper::ext::on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                notify.notify_one();
            }
        });
        Self { exceeded }
    }

    /// Waits until there are too many.
    async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

fn build(call: &Call<'_>) -> Option<Request<Full<Bytes>>> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{}", call.address, call.path))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_HEADER, call.request.as_str())
        .header("x-attempt", call.attempt)
        .header("x-priority", call.priority.as_str())
        .header("x-vm", call.vm.as_str())
        .header("x-fence", call.fence)
        .header("x-resume-from", call.resume);
    let request = match call.version {
        Some(version) => request.header(RESUME_VERSION_HEADER, version.as_str()),
        None => request,
    };
    request.body(Full::new(call.body.clone())).ok()
}

/// Returns whether an answer proves that the upstream didn't run the request.
pub fn is_declined(reply: &Reply) -> bool {
    DECLINED.contains(&reply.status())
}

/// Returns the software version that an answer names; `None` if it names none, several, or one that can't be
/// read.
pub fn software_version(headers: &HeaderMap) -> Option<SoftwareVersion> {
    let mut named = headers.get_all(VERSION_HEADER).iter();
    let version = named.next()?;
    if named.next().is_some() {
        return None;
    }
    version.to_str().ok()?.parse().ok()
}

/// Returns the rate of requests that the upstream takes from all routers together; `None` if its answer
/// names none.
pub fn named_limit(headers: &HeaderMap) -> Option<RequestRate> {
    adapter::parse_limit(headers.get(LIMIT_HEADER)?)
}

/// Returns whether an answer belongs to the attempt; headers that are missing count as matching.
fn matches_attempt(headers: &HeaderMap, call: &Call<'_>) -> bool {
    let named = |name: &str, own: &str| {
        let value = headers.get(name);
        value.is_none_or(|value| value.as_bytes() == own.as_bytes())
    };
    let attempt = call.attempt.to_string();
    named(REQUEST_HEADER, call.request.as_str()) && named("x-attempt", &attempt)
}
