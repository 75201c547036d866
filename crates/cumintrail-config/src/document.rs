//! A parsed INI file with the line numbers of its sections and keys.

use std::collections::HashMap;
use std::collections::hash_map::Entry as MapEntry;
use std::path::Path;
use std::sync::Arc;

use ini::{Ini, ParseOption};

use crate::{Problem, Problems};

/// Represents a parsed INI file.
#[derive(Debug, Clone)]
pub struct Document {
    /// The path of the file, or another label of the text, for error messages.
    pub file: Arc<str>,
    /// The sections in file order.
    pub sections: Vec<Section>,
}

/// Represents one section `[kind name]` of a file.
#[derive(Debug, Clone)]
pub struct Section {
    /// The file that contains the section.
    pub file: Arc<str>,
    /// The line number of the header, starting at 1.
    pub line: usize,
    /// The first word of the header.
    pub kind: Arc<str>,
    /// The rest of the header; empty for a section without a name.
    pub name: Arc<str>,
    /// The entries in file order.
    pub entries: Vec<Entry>,
}

/// Represents one `key = value` line.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The key.
    pub key: Arc<str>,
    /// The value without surrounding whitespace.
    pub value: Arc<str>,
    /// The line number, starting at 1.
    pub line: usize,
}

impl Section {
    /// Returns `kind name`, or `kind` alone for a section without a name.
    pub fn title(&self) -> String {
        format!("{} {}", self.kind, self.name).trim_end().to_owned()
    }
}

impl Document {
    /// Reads and parses a file.
    pub fn open(path: &Path) -> Result<Self, Problems> {
        let file: Arc<str> = path.display().to_string().into();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(e) => Err(Problems(vec![Problem {
                file,
                line: 1,
                message: format!("cannot read the file: {e}"),
                hint: "check the path and its permissions".into(),
            }])),
        }
    }

    /// Parses INI text; `file` identifies its source in sections and errors.
    pub fn parse(file: &Arc<str>, text: &str) -> Result<Self, Problems> {
        report_joined_lines(file, text).into_result(())?;
        let options =
            ParseOption { enabled_escape: false, enabled_quote: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|e| {
            Problems(vec![Problem {
                file: file.clone(),
                line: e.line.max(1),
                message: format!("not valid INI: {}", e.msg),
                hint: "write `[section name]` headers and `key = value` lines; comments start \
                       with `;` or `#`"
                    .into(),
            }])
        })?;

        let lines = LineIndex::scan(text);
        let mut problems = Problems::default();
        let mut sections = Vec::new();
        for (index, (header, properties)) in ini.iter().enumerate() {
            let Some(header) = header else {
                problems.0.extend(properties.iter().next().map(|(key, _)| Problem {
                    file: file.clone(),
                    line: lines.key_line(0, key, 0),
                    message: format!("key `{key}` stands before any section"),
                    hint: "move it below a `[section]` header".into(),
                }));
                continue;
            };
            sections.push(build_section(file, header, properties, &lines, index));
        }
        report_missing_separators(&sections, &mut problems);
        report_duplicate_sections(&sections, &mut problems);
        problems.into_result(Self { file: file.clone(), sections })
    }
}

/// Reports lines that the parser would silently join with the next line.
fn report_joined_lines(file: &Arc<str>, text: &str) -> Problems {
    let mut problems = Problems::default();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        let (message, hint) = match line.chars().next() {
            None | Some(';' | '#') => continue,
            Some('[') if !line.contains(']') => {
                ("the section header has no `]`", "write `[section name]`")
            }
            _ if line.ends_with('\\') => {
                ("the line ends with a backslash", "write the value on one line")
            }
            _ => continue,
        };
        let (file, line) = (file.clone(), i + 1);
        problems.0.push(Problem { file, line, message: message.into(), hint: hint.into() });
    }
    problems
}

fn build_section(
    file: &Arc<str>,
    header: &str,
    properties: &ini::Properties,
    lines: &LineIndex,
    index: usize,
) -> Section {
    let (kind, name) = header.trim().split_once(char::is_whitespace).unwrap_or((header.trim(), ""));
    let mut entries: Vec<Entry> = Vec::new();
    for (key, value) in properties {
        let repeats_before = entries.iter().filter(|e| &*e.key == key).count();
        entries.push(Entry {
            key: key.into(),
            value: value.trim().into(),
            line: lines.key_line(index, key, repeats_before),
        });
    }
    Section {
        file: file.clone(),
        line: lines.header_line(index),
        kind: kind.into(),
        name: name.trim().into(),
        entries,
    }
}

/// Reports lines without a separator, which the parser joins with the key of the next line.
fn report_missing_separators(sections: &[Section], problems: &mut Problems) {
    for section in sections {
        let without_separator = section.entries.iter().filter(|e| e.key.contains(['\n', '\r']));
        problems.0.extend(without_separator.map(|entry| Problem {
            file: section.file.clone(),
            line: entry.line,
            message: format!("`{}` is not followed by `=`", first_line(&entry.key)),
            hint:
                "write `key = value`; comments start with `;` or `#` on lines of their own".into(),
        }));
    }
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default().trim()
}

fn report_duplicate_sections(sections: &[Section], problems: &mut Problems) {
    let mut seen: HashMap<(&str, &str), usize> = HashMap::new();
    for section in sections {
        match seen.entry((&section.kind, &section.name)) {
            MapEntry::Vacant(vacant) => {
                vacant.insert(section.line);
            }
            MapEntry::Occupied(first) => problems.0.push(Problem {
                file: section.file.clone(),
                line: section.line,
                message: format!("section [{}] stands twice", section.title()),
                hint: format!("merge it with the one at line {}", first.get()),
            }),
        }
    }
}

/// Maps sections and keys to line numbers, which the parser does not provide.
///
/// Section 0 holds the keys that precede the first header.
struct LineIndex {
    sections: Vec<(usize, Vec<(String, usize)>)>,
}

impl LineIndex {
    fn scan(text: &str) -> Self {
        let mut sections = vec![(1, Vec::new())];
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            match line.chars().next() {
                None | Some(';' | '#') => {}
                Some('[') => sections.push((i + 1, Vec::new())),
                Some(_) => {
                    let key = line.split(['=', ':']).next().unwrap_or_default().trim().to_owned();
                    if let Some((_, keys)) = sections.last_mut() {
                        keys.push((key, i + 1));
                    }
                }
            }
        }
        Self { sections }
    }

    fn header_line(&self, section: usize) -> usize {
        self.sections.get(section).map_or(1, |(line, _)| *line)
    }

    fn key_line(&self, section: usize, key: &str, repeats_before: usize) -> usize {
        let keys = self.sections.get(section).map(|(_, keys)| keys.as_slice()).unwrap_or_default();
        let found = keys.iter().filter(|(k, _)| k == first_line(key)).nth(repeats_before);
        found.map_or_else(|| self.header_line(section), |(_, line)| *line)
    }
}
