//! Descriptions of the accepted keys; a test compares them with docs/OPERATIONS.md.

/// Describes the keys of one kind of section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionReference {
    /// The first word of the header.
    pub kind: &'static str,
    /// The keys in the order in which the reader requests them.
    pub keys: Vec<KeyReference>,
}

/// Describes one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyReference {
    /// The key.
    pub key: &'static str,
    /// The default value, `required`, or empty if the absence of the key has its own meaning.
    pub default: String,
    /// The accepted range of numbers or the choices; empty for other values.
    pub range: String,
}
