//! HTTP client that calls the fleet, for tests and load runs.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A request to a router or a stand-in.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path of the URL, with the leading slash.
    pub path: String,
    /// Bearer key of the team; no `authorization` header if absent.
    pub key: Option<String>,
    /// Idempotency key; no `idempotency-key` header if absent.
    pub id: Option<String>,
    /// Value of the `x-fescue-priority` header, which is left out if absent.
    pub priority: Option<String>,
    /// Value of the `x-fescue-budget` header, which is left out if absent.
    pub budget: Option<String>,
    /// Body, sent as JSON.
    pub body: String,
}

impl Request {
    /// Returns a request for a streamed chat completion of at most `max_tokens` tokens.
    pub fn chat(key: &str, model: &str, prompt: &str, max_tokens: u64) -> Self {
        let message = serde_json::json!({"role": "user", "content": prompt});
        let body = serde_json::json!({
            "model": model, "max_tokens": max_tokens, "stream": true, "messages": [message],
        });
        Self::post("/v1/chat/completions", key, &body.to_string())
    }

    /// Returns a `POST` request with a bearer key and a JSON body.
    pub fn post(path: &str, key: &str, body: &str) -> Self {
        Self {
            method: "POST".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            body: body.to_owned(),
            ..Self::default()
        }
    }

    /// Returns a `GET` request without a bearer key.
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET".to_owned(),
            path: path.to_owned(),
            ..Self::default()
        }
    }

    /// Sets the idempotency key, so that the request can be repeated.
    pub fn with_id(mut self, id: &str) -> Self {
        self.id = Some(id.to_owned());
        self
    }

    /// Sets the budget that pays for the request.
    pub fn with_budget(mut self, budget: &str) -> Self {
        self.budget = Some(budget.to_owned());
        self
    }

    /// Sets the priority.
    pub fn with_priority(mut self, priority: &str) -> Self {
        self.priority = Some(priority.to_owned());
        self
    }
}

/// A response that was received to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// The `x-fescue-outcome` header, which tells whether the request ran; `-` if absent.
    pub outcome: String,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

impl Response {
    /// Returns the concatenated text of a streamed chat completion.
    pub fn text(&self) -> String {
        let events = self
            .body
            .split("\n\n")
            .filter_map(|e| e.strip_prefix("data: "));
        let events = events.filter_map(|e| serde_json::from_str::<serde_json::Value>(e).ok());
        let content = |event: serde_json::Value| {
            let delta = &event["choices"][0]["delta"]["content"];
            delta.as_str().map(str::to_owned)
        };
        events.filter_map(content).collect()
    }

    /// Returns whether a streamed completion ended with its `[DONE]` event.
    pub fn is_complete(&self) -> bool {
        self.body.trim_end().ends_with("data: [DONE]")
    }

    /// Returns the error code of a refusal, or an empty string if there is none.
    pub fn code(&self) -> String {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// The reason why no complete response was received.
#[derive(Debug)]
pub struct RequestError(String);

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A client with a connection pool; clones share the pool.
#[derive(Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a client without open connections.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { http }
    }

    /// Sends a request to `to` and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails before the response is complete.
    pub async fn send(&self, to: SocketAddr, request: &Request) -> Result<Response, RequestError> {
        self.send_timed(to, request)
            .await
            .map(|(response, _)| response)
    }

    /// Sends a request to `to`; also returns the time to the first frame of the response body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails before the response is complete.
    pub async fn send_timed(
        &self,
        to: SocketAddr,
        request: &Request,
    ) -> Result<(Response, Duration), RequestError> {
        let start = Instant::now();
        let failed = |e: &dyn fmt::Display| RequestError(e.to_string());
        let mut builder = http::Request::builder()
            .method(request.method.as_str())
            .uri(format!("http://{to}{}", request.path))
            .header("content-type", "application/json");
        if let Some(key) = &request.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        if let Some(id) = &request.id {
            builder = builder.header("idempotency-key", id);
        }
        if let Some(priority) = &request.priority {
            builder = builder.header("x-fescue-priority", priority);
        }
        if let Some(budget) = &request.budget {
            builder = builder.header("x-fescue-budget", budget);
        }
        let body = Full::new(Bytes::from(request.body.clone()));
        let http_request = builder.body(body).map_err(|e| failed(&e))?;
        let http_response = self
            .http
            .request(http_request)
            .await
            .map_err(|e| failed(&e))?;
        let status = http_response.status().as_u16();
        let outcome = http_response.headers().get("x-fescue-outcome");
        let outcome = outcome.and_then(|v| v.to_str().ok()).unwrap_or("-");
        let outcome = outcome.to_owned();
        let mut incoming = http_response.into_body();
        let (mut body, mut first) = (Vec::new(), None);
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|e| failed(&e))?;
            first = first.or_else(|| Some(start.elapsed()));
            if let Ok(data) = frame.into_data() {
                body.extend_from_slice(&data);
            }
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let response = Response {
            status,
            outcome,
            body,
        };
        Ok((response, first.unwrap_or_default()))
    }
}
