//! Calls to plain services, as many daemons with few calls each place them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, TargetKind};
use cumintrail_control::{
    Action, Arrival, AttemptOutcome, Control, Event, Identity, RouteOptions, TargetNotice, Usage,
};
use cumintrail_types::{
    AccountKey, CallClass, CallKey, Generation, Incarnation, Moment, ServiceKey, TargetKey, Tokens,
    WeightVersion,
};

const DECLARATIONS: &str = "\
[deployment]\nfirst_preset = ordinary\n[preset ordinary]\n\
[account kesong]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\n\
[service holds]\n\
[target s-0]\nservice = holds\naddress = 127.0.0.1:1\nfailure_domain = laguna\nslots = 6\n\
[target s-1]\nservice = holds\naddress = 127.0.0.1:2\nfailure_domain = laguna\nslots = 6\n\
[target s-2]\nservice = holds\naddress = 127.0.0.1:3\nfailure_domain = laguna\nslots = 6\n\
[target s-3]\nservice = holds\naddress = 127.0.0.1:4\nfailure_domain = laguna\nslots = 6\n";

fn daemon() -> Control {
    let identity = Identity {
        vm: "vm-0".into(),
        domain: "laguna".into(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9".parse().unwrap(),
        probe_interval: Duration::from_secs(3_600),
        digest_interval: Duration::from_secs(3_600),
        processor_share: 0,
    };
    let mut control = Control::new(identity, 7);
    let document = Document::parse(&"declarations".into(), DECLARATIONS).unwrap();
    let snapshot = Snapshot::build(Generation(1), &document.sections, None, None).unwrap();
    control.handle(Moment(1), Event::Configured(snapshot.into()));
    control
}

fn arrival(call: u64, deadline: Moment) -> Event {
    Event::Arrived(Arrival {
        call: CallKey(call),
        account: AccountKey(0),
        class: CallClass::Once,
        kind: TargetKind::Service(ServiceKey(0)),
        version: WeightVersion(0),
        blocks: Arc::from([]),
        prompt: Tokens(0),
        max_output: Tokens(0),
        deadline,
        options: RouteOptions::default(),
    })
}

/// Each of 60 daemons has one call and no information about other load.
#[test]
fn daemons_with_one_call_each_spread_them_over_equal_targets() {
    let mut calls: BTreeMap<TargetKey, u32> = BTreeMap::new();
    for number in 1..=60 {
        let actions = daemon().handle(Moment(2), arrival(number, Moment::from_millis(600)));
        let [Action::Dispatch(dispatch)] = &actions[..] else { panic!("{actions:?}") };
        *calls.entry(dispatch.target).or_default() += 1;
    }
    // An even share is 15 of 60.
    assert!(calls.len() == 4 && calls.values().all(|n| (7..=25).contains(n)), "{calls:?}");
}

#[test]
fn a_call_waits_for_the_end_of_a_quiet_time_only_if_it_can_still_be_served() {
    let quiet =
        |millis| TargetNotice { leaving: false, quiet_for: Some(Duration::from_millis(millis)) };
    for (millis, waits) in [(200, true), (400, false)] {
        let mut control = daemon();
        for target in (0..4).map(TargetKey) {
            control.handle(Moment(2), Event::TargetNoticed { target, notice: quiet(millis) });
        }
        let actions = control.handle(Moment(3), arrival(1, Moment::from_millis(600)));
        match &actions[..] {
            [] => assert!(waits),
            [Action::Refuse { refusal, .. }] => {
                assert!(!waits && refusal.retry_after >= Some(Duration::from_millis(399)));
            }
            other => panic!("{other:?}"),
        }
        let later = control.handle(Moment::from_millis(300), Event::Tick);
        let is_sent = later.iter().any(|action| matches!(action, Action::Dispatch(_)));
        assert_eq!(is_sent, waits);
    }
}

#[test]
fn a_leaving_target_gets_no_further_call() {
    let mut control = daemon();
    let leaving = TargetNotice { leaving: true, quiet_for: None };
    for target in (0..3).map(TargetKey) {
        control.handle(Moment(2), Event::TargetNoticed { target, notice: leaving });
    }
    for number in 1..=20 {
        let deadline = Moment::from_millis(600);
        let actions = control.handle(Moment(3), arrival(number, deadline));
        let [Action::Dispatch(dispatch)] = &actions[..] else { panic!("{actions:?}") };
        assert_eq!(dispatch.target, TargetKey(3));
        let (call, attempt) = (dispatch.call, dispatch.attempt);
        let outcome = AttemptOutcome::Completed(Usage::default());
        control.handle(Moment(4), Event::AttemptEnded { call, attempt, outcome });
    }
}
