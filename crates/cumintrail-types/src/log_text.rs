//! Texts of other processes in log lines.

use std::fmt::{self, Display, Formatter, Write as _};

/// The maximum number of characters of a text that a line has.
const MAX_CHARS: usize = 200;

/// Displays a text of another process as the value of a log field.
///
/// Other writers choose the keys of rows, and callers their headers. A text that could pass for
/// further fields or lines is quoted and escaped, and a long one is cut.
#[derive(Debug, Clone, Copy)]
pub struct LogText<'a>(pub &'a str);

impl Display for LogText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let is_plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'\\');
        if !self.0.is_empty() && self.0.len() <= MAX_CHARS && self.0.bytes().all(is_plain) {
            return f.write_str(self.0);
        }
        let mut chars = self.0.chars();
        f.write_char('"')?;
        for c in chars.by_ref().take(MAX_CHARS) {
            write!(f, "{}", c.escape_debug())?;
        }
        f.write_str(if chars.next().is_some() { "…\"" } else { "\"" })
    }
}
