//! Parts of prompts that are freed in managed stores, while other daemons may still read them.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot};
use cumintrail_control::parts::{PartsUpdate, READ_TIMEOUT, StoredPart, cache_salt};
use cumintrail_control::placement::CheapestPlacer;
use cumintrail_control::rollout::{LeaseRequest, LeaseWrite};
use cumintrail_control::{Action, Control, Event, Identity};
use cumintrail_types::{
    AccountKey, Generation, Incarnation, ModelKey, Moment, StoreKey, Tokens, WeightVersion,
};

const SECRET: &str = "a secret";
const DECLARATIONS: &str = "[deployment]\nfirst_preset = day\n[preset day]\n[model curd]\n\
    [account coop]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\n\
    [store kept]\naddress = 10.0.0.9:80\nfailure_domain = near\nkeeps = parts\n";
const START: Moment = Moment::from_millis(60_000);
const STEP: Duration = Duration::from_millis(100);
/// How old a daemon's knowledge of the declarations may be while it plans reads of parts.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(2_900);

struct Daemon {
    control: Control<CheapestPlacer>,
    snapshot: Snapshot,
    now: Moment,
    revision: u64,
    freed: Vec<StoredPart>,
    platform_responds: bool,
}

impl Daemon {
    /// Starts a daemon a minute before [`START`].
    fn start(version: u64) -> Self {
        let identity = Identity {
            vm: "vm-1".into(),
            domain: "near".into(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().unwrap(),
            probe_interval: Duration::from_secs(1),
            digest_interval: Duration::from_secs(1),
            processor_share: 0,
        };
        let mut control = Control::new(identity, 1);
        control.follow_registry(SECRET);
        let sections = Document::parse(&"test".into(), DECLARATIONS).unwrap().sections;
        let snapshot = Snapshot::build(Generation(1), &sections, None, None).unwrap();
        let (now, freed) = (Moment(0), Vec::new());
        let mut daemon =
            Self { control, snapshot, now, revision: 0, freed, platform_responds: true };
        daemon.announce(version);
        daemon.read_store(true, Vec::new());
        daemon.run_until(START);
        daemon
    }

    fn announce(&mut self, version: u64) {
        self.revision += 1;
        let version = WeightVersion(version);
        self.snapshot = self.snapshot.with_version(self.revision, ModelKey(0), version);
        self.handle(Event::Configured(Arc::new(self.snapshot.clone())));
    }

    /// Tells the daemon that the store has a new part for a weight version.
    fn list_part(&mut self, version: u64) {
        let (model, version) = (ModelKey(0), WeightVersion(version));
        let salt = cache_salt(SECRET, &self.snapshot, AccountKey(0), model, version, None);
        let part = StoredPart {
            cache_salt: Some(salt),
            cache_salt_text: salt.to_string().into(),
            name: "book".into(),
            tokens: Tokens(100),
        };
        self.read_store(false, vec![part]);
    }

    fn read_store(&mut self, complete: bool, stored: Vec<StoredPart>) {
        let (store, sent) = (StoreKey(0), self.now);
        let update = PartsUpdate { epoch: 1, complete, stored, ..PartsUpdate::default() };
        self.handle(Event::PartsRead { store, sent, update });
    }

    fn run_until(&mut self, end: Moment) {
        while self.now < end {
            self.now = self.now + STEP;
            if self.platform_responds {
                self.handle(Event::PlatformResponded { sent: self.now, era: 0 });
            }
            self.read_store(false, Vec::new());
            self.handle(Event::Tick);
        }
    }

    /// Returns how long it takes until a part is freed.
    fn time_to_free(&mut self) -> Option<Duration> {
        let start = self.now;
        while self.freed.is_empty() && self.now < start + Duration::from_secs(20) {
            self.run_until(self.now + STEP);
        }
        (!self.freed.is_empty()).then(|| self.now.since(start))
    }

    /// Handles an event; the platform's table grants each request for the lease.
    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.control.handle(self.now, event) {
                match action {
                    Action::FreeParts { parts, .. } => self.freed.extend(parts),
                    Action::Lease(LeaseRequest::Read) => {
                        events.push(Event::LeaseRead { row: None, era: 0 });
                    }
                    Action::Lease(LeaseRequest::Write(LeaseWrite { expected, .. })) => {
                        let (sent, version) = (self.now, Some(expected + 1));
                        let written =
                            Event::LeaseWritten { sent, committed: true, version, era: 0 };
                        events.push(written);
                    }
                    _ => {}
                }
            }
        }
    }
}

#[test]
fn parts_of_a_version_that_the_daemon_never_read_are_not_freed_while_others_read_them() {
    let mut daemon = Daemon::start(1);
    daemon.announce(3);
    daemon.list_part(2);
    let time = daemon.time_to_free().expect("no daemon has version 2 any more");
    assert!(time >= MAX_RESPONSE_AGE + READ_TIMEOUT, "freed after {time:?}");
}

#[test]
fn parts_of_a_version_that_the_daemon_has_yet_to_read_are_not_freed() {
    let mut daemon = Daemon::start(1);
    daemon.platform_responds = false;
    daemon.run_until(START + Duration::from_millis(500));
    daemon.list_part(2);
    daemon.run_until(START + MAX_RESPONSE_AGE);
    daemon.platform_responds = true;
    daemon.announce(2);
    assert_eq!(daemon.time_to_free(), None);
}

#[test]
fn parts_of_a_version_that_no_daemon_has_are_freed() {
    let mut daemon = Daemon::start(3);
    daemon.list_part(2);
    assert!(daemon.time_to_free().is_some());
}
