use std::fmt::Write;

/// Returns the path of a key; all bytes but letters, digits and `-._~/` are percent-encoded.
///
/// An unencoded `?` would end the path, and the request would refer to another key.
pub(super) fn kv_path(kind: &str, key: &str) -> String {
    let mut path = format!("/v1/{kind}/");
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            path.push(char::from(byte));
        } else {
            let _ = write!(path, "%{byte:02X}");
        }
    }
    path
}
