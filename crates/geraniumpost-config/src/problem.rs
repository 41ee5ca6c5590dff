use std::fmt;

use serde::Serialize;

use crate::Code;

/// A problem of a file, with advice on how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Kind of the problem.
    pub code: Code,
    /// Name of the file, empty if the text came from elsewhere.
    pub file: String,
    /// Line counted from 1, 0 if unknown.
    pub line: usize,
    /// Keys from the root to the value, joined by dots.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub advice: String,
}

impl Problem {
    /// Creates a problem with the general message and advice of its code.
    #[must_use]
    pub fn new(code: Code, path: impl Into<String>) -> Self {
        Self {
            code,
            file: String::new(),
            line: 0,
            path: path.into(),
            message: code.meaning().to_owned(),
            advice: code.remedy().to_owned(),
        }
    }

    /// Sets a more specific message.
    #[must_use]
    pub fn message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Sets more specific advice.
    #[must_use]
    pub fn advice(mut self, advice: impl Into<String>) -> Self {
        self.advice = advice.into();
        self
    }

    /// Sets file and line of the problem.
    #[must_use]
    pub fn at(mut self, file: &str, line: usize) -> Self {
        file.clone_into(&mut self.file);
        self.line = line;
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.file.is_empty() || self.line > 0 {
            f.write_str(" ")?;
        }
        write!(f, "error {}: ", self.code.number())?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{} {}", self.message, self.advice)
    }
}
