//! Calls that a daemon takes, sends and answers during a planned stop.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, TargetKind};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, Identity, RouteOptions, TargetNotice,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, CallClass, CallKey, Generation, Incarnation, Moment, Ran, Refusal,
    RefusalCode, ServiceKey, TargetKey, Tokens, WeightVersion,
};

const DECLARATIONS: &str = "\
[deployment]\nfirst_preset = ordinary\n[preset ordinary]\n\
[account kesong]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\n\
[service holds]\n\
[target s-0]\nservice = holds\naddress = 127.0.0.1:1\nfailure_domain = laguna\nslots = 6\n\
[target s-1]\nservice = holds\naddress = 127.0.0.1:2\nfailure_domain = laguna\nslots = 6\n";

const AT_MOST_ONCE: [CallClass; 2] = [CallClass::Once, CallClass::Stream];
const REPEATABLE: [CallClass; 2] = [CallClass::Repeatable, CallClass::ResumableStream];
const END: Moment = Moment::from_millis(7_000);
const BEFORE_END: Moment = Moment::from_millis(6_900);
const AFTER_END: Moment = Moment::from_millis(12_000);

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

fn arrive(control: &mut Control, call: u64, class: CallClass, deadline: Moment) -> Actions {
    let arrival = Arrival {
        call: CallKey(call),
        account: AccountKey(0),
        class,
        kind: TargetKind::Service(ServiceKey(0)),
        version: WeightVersion(0),
        blocks: Arc::from([]),
        prompt: Tokens(0),
        max_output: Tokens(0),
        deadline,
        options: RouteOptions::default(),
    };
    control.handle(Moment::from_millis(2), Event::Arrived(arrival))
}

fn announce_stop(control: &mut Control) -> Actions {
    control.handle(Moment::from_millis(10), Event::StopAnnounced { end: END })
}

/// Makes calls wait for some time.
fn quiet_targets(control: &mut Control, at_ms: u64, ms: u64) {
    let quiet_for = Some(Duration::from_millis(ms));
    for target in (0..2).map(TargetKey) {
        let notice = TargetNotice { leaving: false, quiet_for };
        control.handle(Moment::from_millis(at_ms), Event::TargetNoticed { target, notice });
    }
}

fn refusals(actions: &Actions) -> Vec<(CallKey, Refusal)> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse { call, refusal } => Some((*call, refusal.clone())),
        _ => None,
    });
    let mut refused: Vec<_> = refused.collect();
    refused.sort_by_key(|(call, _)| *call);
    refused
}

fn is_sent(actions: &Actions) -> bool {
    actions.iter().any(|action| matches!(action, Action::Dispatch(_)))
}

/// Asserts that exactly one call was refused as not run, and that the caller may return soon.
fn assert_not_run(actions: &Actions, call: u64) {
    let refused = refusals(actions);
    let [(key, refusal)] = &refused[..] else { panic!("{actions:?}") };
    assert_eq!((*key, refusal.code, refusal.ran), (CallKey(call), RefusalCode::Stopping, Ran::No));
    assert!(refusal.retry_after.is_some_and(|after| after <= Duration::from_millis(100)));
    assert!(!is_sent(actions), "{actions:?}");
}

#[test]
fn no_call_that_runs_once_is_taken_if_the_end_of_the_stop_could_cut_it() {
    for class in AT_MOST_ONCE {
        let mut control = daemon();
        announce_stop(&mut control);
        assert_not_run(&arrive(&mut control, 1, class, AFTER_END), 1);
        assert!(is_sent(&arrive(&mut control, 2, class, BEFORE_END)));
        assert!(is_sent(&arrive(&mut control, 3, class, END)));
    }
}

#[test]
fn calls_that_may_be_repeated_are_taken_until_the_grace_has_passed() {
    for class in REPEATABLE {
        let mut control = daemon();
        announce_stop(&mut control);
        assert!(is_sent(&arrive(&mut control, 1, class, AFTER_END)));
        control.handle(Moment::from_millis(2_300), Event::Stopping);
        assert_not_run(&arrive(&mut control, 2, class, AFTER_END), 2);
    }
}

#[test]
fn a_waiting_call_that_runs_once_is_refused_when_a_stop_is_announced() {
    for (class, deadline, stays) in [
        (CallClass::Once, AFTER_END, false),
        (CallClass::Stream, AFTER_END, false),
        (CallClass::Once, BEFORE_END, true),
        (CallClass::Repeatable, AFTER_END, true),
        (CallClass::ResumableStream, AFTER_END, true),
    ] {
        let mut control = daemon();
        quiet_targets(&mut control, 2, 500);
        assert!(arrive(&mut control, 1, class, deadline).is_empty());
        let announced = announce_stop(&mut control);
        let later = control.handle(Moment::from_millis(600), Event::Tick);
        assert_eq!(is_sent(&later), stays, "{class} {later:?}");
        if stays {
            assert!(refusals(&announced).is_empty());
        } else {
            assert_not_run(&announced, 1);
        }
    }
}

#[test]
fn a_call_that_runs_once_is_not_sent_again_after_a_stop_was_announced() {
    for outcome in [AttemptOutcome::NotSent, AttemptOutcome::RefusedByTarget { leaving: false }] {
        let mut control = daemon();
        assert!(is_sent(&arrive(&mut control, 1, CallClass::Once, AFTER_END)));
        assert!(refusals(&announce_stop(&mut control)).is_empty(), "its response may still come");
        let ended = Event::AttemptEnded { call: CallKey(1), attempt: AttemptNumber(1), outcome };
        let at = Moment::from_millis(100);
        let mut actions = control.handle(at, ended);
        actions.extend(control.handle(at, Event::Tick));
        assert_not_run(&actions, 1);
        assert_eq!(control.calls_in_flight(), 0);
    }
}

#[test]
fn no_call_is_left_without_an_answer_at_the_end_of_a_stop() {
    let mut control = daemon();
    for (number, class) in AT_MOST_ONCE.into_iter().chain(REPEATABLE).enumerate() {
        assert!(is_sent(&arrive(&mut control, number as u64, class, AFTER_END)));
    }
    quiet_targets(&mut control, 2, 5_500);
    assert!(arrive(&mut control, 4, CallClass::Repeatable, AFTER_END).is_empty());
    announce_stop(&mut control);
    control.handle(Moment::from_millis(2_300), Event::Stopping);
    quiet_targets(&mut control, 5_000, 2_500);
    let early = control.handle(BEFORE_END, Event::Tick);
    assert!(refusals(&early).is_empty(), "{early:?}");

    let refused = refusals(&control.handle(END, Event::Tick));
    let ran: Vec<Ran> = refused.iter().map(|(_, refusal)| refusal.ran).collect();
    let unknown = [Ran::Unknown; 4];
    assert_eq!(ran, [&unknown[..], &[Ran::No]].concat());
    assert!(refused.iter().all(|(_, refusal)| refusal.code == RefusalCode::Stopping));
    assert_eq!(control.calls_in_flight(), 0);
    assert_not_run(&arrive(&mut control, 5, CallClass::Repeatable, AFTER_END), 5);
}
