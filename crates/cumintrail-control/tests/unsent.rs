//! Calls that were dispatched but not sent are recalled when they may be sent no more.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, Target, TargetKind};
use cumintrail_control::placement::AffinityPlacer;
use cumintrail_control::quarantine::{CallContent, ContentKey};
use cumintrail_control::{
    AbandonReason, Action, Actions, Arrival, AttemptOutcome, Control, Event, Identity, ResponseEnd,
    RouteOptions, Usage,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, Bytes, CallClass, CallKey, Generation, Incarnation, Moment,
    RefusalCode, ServiceKey, TargetKey, Tokens, WeightVersion,
};

const DECLARATIONS: &str = "[deployment]\nfirst_preset = day\n[preset day]\n[service desk]\n\
    [account coop]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\n\
    concurrency = 1000\nrequests_per_second = 10000\ntokens_per_second = 100000000\n\
    [store near]\naddress = 10.0.0.9:80\nfailure_domain = near\nkeeps = parts\n";
const START: Moment = Moment::from_millis(60_000);
const TARGETS: usize = 12;
const FIRST: AttemptNumber = AttemptNumber(1);

struct Daemon {
    control: Control<AffinityPlacer>,
    declared: Snapshot,
    /// The targets, of which those that crashed are retired.
    targets: Vec<Target>,
    updates: u64,
    calls: u64,
}

impl Daemon {
    fn start() -> Self {
        let identity = Identity {
            vm: "vm-1".into(),
            domain: "near".into(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().unwrap(),
            probe_interval: Duration::from_secs(1),
            digest_interval: Duration::from_secs(1),
            processor_share: 0,
        };
        let mut control = Control::with_placer(identity, 1, AffinityPlacer);
        control.follow_registry("a secret");
        let sections = Document::parse(&"test".into(), DECLARATIONS).unwrap().sections;
        let declared = Snapshot::build(Generation(1), &sections, None, None).unwrap();
        let targets = (0..TARGETS).map(|number| target(number, &declared)).collect();
        let mut daemon = Self { control, declared, targets, updates: 0, calls: 0 };
        daemon.list(START);
        daemon
    }

    /// Lists the targets in the registry.
    fn list(&mut self, now: Moment) {
        self.updates += 1;
        let targets = self.targets.clone();
        let snapshot = self.declared.clone().with_targets(self.updates, targets);
        self.control.handle(now, Event::Configured(Arc::new(snapshot)));
    }

    /// Sends a call with a prompt part; returns it with what the daemon does.
    fn send(&mut self, now: Moment, part: &str) -> (CallKey, Actions) {
        self.calls += 1;
        let call = CallKey(self.calls);
        let content = CallContent { shared: [ContentKey::of_part(part)].into(), request: None };
        let arrival = Arrival {
            call,
            account: AccountKey(0),
            class: CallClass::Once,
            kind: TargetKind::Service(ServiceKey(0)),
            version: WeightVersion(0),
            blocks: Vec::new().into(),
            prompt: Tokens(0),
            max_output: Tokens(0),
            deadline: now + Duration::from_secs(600),
            options: RouteOptions { max_attempts: Some(1), content, ..RouteOptions::default() },
        };
        (call, self.control.handle(now, Event::Arrived(arrival)))
    }

    fn end(&mut self, now: Moment, call: CallKey, outcome: AttemptOutcome) -> Actions {
        self.control.handle(now, Event::AttemptEnded { call, attempt: FIRST, outcome })
    }

    /// Lets a target crash under a call with a prompt part.
    fn crash(&mut self, now: Moment, call: CallKey, target: TargetKey) {
        let end = ResponseEnd::Broken;
        self.control.handle(now, Event::ResponseEnded { call, end });
        self.control.handle(now, Event::TargetUnreachable { target });
        self.end(now, call, AttemptOutcome::Failed { can_continue: false });
        self.targets[target.0 as usize].retired = true;
        self.list(now);
    }
}

fn target(number: usize, snapshot: &Snapshot) -> Target {
    let domain = snapshot.domains.iter().find(|(_, domain)| ***domain == *"near");
    Target {
        name: format!("t{number}").into(),
        instance: format!("t{number}").into(),
        kind: TargetKind::Service(ServiceKey(0)),
        address: format!("10.0.0.{}:80", number + 20).parse().unwrap(),
        domain: domain.unwrap().0,
        slots: 1_000,
        prefill_tokens_per_second: 100_000,
        link_bytes_per_second: Bytes(1 << 30),
        checks_fencing: false,
        leaving: false,
        cold_until: None,
        version: None,
        software: None,
        retired: false,
    }
}

fn dispatched(actions: &[Action]) -> Option<TargetKey> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.target),
        _ => None,
    })
}

fn recalled(actions: &[Action], call: CallKey) -> Option<AbandonReason> {
    actions.iter().find_map(|action| match action {
        Action::Abandon { call: recalled, reason, .. } if *recalled == call => Some(*reason),
        _ => None,
    })
}

/// Guards against a request under which targets crash that is sent after its quarantine because its
/// connection took long.
#[test]
fn a_call_that_was_dispatched_before_its_content_is_quarantined_is_not_sent() {
    let mut daemon = Daemon::start();
    let (waiting, actions) = daemon.send(START, "hot");
    let kept = dispatched(&actions).expect("the call is dispatched");
    let mut now = START;
    let mut reason = None;
    while reason.is_none() && now < START + Duration::from_secs(20) {
        let (hot, actions) = daemon.send(now, "hot");
        now = now + Duration::from_millis(200);
        match dispatched(&actions) {
            Some(target) if target == kept => {
                daemon.control.handle(now, Event::CallerDisconnected { call: hot });
            }
            Some(target) => daemon.crash(now, hot, target),
            None => {}
        }
        for _ in 0..3 {
            now = now + Duration::from_millis(100);
            let (sound, _) = daemon.send(now, "sound");
            daemon.end(now, sound, AttemptOutcome::Completed(Usage::default()));
        }
        reason = recalled(&daemon.control.handle(now, Event::Tick), waiting);
    }
    let (_, actions) = daemon.send(now, "hot");
    let is_refused = matches!(&actions[..], [Action::Refuse { refusal, .. }]
        if refusal.code == RefusalCode::Quarantined);
    assert!(is_refused, "{actions:?}");
    assert_eq!(reason, Some(AbandonReason::ContentQuarantined));

    let outcome = AttemptOutcome::Abandoned { was_sent: false, can_continue: true };
    daemon.end(now, waiting, outcome);
    let later = daemon.control.handle(now + Duration::from_millis(500), Event::Tick);
    assert_eq!(dispatched(&later), None, "{later:?}");
}
