//! Errors in settings and declarations, each with its place and a remedy.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;

/// Describes one error of an INI file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The file as it was named on the command line.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong; never contains the value of a secret.
    pub message: String,
    /// How to mend it.
    pub hint: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}\n  hint: {}", self.file, self.line, self.message, self.hint)
    }
}

/// Collects all errors of a reading, so that an operator mends them in one go.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Returns `value` if no error was found.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
