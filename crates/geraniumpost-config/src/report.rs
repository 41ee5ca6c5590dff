use std::fmt;

use derive_more::{Error, From};
use serde::Serialize;

use crate::{Lines, Problem};

/// All problems of one file, never empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, From, Error)]
pub struct Report {
    /// Problems, ordered by line.
    #[error(not(source))]
    pub problems: Vec<Problem>,
}

impl Report {
    /// Creates a report of one problem.
    #[must_use]
    pub fn of(problem: Problem) -> Self {
        Self { problems: vec![problem] }
    }

    /// Returns whether there are no problems.
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// Sets file and line of every problem, and sorts the problems by line.
    #[must_use]
    pub fn with_locations(mut self, file: &str, lines: &Lines) -> Self {
        for problem in &mut self.problems {
            file.clone_into(&mut problem.file);
            if problem.line == 0 {
                problem.line = lines.line_of(&problem.path);
            }
        }
        self.problems.sort_by_key(|problem| problem.line);
        self
    }

    /// Returns `value` if there are no problems.
    ///
    /// # Errors
    ///
    /// Returns this report if there are problems.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
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
