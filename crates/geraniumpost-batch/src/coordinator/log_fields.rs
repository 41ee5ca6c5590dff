//! Formatting of fields in log lines.

/// Returns a field of a log line with a leading space, or an empty string for 0.
pub(super) fn field_unless_zero(name: &str, value: u64) -> String {
    if value == 0 { String::new() } else { format!(" {name}={value}") }
}
