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

/// Header that binds a key to a lease.
const LEASE: HeaderName = HeaderName::from_static("x-lease");
/// Connections kept to the store; a watch in progress takes one.
const CONNECTIONS: usize = 32;
/// Largest value read; the store holds at most a megabyte.
const MAX_VALUE: usize = 2 << 20;
/// Time for a call unless [`Store::timeout`] sets another.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's key-value service, cheap to clone.
///
/// Every call is counted, because the platform counts them too and a watch is one.
#[derive(derive_more::Debug, Clone)]
pub struct Store {
    client: Arc<Client>,
    calls: Arc<AtomicU64>,
    timeout: Duration,
    #[debug(skip)]
    observer: Option<Observer>,
}

/// Takes note of each call, as metrics do.
type Observer = Arc<dyn Fn(StoreCall) + Send + Sync>;

impl Store {
    /// Creates a client of the service at `address`; connections are opened when needed.
    pub fn new(address: SocketAddr) -> Self {
        let client = Arc::new(Client::new(address, CONNECTIONS, MAX_VALUE));
        Self { client, calls: Arc::default(), timeout: TIMEOUT, observer: None }
    }

    /// Sets the time after which a call fails as [`StoreError::Uncertain`]: that for all of a write, and
    /// that in which nothing of an answer arrives for a reading, which may be long.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Tells `observer` of each call at its end.
    #[must_use]
    pub fn observer(mut self, observer: impl Fn(StoreCall) + Send + Sync + 'static) -> Self {
        self.observer = Some(Arc::new(observer));
        self
    }

    /// Returns the number of calls made through this client and its clones.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let exchange = self.read(&kv_path("kv", key), self.timeout).await?;
        match exchange.status {
            StatusCode::OK => Ok(Some(versioned(exchange)?)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected(&exchange)),
        }
    }

    /// Writes a key if the condition holds and returns the new revision.
    ///
    /// Without a lease the key loses the one it may have had.
    pub async fn put(
        &self,
        key: &str,
        value: impl Into<Bytes> + Send,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<u64, StoreError> {
        let mut req = condition(Request::put(kv_path("kv", key)), expect);
        if let Some(lease) = lease {
            req = req.header(LEASE, u64::from(lease));
        }
        let exchange = self.call(req, value.into(), self.timeout).await?;
        match exchange.status {
            StatusCode::OK => revision(&exchange.headers),
            StatusCode::PRECONDITION_FAILED => Err(conflict(&exchange)),
            StatusCode::GONE => Err(StoreError::LeaseGone),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge),
            _ => Err(unexpected(&exchange)),
        }
    }

    /// Removes a key that stands at `revision`.
    pub async fn delete(&self, key: &str, revision: u64) -> Result<(), StoreError> {
        let req = Request::delete(kv_path("kv", key));
        let req = condition(req, Expect::Revision(revision));
        let exchange = self.call(req, Bytes::new(), self.timeout).await?;
        match exchange.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::Conflict { current: None }),
            StatusCode::PRECONDITION_FAILED => Err(conflict(&exchange)),
            _ => Err(unexpected(&exchange)),
        }
    }

    /// Creates a lease that ends `ttl` after its last renewal.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let req = Request::post(format!("/v1/leases?ttl_ms={}", ttl.as_millis()));
        let exchange = self.call(req, Bytes::new(), self.timeout).await?;
        let id = std::str::from_utf8(&exchange.body).ok().and_then(|text| text.parse().ok());
        match (exchange.status, id) {
            (StatusCode::CREATED, Some::<u64>(id)) => Ok(id.into()),
            (StatusCode::CREATED, None) => {
                Err(StoreError::Uncertain("the lease's id is missing".to_owned()))
            }
            _ => Err(unexpected(&exchange)),
        }
    }

    /// Renews a lease.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.on_lease(Method::PUT, lease).await
    }

    /// Ends a lease and removes the keys bound to it.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.on_lease(Method::DELETE, lease).await
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
        let exchange = self.read(&path, self.timeout + wait).await?;
        match exchange.status {
            StatusCode::OK => Ok(Watched::Written(versioned(exchange)?)),
            StatusCode::NOT_MODIFIED => Ok(Watched::Unchanged),
            StatusCode::NOT_FOUND => {
                Ok(Watched::Removed { revision: revision(&exchange.headers)? })
            }
            _ => Err(unexpected(&exchange)),
        }
    }

    async fn on_lease(&self, method: Method, lease: LeaseId) -> Result<(), StoreError> {
        let req = Request::builder().method(method).uri(format!("/v1/leases/{lease}"));
        let exchange = self.call(req, Bytes::new(), self.timeout).await?;
        match exchange.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::LeaseGone),
            _ => Err(unexpected(&exchange)),
        }
    }

    /// Reads a page; a read has no effect, so a connection that broke is worth a second try.
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
            self.client.patient_exchange(req, timeout).await
        } else {
            self.client.exchange(req, timeout).await
        };
        if let Some(observer) = &self.observer {
            observer(StoreCall { operation, result: result(&outcome), duration: begin.elapsed() });
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

/// Judges a call as [`unexpected`] does, without knowing what was asked.
fn result(outcome: &Result<FullResponse, SendError>) -> CallResult {
    match outcome {
        Ok(exchange) => match exchange.status {
            StatusCode::PRECONDITION_FAILED => CallResult::Conflict,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => CallResult::Refused,
            status if status.is_server_error() => CallResult::Lost,
            _ => CallResult::Ok,
        },
        Err(SendError::NotSent(_)) => CallResult::Refused,
        Err(_) => CallResult::Lost,
    }
}

fn condition(req: Builder, expect: Expect) -> Builder {
    match expect {
        Expect::Absent => req.header(IF_NONE_MATCH, "*"),
        Expect::Revision(revision) => req.header(IF_MATCH, format!("\"{revision}\"")),
    }
}

fn versioned(exchange: FullResponse) -> Result<Versioned, StoreError> {
    Ok(Versioned { revision: revision(&exchange.headers)?, value: exchange.body })
}

fn tag(headers: &HeaderMap) -> Option<u64> {
    headers.get(ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}

fn revision(headers: &HeaderMap) -> Result<u64, StoreError> {
    tag(headers).ok_or_else(|| StoreError::Uncertain("the revision is missing".to_owned()))
}

fn conflict(exchange: &FullResponse) -> StoreError {
    StoreError::Conflict { current: tag(&exchange.headers) }
}

/// Judges a status that no call expects.
///
/// The service answers 4xx and 503 without doing anything; another 5xx may come from in between,
/// after the write duration effect.
fn unexpected(exchange: &FullResponse) -> StoreError {
    let reason = exchange.status.to_string();
    let refused =
        exchange.status.is_client_error() || exchange.status == StatusCode::SERVICE_UNAVAILABLE;
    if refused { StoreError::Refused(reason) } else { StoreError::Uncertain(reason) }
}
