use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::path::Path;

use eyre::{Result, WrapErr};

use super::entry::DETAILS;
use super::{Entry, ListError, TestId};

/// Name of the list in the workspace's root.
pub const FILE: &str = "KNOWN-RED.txt";

/// Begins a comment.
const COMMENT: char = '#';

/// An entry whose details are still being read.
struct Draft {
    line: usize,
    test: TestId,
    details: [Option<String>; DETAILS.len()],
}

/// Reads the list in the workspace's root; one that does not exist is empty.
pub(super) fn read(root: &Path) -> Result<Vec<Entry>> {
    let text = match std::fs::read_to_string(root.join(FILE)) {
        Err(e) if e.kind() == ErrorKind::NotFound => String::new(),
        text => text.wrap_err(FILE)?,
    };
    parse(&text).wrap_err(FILE)
}

/// Translates the text of a list.
///
/// Nothing is guessed: a line that is no comment, test or detail is an error, because an entry
/// that is understood wrongly could hide another failure.
///
/// # Errors
///
/// Fails at the first line that cannot be read, or at an entry that is not whole.
pub fn parse(text: &str) -> Result<Vec<Entry>, ListError> {
    let mut drafts: Vec<Draft> = Vec::new();
    for (index, content) in text.lines().enumerate() {
        let line = index + 1;
        if content.trim().is_empty() || content.starts_with(COMMENT) {
            continue;
        }
        if content.starts_with(char::is_whitespace) {
            let draft = drafts.last_mut().ok_or(ListError::Stray { line })?;
            read_detail(draft, content, line)?;
        } else {
            drafts.push(read_test(content, line)?);
        }
    }
    let mut seen = BTreeSet::new();
    drafts.into_iter().map(|draft| finish(draft, &mut seen)).collect()
}

/// Translates the line that names a test.
fn read_test(content: &str, line: usize) -> Result<Draft, ListError> {
    let words: Vec<&str> = content.split_whitespace().collect();
    let [package, target, name] = words[..] else {
        return Err(ListError::Test { line });
    };
    let test = TestId::new(package.to_owned(), target.to_owned(), name.to_owned());
    Ok(Draft { line, test, details: Default::default() })
}

/// Translates the line of one detail.
fn read_detail(draft: &mut Draft, content: &str, line: usize) -> Result<(), ListError> {
    let (key, text) = content.split_once(':').ok_or(ListError::Detail { line })?;
    let found = DETAILS.iter().position(|known| *known == key.trim());
    let index = found.ok_or(ListError::Detail { line })?;
    if text.trim().is_empty() {
        return Err(ListError::Detail { line });
    }
    match draft.details[index].replace(text.trim().to_owned()) {
        Some(_) => Err(ListError::Repeated { line }),
        None => Ok(()),
    }
}

/// Makes the entry, if it is whole and new.
fn finish(draft: Draft, seen: &mut BTreeSet<TestId>) -> Result<Entry, ListError> {
    let line = draft.line;
    for (key, detail) in DETAILS.into_iter().zip(&draft.details) {
        if detail.is_none() {
            return Err(ListError::Missing { line, key });
        }
    }
    if !seen.insert(draft.test.clone()) {
        return Err(ListError::Twice { line });
    }
    Ok(Entry::new(draft.test, draft.details.map(Option::unwrap_or_default)))
}
