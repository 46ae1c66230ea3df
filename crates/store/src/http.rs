//! An HTTP client of the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use fescue_core::{Era, VmId, record};
use http::{HeaderMap, HeaderName, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::transport::Connector;
use crate::{Commit, ObjectStore, Row, Table, TableError, Transaction, Vm, VmList, head};

record! {
    /// The body of a request that reads rows by key.
    pub struct ReadRequest {
        /// The keys of the rows, in the order of the answer.
        pub keys: Vec<String>,
    }

    /// The body of a request that reads rows by key prefix.
    pub struct ScanRequest {
        /// The prefix of the keys.
        pub prefix: String,
        /// The key after which the scan starts; empty to start at the first row.
        pub after: String,
        /// The maximum number of rows to return.
        pub limit: usize,
    }
}

/// Maximum size of a response body, well above that of the largest page.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The header that names the era of the service in every answer.
pub const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// A client of the table service, object store and VM list at one address.
pub struct Client {
    http: HyperClient<Connector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
    vm: VmId,
    /// The latest era that an answer named.
    era: Mutex<Option<Era>>,
    /// The malformed entries of the last list of VMs, which are logged when they change.
    malformed: Mutex<Vec<String>>,
}

impl Client {
    /// Creates a client that sends `vm` in the `x-vm` header of its calls; it connects when needed.
    ///
    /// `timeout` applies to each call, including the connection and the answer's body.
    pub fn open(address: SocketAddr, timeout: Duration, vm: &VmId) -> Self {
        let vm = vm.clone();
        let mut connector = HttpConnector::new();
        // Nagle's algorithm would delay small calls until the previous one is acknowledged.
        connector.set_nodelay(true);
        let http = HyperClient::builder(TokioExecutor::new()).build(Connector(connector));
        Self {
            http,
            address,
            timeout,
            vm,
            era: Mutex::new(None),
            malformed: Mutex::default(),
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
            let response = self.http.request(request).await.map_err(transport_error)?;
            if !head::is_single(&response) {
                let error = "the answer's head contains the start of another";
                return Err(TableError::Lost(error.to_owned()));
            }
            let status = response.status();
            self.record_era(response.headers());
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
                .collect()
                .await;
            let body = body.map_err(|e| TableError::Lost(e.to_string()))?;
            Ok((status, body.to_bytes()))
        });
        let timed_out = |_| TableError::Lost(format!("no answer within {:?}", self.timeout));
        answer.await.map_err(timed_out)?
    }

    /// Records the era that an answer names; a late answer of an earlier era changes nothing.
    fn record_era(&self, headers: &HeaderMap) {
        let Some(value) = headers.get(ERA_HEADER) else {
            return;
        };
        let Some(named) = value.to_str().ok().and_then(|text| text.parse().ok()) else {
            tracing::warn!(
                ?value,
                "malformed era in an answer of the platform; ignored"
            );
            return;
        };
        let mut era = self.era.lock();
        if let Some(before) = era.filter(|before| *before < named) {
            tracing::warn!(%before, era = %named, "the platform came back from an older copy");
        }
        *era = (*era).max(Some(named));
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

/// Converts an error; only if no connection was established is it certain that nothing was sent.
fn transport_error(error: hyper_util::client::legacy::Error) -> TableError {
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

/// The fields of a row without its value.
#[derive(Deserialize)]
struct Name {
    key: String,
    version: u64,
    #[serde(default)]
    era: Option<Era>,
}

/// Decodes a row. One whose value has too many levels or a number out of range gets the value null, which
/// no reader of a row accepts: it doesn't keep the rows beside it from being read.
fn decode_row(text: &str) -> Result<Row, TableError> {
    let error = match serde_json::from_str(text) {
        Ok(row) => return Ok(row),
        Err(error) => error,
    };
    let name = serde_json::from_str::<Name>(text).map_err(|e| TableError::Lost(e.to_string()))?;
    tracing::debug!(key = name.key, %error, "row can't be decoded; read as null");
    Ok(Row {
        key: name.key,
        version: name.version,
        value: Value::Null,
        era: name.era,
    })
}

/// Maximum length of the reason why an entry can't be read, in characters. Errors quote the entry.
const MAX_REASON_CHARS: usize = 200;

/// Decodes an entry of the list of VMs, whose address must be that of one router.
fn decode_vm(text: &str) -> Result<Vm, String> {
    let vm: Vm = serde_json::from_str(text).map_err(|error| {
        let reason = error.to_string();
        reason.chars().take(MAX_REASON_CHARS).collect::<String>()
    })?;
    if vm.address.ip().is_unspecified() || vm.address.port() == 0 {
        return Err(format!(
            "{}: {} is no address of a router",
            vm.vm, vm.address
        ));
    }
    Ok(vm)
}

#[async_trait]
impl Table for Client {
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError> {
        let keys = keys.to_vec();
        let rows: Vec<Box<RawValue>> = self.post("/v1/read", &ReadRequest { keys }).await?;
        rows.iter().map(|row| decode_row(row.get())).collect()
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        let (prefix, after) = (prefix.to_owned(), after.to_owned());
        let request = ScanRequest {
            prefix,
            after,
            limit,
        };
        let rows: Vec<Box<RawValue>> = self.post("/v1/scan", &request).await?;
        rows.iter().map(|row| decode_row(row.get())).collect()
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError> {
        let committed: bool = self.post("/v1/transact", transaction).await?;
        Ok(if committed {
            Commit::Done(None)
        } else {
            Commit::Conflict
        })
    }

    fn era(&self) -> Option<Era> {
        *self.era.lock()
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
        let entries: Vec<Box<RawValue>> = decode(status, &answer)?;
        let (mut vms, mut malformed) = (Vec::new(), Vec::new());
        for entry in &entries {
            match decode_vm(entry.get()) {
                Ok(vm) => vms.push(vm),
                Err(reason) => malformed.push(reason),
            }
        }
        let mut known = self.malformed.lock();
        if *known != malformed {
            tracing::warn!(
                ?malformed,
                "entries of the list of VMs can't be read; left out"
            );
            *known = malformed;
        }
        Ok(vms)
    }
}
