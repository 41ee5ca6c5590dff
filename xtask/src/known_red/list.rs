use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::path::Path;

use eyre::{Result, WrapErr};

use super::entry::DETAILS;
use super::{Entry, ListError, TestId};

/// File name of the list in the workspace's root.
pub const FILE: &str = "KNOWN-RED.txt";

/// Starts a comment line.
const COMMENT: char = '#';

/// An entry whose details are still being read.
struct PartialEntry {
    line: usize,
    test: TestId,
    details: [Option<String>; DETAILS.len()],
}

/// Reads the list in the workspace's root; a missing file is an empty list.
pub(super) fn read(root: &Path) -> Result<Vec<Entry>> {
    let text = match std::fs::read_to_string(root.join(FILE)) {
        Err(e) if e.kind() == ErrorKind::NotFound => String::new(),
        text => text.wrap_err(FILE)?,
    };
    parse(&text).wrap_err(FILE)
}

/// Parses the text of a list.
///
/// A line that is not a comment, a test or a detail is an error, because a misread entry could hide
/// another failure.
///
/// # Errors
///
/// Fails at the first line that cannot be read, or at an incomplete or repeated entry.
pub fn parse(text: &str) -> Result<Vec<Entry>, ListError> {
    let mut partial_entries: Vec<PartialEntry> = Vec::new();
    for (index, content) in text.lines().enumerate() {
        let line = index + 1;
        if content.trim().is_empty() || content.starts_with(COMMENT) {
            continue;
        }
        if content.starts_with(char::is_whitespace) {
            let partial =
                partial_entries.last_mut().ok_or(ListError::DetailWithoutTest { line })?;
            read_detail(partial, content, line)?;
        } else {
            partial_entries.push(read_test(content, line)?);
        }
    }
    let mut seen = BTreeSet::new();
    partial_entries.into_iter().map(|partial| finish(partial, &mut seen)).collect()
}

/// Parses the line that names a test.
fn read_test(content: &str, line: usize) -> Result<PartialEntry, ListError> {
    let words: Vec<&str> = content.split_whitespace().collect();
    let [package, target, name] = words[..] else {
        return Err(ListError::InvalidTest { line });
    };
    let test = TestId::new(package.to_owned(), target.to_owned(), name.to_owned());
    Ok(PartialEntry { line, test, details: Default::default() })
}

/// Parses the line of one detail.
fn read_detail(partial: &mut PartialEntry, content: &str, line: usize) -> Result<(), ListError> {
    let (key, text) = content.split_once(':').ok_or(ListError::InvalidDetail { line })?;
    let found = DETAILS.iter().position(|known| *known == key.trim());
    let index = found.ok_or(ListError::InvalidDetail { line })?;
    if text.trim().is_empty() {
        return Err(ListError::InvalidDetail { line });
    }
    match partial.details[index].replace(text.trim().to_owned()) {
        Some(_) => Err(ListError::DuplicateDetail { line }),
        None => Ok(()),
    }
}

/// Creates the entry if it is complete and not listed already.
fn finish(partial: PartialEntry, seen: &mut BTreeSet<TestId>) -> Result<Entry, ListError> {
    let line = partial.line;
    for (key, detail) in DETAILS.into_iter().zip(&partial.details) {
        if detail.is_none() {
            return Err(ListError::MissingDetail { line, key });
        }
    }
    if !seen.insert(partial.test.clone()) {
        return Err(ListError::DuplicateTest { line });
    }
    Ok(Entry::new(partial.test, partial.details.map(Option::unwrap_or_default)))
}
