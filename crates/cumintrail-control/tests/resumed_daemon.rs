//! What a daemon knows of its peers after a suspension, and what it sends meanwhile.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{ColdStart, Document, Snapshot, Target, TargetKind};
use cumintrail_control::cold::ColdTolerance;
use cumintrail_control::{Action, Arrival, Control, Event, Identity, PeerDigest, RouteOptions};
use cumintrail_types::{
    AccountKey, Bytes, CallClass, CallKey, DomainKey, Generation, Incarnation, Moment, RequestRate,
    ServiceKey, Tokens, WeightVersion,
};

const DIGEST_INTERVAL: Duration = Duration::from_millis(250);
const DECLARED: &str = "[deployment]\nfirst_preset = day\n[preset day]\n[service desk]\n\
    [account coop]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\nconcurrency = 1000\n";

fn control() -> Control {
    let identity = Identity {
        vm: "vm-1".into(),
        domain: "a".into(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().unwrap(),
        probe_interval: Duration::from_secs(1),
        digest_interval: DIGEST_INTERVAL,
        processor_share: 0,
    };
    let mut control = Control::new(identity, 1);
    control.follow_registry("a secret");
    control
}

/// Lets a second pass and returns the number of daemons that the last round of digests states; none
/// if the daemon has nobody to send one to.
fn known_daemons(control: &mut Control, from: Moment) -> Option<u32> {
    let mut known = None;
    for step in 0..10 {
        let actions = control.handle(from + Duration::from_millis(100) * step, Event::Tick);
        let digests = actions.into_iter().filter_map(|action| match action {
            Action::SendDigest { digest, .. } => Some(digest),
            _ => None,
        });
        if step > 5 {
            let sizes = digests.map(|d| d.domain_sizes.iter().map(|size| size.daemons).sum());
            known = known.or(sizes.last());
        }
    }
    known
}

/// Guards against a daemon that takes all of a limit or of the retry budget for its own share.
#[test]
fn a_daemon_counts_its_peers_after_a_suspension() {
    let mut control = control();
    for port in 2..6 {
        let digest = PeerDigest {
            vm: format!("vm-{port}").into(),
            domain: "a".into(),
            incarnation: Incarnation(1),
            address: Some(([127, 0, 0, 1], port).into()),
            ..PeerDigest::default()
        };
        control.handle(Moment(0), Event::PeerDigest(Box::new(digest)));
    }
    assert_eq!(known_daemons(&mut control, Moment(0)), Some(5));
    let resumed = Moment::from_millis(600_000);
    assert_eq!(known_daemons(&mut control, resumed), Some(5));
}

/// Returns a snapshot whose only target may be cold.
fn one_target(cold_until: Option<Moment>) -> Snapshot {
    let sections = Document::parse(&"test".into(), DECLARED).unwrap().sections;
    let mut declared = Snapshot::build(Generation(1), &sections, None, None).unwrap();
    let service = declared.services.get_mut(ServiceKey(0)).unwrap();
    let (period, rate) = (Duration::from_secs(3), RequestRate::from_per_second(10.0));
    service.cold_start = Some(ColdStart { period, rate });
    let target = Target {
        name: "t0".into(),
        instance: "t0".into(),
        kind: TargetKind::Service(ServiceKey(0)),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: DomainKey(0),
        slots: 64,
        prefill_tokens_per_second: 100_000,
        link_bytes_per_second: Bytes(1 << 30),
        checks_fencing: false,
        cold_until,
        leaving: false,
        version: None,
        software: None,
        retired: false,
    };
    declared.with_targets(1, vec![target])
}

/// Lets time pass, and returns whether a call is sent at its end.
fn is_call_sent(control: &mut Control, from_ms: u64, to_ms: u64) -> bool {
    for ms in (from_ms..to_ms).step_by(100) {
        control.handle(Moment::from_millis(ms), Event::Tick);
    }
    is_sent(control, Moment::from_millis(to_ms), to_ms)
}

fn is_sent(control: &mut Control, now: Moment, call: u64) -> bool {
    let arrival = Arrival {
        call: CallKey(call),
        account: AccountKey(0),
        class: CallClass::Repeatable,
        kind: TargetKind::Service(ServiceKey(0)),
        version: WeightVersion(0),
        blocks: Arc::from([]),
        prompt: Tokens(0),
        max_output: Tokens(0),
        deadline: now + Duration::from_millis(50),
        options: RouteOptions::default(),
    };
    let actions = control.handle(now, Event::Arrived(arrival));
    actions.iter().any(|action| matches!(action, Action::Dispatch(_)))
}

/// Guards against a daemon that takes itself for the only one because it heard of no other yet.
#[test]
fn a_daemon_that_was_suspended_after_its_start_does_not_know_all_daemons() {
    for (resumed_ms, is_sent) in [(200, true), (6_000, false)] {
        let mut control = control();
        control.set_cold_tolerance(Some(ColdTolerance { overage: 1.5, slack: 5.0 }));
        let cold = one_target(Some(Moment::from_millis(60_000)));
        control.handle(Moment(0), Event::Configured(Arc::new(cold)));
        control.handle(Moment::from_millis(100), Event::Tick);
        assert_eq!(is_call_sent(&mut control, resumed_ms, 8_000), is_sent, "from {resumed_ms} ms");
        assert!(is_call_sent(&mut control, 8_100, 12_000), "it had the time to hear of others");
    }
}

/// Guards against targets that are avoided since this daemon did not read their responses in time.
#[test]
fn a_target_is_not_unresponsive_because_this_daemon_was_suspended() {
    let mut control = control();
    control.handle(Moment(0), Event::Configured(Arc::new(one_target(None))));
    for call in 0..20 {
        assert!(is_sent(&mut control, Moment::from_millis(100), call));
    }
    let resumed = Moment::from_millis(20_000);
    control.handle(resumed, Event::Tick);
    assert!(is_sent(&mut control, resumed, 20));
}
