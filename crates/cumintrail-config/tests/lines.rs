//! Sections, keys and errors carry the line numbers that an editor shows.

use cumintrail_config::{Document, Section};

fn parse(text: &str) -> Vec<Section> {
    Document::parse(&"file.ini".into(), text).unwrap().sections
}

fn lines(text: &str) -> Vec<(String, String, usize)> {
    let sections = parse(text);
    let entries = sections.iter().flat_map(|s| &s.entries);
    entries.map(|e| (e.key.to_string(), e.value.to_string(), e.line)).collect()
}

fn entry(key: &str, value: &str, line: usize) -> (String, String, usize) {
    (key.into(), value.into(), line)
}

#[test]
fn repeated_keys_keep_their_own_lines() {
    let found = lines("[a]\nx = 1\ny = 2\nx = 3\n");
    assert_eq!(found, [entry("x", "1", 2), entry("y", "2", 3), entry("x", "3", 4)]);
}

#[test]
fn separators_comments_and_line_ends_do_not_shift_lines() {
    let text = "; top\r\n\r\n[a]\r\n# note\r\nx: 1\r\n\r\ny = 2 ; not a comment\r\n[b]\r\nz=3\r\n";
    let found = lines(text);
    let expected = [entry("x", "1", 5), entry("y", "2 ; not a comment", 7), entry("z", "3", 9)];
    assert_eq!(found, expected);
    let headers: Vec<usize> = parse(text).iter().map(|s| s.line).collect();
    assert_eq!(headers, [3, 8]);
}

#[test]
fn empty_sections_do_not_shift_those_behind_them() {
    let sections = parse("[a]\n[b]\n\n[c d]\nx = 1\n");
    let found: Vec<(String, usize)> =
        sections.iter().map(|s| (s.kind.to_string(), s.line)).collect();
    assert_eq!(found, [("a".into(), 1), ("b".into(), 2), ("c".into(), 4)]);
    assert_eq!(sections[2].entries[0].line, 5);
}

#[test]
fn a_repeated_section_is_reported_at_its_second_header() {
    let problems =
        Document::parse(&"file.ini".into(), "[a]\nx = 1\n[b]\n[a]\nx = 2\n").unwrap_err();
    assert_eq!(
        problems.to_string(),
        "file.ini:4: section [a] stands twice\n  hint: merge it with the one at line 1"
    );
}

#[test]
fn indented_lines_are_keys_of_their_own() {
    assert_eq!(lines("[a]\n  x = 1\n\ty = 2\n"), [entry("x", "1", 2), entry("y", "2", 3)]);
}

#[test]
fn a_key_before_any_section_is_reported() {
    let problems = Document::parse(&"file.ini".into(), "\nx = 1\n[a]\n").unwrap_err();
    assert_eq!(problems.0[0].line, 2);
}

#[test]
fn lines_are_never_joined() {
    let problems = Document::parse(&"file.ini".into(), "[a]\nx = 1\\\ny = 2\n[b\n").unwrap_err();
    let found: Vec<(usize, &str)> = problems.0.iter().map(|p| (p.line, &*p.message)).collect();
    let expected = [(2, "the line ends with a backslash"), (4, "the section header has no `]`")];
    assert_eq!(found, expected);
}
