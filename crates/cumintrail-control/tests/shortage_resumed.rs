//! Streams that are resumed are not held back while capacity is scarce.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, Target, TargetKind};
use cumintrail_control::placement::AffinityPlacer;
use cumintrail_control::software_history::HistoryRow;
use cumintrail_control::stream_origins::{StreamId, StreamRequest};
use cumintrail_control::{Action, Arrival, Control, Event, Identity, RouteOptions};
use cumintrail_types::{
    AccountKey, Bytes, CallClass, CallKey, DomainKey, Generation, Incarnation, ModelKey, Moment,
    Tokens, Urgency, WeightVersion,
};

const DECLARATIONS: &str = "[deployment]\nfirst_preset = day\n[preset day]\n[model curd]\n\
    memory_tokens = 10000\nstate_bytes_per_token = 35136\n\
    [account coop]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\n\
    concurrency = 1000\nrequests_per_second = 10000\ntokens_per_second = 100000000\n\
    [route chat]\nhost = a.example\nprefix = /chat/\nclass = stream\nto = curd\nurgency = 0\n\
    objective_ms = 250\ntimeout_ms = 8000\n\
    [route digest]\nhost = a.example\nprefix = /digest/\nclass = resumable-stream\nto = curd\n\
    urgency = 2\nobjective_ms = 1200\ntimeout_ms = 10000\n";
const START: Moment = Moment::from_millis(60_000);
const CALLS: u64 = 40;

struct Daemon {
    control: Control<AffinityPlacer>,
    calls: u64,
}

impl Daemon {
    /// Starts a daemon whose only engine has most of its memory taken by urgent calls.
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
        let snapshot = declared.with_targets(1, vec![engine()]);
        control.handle(Moment(0), Event::Configured(Arc::new(snapshot)));
        // Streams of unknown origin are resumed only by a daemon that knows all software versions.
        control.handle(START, Event::SoftwareHistoryRead(HistoryRow::default()));
        let max_age = Duration::from_secs(1);
        control.handle(START, Event::RegistryConfirmed { as_of: START, max_age });
        let mut daemon = Self { control, calls: 0 };
        for prompt in [7_600, 1_500] {
            assert!(daemon.is_sent(Urgency(0), Tokens(prompt), None).0);
        }
        daemon
    }

    /// Makes a call and returns whether it is sent at once.
    fn is_sent(
        &mut self,
        urgency: Urgency,
        prompt: Tokens,
        stream: Option<StreamRequest>,
    ) -> (bool, CallKey) {
        self.calls += 1;
        let call = CallKey(self.calls);
        let objective = if urgency == Urgency(0) { 250 } else { 1_200 };
        let arrival = Arrival {
            call,
            account: AccountKey(0),
            class: CallClass::ResumableStream,
            kind: TargetKind::Engine(ModelKey(0)),
            version: WeightVersion(1),
            blocks: Vec::new().into(),
            prompt,
            max_output: Tokens(0),
            deadline: START + Duration::from_secs(10),
            options: RouteOptions {
                urgency,
                stream,
                first_token_objective: Some(Duration::from_millis(objective)),
                max_attempts: Some(2),
                ..RouteOptions::default()
            },
        };
        let actions = self.control.handle(START, Event::Arrived(arrival));
        let is_dispatch = |action: &Action| matches!(action, Action::Dispatch(d) if d.call == call);
        (actions.iter().any(is_dispatch), call)
    }

    /// Returns how many patient calls are sent at once, each of which is cancelled then.
    fn sent_at_once(&mut self, stream: impl Fn(u64) -> StreamRequest) -> u64 {
        let mut sent = 0;
        for number in 0..CALLS {
            let (is_sent, call) = self.is_sent(Urgency(2), Tokens(100), Some(stream(number)));
            sent += u64::from(is_sent);
            self.control.handle(START, Event::CallerDisconnected { call });
        }
        sent
    }
}

fn engine() -> Target {
    Target {
        name: "e1".into(),
        instance: "e1".into(),
        kind: TargetKind::Engine(ModelKey(0)),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: DomainKey(0),
        slots: 64,
        prefill_tokens_per_second: 100_000,
        link_bytes_per_second: Bytes(1 << 30),
        checks_fencing: false,
        leaving: false,
        cold_until: None,
        version: Some(WeightVersion(1)),
        software: None,
        retired: false,
    }
}

fn stream(number: u64) -> StreamId {
    StreamId::of("coop", &format!("stream-{number}"))
}

/// Guards against callers that wait again, behind new calls, for a stream of which they have a part.
#[test]
fn resumed_streams_are_sent_at_once_where_new_patient_calls_are_held_back() {
    let mut daemon = Daemon::start();
    let new = daemon.sent_at_once(|number| StreamRequest::Begin(Some(stream(number))));
    assert!(new < CALLS, "capacity is not scarce in this test");
    let resumed = daemon.sent_at_once(|_| StreamRequest::Continue(None));
    assert_eq!(resumed, CALLS);
}
