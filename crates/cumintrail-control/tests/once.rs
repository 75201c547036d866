//! Claims of idempotency keys against naive versions, over lost, late and crashed exchanges.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_control::once::{
    ClaimMachine, ClaimStep, KeyOutcome, KeyedRequest, OperationKeySigner, Record, RecordState,
    UnixMillis, UsedKeys, Verdict, VersionedRecord,
};
use cumintrail_types::{Digest, Incarnation, Moment, Ran, RefusalCode, WriteId};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const RETENTION: Duration = Duration::from_secs(3_600);
const REQUESTS: u8 = 5;

type Row = VersionedRecord<u8>;

/// What happens to the exchange that a request is in.
#[derive(Debug, Clone, Copy)]
enum ExchangeOutcome {
    Completed,
    ResponseLost,
    Delayed,
    Crash,
}

#[derive(Debug, Clone, Copy)]
struct Turn {
    request: u8,
    exchange: ExchangeOutcome,
    /// Which of the delayed writes takes effect before this turn, if any.
    delayed: usize,
}

#[derive(Debug, Clone)]
enum Phase {
    FirstRead,
    Inserting(u64),
    Reading,
    Claimed(u64),
    WritingOutcome(u64, RecordState<u8>),
    Refused(Ran),
    Replayed(u8),
    Done,
}

/// Stands for one request at one daemon; all show the same key and body.
struct Request {
    number: u8,
    keyed: KeyedRequest,
    claiming: ClaimMachine,
    phase: Phase,
    ran: bool,
    /// Sends the call when the answer to its insert is lost, as a naive daemon does.
    naive: bool,
}

#[derive(Default)]
struct World {
    row: Option<Row>,
    delayed: Vec<(u64, Record<u8>)>,
    executions: Vec<u8>,
}

impl World {
    /// Writes if the row has the demanded version; returns what was found otherwise.
    fn write(&mut self, version: u64, record: Record<u8>) -> Result<(), Option<Row>> {
        if self.row.as_ref().map_or(0, |r| r.version) != version {
            return Err(self.row.clone());
        }
        self.row = Some(VersionedRecord { version: version + 1, record });
        Ok(())
    }
}

impl Request {
    fn new(number: u8, naive: bool) -> Self {
        let claim_id = WriteId([number + 1; 16]);
        let keyed = KeyedRequest {
            claim_id,
            request_digest: Digest::of(b"two wheels"),
            retention: RETENTION,
        };
        let claiming = ClaimMachine::new(keyed, 0);
        Self { number, keyed, claiming, phase: Phase::FirstRead, ran: false, naive }
    }

    fn record(&self, state: RecordState<u8>) -> Record<u8> {
        let (claim_id, request_digest) = (self.keyed.claim_id, self.keyed.request_digest);
        Record {
            claim_id,
            request_digest,
            claimed_at: UnixMillis(0),
            response_deadline: UnixMillis(1_000),
            state,
        }
    }

    fn turn(&mut self, world: &mut World, exchange: ExchangeOutcome) {
        let now = UnixMillis(500);
        self.phase = match (self.phase.clone(), exchange) {
            (ended @ (Phase::Refused(_) | Phase::Replayed(_) | Phase::Done), _) => ended,
            (_, ExchangeOutcome::Crash) => Phase::Done,
            (Phase::FirstRead, ExchangeOutcome::Completed) => match world.row.clone() {
                None => self.follow_start(0),
                Some(row) => match self.keyed.check_record(now, row.record) {
                    Verdict::Unclaimed => self.follow_start(row.version),
                    verdict => stop(verdict),
                },
            },
            (Phase::FirstRead, _) => Phase::Refused(Ran::No),
            (Phase::Inserting(version), exchange) => self.insert(world, version, exchange),
            (Phase::Reading, ExchangeOutcome::Completed) => {
                let step = self.claiming.handle_read_response(now, world.row.clone());
                follow(step)
            }
            (Phase::Reading, _) => follow(self.claiming.handle_read_lost()),
            (Phase::Claimed(version), ExchangeOutcome::Delayed) => {
                Phase::WritingOutcome(version, RecordState::Released)
            }
            (Phase::Claimed(version), exchange) => {
                self.ran = true;
                world.executions.push(self.number);
                match exchange {
                    ExchangeOutcome::Completed => {
                        Phase::WritingOutcome(version, RecordState::Answered(self.number))
                    }
                    _ => Phase::Done,
                }
            }
            (Phase::WritingOutcome(version, state), exchange) => {
                let record = self.record(state.clone());
                match exchange {
                    ExchangeOutcome::Completed => {
                        let _ = world.write(version, record);
                        Phase::Done
                    }
                    ExchangeOutcome::ResponseLost => {
                        let _ = world.write(version, record);
                        Phase::WritingOutcome(version, state)
                    }
                    _ => {
                        world.delayed.push((version, record));
                        Phase::WritingOutcome(version, state)
                    }
                }
            }
        };
    }

    fn insert(&mut self, world: &mut World, version: u64, exchange: ExchangeOutcome) -> Phase {
        let record = self.record(RecordState::Claimed);
        let lost = if self.naive {
            ClaimStep::Run(version + 1)
        } else {
            self.claiming.handle_insert_lost()
        };
        match exchange {
            ExchangeOutcome::Completed => match world.write(version, record) {
                Ok(()) => follow(self.claiming.handle_insert_response(UnixMillis(500), None)),
                Err(None) => follow(lost),
                Err(found) => follow(self.claiming.handle_insert_response(UnixMillis(500), found)),
            },
            ExchangeOutcome::ResponseLost => {
                let _ = world.write(version, record);
                follow(lost)
            }
            _ => {
                world.delayed.push((version, record));
                follow(lost)
            }
        }
    }

    fn follow_start(&mut self, seen: u64) -> Phase {
        self.claiming = ClaimMachine::new(self.keyed, seen);
        follow(self.claiming.start::<u8>())
    }
}

fn follow(step: ClaimStep<u8>) -> Phase {
    match step {
        ClaimStep::Insert(version) => Phase::Inserting(version),
        ClaimStep::Read => Phase::Reading,
        ClaimStep::Run(version) => Phase::Claimed(version),
        ClaimStep::Stop(verdict) => stop(verdict),
        ClaimStep::Unavailable => Phase::Refused(Ran::No),
    }
}

fn stop(verdict: Verdict<u8>) -> Phase {
    match verdict {
        Verdict::Replay(answer) => Phase::Replayed(answer),
        Verdict::Refuse(refusal) => Phase::Refused(refusal.ran),
        Verdict::Run | Verdict::Unclaimed => panic!("a claim cannot stop with {verdict:?}"),
    }
}

/// Plays a schedule and returns the executions and the requests.
fn run_schedule(schedule: &[Turn], naive: bool) -> (World, Vec<Request>) {
    let mut world = World::default();
    let mut requests: Vec<Request> = (0..REQUESTS).map(|n| Request::new(n, naive)).collect();
    for turn in schedule {
        if turn.delayed < world.delayed.len() {
            let (version, record) = world.delayed.swap_remove(turn.delayed);
            let _ = world.write(version, record);
        }
        requests[usize::from(turn.request)].turn(&mut world, turn.exchange);
    }
    (world, requests)
}

fn schedules() -> impl Strategy<Value = Vec<Turn>> {
    let exchange = prop_oneof![
        6 => Just(ExchangeOutcome::Completed),
        2 => Just(ExchangeOutcome::ResponseLost),
        2 => Just(ExchangeOutcome::Delayed),
        1 => Just(ExchangeOutcome::Crash),
    ];
    let turn = (0..REQUESTS, exchange, 0..12_usize);
    let turn = turn.prop_map(|(request, exchange, delayed)| Turn { request, exchange, delayed });
    prop::collection::vec(turn, 1..60)
}

fn runner() -> TestRunner {
    let config = ProptestConfig { cases: 4_000, failure_persistence: None, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn a_claimed_call_runs_at_most_once_whatever_is_lost() {
    let naive_doubled = std::cell::Cell::new(0_u32);
    let result = runner().run(&schedules(), |schedule| {
        let (world, requests) = run_schedule(&schedule, false);
        prop_assert!(world.executions.len() <= 1, "ran for {:?}", world.executions);
        for request in &requests {
            match request.phase {
                Phase::Refused(Ran::No) => prop_assert!(!request.ran),
                Phase::Replayed(answer) => prop_assert_eq!(&world.executions, &vec![answer]),
                _ => {}
            }
        }
        Ok(())
    });
    result.unwrap();
    let counted = runner().run(&schedules(), |schedule| {
        let (world, _) = run_schedule(&schedule, true);
        naive_doubled.set(naive_doubled.get() + u32::from(world.executions.len() > 1));
        Ok(())
    });
    counted.unwrap();
    assert!(naive_doubled.get() > 0, "the schedules are too tame to show a doubled execution");
}

#[test]
fn without_faults_claims_decide_as_a_single_lock_does() {
    let orders = prop::collection::vec(0..REQUESTS, 1..40);
    let result = runner().run(&orders, |order| {
        let schedule = order.iter().map(|request| Turn {
            request: *request,
            exchange: ExchangeOutcome::Completed,
            delayed: usize::MAX,
        });
        let (world, requests) = run_schedule(&schedule.collect::<Vec<_>>(), false);
        // The lock's holder is whoever inserts first: the first request to take its second turn.
        let mut turns = HashMap::new();
        let holder = order.iter().find(|request| {
            let count = turns.entry(**request).or_insert(0);
            *count += 1;
            *count == 2
        });
        if let Some(first) = world.executions.first() {
            prop_assert_eq!(Some(first), holder);
        }
        for request in requests.iter().filter(|r| Some(&r.number) != holder) {
            prop_assert!(!request.ran);
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_record_is_judged_by_body_age_and_outcome() {
    let keyed = |claim, body: &[u8]| KeyedRequest {
        claim_id: WriteId([claim; 16]),
        request_digest: Digest::of(body),
        retention: RETENTION,
    };
    let own = keyed(1, b"two wheels");
    let record = |state| Record {
        claim_id: WriteId([1; 16]),
        request_digest: own.request_digest,
        claimed_at: UnixMillis(0),
        response_deadline: UnixMillis(1_000),
        state,
    };
    let code = |verdict| match verdict {
        Verdict::Refuse(refusal) => Some((refusal.code, refusal.ran)),
        Verdict::Run | Verdict::Unclaimed | Verdict::Replay(_) => None,
    };
    let soon = UnixMillis(500);
    let late = UnixMillis(RETENTION.as_millis() as u64);
    let (repeat, other) = (keyed(2, b"two wheels"), keyed(2, b"three wheels"));
    let answered = record(RecordState::Answered(7_u8));
    let claimed = record(RecordState::<u8>::Claimed);

    assert_eq!(own.check_record(soon, claimed.clone()), Verdict::Run);
    assert_eq!(repeat.check_record(soon, answered.clone()), Verdict::Replay(7));
    assert_eq!(other.check_record(soon, record(RecordState::<u8>::Released)), Verdict::Unclaimed);
    let cases = [
        (other.check_record(soon, answered.clone()), RefusalCode::KeyReused, Ran::No),
        (repeat.check_record(late, answered), RefusalCode::KeyExpired, Ran::Unknown),
        (repeat.check_record(soon, claimed.clone()), RefusalCode::InProgress, Ran::Unknown),
        (
            repeat.check_record(UnixMillis(1_000), claimed),
            RefusalCode::OutcomeUnknown,
            Ran::Unknown,
        ),
    ];
    for (verdict, expected, ran) in cases {
        assert_eq!(code(verdict), Some((expected, ran)));
    }
}

#[test]
fn an_operation_key_is_genuine_only_for_its_account_and_unchanged() {
    let signer = OperationKeySigner::new("peer-key-for-all-tests");
    let address = "10.0.0.7:7011".parse().unwrap();
    let id = WriteId([9; 16]);
    let key = signer.issue("kesong", address, Incarnation(3), Moment(5), id);
    let text = key.to_string();
    let parsed = text.parse().unwrap();
    assert_eq!(key, parsed);
    assert!(signer.verifies("kesong", &parsed));
    assert!(!signer.verifies("litera", &parsed));
    assert!(!OperationKeySigner::new("another-key-altogether").verifies("kesong", &parsed));
    let moved = text.replace("10.0.0.7", "10.0.0.8").parse().unwrap();
    assert!(!signer.verifies("kesong", &moved));
}

#[test]
fn used_operation_keys_decide_as_an_unbounded_map_does() {
    let steps = prop::collection::vec((0..6_u8, 0..4_u8, 0..2_u8, 0..400_u64), 1..80);
    let life = Duration::from_secs(1);
    let result = runner().run(&steps, |steps| {
        let signer = OperationKeySigner::new("peer-key-for-all-tests");
        let mut used = UsedKeys::new(life);
        let mut naive: HashMap<u8, (u8, Option<Option<u8>>)> = HashMap::new();
        let mut now = Moment(0);
        for (name, end, body, wait) in steps {
            now = now + Duration::from_millis(wait);
            let issued = Moment::from_millis(u64::from(name) * 300);
            if issued > now {
                continue;
            }
            let address = "10.0.0.7:7011".parse().unwrap();
            let id = WriteId([name; 16]);
            let key = signer.issue("kesong", address, Incarnation(3), issued, id);
            let verdict = used.begin(now, &key, Digest::of(&[body]));
            let expected = match naive.get(&name) {
                _ if now.since(issued) >= life => Some(RefusalCode::KeyExpired),
                Some((first, _)) if *first != body => Some(RefusalCode::KeyReused),
                Some((_, None)) => Some(RefusalCode::InProgress),
                Some((_, Some(None))) => Some(RefusalCode::OutcomeUnknown),
                Some((_, Some(Some(answer)))) => {
                    prop_assert_eq!(verdict, Verdict::Replay(*answer));
                    continue;
                }
                None => None,
            };
            if let Some(code) = expected {
                let refused = matches!(&verdict, Verdict::Refuse(r) if r.code == code);
                prop_assert!(refused, "{verdict:?} instead of {code}");
                continue;
            }
            prop_assert_eq!(verdict, Verdict::Run);
            let ended = match end {
                0 => Some(None),
                1 => Some(Some(KeyOutcome::NotSent)),
                2 => Some(Some(KeyOutcome::Unknown)),
                _ => Some(Some(KeyOutcome::Answered(name, 1))),
            };
            match ended.flatten() {
                None => drop(naive.insert(name, (body, None))),
                Some(end) => {
                    let outcome = match &end {
                        KeyOutcome::Answered(answer, _) => Some(*answer),
                        _ => None,
                    };
                    if end != KeyOutcome::NotSent {
                        naive.insert(name, (body, Some(outcome)));
                    }
                    used.end(id, end);
                }
            }
        }
        Ok(())
    });
    result.unwrap();
}
