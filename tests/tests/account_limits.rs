//! Daemons divide the limits of client accounts, also while some of them are cut off from each other.

use std::sync::Arc;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_control::{Action, Actions, Arrival, Control, Event, RouteOptions};
use cumintrail_tests::fleet::{DIGEST_INTERVAL, snapshot_with_limits, start_daemon, transmit};
use cumintrail_types::{AccountKey, CallClass, CallKey, Moment, ServiceKey, Tokens, WeightVersion};

const DAEMONS: usize = 4;
const CONCURRENCY: usize = 40;
const STEP_MS: u64 = 20;
/// The time between two calls at each daemon.
const CALL_INTERVAL_MS: u64 = 100;

struct Fleet {
    daemons: Vec<Control>,
    now: u64,
    is_cut: bool,
    sent: [usize; DAEMONS],
    calls: u64,
}

impl Fleet {
    fn new() -> Self {
        let limits = format!("concurrency = {CONCURRENCY}\nrequests_per_second = 100000\n");
        let listed: Arc<Snapshot> = snapshot_with_limits(12, &limits);
        let start = |port: usize| start_daemon(port as u16, port as u64, DAEMONS as u16, &listed);
        let daemons = (1..=DAEMONS).map(start).collect();
        Self { daemons, now: 10_000, is_cut: false, sent: [0; DAEMONS], calls: 0 }
    }

    fn handle(&mut self, daemon: usize, event: Event) {
        let actions: Actions = self.daemons[daemon].handle(Moment::from_millis(self.now), event);
        for action in actions {
            match action {
                Action::Dispatch(_) => self.sent[daemon] += 1,
                Action::SendDigest { to, digest } => {
                    let to = usize::from(to.port()) - 1;
                    let crosses = (daemon < DAEMONS / 2) != (to < DAEMONS / 2);
                    if !(self.is_cut && crosses) {
                        self.handle(to, Event::PeerDigest(Box::new(transmit(*digest))));
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.now += STEP_MS;
            (0..DAEMONS).for_each(|daemon| self.handle(daemon, Event::Tick));
        }
    }

    /// Lets calls arrive that do not end, more than the account may have.
    fn fill(&mut self) {
        for _ in 0..CONCURRENCY {
            for daemon in 0..DAEMONS {
                self.calls += 1;
                let deadline = Moment::from_millis(self.now + 60_000);
                let arrival = Arrival {
                    call: CallKey(self.calls),
                    account: AccountKey(0),
                    class: CallClass::Once,
                    kind: TargetKind::Service(ServiceKey(0)),
                    version: WeightVersion(0),
                    blocks: Arc::from([]),
                    prompt: Tokens(0),
                    max_output: Tokens(0),
                    deadline,
                    options: RouteOptions::default(),
                };
                self.handle(daemon, Event::Arrived(arrival));
            }
            self.run(CALL_INTERVAL_MS);
        }
    }
}

/// Checks that daemons which hear each other admit the limit together, apart from calls of which the
/// next digest informs the others.
fn assert_kept_and_used(sent: &[usize]) {
    let interval = DIGEST_INTERVAL.as_millis() as u64;
    let unknown_calls = sent.len() * interval.div_ceil(CALL_INTERVAL_MS) as usize;
    let all: usize = sent.iter().sum();
    println!("{sent:?} of {CONCURRENCY}");
    assert!(all <= CONCURRENCY + unknown_calls, "{sent:?} of {CONCURRENCY}");
    assert!(all >= CONCURRENCY - sent.len(), "{sent:?} of {CONCURRENCY}");
}

#[test]
fn daemons_in_contact_keep_the_concurrency_of_an_account_and_use_it() {
    let mut fleet = Fleet::new();
    fleet.run(2_000);
    fleet.fill();
    assert_kept_and_used(&fleet.sent);
}

#[test]
fn each_side_of_a_cut_keeps_the_concurrency_of_an_account_and_uses_it() {
    let mut fleet = Fleet::new();
    fleet.run(2_000);
    fleet.is_cut = true;
    fleet.run(10_000);
    fleet.fill();
    fleet.sent.chunks(DAEMONS / 2).for_each(assert_kept_and_used);
}
