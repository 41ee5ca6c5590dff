use std::fmt::Write;

/// Writes a key as a path; everything but letters, digits and `-._~/` is percent-encoded.
///
/// An unencoded `?` in a key would otherwise end the path, and two keys would become one.
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
