//! Values that several modules of tests need.

use serde_json::json;
use xtask::known_red::{Entry, TestBinary, TestId};

/// Returns the test that three words name.
pub fn id(words: &str) -> TestId {
    let words: Vec<String> = owned(words);
    let [package, target, name] = <[String; 3]>::try_from(words).unwrap();
    TestId::new(package, target, name)
}

/// Returns an entry for the test that three words name.
pub fn entry(words: &str) -> Entry {
    Entry::new(id(words), ["command", "seed", "seen", "issue"].map(str::to_owned))
}

/// Returns the words of a text.
pub fn owned(words: &str) -> Vec<String> {
    words.split_whitespace().map(str::to_owned).collect()
}

/// Returns the line with which cargo announces a binary.
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

/// Returns the binary of a target whose package has its own folder.
pub fn binary(package: &str, kind: &str, name: &str, path: &str) -> TestBinary {
    let id = format!("path+file:///folder/{package}#0.1.0");
    TestBinary::from_message(&message(&id, kind, name, path)).unwrap()
}
