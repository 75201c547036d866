//! Aligned tables and colour for people.

use std::io::IsTerminal;

const COLUMN_GAP: &str = "  ";

/// Tells whether text is coloured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// No escape sequences.
    Plain,
    /// Escape sequences of a terminal.
    Coloured,
}

/// Names the meaning that a colour gives to text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextRole {
    /// As it should be.
    Success,
    /// Degraded.
    Warning,
    /// A heading.
    Heading,
}

impl Style {
    /// Chooses colour if standard output is a terminal and `NO_COLOR` is not set.
    pub fn of_stdout() -> Self {
        let wanted = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
        if wanted { Self::Coloured } else { Self::Plain }
    }

    /// Colours text by its meaning.
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

/// Tells on which side a column is aligned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Align {
    /// Text.
    Left,
    /// Numbers.
    Right,
}

/// Collects rows and writes them with columns as wide as needed.
#[derive(Debug)]
pub struct Table {
    columns: Vec<Align>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table; a heading that begins with `>` marks a column of numbers.
    pub fn new(headings: &[&str]) -> Self {
        let align = |h: &&str| if h.starts_with('>') { Align::Right } else { Align::Left };
        let columns = headings.iter().map(align).collect();
        let header = headings.iter().map(|h| h.trim_start_matches('>').to_owned()).collect();
        Self { columns, rows: vec![header] }
    }

    /// Adds a row.
    pub fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Tells whether there is no row but the headings.
    pub const fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Returns the lines, each after `indent`.
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
