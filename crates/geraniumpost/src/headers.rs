//! Headers of callers' requests and answers, and their way over a link.

use geraniumpost_schema::HeaderField;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Deadline of a request in milliseconds from its arrival.
pub const TIMEOUT_MS: &str = "x-request-timeout-ms";
/// Id of a request, chosen by the caller or else by the entry, and echoed.
pub const REQUEST_ID: &str = "x-request-id";
/// Name of the customer, told to the minion instead of the customer's token.
pub const CUSTOMER: &str = "x-customer";
/// Key by which a caller's repeat is told from a new request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Numbered result of a request, see `docs/RESULT_CODES.md`.
pub const RESULT_CODE: &str = "x-result-code";
/// Milliseconds after which to come back, beside `Retry-After`, which knows only whole seconds.
pub const RETRY_AFTER_MS: &str = "x-retry-after-ms";

/// Writes headers for a link. Values that are no text do not get over and are left out.
pub fn to_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?.to_owned();
        Some(HeaderField { name: name.as_str().to_owned(), value })
    };
    headers.iter().filter_map(text).collect()
}

/// Reads headers from a link; what is no header is left out.
pub fn from_fields(fields: &[HeaderField]) -> HeaderMap {
    let parsed = fields.iter().filter_map(|field| {
        let name = HeaderName::try_from(field.name.as_str()).ok()?;
        Some((name, HeaderValue::try_from(field.value.as_str()).ok()?))
    });
    let mut headers = HeaderMap::new();
    for (name, value) in parsed {
        headers.append(name, value);
    }
    headers
}
