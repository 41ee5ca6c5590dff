use std::fmt;

use derive_more::{Error, From};
use serde::Serialize;

use crate::{Lines, Problem};

/// All problems of one file, never empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, From, Error)]
pub struct Report {
    /// The problems in the order of their lines.
    #[error(not(source))]
    pub problems: Vec<Problem>,
}

impl Report {
    /// Creates a report of one problem.
    #[must_use]
    pub fn of(problem: Problem) -> Self {
        Self { problems: vec![problem] }
    }

    /// Returns whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// Gives every problem its place in `file` and sorts them by line.
    #[must_use]
    pub fn placed(mut self, file: &str, lines: &Lines) -> Self {
        for problem in &mut self.problems {
            file.clone_into(&mut problem.file);
            if problem.line == 0 {
                problem.line = lines.line_of(&problem.path);
            }
        }
        self.problems.sort_by_key(|problem| problem.line);
        self
    }

    /// Returns `value` if nothing is wrong.
    pub fn or<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
