use crate::Lines;
use crate::lines::join_path;

/// Returns the line of every key of a JSON text.
///
/// `serde_json` does not report the positions of values, so this scans the text a second time. The
/// text must be valid JSON; for other texts the result is incomplete.
pub(crate) fn json_lines(text: &str) -> Lines {
    let mut scanner =
        Scanner { bytes: text.as_bytes(), position: 0, line: 1, lines: Lines::default() };
    scanner.scan_value("");
    scanner.lines
}

/// Scanner over a JSON text that records the line of each value.
struct Scanner<'a> {
    bytes: &'a [u8],
    position: usize,
    line: usize,
    lines: Lines,
}

impl Scanner<'_> {
    /// Scans the value at `path`.
    fn scan_value(&mut self, path: &str) {
        self.skip_whitespace();
        self.lines.insert(path, self.line);
        match self.peek() {
            Some(b'{') => self.scan_members(path),
            Some(b'[') => self.scan_items(path),
            Some(b'"') => drop(self.scan_string()),
            _ => self.scan_scalar(),
        }
    }

    /// Scans the members of an object.
    fn scan_members(&mut self, path: &str) {
        self.advance();
        loop {
            self.skip_whitespace();
            match self.peek() {
                Some(b'"') => self.scan_member(path),
                Some(b',') => self.advance(),
                Some(b'}') => return self.advance(),
                _ => return,
            }
        }
    }

    /// Scans one key and its value, and records the line of the key for both.
    fn scan_member(&mut self, path: &str) {
        let line = self.line;
        let key = join_path(path, &self.scan_string());
        self.skip_whitespace();
        if self.peek() == Some(b':') {
            self.advance();
        }
        self.scan_value(&key);
        self.lines.insert(key, line);
    }

    /// Scans the items of an array.
    fn scan_items(&mut self, path: &str) {
        self.advance();
        let mut index = 0_usize;
        loop {
            self.skip_whitespace();
            match self.peek() {
                Some(b']') => return self.advance(),
                Some(b',') => self.advance(),
                Some(_) => {
                    self.scan_value(&join_path(path, &index.to_string()));
                    index += 1;
                }
                None => return,
            }
        }
    }

    /// Scans a string and returns it unescaped.
    fn scan_string(&mut self) -> String {
        let start = self.position;
        self.advance();
        while let Some(byte) = self.peek() {
            self.advance();
            match byte {
                b'\\' => self.advance(),
                b'"' => break,
                _ => {}
            }
        }
        serde_json::from_slice(&self.bytes[start..self.position]).unwrap_or_default()
    }

    /// Scans a number or literal. Always advances, so that invalid text cannot cause an endless
    /// loop.
    fn scan_scalar(&mut self) {
        self.advance();
        while self.peek().is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(&byte))
        {
            self.advance();
        }
    }

    fn skip_whitespace(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.advance();
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.position).copied()
    }

    fn advance(&mut self) {
        if let Some(byte) = self.peek() {
            self.line += usize::from(byte == b'\n');
            self.position += 1;
        }
    }
}
