//! The registry's targets across outages, stale entries and replaced processes.

use std::time::Duration;

use cumintrail_control::registry::{EntryChange, RegistryEntry, RowChange, TargetRegistry};
use cumintrail_types::{Moment, WeightVersion};

const AFTER_RETURN: Duration = Duration::from_millis(2_400);

fn entry(id: &str, process_start: u64, heartbeat: u64, leaving: bool) -> RegistryEntry {
    RegistryEntry {
        id: id.into(),
        process_start,
        serves: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 8,
        leaving,
        version: Some(WeightVersion(1)),
        heartbeat,
    }
}

fn row(key: &str, version: u64, change: EntryChange) -> RowChange {
    RowChange { key: key.into(), version, change }
}

fn write(registry: &mut TargetRegistry, now: Moment, version: u64, listed: RegistryEntry) -> bool {
    let key = listed.id.clone();
    registry.apply_change(now, RowChange { key, version, change: EntryChange::Written(listed) })
}

fn usable(registry: &TargetRegistry) -> Vec<String> {
    let usable = registry.targets().filter(|(_, leaving)| !leaving);
    usable.map(|(listed, _)| listed.incarnation_name().to_string()).collect()
}

fn registry(listed: RegistryEntry) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    let key = listed.id.clone();
    let rows = vec![RowChange { key, version: 1, change: EntryChange::Written(listed) }];
    registry.apply_snapshot(Moment(0), 1, rows);
    registry
}

#[test]
fn an_incarnation_stays_leaving_whatever_is_written_later() {
    let mut registry = registry(entry("x", 7, 1, false));
    assert!(write(&mut registry, Moment(1), 2, entry("x", 7, 2, true)));
    assert!(!write(&mut registry, Moment(2), 3, entry("x", 7, 3, false)));
    assert!(usable(&registry).is_empty());
    // Removed and then written once more by a message that was delayed.
    registry.apply_change(Moment(3), row("x", 4, EntryChange::Removed));
    write(&mut registry, Moment(4), 5, entry("x", 7, 4, false));
    assert!(usable(&registry).is_empty());
}

#[test]
fn a_new_process_under_the_old_name_is_another_target() {
    let mut registry = registry(entry("x", 7, 9, false));
    write(&mut registry, Moment(1), 2, entry("x", 7, 10, true));
    assert!(write(&mut registry, Moment(2), 3, entry("x", 8, 1, false)));
    assert_eq!(usable(&registry), ["x@8"]);
    assert!(
        !write(&mut registry, Moment(3), 4, entry("x", 7, 11, false)),
        "an older incarnation returned"
    );
    assert_eq!(usable(&registry), ["x@8"]);
}

#[test]
fn a_stale_heartbeat_does_not_restore_a_removed_entry() {
    let mut registry = registry(entry("x", 7, 5, false));
    registry.apply_change(Moment(1), row("x", 2, EntryChange::Removed));
    assert!(usable(&registry).is_empty());
    assert!(!write(&mut registry, Moment(2), 3, entry("x", 7, 4, false)));
    assert!(usable(&registry).is_empty());
    // A further heartbeat shows that the process still runs and only its entry had expired.
    assert!(write(&mut registry, Moment(3), 4, entry("x", 7, 6, false)));
    assert_eq!(usable(&registry), ["x@7"]);
}

#[test]
fn entries_that_expired_during_an_outage_get_time_to_return() {
    let mut registry = registry(entry("x", 7, 5, false));
    let returned = Moment::from_millis(10_000);
    registry.record_recovery(returned);
    registry.apply_change(returned, row("x", 2, EntryChange::Removed));
    assert_eq!(usable(&registry), ["x@7"]);
    assert!(!registry.expire(returned + Duration::from_secs(2)));
    assert!(registry.expire(returned + AFTER_RETURN), "an entry that does not return is removed");
    assert!(usable(&registry).is_empty());
}

#[test]
fn a_removal_without_an_outage_counts_at_once() {
    let mut registry = registry(entry("x", 7, 5, false));
    assert!(registry.apply_change(Moment(1), row("x", 2, EntryChange::Removed)));
    assert!(usable(&registry).is_empty());
}

#[test]
fn an_unreadable_row_names_nothing_and_harms_no_other() {
    let mut registry = registry(entry("x", 7, 5, false));
    write(&mut registry, Moment(1), 2, entry("y", 7, 5, false));
    assert!(registry.apply_change(Moment(2), row("x", 3, EntryChange::Unreadable)));
    assert_eq!(usable(&registry), ["y@7"]);
    assert!(write(&mut registry, Moment(3), 4, entry("x", 7, 6, false)));
    assert_eq!(usable(&registry), ["x@7", "y@7"]);
}

#[test]
fn a_whole_reading_never_undoes_a_change_that_is_newer() {
    let mut registry = registry(entry("x", 7, 5, false));
    write(&mut registry, Moment(1), 9, entry("y", 7, 5, false));
    write(&mut registry, Moment(1), 10, entry("x", 7, 6, true));
    // A stale read as of version 4 contains neither change.
    let rows = vec![row("x", 1, EntryChange::Written(entry("x", 7, 5, false)))];
    assert!(!registry.apply_snapshot(Moment(2), 4, rows));
    assert_eq!(usable(&registry), ["y@7"]);
}

#[test]
fn a_heartbeat_alone_changes_nothing() {
    let mut registry = registry(entry("x", 7, 5, false));
    assert!(!write(&mut registry, Moment(1), 2, entry("x", 7, 6, false)));
}
