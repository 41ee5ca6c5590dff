use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::request::Builder;
use http::{HeaderMap, HeaderName, Method, Request, StatusCode};
use http_body_util::Full;

use super::path::kv_path;
use super::{CallResult, Expect, LeaseId, StoreCall, StoreError, Versioned, Watched};
use crate::http::{Client, FullResponse, SendError};

/// Header with the id of the lease to which a write binds its key.
const LEASE_HEADER: HeaderName = HeaderName::from_static("x-lease");
/// Limit on connections to the store; each watch in progress occupies one.
const MAX_CONNECTIONS: usize = 32;
/// Limit on response bodies; the store accepts values of at most 1 MiB.
const MAX_RESPONSE_BYTES: usize = 2 << 20;
/// Timeout of a call, unless [`Store::timeout`] sets another.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's key-value service, cheap to clone.
///
/// It counts its calls, a watch as one call, like the platform does.
#[derive(derive_more::Debug, Clone)]
pub struct Store {
    client: Arc<Client>,
    calls: Arc<AtomicU64>,
    timeout: Duration,
    #[debug(skip)]
    observer: Option<Observer>,
}

/// Function that is called at the end of each call to the store, for example to record metrics.
type Observer = Arc<dyn Fn(StoreCall) + Send + Sync>;

impl Store {
    /// Creates a client of the service at `address`; connections are opened when needed.
    pub fn new(address: SocketAddr) -> Self {
        let client = Arc::new(Client::new(address, MAX_CONNECTIONS, MAX_RESPONSE_BYTES));
        Self { client, calls: Arc::default(), timeout: DEFAULT_TIMEOUT, observer: None }
    }

    /// Sets the timeout after which a call fails with [`StoreError::Uncertain`]. For a write it
    /// limits the whole call. For a read it limits the time until the response begins and the time
    /// without new bytes, since the transfer of a long value may take longer.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets a function that is called at the end of each call.
    #[must_use]
    pub fn observer(mut self, observer: impl Fn(StoreCall) + Send + Sync + 'static) -> Self {
        self.observer = Some(Arc::new(observer));
        self
    }

    /// Returns the number of calls made by this client and its clones.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let response = self.read(&kv_path("kv", key), self.timeout).await?;
        match response.status {
            StatusCode::OK => Ok(Some(versioned(response)?)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected_status(&response)),
        }
    }

    /// Writes a key if the condition holds, and returns the new revision.
    ///
    /// The write binds the key to `lease`; without one it also removes the binding to an earlier
    /// lease.
    pub async fn put(
        &self,
        key: &str,
        value: impl Into<Bytes> + Send,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<u64, StoreError> {
        let mut req = with_condition(Request::put(kv_path("kv", key)), expect);
        if let Some(lease) = lease {
            req = req.header(LEASE_HEADER, u64::from(lease));
        }
        let response = self.call(req, value.into(), self.timeout).await?;
        match response.status {
            StatusCode::OK => revision(&response.headers),
            StatusCode::PRECONDITION_FAILED => Err(conflict(&response)),
            StatusCode::GONE => Err(StoreError::LeaseGone),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge),
            _ => Err(unexpected_status(&response)),
        }
    }

    /// Removes a key if its revision is `revision`.
    pub async fn delete(&self, key: &str, revision: u64) -> Result<(), StoreError> {
        let req = Request::delete(kv_path("kv", key));
        let req = with_condition(req, Expect::Revision(revision));
        let response = self.call(req, Bytes::new(), self.timeout).await?;
        match response.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::Conflict { current: None }),
            StatusCode::PRECONDITION_FAILED => Err(conflict(&response)),
            _ => Err(unexpected_status(&response)),
        }
    }

    /// Creates a lease that expires `ttl` after its last renewal.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let req = Request::post(format!("/v1/leases?ttl_ms={}", ttl.as_millis()));
        let response = self.call(req, Bytes::new(), self.timeout).await?;
        let id = std::str::from_utf8(&response.body).ok().and_then(|text| text.parse().ok());
        match (response.status, id) {
            (StatusCode::CREATED, Some::<u64>(id)) => Ok(id.into()),
            (StatusCode::CREATED, None) => {
                Err(StoreError::Uncertain("the lease's id is missing".to_owned()))
            }
            _ => Err(unexpected_status(&response)),
        }
    }

    /// Renews a lease.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call_on_lease(Method::PUT, lease).await
    }

    /// Ends a lease; the store removes the keys bound to it.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call_on_lease(Method::DELETE, lease).await
    }

    /// Waits at most `wait` for a change of the key after revision `after`.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        let path = kv_path("watch", key);
        let path = format!("{path}?after={after}&wait_ms={}", wait.as_millis());
        let response = self.read(&path, self.timeout + wait).await?;
        match response.status {
            StatusCode::OK => Ok(Watched::Written(versioned(response)?)),
            StatusCode::NOT_MODIFIED => Ok(Watched::Unchanged),
            StatusCode::NOT_FOUND => {
                Ok(Watched::Removed { revision: revision(&response.headers)? })
            }
            _ => Err(unexpected_status(&response)),
        }
    }

    async fn call_on_lease(&self, method: Method, lease: LeaseId) -> Result<(), StoreError> {
        let req = Request::builder().method(method).uri(format!("/v1/leases/{lease}"));
        let response = self.call(req, Bytes::new(), self.timeout).await?;
        match response.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::LeaseGone),
            _ => Err(unexpected_status(&response)),
        }
    }

    /// Sends a GET request. If the connection fails, it is repeated once, since a read has no
    /// effect.
    async fn read(&self, path: &str, timeout: Duration) -> Result<FullResponse, StoreError> {
        let first = self.send(Request::get(path), Bytes::new(), timeout).await;
        match first {
            Err(SendError::Failed(_)) => self.call(Request::get(path), Bytes::new(), timeout).await,
            other => Ok(other?),
        }
    }

    async fn call(
        &self,
        req: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<FullResponse, StoreError> {
        Ok(self.send(req, body, timeout).await?)
    }

    async fn send(
        &self,
        req: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<FullResponse, SendError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let req = req.body(Full::new(body)).map_err(|e| SendError::NotSent(e.to_string()))?;
        let operation = operation(req.method(), req.uri().path());
        let begin = Instant::now();
        let outcome = if req.method() == Method::GET {
            self.client.exchange_with_idle_timeout(req, timeout).await
        } else {
            self.client.exchange(req, timeout).await
        };
        if let Some(observer) = &self.observer {
            observer(StoreCall {
                operation,
                result: call_result(&outcome),
                duration: begin.elapsed(),
            });
        }
        outcome
    }
}

fn operation(method: &Method, path: &str) -> &'static str {
    match (path.split('/').nth(2), method) {
        (Some("watch"), _) => "watch",
        (Some("leases"), _) => "lease",
        (_, &Method::PUT) => "put",
        (_, &Method::DELETE) => "delete",
        _ => "get",
    }
}

/// Classifies the outcome of a call for the observer. It does not know the call, so each 4xx status
/// but 412 and 429 counts as [`CallResult::Ok`], such as 404 of a read.
fn call_result(outcome: &Result<FullResponse, SendError>) -> CallResult {
    match outcome {
        Ok(response) => match response.status {
            StatusCode::PRECONDITION_FAILED => CallResult::Conflict,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => CallResult::Refused,
            status if status.is_server_error() => CallResult::Lost,
            _ => CallResult::Ok,
        },
        Err(SendError::NotSent(_)) => CallResult::Refused,
        Err(_) => CallResult::Lost,
    }
}

fn with_condition(req: Builder, expect: Expect) -> Builder {
    match expect {
        Expect::Absent => req.header(IF_NONE_MATCH, "*"),
        Expect::Revision(revision) => req.header(IF_MATCH, format!("\"{revision}\"")),
    }
}

fn versioned(response: FullResponse) -> Result<Versioned, StoreError> {
    Ok(Versioned { revision: revision(&response.headers)?, value: response.body })
}

fn etag_revision(headers: &HeaderMap) -> Option<u64> {
    headers.get(ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}

fn revision(headers: &HeaderMap) -> Result<u64, StoreError> {
    etag_revision(headers)
        .ok_or_else(|| StoreError::Uncertain("the revision is missing".to_owned()))
}

fn conflict(response: &FullResponse) -> StoreError {
    StoreError::Conflict { current: etag_revision(&response.headers) }
}

/// Translates a status that the call does not handle itself.
///
/// With 4xx and 503 the store states that the call had no effect. Any other 5xx may come from a
/// proxy after the write has taken effect.
fn unexpected_status(response: &FullResponse) -> StoreError {
    let reason = response.status.to_string();
    let refused =
        response.status.is_client_error() || response.status == StatusCode::SERVICE_UNAVAILABLE;
    if refused { StoreError::Refused(reason) } else { StoreError::Uncertain(reason) }
}
