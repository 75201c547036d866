//! The registry's book of targets over outages, late entries and replaced processes.

use std::time::Duration;

use cumintrail_control::registry::{Change, Listed, RowChange, TargetBook};
use cumintrail_types::{Moment, WeightVersion};

const AFTER_RETURN: Duration = Duration::from_millis(2_400);

fn entry(id: &str, born: u64, beat: u64, leaving: bool) -> Listed {
    Listed {
        id: id.into(),
        born,
        serves: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 8,
        leaving,
        version: Some(WeightVersion(1)),
        beat,
    }
}

fn row(key: &str, version: u64, change: Change) -> RowChange {
    RowChange { key: key.into(), version, change }
}

fn write(book: &mut TargetBook, now: Moment, version: u64, listed: Listed) -> bool {
    let key = listed.id.clone();
    book.take(now, RowChange { key, version, change: Change::Written(listed) })
}

fn usable(book: &TargetBook) -> Vec<String> {
    let usable = book.targets().filter(|(_, leaving)| !leaving);
    usable.map(|(listed, _)| listed.run_name().to_string()).collect()
}

fn book(listed: Listed) -> TargetBook {
    let mut book = TargetBook::default();
    let key = listed.id.clone();
    let rows = vec![RowChange { key, version: 1, change: Change::Written(listed) }];
    book.take_whole(Moment(0), 1, rows);
    book
}

#[test]
fn leaving_holds_for_a_run_whatever_is_written_later() {
    let mut book = book(entry("x", 7, 1, false));
    assert!(write(&mut book, Moment(1), 2, entry("x", 7, 2, true)));
    assert!(!write(&mut book, Moment(2), 3, entry("x", 7, 3, false)));
    assert!(usable(&book).is_empty());
    // Gone and written once more by a message that was under way.
    book.take(Moment(3), row("x", 4, Change::Removed));
    write(&mut book, Moment(4), 5, entry("x", 7, 4, false));
    assert!(usable(&book).is_empty());
}

#[test]
fn a_new_process_under_the_old_name_is_another_target() {
    let mut book = book(entry("x", 7, 9, false));
    write(&mut book, Moment(1), 2, entry("x", 7, 10, true));
    assert!(write(&mut book, Moment(2), 3, entry("x", 8, 1, false)));
    assert_eq!(usable(&book), ["x@8"]);
    assert!(!write(&mut book, Moment(3), 4, entry("x", 7, 11, false)), "an older run came back");
    assert_eq!(usable(&book), ["x@8"]);
}

#[test]
fn a_beat_that_was_written_late_revives_nobody() {
    let mut book = book(entry("x", 7, 5, false));
    book.take(Moment(1), row("x", 2, Change::Removed));
    assert!(usable(&book).is_empty());
    assert!(!write(&mut book, Moment(2), 3, entry("x", 7, 4, false)));
    assert!(usable(&book).is_empty());
    // One that goes on beating was only lapsed.
    assert!(write(&mut book, Moment(3), 4, entry("x", 7, 6, false)));
    assert_eq!(usable(&book), ["x@7"]);
}

#[test]
fn entries_that_lapsed_during_an_outage_get_time_to_come_back() {
    let mut book = book(entry("x", 7, 5, false));
    let returned = Moment::from_millis(10_000);
    book.store_returned(returned);
    book.take(returned, row("x", 2, Change::Removed));
    assert_eq!(usable(&book), ["x@7"]);
    assert!(!book.expire(returned + Duration::from_secs(2)));
    assert!(book.expire(returned + AFTER_RETURN), "still missing means gone");
    assert!(usable(&book).is_empty());
}

#[test]
fn a_removal_without_an_outage_counts_at_once() {
    let mut book = book(entry("x", 7, 5, false));
    assert!(book.take(Moment(1), row("x", 2, Change::Removed)));
    assert!(usable(&book).is_empty());
}

#[test]
fn an_unreadable_row_names_nothing_and_harms_no_other() {
    let mut book = book(entry("x", 7, 5, false));
    write(&mut book, Moment(1), 2, entry("y", 7, 5, false));
    assert!(book.take(Moment(2), row("x", 3, Change::Unreadable)));
    assert_eq!(usable(&book), ["y@7"]);
    assert!(write(&mut book, Moment(3), 4, entry("x", 7, 6, false)));
    assert_eq!(usable(&book), ["x@7", "y@7"]);
}

#[test]
fn a_whole_reading_never_undoes_a_change_that_is_newer() {
    let mut book = book(entry("x", 7, 5, false));
    write(&mut book, Moment(1), 9, entry("y", 7, 5, false));
    write(&mut book, Moment(1), 10, entry("x", 7, 6, true));
    // A stale reading as of version 4 knows neither.
    let rows = vec![row("x", 1, Change::Written(entry("x", 7, 5, false)))];
    assert!(!book.take_whole(Moment(2), 4, rows));
    assert_eq!(usable(&book), ["y@7"]);
}

#[test]
fn an_unchanged_beat_changes_nothing() {
    let mut book = book(entry("x", 7, 5, false));
    assert!(!write(&mut book, Moment(1), 2, entry("x", 7, 6, false)));
}
