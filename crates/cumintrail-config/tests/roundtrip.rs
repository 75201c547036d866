//! Properties of the reader over arbitrary text.

use cumintrail_config::{Document, Sections, Settings, Snapshot};
use cumintrail_types::Generation;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 512;

/// Returns a runner with a fixed seed, so that each run tests the same cases.
fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Generates text that resembles INI more often than random characters do.
fn text() -> impl Strategy<Value = String> {
    let fragment = prop_oneof![
        Just("[deployment]\n".to_owned()),
        Just("[target a]\n".to_owned()),
        Just("model = x\n".to_owned()),
        Just("first_preset: y\r\n".to_owned()),
        Just("=\n".to_owned()),
        "[a-z]{1,3}[ \t]?[=:][a-z =:;#'\"\\\\]{0,6}\r?\n",
        "[a-z \\[\\]=:;#\t\r\n\\\\'\"]{0,12}\n",
        "\\PC{0,8}",
    ];
    prop::collection::vec(fragment, 0..12)
        .prop_map(|fragments| format!("[a b]\n{}", fragments.concat()))
}

#[test]
fn arbitrary_text_is_read_or_reported() {
    let run = runner().run(&text(), |text| {
        if let Ok(document) = Document::parse(&"file.ini".into(), &text) {
            let lines = text.split('\n').count();
            for section in &document.sections {
                prop_assert!(section.line <= lines);
            }
            let _ = Settings::from_document(&document);
            let _ = Snapshot::build(Generation(1), &document.sections, None, None);
        }
        Ok(())
    });
    run.unwrap();
}

#[test]
fn canonical_sections_survive_being_written_and_read() {
    let read = std::cell::Cell::new(0);
    let run = runner().run(&text(), |text| {
        let Ok(document) = Document::parse(&"file.ini".into(), &text) else {
            return Ok(());
        };
        read.set(read.get() + 1);
        let sections = Sections::from_parsed(&document.sections);
        let parsed = sections.to_parsed();
        prop_assert!(parsed.is_ok(), "{sections:?}: {parsed:?}");
        prop_assert_eq!(Sections::from_parsed(&parsed.unwrap()), sections);
        Ok(())
    });
    run.unwrap();
    assert!(read.get() > CASES / 10, "only {} texts were valid", read.get());
}

#[test]
fn a_delta_leads_from_one_configuration_to_the_other() {
    let run = runner().run(&(text(), text()), |(before, after)| {
        let read = |text: &str| Document::parse(&"file.ini".into(), text).map(|d| d.sections);
        let (Ok(before), Ok(after)) = (read(&before), read(&after)) else {
            return Ok(());
        };
        let (mut before, after) = (Sections::from_parsed(&before), Sections::from_parsed(&after));
        let delta = before.delta_to(&after);
        before.apply(&delta);
        prop_assert_eq!(before, after);
        Ok(())
    });
    run.unwrap();
}
