//! The registry's targets across outages, stale entries and replaced processes.

use std::time::Duration;

use cumintrail_control::registry::{
    EntryChange, RegistryEntry, RowChange, TargetRegistry, UnreadableEntries,
};
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
        software: None,
        heartbeat,
        cold_remaining: None,
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
    registry.confirm(returned + Duration::from_secs(2));
    assert!(!registry.expire(returned + Duration::from_secs(2)));
    registry.confirm(returned + AFTER_RETURN);
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

/// Guards against a line of the log for each write of an entry that stays unreadable, and for each of
/// many such entries.
#[test]
fn unreadable_entries_are_reported_once_and_together() {
    let odd = |key: &str, version| row(key, version, EntryChange::Unreadable);
    let mut entries = UnreadableEntries::default();
    let all: Vec<RowChange> = (0..1_000).map(|i| odd(&format!("odd-{i}"), i + 1)).collect();
    entries.record_page(&all, true);
    let report = entries.report(Moment::from_millis(0)).unwrap();
    assert_eq!((&*report.key, report.version, report.count), ("odd-0", 1, 1_000));
    for second in 1..100 {
        entries.record_page(&[odd("odd-0", 1_000 + second)], false);
        entries.record_page(&all, true);
        assert_eq!(entries.report(Moment::from_millis(second * 1_000)), None);
    }
}

/// Guards against a line of the log for each entry whose writer changes or removes it again.
#[test]
fn entries_that_become_unreadable_again_are_reported_within_an_interval() {
    let mut entries = UnreadableEntries::default();
    let mut reports = Vec::new();
    for second in 0..30 {
        let changes = [EntryChange::Unreadable, EntryChange::Removed];
        entries.record_page(&changes.map(|change| row("x", second, change)), false);
        reports.extend(entries.report(Moment::from_millis(second * 1_000)));
    }
    let reported: Vec<_> = reports.iter().map(|r| (r.version, r.count)).collect();
    assert_eq!(reported, [(0, 1), (1, 10), (11, 10)]);
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

fn pool(count: usize) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    let row = |n: usize| {
        let listed = entry(&format!("t{n}"), 7, 1, false);
        RowChange { key: listed.id.clone(), version: 1, change: EntryChange::Written(listed) }
    };
    registry.apply_snapshot(Moment(0), 1, (0..count).map(row).collect());
    registry
}

/// The daemon was cut off while three of twelve targets left; the store was never away.
#[test]
fn few_entries_that_a_cut_daemon_misses_have_left() {
    let mut registry = pool(12);
    registry.record_recovery(Moment(0));
    for n in 0..3 {
        registry.apply_change(Moment(1), row(&format!("t{n}"), 2 + n, EntryChange::Removed));
    }
    assert_eq!(usable(&registry).len(), 9);
    assert!(!usable(&registry).iter().any(|name| ["t0@7", "t1@7", "t2@7"].contains(&&**name)));
}

/// The store was away for so long that most entries lapsed with it.
#[test]
fn targets_of_which_most_entries_lapsed_stay_in_use_until_they_are_due_back() {
    let mut registry = pool(12);
    registry.record_recovery(Moment(0));
    for n in 0..9 {
        registry.apply_change(Moment(1), row(&format!("t{n}"), 2 + n, EntryChange::Removed));
    }
    assert_eq!(usable(&registry).len(), 12);
    // Those that come back count, and the rest is gone in time.
    for n in 0..4 {
        write(&mut registry, Moment(2), 20 + n, entry(&format!("t{n}"), 7, 2, false));
    }
    assert_eq!(usable(&registry).len(), 7);
    registry.confirm(Moment(0) + AFTER_RETURN);
    registry.expire(Moment(0) + AFTER_RETURN);
    assert_eq!(usable(&registry).len(), 7);
    assert_eq!(registry.targets().count(), 7);
}

/// Guards against targets that are dropped unread: the store is away again, or this daemon was
/// suspended, before their entries are back.
#[test]
fn missing_entries_count_until_a_read_shows_that_they_did_not_return() {
    let mut registry = pool(4);
    registry.record_recovery(Moment(0));
    for n in 0..3 {
        registry.apply_change(Moment(1), row(&format!("t{n}"), 2 + n, EntryChange::Removed));
    }
    registry.confirm(Moment(1));
    let again = Moment(0) + Duration::from_secs(20);
    assert!(!registry.expire(again), "nothing was read since");
    assert_eq!(usable(&registry).len(), 4);
    // The store is back, and entries have as much time as after the outage before.
    registry.record_recovery(again);
    registry.confirm(again);
    assert!(!registry.expire(again));
    write(&mut registry, again, 9, entry("t0", 7, 2, false));
    registry.confirm(again + AFTER_RETURN);
    assert!(registry.expire(again + AFTER_RETURN));
    assert_eq!(usable(&registry), ["t0@7", "t3@7"]);
}

/// A restored store forgot that one target leaves, that one ended and that one joined, and counts
/// its versions on from an older one.
#[test]
fn a_restored_store_brings_no_leaving_or_ended_target_back() {
    let mut registry = pool(4);
    write(&mut registry, Moment(1), 8, entry("t0", 7, 2, true));
    registry.apply_change(Moment(1), row("t1", 9, EntryChange::Removed));
    write(&mut registry, Moment(1), 10, entry("t4", 7, 1, false));
    assert_eq!(usable(&registry), ["t2@7", "t3@7", "t4@7"]);
    registry.begin_era(Moment(2));
    let old = |n: usize| {
        let listed = entry(&format!("t{n}"), 7, 1, false);
        RowChange { key: listed.id.clone(), version: 1, change: EntryChange::Written(listed) }
    };
    registry.apply_snapshot(Moment(2), 5, (0..4).map(old).collect());
    assert_eq!(usable(&registry), ["t2@7", "t3@7"], "t4 is one of few that are missing");
    // The targets write their entries again, under versions that were used before.
    write(&mut registry, Moment(3), 6, entry("t4", 7, 2, false));
    write(&mut registry, Moment(3), 7, entry("t0", 7, 3, false));
    write(&mut registry, Moment(3), 8, entry("t1", 7, 1, false));
    assert_eq!(usable(&registry), ["t2@7", "t3@7", "t4@7"]);
}

/// Guards against a cold period that starts anew when a row is read again, and against a snapshot
/// for each write that counts the same period down.
#[test]
fn a_cold_period_ends_as_the_entry_states() {
    let (mut registry, start) = (TargetRegistry::default(), Moment::from_millis(10_000));
    let cold = |heartbeat: u64, ms: u64| {
        let cold_remaining = Some(Duration::from_millis(ms));
        RegistryEntry { cold_remaining, ..entry("t", 1, heartbeat, false) }
    };
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert!(write(&mut registry, at(0), 1, cold(1, 3_000)));
    assert_eq!(registry.cold_until("t"), Some(at(3_000)));
    // The same write again, and the next one.
    assert!(!write(&mut registry, at(900), 1, cold(1, 3_000)));
    assert!(!write(&mut registry, at(1_250), 2, cold(2, 1_800)));
    assert_eq!(registry.cold_until("t"), Some(at(3_000)));
    assert!(write(&mut registry, at(2_400), 3, cold(3, 0)));
    assert_eq!(registry.cold_until("t"), Some(at(2_400)));
    assert!(!write(&mut registry, at(3_600), 4, cold(4, 0)));
    // It turns cold again.
    assert!(write(&mut registry, at(4_800), 5, cold(5, 2_000)));
    assert_eq!(registry.cold_until("t"), Some(at(6_800)));
}
