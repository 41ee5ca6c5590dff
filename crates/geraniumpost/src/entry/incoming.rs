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

/// Longest text that a caller may give as an id or key, in bytes.
const LONGEST_TEXT: usize = 256;
/// Longest deadline, in milliseconds.
const LONGEST_TIMEOUT_MS: u64 = 3_600_000;

/// A caller's request, read and understood.
#[derive(Debug, Clone)]
pub struct Incoming {
    /// The caller's id, or one that the entry gave; echoed and logged.
    pub id: Name,
    /// The customer.
    pub caller: Arc<Caller>,
    /// Name of the service.
    pub service_name: Name,
    /// The service's figures.
    pub service: Arc<Service>,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers for the minion.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Bytes,
    /// What a second run would do.
    pub kind: RequestKind,
    /// Digest of customer and key, empty without a key.
    pub key: Name,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

/// What the head of a request says, before its body is read.
#[derive(Debug, Clone)]
pub struct Head {
    /// Everything but the body.
    request: Incoming,
    /// Largest body that the service takes, in bytes.
    largest: usize,
}

impl Head {
    /// Understands the head of a request, or says why it is refused.
    ///
    /// # Errors
    ///
    /// Returns the result code to refuse it with: nothing has run.
    pub fn read(parts: &Parts, in_force: &ActiveConfig, clock: &Clock) -> Result<Self, ResultCode> {
        if in_force.revision() == 0 {
            // No token is known yet. Called unknown, a good one might be thrown away by its caller.
            return Err(ResultCode::NoAgent);
        }
        let token = bearer(&parts.headers).ok_or(ResultCode::BadToken)?;
        let caller = in_force.caller(token).ok_or(ResultCode::BadToken)?;
        let path = parts.uri.path();
        let first = path.split('/').find(|segment| !segment.is_empty()).unwrap_or_default();
        let service = in_force.service(first).ok_or(ResultCode::UnknownService)?;
        let key = text(&parts.headers, headers::IDEMPOTENCY_KEY)?;
        let idempotent = parts.method.is_idempotent();
        let target = parts.uri.path_and_query().map_or(path, http::uri::PathAndQuery::as_str);
        let id = request_id(&parts.headers);
        let request = Incoming {
            headers: for_minion(parts.headers.clone(), &caller.name, &id),
            id,
            caller: Arc::clone(caller),
            service_name: Name::from(first),
            service: Arc::clone(service),
            method: parts.method.clone(),
            path: target.to_owned(),
            body: Bytes::new(),
            kind: RequestKind::of(idempotent, key.is_some()),
            key: key.map_or_else(Name::default, |key| digest(&caller.name, key)),
            deadline: deadline(&parts.headers, service, clock)?,
        };
        Ok(Self { request, largest: service.max_body_kb as usize * 1024 })
    }

    /// Returns the largest body in bytes.
    pub const fn largest(&self) -> usize {
        self.largest
    }

    /// Returns the time left to read the body.
    pub fn time(&self, clock: &Clock) -> Duration {
        clock.until(self.request.deadline)
    }

    /// Returns the request with its body.
    pub fn with_body(self, body: Bytes) -> Incoming {
        Incoming { body, ..self.request }
    }

    /// Returns the id to echo.
    pub fn id(&self) -> Name {
        self.request.id.clone()
    }

    /// Returns customer and service, for the metrics of requests that end before routing.
    pub fn labels(&self) -> (Name, Name) {
        (self.request.service_name.clone(), self.request.caller.name.clone())
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Returns a header's text; an oversized or unreadable one is the caller's mistake.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ResultCode> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ResultCode::Malformed)?.trim();
    if text.is_empty() || text.len() > LONGEST_TEXT {
        return Err(ResultCode::Malformed);
    }
    Ok(Some(text))
}

/// Returns the caller's id for the request, or a fresh one; an unreadable id is replaced as well.
pub fn request_id(headers: &HeaderMap) -> Name {
    let given = text(headers, headers::REQUEST_ID).ok().flatten();
    given.map_or_else(|| Name::from(format!("{:016x}", rand::random::<u64>())), Name::from)
}

fn deadline(headers: &HeaderMap, service: &Service, clock: &Clock) -> Result<Millis, ResultCode> {
    let given = text(headers, headers::TIMEOUT_MS)?;
    let ms = given.map_or(Ok(service.deadline_ms), str::parse::<u64>);
    let ms = ms.map_err(|_| ResultCode::Malformed)?;
    Ok(clock.now().plus(ms.min(LONGEST_TIMEOUT_MS)))
}

/// Prepares the caller's headers for the minion: its token stays here, its name and the request's
/// id go along.
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

/// Two customers may choose the same key, so the customer is part of what is claimed.
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
