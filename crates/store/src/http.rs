//! Reaches the platform over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use fescue_core::{VmId, record};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Commit, ObjectStore, Row, Table, TableError, Transaction, Vm, VmList};

record! {
    /// Asks for rows by key.
    pub struct ReadRequest {
        /// The keys.
        pub keys: Vec<String>,
    }

    /// Asks for rows by prefix.
    pub struct ScanRequest {
        /// What the keys start with.
        pub prefix: String,
        /// The key after which to begin.
        pub after: String,
        /// The most rows to return.
        pub limit: usize,
    }
}

/// A client of the platform's services at one address.
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
    vm: VmId,
}

impl Client {
    /// Opens a client that names `vm` in its calls; connections are made when they are needed.
    pub fn open(address: SocketAddr, timeout: Duration, vm: &VmId) -> Self {
        let vm = vm.clone();
        let mut connector = HttpConnector::new();
        // Small calls must not wait for the acknowledgement of the last one.
        connector.set_nodelay(true);
        let http = HyperClient::builder(TokioExecutor::new()).build(connector);
        Self {
            http,
            address,
            timeout,
            vm,
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), TableError> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(uri);
        let request = request.header(http::header::CONTENT_TYPE, "application/json");
        let request = request.header("x-vm", self.vm.as_str());
        let request = request.body(Full::new(Bytes::from(body)));
        let request = request.map_err(|e| TableError::Unavailable(e.to_string()))?;
        let answer = tokio::time::timeout(self.timeout, async {
            let response = self.http.request(request).await.map_err(failed)?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|e| TableError::Lost(e.to_string()))?;
            Ok((status, body.to_bytes()))
        });
        let late = |_| TableError::Lost(format!("no answer within {:?}", self.timeout));
        answer.await.map_err(late)?
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, TableError> {
        let body = serde_json::to_vec(body).map_err(|e| TableError::Unavailable(e.to_string()))?;
        let (status, answer) = self.call(Method::POST, path, body).await?;
        decode(status, &answer)
    }
}

/// Tells a connection that never stood, over which nothing was sent, from one that broke.
fn failed(error: hyper_util::client::legacy::Error) -> TableError {
    if error.is_connect() {
        TableError::Unavailable(error.to_string())
    } else {
        TableError::Lost(error.to_string())
    }
}

fn decode<T: DeserializeOwned>(status: StatusCode, answer: &[u8]) -> Result<T, TableError> {
    match status {
        StatusCode::OK => {
            serde_json::from_slice(answer).map_err(|e| TableError::Lost(e.to_string()))
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(TableError::Unavailable(status.to_string()))
        }
        _ => Err(TableError::Lost(status.to_string())),
    }
}

#[async_trait]
impl Table for Client {
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError> {
        let keys = keys.to_vec();
        self.post("/v1/read", &ReadRequest { keys }).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        let (prefix, after) = (prefix.to_owned(), after.to_owned());
        let request = ScanRequest {
            prefix,
            after,
            limit,
        };
        self.post("/v1/scan", &request).await
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError> {
        let committed: bool = self.post("/v1/transact", transaction).await?;
        Ok(if committed {
            Commit::Done(None)
        } else {
            Commit::Conflict
        })
    }
}

#[async_trait]
impl ObjectStore for Client {
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), TableError> {
        let path = format!("/v1/objects/{name}");
        let (status, answer) = self.call(Method::PUT, &path, bytes).await?;
        decode::<bool>(status, &answer).map(drop)
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        let path = format!("/v1/objects/{name}");
        let (status, answer) = self.call(Method::GET, &path, Vec::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(answer.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(TableError::Unavailable(status.to_string())),
        }
    }
}

#[async_trait]
impl VmList for Client {
    async fn vms(&self) -> Result<Vec<Vm>, TableError> {
        let (status, answer) = self.call(Method::GET, "/v1/vms", Vec::new()).await?;
        decode(status, &answer)
    }
}
