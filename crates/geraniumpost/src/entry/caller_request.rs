use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumpost_core::requests::RequestKind;
use geraniumpost_core::{Millis, ResultCode};
use geraniumpost_outside::strip_hop_by_hop;
use geraniumpost_schema::{HeaderField, Name, Service};
use http::request::Parts;
use http::{HeaderMap, Method, header};
use sha2::{Digest as _, Sha256};

use crate::Clock;
use crate::config::{ActiveConfig, Caller};
use crate::headers;

/// Maximum length of a caller's request id, key or timeout header, in bytes.
const MAX_HEADER_BYTES: usize = 256;
/// Maximum timeout of a request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Parsed request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Id from the caller or else from the entry, which is returned and logged.
    pub id: Name,
    /// The customer.
    pub caller: Arc<Caller>,
    /// Name of the service.
    pub service_name: Name,
    /// Configuration of the service.
    pub service: Arc<Service>,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers for the minion.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request may be repeated.
    pub kind: RequestKind,
    /// Digest of customer and idempotency key, empty without a key.
    pub key: Name,
    /// Time by which the request must be answered.
    pub deadline: Millis,
}

/// Parsed head of a request whose body was not read yet.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request with an empty body.
    request: CallerRequest,
    /// Maximum size of a body for the service, in bytes.
    max_body_bytes: usize,
}

impl Head {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the result code with which the request must be refused.
    pub fn read(parts: &Parts, config: &ActiveConfig, clock: &Clock) -> Result<Self, ResultCode> {
        if config.revision() == 0 {
            // No token is known yet. If a valid one were refused as unknown, its caller might
            // discard it.
            return Err(ResultCode::NoAgent);
        }
        let token = bearer_token(&parts.headers).ok_or(ResultCode::BadToken)?;
        let caller = config.caller(token).ok_or(ResultCode::BadToken)?;
        let path = parts.uri.path();
        let service_name = path.split('/').find(|segment| !segment.is_empty()).unwrap_or_default();
        let service = config.service(service_name).ok_or(ResultCode::UnknownService)?;
        let key = header_text(&parts.headers, headers::IDEMPOTENCY_KEY)?;
        let idempotent = parts.method.is_idempotent();
        let target = parts.uri.path_and_query().map_or(path, http::uri::PathAndQuery::as_str);
        let id = request_id(&parts.headers);
        let request = CallerRequest {
            headers: for_minion(parts.headers.clone(), &caller.name, &id),
            id,
            caller: Arc::clone(caller),
            service_name: Name::from(service_name),
            service: Arc::clone(service),
            method: parts.method.clone(),
            path: target.to_owned(),
            body: Bytes::new(),
            kind: RequestKind::of(idempotent, key.is_some()),
            key: key.map_or_else(Name::default, |key| digest(&caller.name, key)),
            deadline: deadline(&parts.headers, service, clock)?,
        };
        Ok(Self { request, max_body_bytes: service.max_body_kb as usize * 1024 })
    }

    /// Returns the maximum size of the body in bytes.
    pub const fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, clock: &Clock) -> Duration {
        clock.until(self.request.deadline)
    }

    /// Returns the request with its body.
    pub fn with_body(self, body: Bytes) -> CallerRequest {
        CallerRequest { body, ..self.request }
    }

    /// Returns the id of the request.
    pub fn id(&self) -> Name {
        self.request.id.clone()
    }

    /// Returns the service and the customer, as labels of metrics.
    pub fn labels(&self) -> (Name, Name) {
        (self.request.service_name.clone(), self.request.caller.name.clone())
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Returns the text of a header, and an error if it is empty, too long or not visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ResultCode> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ResultCode::Malformed)?.trim();
    if text.is_empty() || text.len() > MAX_HEADER_BYTES {
        return Err(ResultCode::Malformed);
    }
    Ok(Some(text))
}

/// Returns the caller's id for the request, or a random one if it is missing or invalid.
pub fn request_id(headers: &HeaderMap) -> Name {
    let given = header_text(headers, headers::REQUEST_ID).ok().flatten();
    given.map_or_else(|| Name::from(format!("{:016x}", rand::random::<u64>())), Name::from)
}

fn deadline(headers: &HeaderMap, service: &Service, clock: &Clock) -> Result<Millis, ResultCode> {
    let given = header_text(headers, headers::TIMEOUT_MS)?;
    let ms = given.map_or(Ok(service.deadline_ms), str::parse::<u64>);
    let ms = ms.map_err(|_| ResultCode::Malformed)?;
    Ok(clock.now().plus(ms.min(MAX_TIMEOUT_MS)))
}

/// Prepares the caller's headers for the minion: removes the token and the headers that concern
/// only the caller's connection, and adds the customer's name and the request's id.
fn for_minion(mut headers: HeaderMap, customer: &str, id: &Name) -> Vec<HeaderField> {
    strip_hop_by_hop(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(headers::TIMEOUT_MS);
    let own = [(headers::CUSTOMER, customer), (headers::REQUEST_ID, id)];
    for (name, _) in own {
        headers.remove(name);
    }
    let mut fields = headers::to_fields(&headers);
    let own = own.map(|(name, value)| (name.to_owned(), value.to_owned()));
    fields.extend(own.map(|(name, value)| HeaderField { name, value }));
    fields
}

/// Returns the digest that is claimed for an idempotency key. It includes the customer, because two
/// customers may choose the same key.
fn digest(customer: &str, key: &str) -> Name {
    let mut hasher = Sha256::new();
    hasher.update((customer.len() as u64).to_le_bytes());
    hasher.update(customer);
    hasher.update(key);
    let mut text = String::with_capacity(64);
    for byte in hasher.finalize() {
        use std::fmt::Write as _;
        let _ = write!(text, "{byte:02x}");
    }
    Name::from(text)
}
