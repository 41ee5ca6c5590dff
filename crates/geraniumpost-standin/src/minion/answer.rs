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

/// Returns the answer that belongs to a request, so that a mixed-up or cut one is told apart.
///
/// The request's id is repeated until the answer has at least `least_bytes`.
pub fn expected_answer(request_id: &str, body: &[u8], least_bytes: usize) -> Bytes {
    let mut answer = format!("id={request_id} digest={} size={}\n", digest(body), body.len());
    while answer.len() < least_bytes {
        answer.push_str(request_id);
        answer.push('.');
    }
    answer.into()
}
