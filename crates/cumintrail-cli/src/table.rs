//! Aligned tables and coloured text for the terminal.

use std::io::IsTerminal;

const COLUMN_GAP: &str = "  ";

/// Selects whether text is coloured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// Without escape sequences.
    Plain,
    /// With the escape sequences of a terminal.
    Coloured,
}

/// Selects the colour or weight of a text by its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextRole {
    /// Nothing is degraded; green.
    Success,
    /// Degraded or not confirmed; yellow.
    Warning,
    /// A heading; bold.
    Heading,
}

impl Style {
    /// Returns `Coloured` if standard output is a terminal and `NO_COLOR` is not set.
    pub fn of_stdout() -> Self {
        let wanted = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
        if wanted { Self::Coloured } else { Self::Plain }
    }

    /// Adds the escape sequences of `role`; returns `text` unchanged if the style is plain.
    pub fn paint(self, role: TextRole, text: &str) -> String {
        let code = match role {
            TextRole::Success => 32,
            TextRole::Warning => 33,
            TextRole::Heading => 1,
        };
        match self {
            Self::Plain => text.to_owned(),
            Self::Coloured => format!("\x1b[{code}m{text}\x1b[0m"),
        }
    }
}

/// Selects the alignment of a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Align {
    /// For text.
    Left,
    /// For numbers.
    Right,
}

/// Collects rows and formats them with each column as wide as its widest cell.
#[derive(Debug)]
pub struct Table {
    columns: Vec<Align>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table; a heading that begins with `>` marks a right-aligned column.
    pub fn new(headings: &[&str]) -> Self {
        let align = |h: &&str| if h.starts_with('>') { Align::Right } else { Align::Left };
        let columns = headings.iter().map(align).collect();
        let header = headings.iter().map(|h| h.trim_start_matches('>').to_owned()).collect();
        Self { columns, rows: vec![header] }
    }

    pub fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Returns whether the table has no row besides the headings.
    pub const fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Returns the headings and the rows as lines, each prefixed by `indent`.
    pub fn lines(&self, indent: &str) -> Vec<String> {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        let cell = |(i, text): (usize, &String)| match self.columns[i] {
            Align::Left => format!("{text:<width$}", width = widths[i]),
            Align::Right => format!("{text:>width$}", width = widths[i]),
        };
        let line = |row: &Vec<String>| {
            let cells: Vec<String> = row.iter().enumerate().map(cell).collect();
            format!("{indent}{}", cells.join(COLUMN_GAP)).trim_end().to_owned()
        };
        self.rows.iter().map(line).collect()
    }
}
