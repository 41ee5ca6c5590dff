use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_SECURITY_POLICY, CONTENT_TYPE, LOCATION, SET_COOKIE};
use http::{HeaderName, HeaderValue, Response};
use http_body_util::Full;
use maud::Markup;
use serde_json::Value;

use super::ApiError;

/// Content security policy that forbids scripts, external content and framing. It limits the damage
/// if a page fails to escape a value.
const CONTENT_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
                      frame-ancestors 'none'; base-uri 'none'";

/// Answer to a call, independent of the HTTP library.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<(HeaderName, String)>,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Creates an answer with a JSON body.
    pub fn json(status: u16, value: &Value) -> Self {
        Self::new(status, "application/json", value.to_string())
    }

    /// Creates an answer with an HTML page.
    pub fn page(status: u16, page: Markup) -> Self {
        Self::new(status, "text/html; charset=utf-8", page.into_string())
    }

    /// Creates an answer with text in the format of Prometheus, as `/metrics` returns.
    pub fn text(status: u16, text: String) -> Self {
        Self::new(status, "text/plain; version=0.0.4; charset=utf-8", text)
    }

    /// Creates an answer that redirects the browser to another page.
    pub fn redirect(path: &str) -> Self {
        Self::new(303, "text/plain", String::new()).header(LOCATION, path)
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the console's cookie for the given number of seconds; 0 removes it.
    #[must_use]
    pub fn cookie(self, value: &str, seconds: u32) -> Self {
        let name = super::call::COOKIE_NAME;
        let text = format!("{name}={value}; Max-Age={seconds}; Path=/; HttpOnly; SameSite=Strict");
        self.header(SET_COOKIE, text)
    }

    /// Converts the answer to a response of `hyper`.
    pub fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        if let Ok(status) = http::StatusCode::from_u16(self.status) {
            *response.status_mut() = status;
        }
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        headers.insert(CONTENT_SECURITY_POLICY, HeaderValue::from_static(CONTENT_POLICY));
        let nosniff = HeaderValue::from_static("nosniff");
        headers.insert(HeaderName::from_static("x-content-type-options"), nosniff);
        for (name, value) in self.headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.append(name, value);
            }
        }
        response
    }

    fn new(status: u16, content_type: &'static str, body: String) -> Self {
        Self { status, content_type, headers: Vec::new(), body: Bytes::from(body) }
    }
}

impl From<ApiError> for Reply {
    fn from(error: ApiError) -> Self {
        let value = serde_json::to_value(&error).unwrap_or_default();
        let reply = Self::json(error.status, &value)
            .header(HeaderName::from_static("x-result-code"), error.code.to_string());
        if error.retry_after_ms == 0 {
            return reply;
        }
        let seconds = error.retry_after_ms.div_ceil(1000);
        reply.header(http::header::RETRY_AFTER, seconds.to_string())
    }
}
