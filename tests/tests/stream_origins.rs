//! Daemons report to each other at which software version streams began.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, Target, TargetKind};
use cumintrail_control::software_history::{HistoryRequest, HistoryRow};
use cumintrail_control::stream_origins::{StreamId, StreamRequest};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, Identity, PeerDigest, RouteOptions,
    Usage,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, CallClass, CallKey, Generation, Incarnation, Moment, RefusalCode,
    ServiceKey, TargetKey, Tokens, WeightVersion,
};
use cumintrail_wire::peer::DigestMessage;
use cumintrail_wire::{from_msgpack, to_msgpack};

const STREAMS: u64 = 16;
const DIGEST_INTERVAL: Duration = Duration::from_millis(250);

/// Returns a snapshot with one target for each of these software versions.
fn snapshot(revision: u64, versions: &[&str]) -> Arc<Snapshot> {
    snapshot_with("", revision, versions)
}

/// The same with these declarations of routes.
fn snapshot_with(routes: &str, revision: u64, versions: &[&str]) -> Arc<Snapshot> {
    let key_digest = "0".repeat(64);
    let targets = (0..versions.len()).map(|i| {
        format!(
            "[target s-{i}]\nservice = desk\naddress = 127.0.0.1:{}\nfailure_domain = a\nslots = 64\n",
            i + 1
        )
    });
    let declarations = format!(
        "[deployment]\nfirst_preset = day\n[preset day]\n[account coop]\nkey_digests = {key_digest}\n\
         concurrency = 1000\n[service desk]\n{}{routes}",
        targets.collect::<String>()
    );
    let document = Document::parse(&"declarations".into(), &declarations).unwrap();
    let declared = Snapshot::build(Generation(1), &document.sections, None, None).unwrap();
    let listed = declared.targets.iter().zip(versions);
    let listed: Vec<Target> = listed
        .map(|((_, target), software)| Target {
            software: Some((*software).into()),
            ..target.clone()
        })
        .collect();
    declared.with_targets(revision, listed).into()
}

/// Returns a daemon that has read the record of recent software versions, which lists none.
fn daemon(port: u16, snapshot: &Arc<Snapshot>) -> Control {
    let mut control = started_daemon(port, snapshot);
    control.handle(Moment(2), Event::SoftwareHistoryRead(HistoryRow::default()));
    control
}

/// Returns a daemon that has only the declarations and the registry's entries.
fn started_daemon(port: u16, snapshot: &Arc<Snapshot>) -> Control {
    let identity = Identity {
        vm: format!("vm-{port}").into(),
        domain: "a".into(),
        incarnation: Incarnation(port.into()),
        address: ([127, 0, 0, 1], port).into(),
        probe_interval: Duration::from_secs(3_600),
        digest_interval: DIGEST_INTERVAL,
        processor_share: 0,
    };
    let mut control = Control::new(identity, 7);
    control.follow_registry("a key of sixteen bytes or more");
    control.handle(Moment(1), Event::Configured(snapshot.clone()));
    control
}

fn arrive(control: &mut Control, now: Moment, call: u64, stream: StreamRequest) -> Actions {
    control.handle(
        now,
        Event::Arrived(Arrival {
            call: CallKey(call),
            account: AccountKey(0),
            class: CallClass::ResumableStream,
            kind: TargetKind::Service(ServiceKey(0)),
            version: WeightVersion(0),
            blocks: Arc::from([]),
            prompt: Tokens(0),
            max_output: Tokens(0),
            deadline: now + Duration::from_secs(10),
            options: RouteOptions { stream: Some(stream), ..RouteOptions::default() },
        }),
    )
}

fn stream(number: u64) -> StreamId {
    StreamId::of("coop", &format!("call-{number}"))
}

fn dispatched(actions: &[Action]) -> Option<TargetKey> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.target),
        _ => None,
    })
}

fn refused(actions: &[Action]) -> Option<RefusalCode> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal.code),
        _ => None,
    })
}

/// Starts streams at a daemon and returns the target of each.
fn begin(control: &mut Control, now: Moment) -> Vec<TargetKey> {
    let begin_one = |number| {
        let actions = arrive(control, now, number, StreamRequest::Begin(Some(stream(number))));
        control.handle(now, Event::FirstToken { call: CallKey(number) });
        dispatched(&actions).expect("the call is sent")
    };
    (0..STREAMS).map(begin_one).collect()
}

/// Lets `from` send a round of digests, of which `to` gets its own as it is encoded.
fn exchange_digests(from: &mut Control, to: &mut Control, now: Moment) -> usize {
    let greeting = PeerDigest {
        vm: "vm-2".into(),
        domain: "a".into(),
        incarnation: Incarnation(2),
        address: Some(([127, 0, 0, 1], 2).into()),
        ..PeerDigest::default()
    };
    from.handle(now, Event::PeerDigest(Box::new(greeting)));
    let mut origins = 0;
    for action in from.handle(now, Event::Tick) {
        if let Action::SendDigest { digest, .. } = action {
            let encoded = to_msgpack(&DigestMessage::from(*digest)).unwrap();
            let decoded: DigestMessage = from_msgpack(&encoded).unwrap();
            let digest = PeerDigest::from(decoded);
            origins += digest.stream_origins.len();
            to.handle(now, Event::PeerDigest(Box::new(digest)));
        }
    }
    origins
}

#[test]
fn a_stream_goes_on_at_its_software_version_after_its_daemon_is_gone() {
    let listed = snapshot(1, &["v1", "v2"]);
    let (mut first, mut second) = (daemon(1, &listed), daemon(2, &listed));
    let now = Moment::from_millis(1_000);
    let began = begin(&mut first, now);
    assert!(began.contains(&TargetKey(0)) && began.contains(&TargetKey(1)), "{began:?}");
    assert_eq!(exchange_digests(&mut first, &mut second, now), STREAMS as usize);
    drop(first);
    for (number, target) in (0..STREAMS).zip(began) {
        let again = StreamRequest::Continue(Some(stream(number)));
        let actions = arrive(&mut second, now, 100 + number, again);
        assert_eq!(dispatched(&actions), Some(target), "stream {number}");
    }
}

#[test]
fn streams_that_began_before_another_version_appeared_go_on_at_theirs() {
    let before = snapshot(1, &["v1"]);
    let (mut first, mut second) = (daemon(1, &before), daemon(2, &before));
    let now = Moment::from_millis(1_000);
    let began = begin(&mut first, now);
    let usage = Usage::default();
    let ended = Event::AttemptEnded {
        call: CallKey(0),
        attempt: AttemptNumber(1),
        outcome: AttemptOutcome::Completed(usage),
    };
    first.handle(now, ended);
    let reported = exchange_digests(&mut first, &mut second, now);
    assert_eq!(reported, STREAMS as usize - 1, "all but the complete one");

    let now = Moment::from_millis(2_000);
    let after = snapshot(2, &["v1", "v2"]);
    for control in [&mut first, &mut second] {
        control.handle(now, Event::Configured(after.clone()));
    }
    let reported = exchange_digests(&mut first, &mut second, now);
    assert_eq!(reported, STREAMS as usize - 1, "again, since a digest may be lost");
    let now = Moment::from_millis(3_000);
    assert_eq!(exchange_digests(&mut first, &mut second, now), 0, "two reports are enough");
    let actions = arrive(&mut second, now, 100, StreamRequest::Continue(Some(stream(3))));
    assert_eq!(dispatched(&actions), Some(began[3]));
    let actions = arrive(&mut second, now, 101, StreamRequest::Continue(Some(stream(99))));
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
}

#[test]
fn a_version_that_just_ended_may_still_have_begun_a_stream() {
    let mut control = daemon(1, &snapshot(1, &["v1"]));
    control.handle(Moment::from_millis(1_000), Event::Configured(snapshot(2, &["v2"])));
    let unknown = StreamRequest::Continue(Some(stream(1)));
    let actions = arrive(&mut control, Moment::from_millis(5_000), 1, unknown);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
    let actions = arrive(&mut control, Moment::from_millis(70_000), 2, unknown);
    assert!(dispatched(&actions).is_some(), "{actions:?}");
}

#[test]
fn a_version_is_remembered_for_as_long_as_streams_of_a_long_route_last() {
    let route = "[route long]\nhost = shop.example\nprefix = /long/\nclass = resumable-stream\nto = desk\n\
                 timeout_ms = 300000\nattempts = 2\n";
    let mut control = daemon(1, &snapshot_with(route, 1, &["v1"]));
    let next = snapshot_with(route, 2, &["v2"]);
    control.handle(Moment::from_millis(1_000), Event::Configured(next));
    let unknown = StreamRequest::Continue(Some(stream(1)));
    let actions = arrive(&mut control, Moment::from_millis(290_000), 1, unknown);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
}

#[test]
fn a_daemon_that_started_after_a_version_ended_does_not_resume_its_streams_at_another() {
    // All daemons were killed together; before that, v1 had begun the stream and then left.
    let mut restarted = started_daemon(1, &snapshot(2, &["v2"]));
    let unknown = StreamRequest::Continue(Some(stream(1)));
    let actions = arrive(&mut restarted, Moment::from_millis(500), 1, unknown);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
}

/// Guards against a daemon that is out of step and resumes streams at the one version that it knows.
#[test]
fn a_daemon_with_outdated_entries_does_not_resume_streams_of_unknown_origin() {
    let mut control = daemon(1, &snapshot(1, &["v1"]));
    let as_of = Moment::from_millis(1_000);
    let max_age = Duration::from_secs(1);
    control.handle(as_of, Event::RegistryConfirmed { as_of, max_age });
    let again = StreamRequest::Continue(Some(stream(1)));
    let actions = arrive(&mut control, Moment::from_millis(1_900), 1, again);
    assert_eq!((dispatched(&actions), refused(&actions)), (None, None), "newer ones are awaited");
    let as_of = Moment::from_millis(1_900);
    control.handle(Moment::from_millis(1_950), Event::RegistryConfirmed { as_of, max_age });
    let actions = control.handle(Moment::from_millis(1_960), Event::Tick);
    assert_eq!(dispatched(&actions), Some(TargetKey(0)));
    let actions = arrive(&mut control, Moment::from_millis(3_000), 2, again);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
    // New streams begin all the same.
    let begin = StreamRequest::Begin(Some(stream(2)));
    let actions = arrive(&mut control, Moment::from_millis(3_000), 3, begin);
    assert_eq!(dispatched(&actions), Some(TargetKey(0)));
}

/// Guards against a daemon that the platform turns away, while its peers know another version.
#[test]
fn a_version_that_a_peer_knows_may_have_begun_a_stream() {
    let mut first = daemon(1, &snapshot(1, &["v1", "v2"]));
    let mut second = daemon(2, &snapshot(1, &["v1"]));
    let now = Moment::from_millis(1_000);
    exchange_digests(&mut first, &mut second, now);
    let again = StreamRequest::Continue(Some(stream(1)));
    let actions = arrive(&mut second, now, 1, again);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
}

#[test]
fn a_record_of_recent_versions_outlives_all_daemons() {
    // A daemon sees two versions and records them, then all daemons are killed and v1 leaves.
    let mut before = daemon(1, &snapshot(1, &["v1", "v2"]));
    let row = written_row(&mut before, Moment::from_millis(100)).expect("the versions are written");
    assert_eq!(row.versions.len(), 2, "{row:?}");
    drop(before);

    let mut restarted = started_daemon(2, &snapshot(2, &["v2"]));
    let actions = restarted.handle(Moment::from_millis(500), Event::Tick);
    let reads = |action: &Action| matches!(action, Action::SoftwareHistory(HistoryRequest::Read));
    assert!(actions.iter().any(reads), "{actions:?}");
    let row = HistoryRow { row_version: 1, ..row };
    restarted.handle(Moment::from_millis(510), Event::SoftwareHistoryRead(row));
    let unknown = StreamRequest::Continue(Some(stream(1)));
    let actions = arrive(&mut restarted, Moment::from_millis(520), 1, unknown);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));

    // Streams of v1 have ended by then, and the record is emptied.
    let now = Moment::from_millis(70_000);
    let row = written_row(&mut restarted, now).expect("the record is emptied");
    assert_eq!((row.row_version, row.versions.len()), (1, 0), "{row:?}");
    let actions = arrive(&mut restarted, now, 2, unknown);
    assert!(dispatched(&actions).is_some(), "{actions:?}");
}

#[test]
fn a_stream_goes_on_as_soon_as_the_record_was_read_that_lists_one_version() {
    let mut restarted = started_daemon(1, &snapshot(2, &["v2"]));
    let now = Moment::from_millis(500);
    restarted.handle(now, Event::Tick);
    restarted.handle(now, Event::SoftwareHistoryRead(HistoryRow::default()));
    assert_eq!(written_row(&mut restarted, Moment::from_millis(2_000)), None);
    let unknown = StreamRequest::Continue(Some(stream(1)));
    let actions = arrive(&mut restarted, now, 1, unknown);
    assert!(dispatched(&actions).is_some(), "{actions:?}");
}

#[test]
fn a_record_that_another_daemon_wrote_is_read_again_before_it_is_written() {
    let mut control = daemon(1, &snapshot(1, &["v1", "v2"]));
    let first = written_row(&mut control, Moment::from_millis(100)).expect("a write");
    control.handle(Moment::from_millis(110), Event::SoftwareHistoryWritten { row_version: None });
    let actions = control.handle(Moment::from_millis(1_200), Event::Tick);
    let reads = |action: &Action| matches!(action, Action::SoftwareHistory(HistoryRequest::Read));
    assert!(actions.iter().any(reads), "{actions:?}");
    let other = HistoryRow { row_version: 7, versions: Vec::new() };
    control.handle(Moment::from_millis(1_210), Event::SoftwareHistoryRead(other));
    let again = written_row(&mut control, Moment::from_millis(2_300)).expect("a write");
    assert_eq!(again, HistoryRow { row_version: 7, ..first });
}

#[test]
fn a_damaged_record_holds_up_unknown_streams_for_a_time_and_is_written_anew() {
    let mut restarted = started_daemon(1, &snapshot(2, &["v2"]));
    restarted.handle(Moment::from_millis(500), Event::Tick);
    let damaged = Event::SoftwareHistoryDamaged { row_version: 4 };
    restarted.handle(Moment::from_millis(510), damaged);
    let unknown = StreamRequest::Continue(Some(stream(1)));
    let actions = arrive(&mut restarted, Moment::from_millis(520), 1, unknown);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
    let row = written_row(&mut restarted, Moment::from_millis(2_000)).expect("it is written");
    assert_eq!((row.row_version, row.versions.is_empty()), (4, false), "{row:?}");
    let written = Event::SoftwareHistoryWritten { row_version: Some(5) };
    restarted.handle(Moment::from_millis(2_010), written);

    let now = Moment::from_millis(71_000);
    let row = written_row(&mut restarted, now).expect("the record is emptied");
    assert_eq!((row.row_version, row.versions.len()), (5, 0), "{row:?}");
    assert!(dispatched(&arrive(&mut restarted, now, 2, unknown)).is_some());
}

#[test]
fn a_store_that_was_restored_gets_the_record_of_recent_versions_again() {
    let mut control = daemon(1, &snapshot(1, &["v1", "v2"]));
    let first = written_row(&mut control, Moment::from_millis(100)).expect("a write");
    let written = Event::SoftwareHistoryWritten { row_version: Some(9) };
    control.handle(Moment::from_millis(110), written);
    assert_eq!(written_row(&mut control, Moment::from_millis(1_200)), None);
    control.handle(Moment::from_millis(1_300), Event::LeaseRead { row: None, era: 2 });
    let actions = control.handle(Moment::from_millis(2_300), Event::Tick);
    let reads = |action: &Action| matches!(action, Action::SoftwareHistory(HistoryRequest::Read));
    assert!(actions.iter().any(reads), "{actions:?}");
    let restored = Event::SoftwareHistoryRead(HistoryRow::default());
    control.handle(Moment::from_millis(2_310), restored);
    let again = written_row(&mut control, Moment::from_millis(3_400)).expect("a write");
    assert_eq!(again, HistoryRow { row_version: 0, ..first });
}

/// Returns the record of recent software versions that a daemon writes at its next tick.
fn written_row(control: &mut Control, now: Moment) -> Option<HistoryRow> {
    control.handle(now, Event::Tick).into_iter().find_map(|action| match action {
        Action::SoftwareHistory(HistoryRequest::Write(row)) => Some(row),
        _ => None,
    })
}

/// One failure domain of a large deployment: a round of digests reaches a few of its daemons.
#[test]
fn most_daemons_of_a_large_domain_know_a_stream_a_second_after_it_began() {
    const DAEMONS: u16 = 49;
    let listed = snapshot(1, &["v1", "v2"]);
    let mut daemons: Vec<Control> = (1..=DAEMONS).map(|port| daemon(port, &listed)).collect();
    for (own, control) in (1..=DAEMONS).zip(&mut daemons) {
        for port in (1..=DAEMONS).filter(|port| *port != own) {
            let greeting = PeerDigest {
                vm: format!("vm-{port}").into(),
                domain: "a".into(),
                incarnation: Incarnation(port.into()),
                address: Some(([127, 0, 0, 1], port).into()),
                ..PeerDigest::default()
            };
            control.handle(Moment::from_millis(900), Event::PeerDigest(Box::new(greeting)));
        }
    }
    let began = begin(&mut daemons[0], Moment::from_millis(1_000));
    let (mut most_origins, mut millis) = (0, 1_000);
    while millis <= 2_000 {
        let now = Moment::from_millis(millis);
        for from in 0..daemons.len() {
            for action in daemons[from].handle(now, Event::Tick) {
                let Action::SendDigest { to, digest } = action else { continue };
                most_origins = most_origins.max(digest.stream_origins.len());
                let to = &mut daemons[usize::from(to.port()) - 1];
                to.handle(now, Event::PeerDigest(digest));
            }
        }
        millis += 10;
    }
    let now = Moment::from_millis(millis);
    let (mut known, mut call) = (0, 1_000);
    for control in &mut daemons[1..] {
        for (number, target) in (0..STREAMS).zip(&began) {
            call += 1;
            let again = StreamRequest::Continue(Some(stream(number)));
            known += usize::from(dispatched(&arrive(control, now, call, again)) == Some(*target));
        }
    }
    let all = (daemons.len() - 1) * STREAMS as usize;
    assert!(known * 2 > all, "{known} of {all}");
    assert!(most_origins <= STREAMS as usize, "origins are sent again and again");
}
