use crate::Lines;
use crate::lines::joined;

/// Finds the line of every key of a JSON text.
///
/// `serde_json` gives no positions of values it has read, so the text is walked once more. The
/// text must have been accepted by `serde_json`; of any other text the result is merely incomplete.
pub(crate) fn json_lines(text: &str) -> Lines {
    let mut scan = Scan { bytes: text.as_bytes(), at: 0, line: 1, lines: Lines::default() };
    scan.value("");
    scan.lines
}

/// Position of the walk.
struct Scan<'a> {
    bytes: &'a [u8],
    at: usize,
    line: usize,
    lines: Lines,
}

impl Scan<'_> {
    /// Walks one value that stands at `path`.
    fn value(&mut self, path: &str) {
        self.skip_space();
        self.lines.insert(path, self.line);
        match self.peek() {
            Some(b'{') => self.members(path),
            Some(b'[') => self.items(path),
            Some(b'"') => drop(self.string()),
            _ => self.scalar(),
        }
    }

    /// Walks the members of an object.
    fn members(&mut self, path: &str) {
        self.bump();
        loop {
            self.skip_space();
            match self.peek() {
                Some(b'"') => self.member(path),
                Some(b',') => self.bump(),
                Some(b'}') => return self.bump(),
                _ => return,
            }
        }
    }

    /// Walks one key and its value; the key's line counts, since that is where one looks.
    fn member(&mut self, path: &str) {
        let line = self.line;
        let key = joined(path, &self.string());
        self.skip_space();
        if self.peek() == Some(b':') {
            self.bump();
        }
        self.value(&key);
        self.lines.insert(key, line);
    }

    /// Walks the items of an array.
    fn items(&mut self, path: &str) {
        self.bump();
        let mut index = 0_usize;
        loop {
            self.skip_space();
            match self.peek() {
                Some(b']') => return self.bump(),
                Some(b',') => self.bump(),
                Some(_) => {
                    self.value(&joined(path, &index.to_string()));
                    index += 1;
                }
                None => return,
            }
        }
    }

    /// Reads a string with its escapes undone.
    fn string(&mut self) -> String {
        let start = self.at;
        self.bump();
        while let Some(byte) = self.peek() {
            self.bump();
            match byte {
                b'\\' => self.bump(),
                b'"' => break,
                _ => {}
            }
        }
        serde_json::from_slice(&self.bytes[start..self.at]).unwrap_or_default()
    }

    /// Walks a number or a word; always moves on, so that broken text cannot hold it up.
    fn scalar(&mut self) {
        self.bump();
        while self.peek().is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(&byte))
        {
            self.bump();
        }
    }

    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.bump();
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn bump(&mut self) {
        if let Some(byte) = self.peek() {
            self.line += usize::from(byte == b'\n');
            self.at += 1;
        }
    }
}
