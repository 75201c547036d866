//! Errors in settings and declarations, each with its location and a hint.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;

/// Describes one error in an INI file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The path of the file, or another label of the text.
    pub file: Arc<str>,
    /// The line number, starting at 1.
    pub line: usize,
    /// What is wrong; never contains the value of a secret.
    pub message: String,
    /// How to correct it.
    pub hint: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}\n  hint: {}", self.file, self.line, self.message, self.hint)
    }
}

/// Collects all errors of one read, so that an operator can correct them together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Returns `value` if no error was found, or else all errors.
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
