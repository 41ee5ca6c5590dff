//! Helpers shared by the test modules.

use serde_json::json;
use xtask::known_red::{Entry, TestBinary, TestId};

/// Returns the test named by `PACKAGE TARGET TEST`.
pub fn id(text: &str) -> TestId {
    let words: Vec<String> = words(text);
    let [package, target, name] = <[String; 3]>::try_from(words).unwrap();
    TestId::new(package, target, name)
}

/// Returns an entry for the test named by `PACKAGE TARGET TEST`.
pub fn entry(text: &str) -> Entry {
    Entry::new(id(text), ["command", "seed", "seen", "issue"].map(str::to_owned))
}

/// Splits a text at white space.
pub fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

/// Returns the JSON message by which cargo reports a built test binary.
pub fn message(id: &str, kind: &str, name: &str, path: &str) -> String {
    json!({
        "reason": "compiler-artifact",
        "package_id": id,
        "target": { "kind": [kind], "name": name },
        "profile": { "test": true },
        "executable": path,
    })
    .to_string()
}

/// Returns the test binary of a target whose package lies in a folder of the same name.
pub fn binary(package: &str, kind: &str, name: &str, path: &str) -> TestBinary {
    let id = format!("path+file:///folder/{package}#0.1.0");
    TestBinary::from_message(&message(&id, kind, name, path)).unwrap()
}
