use http::HeaderMap;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName};

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Removes headers that must not be forwarded, including those that `Connection` names.
///
/// A forwarded `Transfer-Encoding` would make the next hop misread the body, and a forwarded
/// `Connection: close` would close its connection. The sender of the next hop sets length, host and
/// `Expect` itself.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("transfer-encoding");
    for name in [CONTENT_LENGTH, HOST, EXPECT] {
        headers.remove(name);
    }
}
