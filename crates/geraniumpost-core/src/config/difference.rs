use std::collections::BTreeSet;

use serde_json::Value;

/// Returns the dot-separated paths of all values that differ between two documents.
///
/// A value that exists in only one of the documents is listed by its own path, without the paths
/// inside it.
///
/// # Example
///
/// ```
/// use geraniumpost_core::config::differing_paths;
/// use serde_json::json;
/// let before = json!({ "a": { "x": 1, "y": 2 }, "b": 1 });
/// let after = json!({ "a": { "x": 3, "y": 2 }, "c": {} });
/// assert_eq!(differing_paths(&before, &after), ["a.x", "b", "c"]);
/// ```
pub fn differing_paths(before: &Value, after: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect_paths(before, after, "", &mut paths);
    paths
}

fn collect_paths(before: &Value, after: &Value, path: &str, paths: &mut Vec<String>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        paths.push(path.to_owned());
        return;
    };
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let inner = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        match (old.get(key), new.get(key)) {
            (Some(old), Some(new)) => collect_paths(old, new, &inner, paths),
            _ => paths.push(inner),
        }
    }
}
