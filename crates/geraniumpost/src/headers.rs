//! Names of HTTP headers, and conversion between HTTP headers and those of link messages.

use geraniumpost_schema::HeaderField;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Deadline of a request in milliseconds from its arrival.
pub const TIMEOUT_MS: &str = "x-request-timeout-ms";
/// Id of a request, chosen by the caller or else by the entry, and returned in the response.
pub const REQUEST_ID: &str = "x-request-id";
/// Name of the customer, sent to the minion instead of the customer's token.
pub const CUSTOMER: &str = "x-customer";
/// Key that identifies repeats of the same request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Result code of a request, see `docs/RESULT_CODES.md`.
pub const RESULT_CODE: &str = "x-result-code";
/// Delay in milliseconds after which to retry. `Retry-After` has only whole seconds.
pub const RETRY_AFTER_MS: &str = "x-retry-after-ms";

/// Converts HTTP headers for a link message. Omits values that are not visible ASCII text, because
/// the message holds strings.
pub fn to_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?.to_owned();
        Some(HeaderField { name: name.as_str().to_owned(), value })
    };
    headers.iter().filter_map(text).collect()
}

/// Converts the headers of a link message to HTTP headers. Omits fields that are not valid.
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
