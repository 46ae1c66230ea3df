//! A client of the admin API of one router.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::Failure;

/// The environment variable with the address of a router's admin API.
const ADMIN_VARIABLE: &str = "FESCUE_ADMIN";

/// The environment variable with the path of the file that holds the operators' token.
const TOKEN_VARIABLE: &str = "FESCUE_TOKEN_FILE";

/// The time-out for one request to the router, including its body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// A client of the admin API of one router, authenticated by the operators' token.
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
    admin: Option<SocketAddr>,
    token: Option<PathBuf>,
}

impl Client {
    /// Creates a client; an absent address or token file is taken from the environment on first use.
    pub fn new(admin: Option<SocketAddr>, token: Option<PathBuf>) -> Self {
        let http = HyperClient::builder(TokioExecutor::new()).build_http();
        Self { http, admin, token }
    }

    /// Sends a GET request for `path` and returns the answer's JSON, or its text if it is not JSON.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request to `path` with a JSON body and returns the answer as [`Self::get`] does.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value, Failure> {
        self.call(Method::POST, path, Bytes::from(body.to_string()))
            .await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Value, Failure> {
        let admin = self.address()?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{admin}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", self.read_token()?),
            );
        let request = request.body(Full::new(body)).map_err(Failure::usage)?;
        let unreachable = |e: &dyn std::fmt::Display| Failure::Unreachable(format!("{admin}: {e}"));
        let exchange = tokio::time::timeout(REQUEST_TIMEOUT, async {
            let response = self
                .http
                .request(request)
                .await
                .map_err(|e| unreachable(&e))?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|e| unreachable(&e))?.to_bytes();
            Ok((status, body))
        });
        let (status, body) = exchange.await.map_err(|e| unreachable(&e))??;
        let text = || Value::String(String::from_utf8_lossy(&body).into_owned());
        let value = serde_json::from_slice(&body).unwrap_or_else(|_| text());
        if status.is_success() {
            return Ok(value);
        }
        Err(to_failure(status, &value))
    }

    fn address(&self) -> Result<SocketAddr, Failure> {
        if let Some(admin) = self.admin {
            return Ok(admin);
        }
        let text = std::env::var(ADMIN_VARIABLE);
        let text = text.map_err(|_| {
            Failure::usage(format!(
                "no router address: give --admin or set {ADMIN_VARIABLE}"
            ))
        })?;
        text.parse()
            .map_err(|e| Failure::usage(format!("{ADMIN_VARIABLE}: {e}")))
    }

    fn read_token(&self) -> Result<String, Failure> {
        let from_env = std::env::var_os(TOKEN_VARIABLE).map(PathBuf::from);
        let path = self.token.clone().or(from_env);
        let path = path.ok_or_else(|| {
            Failure::usage(format!(
                "no token file: give --token or set {TOKEN_VARIABLE}"
            ))
        })?;
        let text = std::fs::read_to_string(&path);
        let text = text.map_err(|e| Failure::usage(format!("{}: {e}", path.display())))?;
        Ok(text.trim().to_owned())
    }
}

fn to_failure(status: StatusCode, value: &Value) -> Failure {
    let error = &value["error"];
    let message = error["message"].as_str().map(str::to_owned);
    let message = message.unwrap_or_else(|| value.to_string());
    match status {
        _ if error["code"] == "race_lost" => Failure::RaceLost(describe_conflict(&message, error)),
        StatusCode::GATEWAY_TIMEOUT => Failure::Unreachable(message),
        _ => Failure::Refused(message),
    }
}

/// Appends to `message` the conflicting changes in `error`: their versions, authors and lines.
fn describe_conflict(message: &str, error: &Value) -> String {
    let changes = error["changes"].as_array().cloned().unwrap_or_default();
    let mut text = message.to_owned();
    for change in changes {
        let author = change["author"].as_str().unwrap_or("?");
        text.push_str(&format!("\n  version {} by {author}:", change["version"]));
        for line in change["delta"]["lines"].as_array().into_iter().flatten() {
            text.push_str(&format!("\n    + {}", line.as_str().unwrap_or("?")));
        }
        for key in change["delta"]["removed"].as_array().into_iter().flatten() {
            text.push_str(&format!("\n    - {}", key.as_str().unwrap_or("?")));
        }
    }
    text
}
