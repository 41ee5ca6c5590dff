use std::collections::HashMap;

/// Line numbers of the keys of a file.
///
/// # Example
///
/// ```
/// use geraniumpost_config::Lines;
/// let mut lines = Lines::default();
/// lines.insert("log", 3);
/// assert_eq!(lines.line_of("log.level"), 3);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Lines {
    by_path: HashMap<String, usize>,
}

impl Lines {
    /// Sets the line of the value at `path`, counted from 1.
    pub fn insert(&mut self, path: impl Into<String>, line: usize) {
        self.by_path.insert(path.into(), line);
    }

    /// Returns the line of `path`, or of the innermost enclosing table that has a line.
    ///
    /// A missing key has no line; the operator has to add it to the enclosing table.
    pub fn line_of(&self, path: &str) -> usize {
        let mut rest = path;
        loop {
            if let Some(line) = self.by_path.get(rest) {
                return *line;
            }
            match rest.rfind('.') {
                Some(dot) => rest = &rest[..dot],
                None => return self.by_path.get("").copied().unwrap_or(1),
            }
        }
    }
}

/// Returns the line of byte `offset` in `text`, counted from 1.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].split(|byte| *byte == b'\n').count()
}

/// Returns the path of `key` inside `parent`.
pub(crate) fn join_path(parent: &str, key: &str) -> String {
    if parent.is_empty() { key.to_owned() } else { format!("{parent}.{key}") }
}
