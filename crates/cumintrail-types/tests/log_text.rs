//! Tests that a text of another process stays one value of one log line.

use cumintrail_types::LogText;

#[test]
fn usual_names_are_written_as_they_are() {
    for name in ["i-7f3a91c2@1700", "op/version/m", "a+b&c=%41#", "-"] {
        assert_eq!(LogText(name).to_string(), name);
    }
}

#[test]
fn other_texts_are_quoted_and_escaped() {
    let cases = [
        ("", r#""""#),
        ("a b", r#""a b""#),
        ("a\nlevel=ERROR", r#""a\nlevel=ERROR""#),
        (r#"a" b=""#, r#""a\" b=\"""#),
        ("a\\", r#""a\\""#),
        ("é\u{1b}[0m", r#""é\u{1b}[0m""#),
    ];
    for (text, logged) in cases {
        assert_eq!(LogText(text).to_string(), logged);
    }
}

#[test]
fn long_texts_are_cut() {
    let logged = LogText(&"é".repeat(10_000)).to_string();
    assert_eq!(logged, format!("\"{}…\"", "é".repeat(200)));
}
