//! A caller of the fleet, for tests and trials.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// One request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The bearer key.
    pub key: Option<String>,
    /// The idempotency key.
    pub id: Option<String>,
    /// The priority.
    pub priority: Option<String>,
    /// The budget.
    pub budget: Option<String>,
    /// The body.
    pub body: String,
}

impl Request {
    /// Asks for a chat completion of `most` tokens, streamed.
    pub fn chat(key: &str, model: &str, prompt: &str, most: u64) -> Self {
        let message = serde_json::json!({"role": "user", "content": prompt});
        let body = serde_json::json!({
            "model": model, "max_tokens": most, "stream": true, "messages": [message],
        });
        Self::post("/v1/chat/completions", key, &body.to_string())
    }

    /// Posts a body.
    pub fn post(path: &str, key: &str, body: &str) -> Self {
        Self {
            method: "POST".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            body: body.to_owned(),
            ..Self::default()
        }
    }

    /// Fetches a path.
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET".to_owned(),
            path: path.to_owned(),
            ..Self::default()
        }
    }

    /// Names the request, so that it can be repeated.
    pub fn with_id(mut self, id: &str) -> Self {
        self.id = Some(id.to_owned());
        self
    }

    /// Names the budget.
    pub fn with_budget(mut self, budget: &str) -> Self {
        self.budget = Some(budget.to_owned());
        self
    }

    /// Names the priority.
    pub fn with_priority(mut self, priority: &str) -> Self {
        self.priority = Some(priority.to_owned());
        self
    }
}

/// One answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// What the answer says of whether the request ran.
    pub outcome: String,
    /// The body.
    pub body: String,
}

impl Response {
    /// Returns the text of a streamed answer.
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

    /// Returns whether a streamed answer came to its end.
    pub fn is_complete(&self) -> bool {
        self.body.trim_end().ends_with("data: [DONE]")
    }

    /// Returns the code of a refusal.
    pub fn code(&self) -> String {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// Why there is no answer.
#[derive(Debug)]
pub struct RequestError(String);

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Sends requests.
#[derive(Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Opens a caller.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { http }
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// When the connection breaks before the answer is whole.
    pub async fn send(&self, to: SocketAddr, ask: &Request) -> Result<Response, RequestError> {
        self.send_timed(to, ask).await.map(|(answer, _)| answer)
    }

    /// Sends a request and also returns the time to the first part of its answer's body.
    ///
    /// # Errors
    ///
    /// When the connection breaks before the answer is whole.
    pub async fn send_timed(
        &self,
        to: SocketAddr,
        ask: &Request,
    ) -> Result<(Response, Duration), RequestError> {
        let start = Instant::now();
        let failed = |e: &dyn fmt::Display| RequestError(e.to_string());
        let mut request = http::Request::builder()
            .method(ask.method.as_str())
            .uri(format!("http://{to}{}", ask.path))
            .header("content-type", "application/json");
        if let Some(key) = &ask.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if let Some(id) = &ask.id {
            request = request.header("idempotency-key", id);
        }
        if let Some(priority) = &ask.priority {
            request = request.header("x-fescue-priority", priority);
        }
        if let Some(budget) = &ask.budget {
            request = request.header("x-fescue-budget", budget);
        }
        let body = Full::new(Bytes::from(ask.body.clone()));
        let request = request.body(body).map_err(|e| failed(&e))?;
        let response = self.http.request(request).await.map_err(|e| failed(&e))?;
        let status = response.status().as_u16();
        let outcome = response.headers().get("x-fescue-outcome");
        let outcome = outcome.and_then(|v| v.to_str().ok()).unwrap_or("-");
        let outcome = outcome.to_owned();
        let mut incoming = response.into_body();
        let (mut body, mut first) = (Vec::new(), None);
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|e| failed(&e))?;
            first = first.or_else(|| Some(start.elapsed()));
            if let Ok(data) = frame.into_data() {
                body.extend_from_slice(&data);
            }
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let answer = Response {
            status,
            outcome,
            body,
        };
        Ok((answer, first.unwrap_or_default()))
    }
}
