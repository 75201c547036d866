//! What the readers accept, for docs/OPERATIONS.md and the test that compares the two.

/// Describes the keys of one kind of section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionReference {
    /// The first word of the header.
    pub kind: &'static str,
    /// The keys in the order in which they are read.
    pub keys: Vec<KeyReference>,
}

/// Describes one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyReference {
    /// The key.
    pub key: &'static str,
    /// The default, `required`, or nothing if an absent key has a meaning of its own.
    pub default: String,
    /// The accepted numbers or choices; empty for free text.
    pub range: String,
}
