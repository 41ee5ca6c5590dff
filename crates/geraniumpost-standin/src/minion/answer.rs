use std::fmt::Write;

use bytes::Bytes;
use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of `body` in hexadecimal.
pub fn digest(body: &[u8]) -> String {
    Sha256::digest(body).iter().fold(String::new(), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Returns the body of the response to a request. It depends on the request, so that a test detects
/// a truncated response or that of another request.
///
/// The id of the request is repeated until the body has at least `min_bytes`.
pub fn expected_answer(request_id: &str, body: &[u8], min_bytes: usize) -> Bytes {
    let mut answer = format!("id={request_id} digest={} size={}\n", digest(body), body.len());
    while answer.len() < min_bytes {
        answer.push_str(request_id);
        answer.push('.');
    }
    answer.into()
}
