//! Targets that start again under their id with other software, while the entry that their earlier
//! process wrote is still the last one read.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, Target, TargetKind};
use cumintrail_control::parts::name_hash;
use cumintrail_control::software_history::{HistoryRequest, HistoryRow};
use cumintrail_control::stream_origins::{StreamId, StreamOrigin, StreamRequest};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, Identity, PeerDigest, ResponseEnd,
    RouteOptions,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, Bytes, CallClass, CallKey, DomainKey, Generation, Incarnation,
    Moment, RefusalCode, ServiceKey, Tokens, WeightVersion,
};

const DECLARED: &str = "[deployment]\nfirst_preset = day\n[preset day]\n[service desk]\n\
    [account coop]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\nconcurrency = 1000\n";
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DIGEST_INTERVAL: Duration = Duration::from_millis(250);

/// The id, the start of the process and the software version of a target.
type Listed = (&'static str, u64, &'static str);

const OLD: Listed = ("t0", 1, "v1");
const RESTARTED: Listed = ("t0", 2, "v2");
/// The registry lists no start of this one, which never starts again under its id.
const NAMELESS: Listed = ("t2", 0, "v1");
const OTHER: Listed = ("t1", 1, "v1");

fn target(position: usize, (id, process_start, software): Listed) -> Target {
    // A target keeps its address when it starts again.
    let port = id.as_bytes()[1];
    Target {
        name: if process_start == 0 { id.into() } else { format!("{id}@{process_start}").into() },
        instance: id.into(),
        kind: TargetKind::Service(ServiceKey(0)),
        address: ([10, 0, 0, port], 80).into(),
        domain: DomainKey(0),
        slots: 64 + position as u32,
        prefill_tokens_per_second: 100_000,
        link_bytes_per_second: Bytes(1 << 30),
        checks_fencing: false,
        cold_until: None,
        leaving: false,
        version: None,
        software: Some(software.into()),
        retired: false,
    }
}

struct Daemon {
    control: Control,
    snapshot: Snapshot,
    now: Moment,
    /// The time from the arrival of a call to its deadline.
    max_age: Duration,
}

impl Daemon {
    fn start(port: u16, listed: &[Listed]) -> Self {
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
        control.set_heartbeat_interval(HEARTBEAT);
        let sections = Document::parse(&"test".into(), DECLARED).unwrap().sections;
        let snapshot = Snapshot::build(Generation(1), &sections, None, None).unwrap();
        let mut daemon = Self {
            control,
            snapshot,
            now: Moment::from_millis(1_000),
            max_age: Duration::from_secs(20),
        };
        daemon.list(1, listed);
        daemon.control.handle(daemon.now, Event::SoftwareHistoryRead(HistoryRow::default()));
        daemon
    }

    /// Puts these entries of the registry in force; targets keep their keys.
    fn list(&mut self, revision: u64, listed: &[Listed]) {
        let targets = listed.iter().enumerate().map(|(i, entry)| target(i, *entry)).collect();
        self.snapshot = self.snapshot.with_targets(revision, targets);
        self.control.handle(self.now, Event::Configured(Arc::new(self.snapshot.clone())));
    }

    fn confirm(&mut self) {
        let confirmed = Event::RegistryConfirmed { as_of: self.now, max_age: HEARTBEAT };
        self.control.handle(self.now, confirmed);
    }

    fn wait(&mut self, millis: u64) -> Actions {
        self.now = self.now + Duration::from_millis(millis);
        self.control.handle(self.now, Event::Tick)
    }

    /// Confirms the entries a heartbeat later, and returns the target that a waiting call is sent to.
    fn wait_for_entries(&mut self) -> Option<&'static str> {
        self.wait(HEARTBEAT.as_millis() as u64 - 100);
        self.confirm();
        self.wait(100);
        self.confirm();
        let actions = self.wait(100);
        self.sent_to(&actions)
    }

    fn arrive(&mut self, call: u64, stream: StreamRequest) -> Option<&'static str> {
        let actions = self.arrival_actions(call, stream);
        self.sent_to(&actions)
    }

    fn arrival_actions(&mut self, call: u64, stream: StreamRequest) -> Actions {
        let arrival = Arrival {
            call: CallKey(call),
            account: AccountKey(0),
            class: CallClass::ResumableStream,
            kind: TargetKind::Service(ServiceKey(0)),
            version: WeightVersion(0),
            blocks: Arc::from([]),
            prompt: Tokens(0),
            max_output: Tokens(0),
            deadline: self.now + self.max_age,
            options: RouteOptions { stream: Some(stream), ..RouteOptions::default() },
        };
        self.control.handle(self.now, Event::Arrived(arrival))
    }

    /// Begins a stream at the listed process of a target, and returns the target.
    fn begin(&mut self, call: u64) -> Option<&'static str> {
        let target = self.arrive(call, StreamRequest::Begin(Some(stream(call))))?;
        let listed = |t: &Target| *t.instance == *target && !t.retired;
        let (_, process) = self.snapshot.targets.iter().find(|(_, t)| listed(t))?;
        let process = process.name.clone();
        self.send_event(call, &process);
        Some(target)
    }

    /// Begins a stream at this process, and returns the target that it was sent to.
    fn begin_at(&mut self, call: u64, process: &str) -> Option<&'static str> {
        let target = self.arrive(call, StreamRequest::Begin(Some(stream(call))));
        self.send_event(call, process);
        target
    }

    fn send_event(&mut self, call: u64, process: &str) {
        let (call, process) = (CallKey(call), process.into());
        self.control.handle(self.now, Event::ProcessIdentified { call, process });
        self.control.handle(self.now, Event::FirstToken { call });
    }

    /// Reports that another process than the listed one has the connection of a call's attempt.
    fn find_replaced(&mut self, call: u64, attempt: u8) -> Option<&'static str> {
        let (call, attempt) = (CallKey(call), AttemptNumber(attempt));
        let outcome = AttemptOutcome::Unidentified { is_replaced: true };
        let actions = self.control.handle(self.now, Event::AttemptEnded { call, attempt, outcome });
        let next = self.sent_to(&actions);
        let actions = self.wait(100);
        next.or_else(|| self.sent_to(&actions))
    }

    /// Breaks the connection of a call's attempt, and returns where it is sent next.
    fn break_off(&mut self, call: u64, attempt: u8) -> Option<&'static str> {
        let (key, attempt) = (CallKey(call), AttemptNumber(attempt));
        let broken = Event::ResponseEnded { call: key, end: ResponseEnd::Broken };
        self.control.handle(self.now, broken);
        let outcome = AttemptOutcome::Failed { can_continue: true };
        let ended = Event::AttemptEnded { call: key, attempt, outcome };
        let actions = self.control.handle(self.now, ended);
        let next = self.sent_to(&actions);
        let actions = self.wait(100);
        next.or_else(|| self.sent_to(&actions))
    }

    /// Takes up a stream with a new call, and returns the target that it is sent to.
    fn take_up(&mut self, call: u64, began: u64) -> Option<&'static str> {
        self.arrive(call, StreamRequest::Continue(Some(stream(began))))
    }

    /// Returns the id of the target that a call is sent to.
    fn sent_to(&self, actions: &[Action]) -> Option<&'static str> {
        let key = actions.iter().find_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch.target),
            _ => None,
        })?;
        let target = self.snapshot.targets.get(key)?;
        ["t0", "t1", "t2"].into_iter().find(|id| **id == *target.instance)
    }

    /// Sends a round of digests to another daemon.
    fn report_to(&mut self, other: &mut Self) {
        let greeting = PeerDigest {
            vm: "vm-2".into(),
            domain: "a".into(),
            incarnation: Incarnation(2),
            address: Some(([127, 0, 0, 1], 2).into()),
            ..PeerDigest::default()
        };
        self.control.handle(self.now, Event::PeerDigest(Box::new(greeting)));
        for action in self.wait(500) {
            if let Action::SendDigest { digest, .. } = action {
                other.control.handle(other.now, Event::PeerDigest(digest));
            }
        }
    }
}

fn refused(actions: &[Action]) -> Option<RefusalCode> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal.code),
        _ => None,
    })
}

fn stream(number: u64) -> StreamId {
    StreamId::of("coop", &format!("call-{number}"))
}

#[test]
fn a_broken_stream_is_not_resumed_at_a_process_that_took_its_targets_place() {
    let mut daemon = Daemon::start(1, &[OLD]);
    assert_eq!(daemon.begin(1), Some("t0"));
    assert_eq!(daemon.break_off(1, 1), Some("t0"), "the process is identified first");
    assert_eq!(daemon.find_replaced(1, 2), None, "the entry is older than the process");
    assert_eq!(daemon.take_up(2, 1), None);
    daemon.list(2, &[RESTARTED]);
    assert_eq!(daemon.take_up(3, 1), None);
}

#[test]
fn the_process_of_a_target_with_software_is_identified_before_a_stream() {
    let mut daemon = Daemon::start(1, &[OLD]);
    daemon.begin(1);
    let requests =
        [StreamRequest::Begin(Some(stream(2))), StreamRequest::Continue(Some(stream(1)))];
    for (call, request) in (2..).zip(requests) {
        let actions = daemon.arrival_actions(call, request);
        let is_identified = |action: &Action| match action {
            Action::Dispatch(dispatch) => dispatch.must_identify,
            _ => false,
        };
        assert!(actions.iter().any(is_identified), "{request:?}");
    }
}

#[test]
fn a_stream_is_not_preceded_by_an_identity_request_where_each_process_has_its_own_id() {
    let mut daemon = Daemon::start(1, &[("t0", 0, "v1")]);
    let actions = daemon.arrival_actions(1, StreamRequest::Begin(Some(stream(1))));
    let is_identified = |action: &Action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.must_identify),
        _ => None,
    };
    assert_eq!(actions.iter().find_map(is_identified), Some(false));
}

#[test]
fn a_broken_stream_is_resumed_at_once_at_another_target_of_its_version() {
    let mut daemon = Daemon::start(1, &[OLD, OTHER]);
    let began = daemon.begin(1).unwrap();
    let next = daemon.break_off(1, 1).unwrap();
    assert_ne!(began, next);
}

#[test]
fn a_broken_stream_goes_on_once_the_registry_lists_the_process_that_accepts_connections() {
    let mut daemon = Daemon::start(1, &[OLD]);
    daemon.begin(1);
    daemon.break_off(1, 1);
    assert_eq!(daemon.find_replaced(1, 2), None);
    assert_eq!(daemon.begin_at(2, "t0@2"), Some("t0"), "other calls do not wait");
    let actions = daemon.wait(HEARTBEAT.as_millis() as u64);
    assert_eq!(daemon.sent_to(&actions), None, "it waits beyond its last attempt");
    daemon.list(2, &[("t0", 2, "v1")]);
    let actions = daemon.wait(100);
    assert_eq!(daemon.sent_to(&actions), Some("t0"));
    daemon.list(3, &[("t0", 3, "v2"), OTHER]);
    assert_eq!(daemon.break_off(2, 1), Some("t1"), "it was bound when its process was listed");
}

#[test]
fn a_stream_goes_on_at_the_software_of_its_process_that_was_not_listed_when_it_began() {
    let mut daemon = Daemon::start(1, &[OLD]);
    daemon.begin(1);
    assert_eq!(daemon.begin_at(2, "t0@2"), Some("t0"));
    assert_eq!(daemon.break_off(2, 1), None, "its software is not known yet");
    assert_eq!(daemon.take_up(3, 2), None);
    daemon.list(2, &[RESTARTED, OTHER]);
    let actions = daemon.wait(100);
    assert_eq!(daemon.sent_to(&actions), Some("t0"));
    assert_eq!(daemon.take_up(4, 2), Some("t0"));
    assert_eq!(daemon.take_up(5, 1), Some("t1"), "this one began at the earlier process");
}

#[test]
fn a_stream_of_a_process_that_is_never_listed_is_not_resumed() {
    let mut daemon = Daemon::start(1, &[OLD, OTHER]);
    daemon.begin_at(1, "t0@2");
    assert_eq!(daemon.break_off(1, 1), None);
    daemon.wait(HEARTBEAT.as_millis() as u64);
    daemon.confirm();
    let actions = daemon.wait(100);
    assert_eq!(daemon.sent_to(&actions), None);
    assert_eq!(daemon.take_up(2, 1), None);
}

#[test]
fn a_stream_is_in_progress_while_the_process_that_sends_it_is_listed_with_another_version() {
    let (mut daemon, mut peer) = (Daemon::start(1, &[OLD]), Daemon::start(2, &[OLD]));
    // The earlier process ended while this daemon had no exchange with it.
    assert_eq!(daemon.begin_at(1, "t0@2"), Some("t0"));
    for daemon in [&mut daemon, &mut peer] {
        daemon.list(2, &[RESTARTED, OTHER]);
    }
    daemon.report_to(&mut peer);
    assert_eq!(daemon.break_off(1, 1), Some("t0"));
    assert_eq!(daemon.take_up(2, 1), Some("t0"));
    assert_eq!(peer.take_up(3, 1), Some("t0"), "peers learn the version");
}

#[test]
fn the_first_event_arrives_after_the_process_that_sends_it_was_listed() {
    for (process, next) in [("t0@1", "t1"), ("t0@2", "t0")] {
        let mut daemon = Daemon::start(1, &[OLD]);
        assert_eq!(daemon.arrive(1, StreamRequest::Begin(Some(stream(1)))), Some("t0"));
        daemon.list(2, &[RESTARTED, OTHER]);
        daemon.send_event(1, process);
        assert_eq!(daemon.break_off(1, 1), Some(next));
        assert_eq!(daemon.take_up(2, 1), Some(next));
    }
}

/// Guards against streams that are bound to no software version because their calls have no id.
#[test]
fn a_stream_without_a_name_goes_on_at_the_software_of_its_process_only() {
    for (process, is_listed_before, next) in [
        ("t0@1", false, Some("t1")),
        ("t0@1", true, Some("t1")),
        ("t0@2", true, Some("t0")),
        // No later entry could be related to the stream, so that it ends where it breaks.
        ("t0@2", false, None),
    ] {
        let mut daemon = Daemon::start(1, &[OLD]);
        let actions = daemon.arrival_actions(1, StreamRequest::Begin(None));
        assert_eq!(daemon.sent_to(&actions), Some("t0"));
        let is_identified = |action: &Action| match action {
            Action::Dispatch(dispatch) => dispatch.must_identify,
            _ => false,
        };
        assert!(actions.iter().any(is_identified));
        if !is_listed_before {
            daemon.send_event(1, process);
        }
        daemon.list(2, &[RESTARTED, OTHER]);
        if is_listed_before {
            daemon.send_event(1, process);
        }
        assert_eq!(daemon.break_off(1, 1), next, "{process}, listed before: {is_listed_before}");
    }
}

#[test]
fn peers_learn_the_software_of_a_stream_whose_caller_left_before_its_process_was_listed() {
    let (mut daemon, mut peer) = (Daemon::start(1, &[OLD]), Daemon::start(2, &[OLD]));
    daemon.begin_at(1, "t0@2");
    daemon.control.handle(daemon.now, Event::CallerDisconnected { call: CallKey(1) });
    for daemon in [&mut daemon, &mut peer] {
        daemon.list(2, &[RESTARTED, OTHER]);
    }
    assert_eq!(peer.take_up(2, 1), None);
    daemon.report_to(&mut peer);
    assert_eq!(peer.take_up(3, 1), Some("t0"));
}

/// Guards against a stream of the first process of a version that goes on at the only listed one.
#[test]
fn a_peer_that_lists_one_version_does_not_resume_a_stream_of_an_unlisted_process() {
    let listed = [OLD, OTHER];
    let (mut daemon, mut peer) = (Daemon::start(1, &listed), Daemon::start(2, &listed));
    let began = daemon.arrive(1, StreamRequest::Begin(Some(stream(1)))).unwrap();
    daemon.send_event(1, &format!("{began}@2"));
    daemon.report_to(&mut peer);
    assert_eq!(peer.take_up(2, 1), None);
}

/// Guards against a process that ends unlisted, whose streams go on at the only listed version.
#[test]
fn peers_learn_of_a_stream_whose_process_is_never_listed_while_one_version_is() {
    let listed = [OLD, OTHER];
    let (mut daemon, mut peer) = (Daemon::start(1, &listed), Daemon::start(2, &listed));
    let began = daemon.arrive(1, StreamRequest::Begin(Some(stream(1)))).unwrap();
    daemon.send_event(1, &format!("{began}@2"));
    for daemon in [&mut daemon, &mut peer] {
        daemon.wait(2 * HEARTBEAT.as_millis() as u64);
        daemon.confirm();
    }
    daemon.report_to(&mut peer);
    assert_eq!(peer.take_up(2, 1), None);
    assert_eq!(peer.wait_for_entries(), None);
}

#[test]
fn a_stream_whose_process_is_listed_late_goes_on_at_a_peer_that_was_told_of_an_unlisted_one() {
    let (mut daemon, mut peer) = (Daemon::start(1, &[OLD]), Daemon::start(2, &[OLD]));
    daemon.begin_at(1, "t0@2");
    daemon.report_to(&mut peer);
    assert_eq!(peer.take_up(2, 1), None);
    for daemon in [&mut daemon, &mut peer] {
        daemon.list(2, &[("t0", 2, "v1"), OTHER]);
    }
    daemon.report_to(&mut peer);
    assert!(peer.take_up(3, 1).is_some());
}

/// Guards against a version that is the only listed one because the entry of another is still to come.
#[test]
fn a_stream_of_unknown_origin_waits_until_every_process_that_can_have_begun_it_is_listed() {
    let mut peer = Daemon::start(2, &[OLD, OTHER]);
    peer.confirm();
    assert_eq!(peer.take_up(2, 1), None, "its daemon reported nothing before it was killed");
    assert!(peer.wait_for_entries().is_some(), "no other version was listed");

    assert_eq!(peer.take_up(3, 1), None);
    peer.list(2, &[RESTARTED, OTHER]);
    let actions = peer.wait(100);
    assert_eq!(peer.sent_to(&actions), None);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
}

#[test]
fn a_stream_of_unknown_origin_waits_for_the_next_entries_where_each_process_has_its_own_id() {
    let mut peer = Daemon::start(2, &[NAMELESS]);
    peer.confirm();
    peer.wait(100);
    assert_eq!(peer.take_up(2, 1), None, "a process may be listed since the last read");
    peer.confirm();
    let actions = peer.wait(100);
    assert_eq!(peer.sent_to(&actions), Some("t2"));
}

#[test]
fn calls_that_waited_for_entries_are_sent_in_the_order_of_their_arrival() {
    let mut peer = Daemon::start(2, &[OLD]);
    peer.confirm();
    for call in 2..6 {
        assert_eq!(peer.take_up(call, 1), None);
    }
    peer.wait(HEARTBEAT.as_millis() as u64);
    peer.confirm();
    let sent = peer.wait(100).into_iter().filter_map(|action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.call.0),
        _ => None,
    });
    assert_eq!(sent.collect::<Vec<_>>(), [2, 3, 4, 5]);
}

#[test]
fn a_call_waits_for_entries_that_are_read_slowly() {
    let mut peer = Daemon::start(2, &[OLD]);
    let (age, max_age) = (Duration::from_millis(1_200), Duration::from_millis(1_700));
    peer.now = peer.now + age;
    let mut sent = None;
    for round in 0..6 {
        let as_of = Moment(peer.now.0 - age.as_micros() as u64);
        peer.control.handle(peer.now, Event::RegistryConfirmed { as_of, max_age });
        if round == 0 {
            assert_eq!(peer.take_up(2, 1), None);
        }
        let actions = peer.wait(500);
        assert_eq!(refused(&actions), None, "round {round}");
        sent = sent.or(peer.sent_to(&actions));
    }
    assert_eq!(sent, Some("t0"));
}

#[test]
fn what_a_peer_concluded_does_not_replace_the_version_of_the_process_that_began_a_stream() {
    let mut daemon = Daemon::start(1, &[OLD, OTHER]);
    let began = daemon.arrive(1, StreamRequest::Begin(Some(stream(1)))).unwrap();
    daemon.send_event(1, &format!("{began}@2"));
    let concluded = StreamOrigin { stream: stream(1), software: "v1".into() };
    let digest = PeerDigest { stream_origins: vec![concluded], ..PeerDigest::default() };
    daemon.control.handle(daemon.now, Event::PeerDigest(Box::new(digest)));
    let restarted = |(id, ..): Listed| if id == began { (id, 2, "v2") } else { (id, 1, "v1") };
    daemon.list(2, &[restarted(OLD), restarted(OTHER)]);
    assert_eq!(daemon.take_up(2, 1), Some(began));
}

#[test]
fn origins_stay_pending_while_no_peer_would_get_them() {
    let (mut daemon, mut peer) = (Daemon::start(1, &[OLD]), Daemon::start(2, &[OLD]));
    daemon.begin(1);
    for _ in 0..4 {
        daemon.wait(500);
    }
    peer.confirm();
    daemon.report_to(&mut peer);
    assert_eq!(peer.take_up(2, 1), Some("t0"));
}

#[test]
fn a_stream_without_a_name_is_not_resumed_while_an_unlisted_process_sends_streams() {
    let mut daemon = Daemon::start(1, &[OLD, OTHER]);
    daemon.begin_at(1, "t0@2");
    let actions = daemon.arrival_actions(2, StreamRequest::Continue(None));
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
}

/// Guards against a daemon that starts after the reports of a stream whose process ended unlisted.
#[test]
fn daemons_that_start_do_not_resume_streams_of_a_process_that_was_never_listed() {
    let (mut daemon, mut started) =
        (Daemon::start(1, &[OLD, OTHER]), Daemon::start(3, &[OLD, OTHER]));
    let began = daemon.arrive(1, StreamRequest::Begin(Some(stream(1)))).unwrap();
    daemon.send_event(1, &format!("{began}@2"));
    for _ in 0..3 {
        daemon.report_to(&mut Daemon::start(2, &[OLD, OTHER]));
    }
    daemon.wait(2 * HEARTBEAT.as_millis() as u64);
    daemon.confirm();
    for _ in 0..3 {
        daemon.report_to(&mut Daemon::start(2, &[OLD, OTHER]));
    }
    daemon.report_to(&mut started);
    let actions = started.arrival_actions(2, StreamRequest::Continue(Some(stream(1))));
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
}

#[test]
fn a_stream_goes_on_at_once_at_a_peer_that_its_daemon_reported_it_to() {
    let (mut daemon, mut peer) = (Daemon::start(1, &[OLD]), Daemon::start(2, &[OLD]));
    daemon.begin(1);
    peer.confirm();
    daemon.report_to(&mut peer);
    assert_eq!(peer.take_up(2, 1), Some("t0"));
}

#[test]
fn a_stream_of_unknown_origin_is_refused_at_once_if_no_entries_can_come_in_time() {
    let mut peer = Daemon::start(2, &[OLD]);
    peer.confirm();
    peer.max_age = HEARTBEAT;
    let actions = peer.arrival_actions(2, StreamRequest::Continue(Some(stream(1))));
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream), "its deadline comes first");

    peer.max_age = Duration::from_secs(20);
    assert_eq!(peer.take_up(3, 1), None);
    // The platform's store is away.
    let actions = peer.wait(3 * HEARTBEAT.as_millis() as u64);
    assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream));
}

#[test]
fn a_stream_of_a_process_that_is_listed_late_with_the_same_version_is_resumed() {
    let mut daemon = Daemon::start(1, &[OLD]);
    daemon.begin_at(1, "t0@2");
    daemon.list(2, &[("t0", 2, "v1"), OTHER, ("t2", 1, "v2")]);
    assert!(daemon.break_off(1, 1).is_some());
    assert!(daemon.take_up(2, 1).is_some());
}

#[test]
fn a_stream_stays_bound_to_its_version_while_the_entry_of_its_target_is_gone() {
    let mut daemon = Daemon::start(1, &[OLD]);
    daemon.begin(1);
    daemon.list(2, &[("t2", 1, "v2")]);
    daemon.list(3, &[OLD, ("t2", 1, "v2")]);
    assert_eq!(daemon.take_up(2, 1), Some("t0"), "its key is the same again");
}

#[test]
fn a_stream_that_is_taken_up_twice_goes_on_at_its_version() {
    let mut daemon = Daemon::start(1, &[OTHER, ("t0", 1, "v2")]);
    let began = daemon.begin(1);
    for call in 2..8 {
        assert_eq!(daemon.take_up(call, 1), began);
    }
}

/// Guards against a version that came and went while this daemon was suspended or cut off, whose
/// streams go on at the only listed one.
#[test]
fn a_daemon_learns_of_versions_that_it_had_no_current_entries_for() {
    let version = |software: &str| (name_hash("desk"), software.into());
    let recorded = HistoryRow { row_version: 1, versions: vec![version("v1"), version("v2")] };
    for (row, resumed) in [(HistoryRow::default(), Some("t1")), (recorded, None)] {
        let mut daemon = Daemon::start(1, &[OTHER]);
        daemon.confirm();
        daemon.now = daemon.now + Duration::from_secs(10);
        daemon.confirm();
        let unknown = StreamRequest::Continue(Some(stream(9)));
        let actions = daemon.arrival_actions(1, unknown);
        assert_eq!(refused(&actions), Some(RefusalCode::UnknownStream), "not read yet");
        let actions = daemon.wait(100);
        let is_read = |a: &Action| matches!(a, Action::SoftwareHistory(HistoryRequest::Read));
        assert!(actions.iter().any(is_read));
        daemon.control.handle(daemon.now, Event::SoftwareHistoryRead(row));
        assert_eq!(daemon.take_up(2, 9), None, "entries may be to come");
        assert_eq!(daemon.wait_for_entries(), resumed);
    }
}

/// Guards against refusals of streams each time that the registry is read a little late.
#[test]
fn a_short_delay_of_entries_does_not_put_versions_in_doubt() {
    let mut daemon = Daemon::start(1, &[OTHER]);
    daemon.confirm();
    daemon.wait(HEARTBEAT.as_millis() as u64 + 500);
    daemon.confirm();
    assert_eq!(daemon.take_up(1, 9), None, "entries may be to come");
    assert_eq!(daemon.wait_for_entries(), Some("t1"));
}
