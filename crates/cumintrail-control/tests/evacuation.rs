//! What is known of evacuated failure domains, merged from reads of the store and from peers.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_control::evacuation::{
    EvacuationPage, EvacuationReport, EvacuationRow, EvacuationSource, Evacuations, RESTORE_DELAY,
};
use cumintrail_control::feed::FeedPosition;
use cumintrail_types::Moment;

const fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

const fn position(era: u64, version: u64) -> FeedPosition {
    FeedPosition { era, version }
}

fn row(evacuated: bool, version: u64) -> EvacuationRow {
    EvacuationRow { domain: "a".into(), evacuated, version }
}

fn whole(position: FeedPosition, rows: Vec<EvacuationRow>) -> EvacuationPage {
    EvacuationPage { is_whole: true, position, as_of: at(0), rows }
}

fn changes(position: FeedPosition, rows: Vec<EvacuationRow>) -> EvacuationPage {
    EvacuationPage { is_whole: false, ..whole(position, rows) }
}

fn report(evacuated: bool, position: FeedPosition) -> EvacuationReport {
    EvacuationReport { domain: "a".into(), evacuated, position, age: Duration::ZERO }
}

/// Guards against an older row that ends or begins an evacuation after a newer one.
#[test]
fn the_newest_position_prevails_in_any_order() {
    let mut known = Evacuations::default();
    known.apply_report(at(1), &report(false, position(0, 9)));
    known.apply_page(at(2), &changes(position(0, 9), vec![row(true, 5)]));
    assert!(!known.is_evacuated("a"), "an older row");
    known.apply_report(at(3), &report(true, position(0, 12)));
    assert!(known.is_evacuated("a"), "a newer report");
    known.apply_page(at(4), &whole(position(0, 10), Vec::new()));
    assert!(known.is_evacuated("a"), "a read that is older than the row");
    known.apply_page(at(5), &whole(position(0, 13), Vec::new()));
    assert!(!known.is_evacuated("a"), "a read that lacks the row");
}

/// Guards against an outdated peer that evacuates a domain whose row a read has shown to be gone.
#[test]
fn a_report_that_a_read_refutes_is_ignored() {
    let mut known = Evacuations::default();
    known.apply_page(at(1), &whole(position(2, 20), Vec::new()));
    known.apply_report(at(2), &report(true, position(2, 7)));
    assert!(!known.is_evacuated("a"), "an older row of the same era");
    known.apply_report(at(2), &report(true, position(2, 21)));
    assert!(known.is_evacuated("a"), "a newer row");
    let mut known = Evacuations::default();
    known.apply_page(at(1), &whole(position(2, 20), Vec::new()));
    let late = at(1) + RESTORE_DELAY;
    known.confirm(late);
    known.apply_report(late, &report(true, position(1, 50)));
    assert!(!known.is_evacuated("a"), "a row that the restore lost for good");
}

/// Guards against calls to the domain in the seconds after a restore, and against an evacuation
/// that never ends because its row is lost.
#[test]
fn a_row_that_a_restore_lost_counts_until_the_operator_could_write_it_again() {
    let mut known = Evacuations::default();
    known.apply_page(at(0), &whole(position(0, 30), vec![row(true, 30)]));
    known.confirm(at(60_000));
    known.expire(at(60_000));
    assert!(known.is_evacuated("a"), "without a restore");
    known.apply_page(at(60_000), &whole(position(1, 25), Vec::new()));
    known.confirm(at(61_999));
    known.expire(at(61_999));
    assert!(known.is_evacuated("a"), "within the delay");
    known.confirm(at(62_000));
    known.expire(at(62_000));
    assert!(!known.is_evacuated("a"), "after the delay");
    let sources: Vec<_> = known.take_changes().iter().map(|change| change.source).collect();
    assert_eq!(sources, [EvacuationSource::Store, EvacuationSource::Restore]);
    known.apply_page(at(63_000), &changes(position(1, 26), vec![row(true, 26)]));
    assert!(known.is_evacuated("a"), "written again late");
}

/// Guards against calls to a domain whose row was written again while this daemon was suspended or
/// could not reach the store.
#[test]
fn a_row_that_a_restore_lost_counts_until_the_table_was_read_again() {
    let mut known = Evacuations::default();
    known.apply_page(at(0), &whole(position(0, 30), vec![row(true, 30)]));
    known.apply_page(at(60_000), &whole(position(1, 25), Vec::new()));
    known.expire(at(70_000));
    assert!(known.is_evacuated("a"), "without a further read");
    let mut started = Evacuations::default();
    started.apply_page(at(60_000), &whole(position(1, 25), Vec::new()));
    started.apply_report(at(70_000), &report(true, position(0, 30)));
    assert!(started.is_evacuated("a"), "without a further read, by a peer");
    for known in [&mut known, &mut started] {
        known.confirm(at(70_000));
        known.expire(at(70_000));
        assert!(!known.is_evacuated("a"), "the row was not written again");
    }
}

/// Guards against an evacuation that ends because two seconds passed although its row was written
/// again in time.
#[test]
fn a_row_that_is_written_again_after_a_restore_stays() {
    let mut known = Evacuations::default();
    known.apply_page(at(0), &whole(position(0, 30), vec![row(true, 30)]));
    known.apply_page(at(100), &whole(position(1, 25), Vec::new()));
    known.apply_page(at(900), &changes(position(1, 26), vec![row(true, 26)]));
    known.confirm(at(10_000));
    known.expire(at(10_000));
    assert!(known.is_evacuated("a"));
    known.apply_page(at(10_100), &changes(position(1, 27), vec![row(false, 27)]));
    assert!(!known.is_evacuated("a"), "removed");
}

/// Guards against a daemon in the new era that hears of the evacuation from a peer only, and sends
/// calls to the domain at once.
#[test]
fn a_daemon_that_starts_after_a_restore_takes_a_peers_evacuation_for_the_rest_of_the_delay() {
    let mut known = Evacuations::default();
    known.apply_page(at(100), &whole(position(1, 25), Vec::new()));
    known.apply_report(at(200), &report(true, position(0, 30)));
    assert!(known.is_evacuated("a"));
    known.confirm(at(2_100));
    known.expire(at(2_100));
    assert!(!known.is_evacuated("a"));
    known.apply_report(at(2_200), &report(true, position(0, 30)));
    assert!(!known.is_evacuated("a"), "the same report again");
}

/// Guards against ages in the log that leave out what passed before the report arrived, and against
/// lines without a change.
#[test]
fn changes_are_reported_once_and_with_their_age() {
    let mut known = Evacuations::default();
    let aged = EvacuationReport { age: Duration::from_secs(90), ..report(true, position(0, 3)) };
    known.apply_report(at(1_000), &aged);
    known.apply_report(at(1_000), &aged);
    known.apply_page(at(1_500), &changes(position(0, 8), vec![row(true, 8)]));
    assert_eq!(known.take_changes().len(), 1);
    let reports = known.reports(at(2_000));
    assert_eq!(reports[0].age, Duration::from_secs(2), "of the newer row");
    assert_eq!((known.count(), reports[0].position), (1, position(0, 8)));
    let domain: Arc<str> = "a".into();
    assert_eq!(reports[0].domain, domain);
}
