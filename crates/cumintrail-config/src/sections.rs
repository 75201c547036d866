//! Declarations as canonical sections, the form in which a configuration is stored and sent.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::path::Path;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Document, Problem, Problems, Section};

/// Identifies a section by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SectionName {
    /// The first word of the header.
    pub kind: Arc<str>,
    /// The rest of the header.
    pub name: Arc<str>,
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.name {
            "" => f.write_str(&self.kind),
            name => write!(f, "{} {name}", self.kind),
        }
    }
}

/// Contains all declarations by section, each as its canonical INI body.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sections(pub BTreeMap<SectionName, Arc<str>>);

/// Describes the difference between two configurations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Sections that are new or changed.
    pub set: Vec<(SectionName, Arc<str>)>,
    /// Sections that were removed.
    pub removed: Vec<SectionName>,
}

impl Delta {
    /// Returns whether the two configurations are equal.
    pub const fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

impl Sections {
    /// Reads all `*.ini` files of a directory, in name order.
    pub fn open(directory: &Path) -> Result<(Self, Vec<Section>), Problems> {
        let unreadable = |message: String| {
            Problems(vec![Problem {
                file: directory.display().to_string().into(),
                line: 1,
                message,
                hint: "name a directory that holds the declarations as *.ini files".into(),
            }])
        };
        let entries =
            std::fs::read_dir(directory).map_err(|e| unreadable(format!("cannot read: {e}")))?;
        let mut paths: Vec<_> = entries.filter_map(|e| e.ok().map(|e| e.path())).collect();
        paths.retain(|p| p.extension().is_some_and(|e| e == "ini"));
        paths.sort();
        if paths.is_empty() {
            return Err(unreadable("no *.ini file".into()));
        }

        let mut problems = Problems::default();
        let mut sections: Vec<Section> = Vec::new();
        for path in paths {
            match Document::open(&path) {
                Ok(document) => sections.extend(document.sections),
                Err(e) => problems.0.extend(e.0),
            }
        }
        report_duplicate_sections(&sections, &mut problems);
        let canonical = Self::from_parsed(&sections);
        problems.into_result((canonical, sections))
    }

    /// Converts parsed sections to canonical ones.
    pub fn from_parsed(sections: &[Section]) -> Self {
        Self(sections.iter().map(|s| (section_name(s), canonical_body(s))).collect())
    }

    /// Parses the canonical bodies, as input for [`Snapshot::build`](crate::Snapshot::build).
    pub fn to_parsed(&self) -> Result<Vec<Section>, Problems> {
        let mut text = String::new();
        for (name, body) in &self.0 {
            let _ = writeln!(text, "[{name}]\n{body}");
        }
        Document::parse(&"configuration".into(), &text).map(|d| d.sections)
    }

    /// Computes the difference that turns `self` into `next`.
    pub fn delta_to(&self, next: &Self) -> Delta {
        let changed = next.0.iter().filter(|(name, body)| self.0.get(*name) != Some(*body));
        Delta {
            set: changed.map(|(name, body)| (name.clone(), body.clone())).collect(),
            removed: self.0.keys().filter(|name| !next.0.contains_key(*name)).cloned().collect(),
        }
    }

    /// Applies a difference in place.
    pub fn apply(&mut self, delta: &Delta) {
        for name in &delta.removed {
            self.0.remove(name);
        }
        self.0.extend(delta.set.iter().cloned());
    }
}

fn section_name(section: &Section) -> SectionName {
    SectionName { kind: section.kind.clone(), name: section.name.clone() }
}

fn canonical_body(section: &Section) -> Arc<str> {
    let mut body = String::new();
    for entry in &section.entries {
        let _ = writeln!(body, "{} = {}", entry.key, entry.value);
    }
    body.into()
}

fn report_duplicate_sections(sections: &[Section], problems: &mut Problems) {
    let mut seen: BTreeMap<SectionName, &Section> = BTreeMap::new();
    for section in sections {
        match seen.get(&section_name(section)) {
            Some(first) if first.file != section.file => problems.0.push(Problem {
                file: section.file.clone(),
                line: section.line,
                message: format!("section [{}] is declared twice", section_name(section)),
                hint: format!("keep one; the other stands at {}:{}", first.file, first.line),
            }),
            Some(_) => {}
            None => {
                seen.insert(section_name(section), section);
            }
        }
    }
}
