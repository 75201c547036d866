//! The example configurations are valid and have the documented sizes.

use std::path::{Path, PathBuf};

use cumintrail_cli::OperatorClient;
use cumintrail_config::{Sections, Settings, Snapshot, TargetKind};
use cumintrail_types::Generation;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples")
}

fn declared(example: &str) -> Snapshot {
    let directory = examples().join(example).join("declarations");
    let (sections, parsed) = Sections::open(&directory).unwrap_or_else(|e| panic!("{e}"));
    let built = Snapshot::build(Generation(1), &parsed, None, None);
    let built = built.unwrap_or_else(|e| panic!("{e}"));
    let reparsed = sections.to_parsed().unwrap();
    Snapshot::build(Generation(1), &reparsed, None, None).unwrap_or_else(|e| panic!("{e}"));
    built
}

fn settings(directory: &Path) -> Vec<Settings> {
    let mut paths: Vec<PathBuf> =
        std::fs::read_dir(directory).unwrap().map(|e| e.unwrap().path()).collect();
    paths.retain(|p| p.extension().is_some_and(|e| e == "ini") && !p.ends_with("operator.ini"));
    paths.sort();
    paths.iter().map(|p| Settings::open(p).unwrap_or_else(|e| panic!("{e}"))).collect()
}

/// Counts engines, replicas of plain services, stores, accounts and presets.
fn sizes(snapshot: &Snapshot) -> [usize; 5] {
    let is_engine = |kind: TargetKind| matches!(kind, TargetKind::Engine(_));
    let engines = snapshot.targets.iter().filter(|(_, t)| is_engine(t.kind)).count();
    [
        engines,
        snapshot.targets.len() - engines,
        snapshot.stores.len(),
        snapshot.accounts.len(),
        snapshot.presets.len(),
    ]
}

fn check_user(example: &str, expected: [usize; 5], load_slots: u8) {
    let snapshot = declared(example);
    assert_eq!(sizes(&snapshot), expected, "{example}");
    assert_eq!(snapshot.deployment.load_slots, load_slots);

    let settings = settings(&examples().join(example).join("settings"));
    let domains: Vec<&str> = settings.iter().map(|s| &*s.domain).collect();
    assert_eq!(domains.len(), 4, "{domains:?}");
    for (_, target) in snapshot.targets.iter() {
        let domain = snapshot.domains.get(target.domain).unwrap();
        assert!(
            domains.contains(&&**domain),
            "{}: no daemon in failure domain {domain}",
            target.name
        );
    }
    OperatorClient::open(&examples().join(example).join("operator.ini")).unwrap();
}

#[test]
fn kesong_puti_has_its_size_of_today() {
    check_user("kesong-puti", [12, 4, 2, 10, 3], 2);
}

#[test]
fn litera_deschisa_has_its_size_of_today() {
    check_user("litera-deschisa", [18, 4, 2, 10, 3], 3);
}

#[test]
fn the_walk_by_hand_is_declared() {
    assert_eq!(sizes(&declared("by-hand")), [2, 1, 1, 1, 2]);
    assert_eq!(settings(&examples().join("by-hand")).len(), 2);
    OperatorClient::open(&examples().join("by-hand/operator.ini")).unwrap();
}
