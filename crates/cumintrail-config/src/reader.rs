//! Typed access to the keys of a section, with reports of invalid values and unknown keys.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use crate::document::Entry;
use crate::{KeyReference, Problem, Problems, Section};

/// The Jaro-Winkler similarity from which a known word is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Reads the keys of one section and records which keys were requested.
#[derive(Debug)]
pub struct SectionReader<'a> {
    section: &'a Section,
    problems: &'a mut Problems,
    keys: Vec<KeyReference>,
}

impl<'a> SectionReader<'a> {
    /// Starts reading `section`; errors are appended to `problems`.
    pub const fn new(section: &'a Section, problems: &'a mut Problems) -> Self {
        Self { section, problems, keys: Vec::new() }
    }

    /// Returns the text of `key`, if present.
    pub fn text(&mut self, key: &'static str) -> Option<Arc<str>> {
        self.entry(key).map(|e| e.value.clone())
    }

    /// Returns the parsed value of `key`, if present and valid.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, key: &'static str) -> Option<T> {
        let entry = self.entry(key)?;
        match entry.value.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                let hint = if entry.value.contains([';', '#']) {
                    "write comments on lines of their own".to_owned()
                } else {
                    format!("give `{key}` a valid value")
                };
                self.report(entry.line, format!("bad value for `{key}`: {e}"), &hint);
                None
            }
        }
    }

    /// Returns the value of `key`, or `default` if it is absent.
    pub fn value_or<T: FromStr<Err: Display>>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Returns the value of a required key, or `fallback` after reporting that the key is missing.
    pub fn required<T: FromStr<Err: Display>>(&mut self, key: &'static str, fallback: T) -> T {
        self.record_key(key, "required", "");
        if self.entry(key).is_none() {
            let label = self.label();
            self.report(
                self.section.line,
                format!("{label} lacks `{key}`"),
                &format!("add `{key} = …` to the section"),
            );
            return fallback;
        }
        self.value_or(key, fallback)
    }

    /// Returns an integer, or `default` if the key is absent or, after a report, its value invalid.
    pub fn integer(&mut self, key: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let (low, high) = (range.start(), range.end());
        self.record_key(key, &default.to_string(), &format!("{low}–{high}"));
        let value = self.value_or(key, default);
        if !range.contains(&value) {
            let line = self.entry(key).map_or(self.section.line, |e| e.line);
            self.report(
                line,
                format!("`{key} = {value}` is out of range"),
                &format!("give a number from {low} to {high}"),
            );
            return default;
        }
        value
    }

    /// Returns a duration given in milliseconds, under the rules of [`integer`](Self::integer).
    pub fn millis(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.integer(key, default, range))
    }

    /// Returns a finite number of zero or more, or `default` if it is absent or invalid.
    pub fn non_negative(&mut self, key: &'static str, default: f64) -> f64 {
        self.record_key(key, &default.to_string(), "0 or more");
        let value = self.value_or(key, default);
        if value.is_finite() && value >= 0.0 {
            return value;
        }
        let line = self.entry(key).map_or(self.section.line, |e| e.line);
        self.report(
            line,
            format!("`{key} = {value}` is not a weight"),
            "give a number of 0 or more",
        );
        default
    }

    /// Returns the non-empty items of a comma-separated list.
    pub fn list(&mut self, key: &'static str) -> Vec<Arc<str>> {
        let text = self.text(key).unwrap_or_default();
        text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(Arc::from).collect()
    }

    /// Returns the valid addresses of a comma-separated list and reports the invalid ones.
    pub fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for text in self.list(key) {
            if let Ok(address) = text.parse() {
                addresses.push(address);
                continue;
            }
            self.reject(key, format!("`{text}` is no address"), "write IP:PORT, IP:PORT, …");
        }
        addresses
    }

    /// Reports that the kind of the section is none of the `known` kinds.
    pub fn reject_section(&mut self, known: &[&str]) {
        let message = format!("unknown section [{}]", self.section.title());
        self.report(self.section.line, message, &suggest(&self.section.kind, known));
    }

    /// Returns the named choice, or the first one if the key is absent or its value is unknown.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.record_key(key, names[0], &names.join(", "));
        let Some(entry) = self.entry(key) else {
            return choices[0].1;
        };
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == &*entry.value) {
            return *value;
        }
        self.report(
            entry.line,
            format!("`{key} = {}` is no choice", entry.value),
            &format!("use one of: {}", names.join(", ")),
        );
        choices[0].1
    }

    /// Reports an error at `key`.
    pub fn reject(&mut self, key: &'static str, message: String, hint: &str) {
        let line = self.entry(key).map_or(self.section.line, |e| e.line);
        self.report(line, message, hint);
    }

    /// Reports repeated keys, and keys that were never requested with the most similar known key.
    ///
    /// Returns all requested keys, which are the keys that the reference documents.
    pub fn finish(self) -> Vec<KeyReference> {
        let known: Vec<&str> = self.keys.iter().map(|k| k.key).collect();
        for (i, entry) in self.section.entries.iter().enumerate() {
            let repeated = self.section.entries[..i].iter().any(|e| e.key == entry.key);
            let (message, hint) = match &*entry.key {
                key if repeated => {
                    (format!("key `{key}` is given twice"), "keep one of them".into())
                }
                key if known.contains(&key) => continue,
                key => (format!("unknown key `{key}`"), suggest(key, &known)),
            };
            let file = self.section.file.clone();
            self.problems.0.push(Problem { file, line: entry.line, message, hint });
        }
        self.keys
    }

    fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        if self.keys.iter().all(|k| k.key != key) {
            self.keys.push(KeyReference { key, default: String::new(), range: String::new() });
        }
        self.section.entries.iter().find(|e| &*e.key == key)
    }

    fn record_key(&mut self, key: &'static str, default: &str, range: &str) {
        if self.keys.iter().all(|k| k.key != key) {
            let (default, range) = (default.to_owned(), range.to_owned());
            self.keys.push(KeyReference { key, default, range });
        }
    }

    fn label(&self) -> String {
        format!("[{}]", self.section.title())
    }

    fn report(&mut self, line: usize, message: String, hint: &str) {
        let file = self.section.file.clone();
        self.problems.0.push(Problem { file, line, message, hint: hint.to_owned() });
    }
}

/// Suggests the known word most similar to `word`, or lists all if none is similar enough.
pub fn suggest(word: &str, known: &[&str]) -> String {
    let best =
        known.iter().map(|k| (strsim::jaro_winkler(word, k), k)).max_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        None => "nothing of the kind is declared".into(),
        Some((score, name)) if score >= MIN_SIMILARITY => format!("did you mean `{name}`?"),
        _ => format!("use one of: {}", known.join(", ")),
    }
}
