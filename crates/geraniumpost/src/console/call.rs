use std::fmt::Write as _;

use bytes::Bytes;
use http::header::{AUTHORIZATION, COOKIE, HOST, IF_MATCH, ORIGIN};
use http::request::Parts;
use http::{HeaderName, Method};

/// Name of the cookie that carries an operator's token.
pub(super) const COOKIE_NAME: &str = "geraniumpost_token";
/// Header with the id of a change, by which repeats are recognized.
const CHANGE_ID: HeaderName = HeaderName::from_static("x-change-id");
/// Header that marks a call as forwarded by another entry.
const FORWARDED_BY: HeaderName = HeaderName::from_static("x-forwarded-by-entry");

/// Call to the API or the console, parsed from an HTTP request.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Bearer token, empty if there is none.
    pub bearer: String,
    /// Token from the console's cookie, empty if there is none.
    pub cookie: String,
    /// Revision in `If-Match`; `None` if it is missing or not a number.
    pub if_match: Option<u64>,
    /// Value of `X-Change-Id`, empty if there is none.
    pub change_id: String,
    /// Whether the `Origin` header shows that a page of another site made the call.
    pub cross_origin: bool,
    /// Whether another entry has forwarded the call.
    pub forwarded: bool,
    /// Complete body.
    pub body: Bytes,
}

impl Call {
    /// Parses the head of an HTTP request.
    pub fn from_parts(parts: &Parts, body: Bytes) -> Self {
        let header = |name: HeaderName| {
            parts.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        let bearer = header(AUTHORIZATION).strip_prefix("Bearer ").unwrap_or_default();
        let origin = header(ORIGIN);
        Self {
            method: parts.method.clone(),
            path: parts.uri.path().to_owned(),
            bearer: bearer.trim().to_owned(),
            cookie: cookie(header(COOKIE)),
            if_match: header(IF_MATCH).trim().trim_matches('"').parse().ok(),
            change_id: header(CHANGE_ID).to_owned(),
            cross_origin: !origin.is_empty() && authority(origin) != header(HOST),
            forwarded: parts.headers.contains_key(FORWARDED_BY),
            body,
        }
    }

    /// Returns the operator's token: the bearer token, or else the token of the cookie.
    pub fn token(&self) -> &str {
        if self.bearer.is_empty() { &self.cookie } else { &self.bearer }
    }
}

/// Encodes a token in hexadecimal, because a cookie may not contain every character.
pub(super) fn cookie_value(token: &str) -> String {
    token.bytes().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn cookie(header: &str) -> String {
    let pairs = header.split(';').filter_map(|pair| pair.trim().split_once('='));
    let value = pairs.filter(|(name, _)| *name == COOKIE_NAME).map(|(_, value)| value).next();
    value.and_then(decode_token).unwrap_or_default()
}

fn decode_token(value: &str) -> Option<String> {
    let bytes = value.as_bytes().chunks(2).map(|pair| {
        let text = std::str::from_utf8(pair).ok().filter(|text| text.len() == 2)?;
        u8::from_str_radix(text, 16).ok()
    });
    String::from_utf8(bytes.collect::<Option<Vec<u8>>>()?).ok()
}

fn authority(origin: &str) -> &str {
    origin.split_once("://").map_or(origin, |(_, rest)| rest)
}
