//! Compares the index of keys with recorded responses with a naive retention that removes rows,
//! while requests and responses of the platform are lost or delayed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cumintrail_client::retention::{SweepOutcome, index_responses, sweep};
use cumintrail_client::{ClientError, ObjectStore, Table};
use cumintrail_control::once::{KeyedRequest, SHARDS, UnixMillis, Verdict, VersionedRecord};
use cumintrail_types::{Digest, RefusalCode, WriteId};
use cumintrail_wire::platform::{Row, Transaction, TransactionResponse};
use cumintrail_wire::record::{ClaimRecord, response_object_name};
use cumintrail_wire::retention::IndexedResponse;
use futures_util::future::join;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const RETENTION: Duration = Duration::from_secs(4 * 3_600);
const START_MS: u64 = 1_000 * 3_600_000;
const MINUTE_MS: u64 = 60_000;
/// The number of later requests to the platform before a delayed transaction arrives.
const DELAY: usize = 60;
// Faults of a request to the platform; 0 is a successful request.
const REQUEST_LOST: u8 = 1;
const RESPONSE_LOST: u8 = 2;
const DELAYED: u8 = 3;

#[derive(Debug, Clone, Copy)]
enum Step {
    Record { large: bool, shard: u64 },
    Wait { minutes: u64 },
    Sweep { shards: (u64, u64) },
}

#[derive(Default)]
struct Platform {
    rows: RefCell<BTreeMap<String, Row>>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    /// Faults of the next requests; the last one is used first.
    faults: RefCell<Vec<u8>>,
    /// Delayed transactions, each with the index of the request before which it takes effect.
    delayed: RefCell<Vec<(usize, Transaction)>>,
    requests: Cell<usize>,
}

impl Platform {
    async fn request<T>(&self, effect: impl FnOnce() -> T) -> Result<T, ClientError> {
        self.requests.set(self.requests.get() + 1);
        tokio::task::yield_now().await;
        let now = self.requests.get();
        let due =
            self.delayed.borrow_mut().extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        for (_, transaction) in due {
            self.run(&transaction);
        }
        match self.faults.borrow_mut().pop().unwrap_or(0) {
            REQUEST_LOST | DELAYED => Err(ClientError::Timeout),
            RESPONSE_LOST => {
                effect();
                Err(ClientError::Timeout)
            }
            _ => Ok(effect()),
        }
    }

    fn run(&self, transaction: &Transaction) -> TransactionResponse {
        let conditions = &transaction.conditions;
        let committed = conditions.iter().all(|c| self.version(&c.key) == c.version);
        for write in transaction.writes.iter().filter(|_| committed) {
            self.write(write.key.clone(), write.value.clone());
        }
        TransactionResponse { committed, found: Vec::new(), version: None }
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.borrow().get(key).map_or(0, |r| r.version)
    }

    fn write(&self, key: String, value: Option<String>) {
        let version = self.version(&key) + 1;
        match value {
            Some(value) => drop(self.rows.borrow_mut().insert(key, Row { version, value })),
            None => drop(self.rows.borrow_mut().remove(&key)),
        }
    }

    /// Returns the verdict on a repeated request at `now`; without a row the key is unclaimed.
    fn check_key(&self, row: &str, now: UnixMillis) -> Verdict<()> {
        let request = KeyedRequest {
            claim_id: WriteId([7; 16]),
            request_digest: Digest::of(b"two wheels"),
            retention: RETENTION,
        };
        let Some(row) = self.rows.borrow().get(row).cloned() else {
            return Verdict::Unclaimed;
        };
        let record: ClaimRecord = serde_json::from_str(&row.value).unwrap();
        let found = VersionedRecord { version: row.version, record: record.into() };
        match request.check_record(now, found.record) {
            Verdict::Replay(_) => Verdict::Replay(()),
            Verdict::Refuse(refusal) => Verdict::Refuse(refusal),
            Verdict::Run => Verdict::Run,
            Verdict::Unclaimed => Verdict::Unclaimed,
        }
    }
}

impl Table for Platform {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionResponse, ClientError> {
        if self.faults.borrow().last() == Some(&DELAYED) {
            let arrival = self.requests.get() + DELAY;
            self.delayed.borrow_mut().push((arrival, transaction.clone()));
        }
        self.request(|| self.run(transaction)).await
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, ClientError> {
        self.request(|| self.rows.borrow().get(key).cloned()).await
    }
}

impl ObjectStore for Platform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ClientError> {
        self.request(|| drop(self.objects.borrow_mut().insert(name.to_owned(), body))).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, ClientError> {
        self.request(|| self.objects.borrow().get(name).cloned()).await
    }

    async fn remove(&self, name: &str) -> Result<(), ClientError> {
        self.request(|| drop(self.objects.borrow_mut().remove(name))).await
    }
}

/// Runs the steps, and tracks each key with a recorded response, its time, and whether it was
/// indexed.
#[derive(Default)]
struct World {
    platform: Platform,
    recorded: Vec<(String, UnixMillis, bool)>,
    now_ms: u64,
}

impl World {
    fn now(&self) -> UnixMillis {
        UnixMillis(START_MS + self.now_ms)
    }

    async fn record_response(&mut self, large: bool, shard: u64) {
        let id = WriteId([self.recorded.len() as u8; 16]);
        let row = format!("once/{id}");
        let now = self.now();
        let response = serde_json::json!({ "status": 200, "headers": [], "body": { "text": "" } });
        let record = serde_json::json!({
            "claim": id, "request": Digest::of(b"two wheels"), "claimed_ms": now.0,
            "answer_by_ms": now.0, "state": { "answered": response },
        });
        self.platform.write(row.clone(), Some(record.to_string()));
        if large {
            self.platform.objects.borrow_mut().insert(response_object_name(id), Bytes::new());
        }
        let key = IndexedResponse { row: row.clone(), object: large.then_some(id) };
        let indexed = index_responses(&self.platform, now, shard, &[key]).await.is_ok();
        self.recorded.push((row, now, indexed));
    }

    /// Counts the keys that would run again under a naive retention, which removes rows after the
    /// retention time.
    fn naive_reruns(&self) -> u32 {
        let naive = Platform { rows: self.platform.rows.clone(), ..Platform::default() };
        let old = self.recorded.iter().filter(|(_, at, _)| self.now().since(*at) >= RETENTION);
        old.for_each(|(row, ..)| naive.write(row.clone(), None));
        let free = self
            .recorded
            .iter()
            .filter(|(row, ..)| naive.check_key(row, self.now()) == Verdict::Unclaimed);
        free.count() as u32
    }

    /// Checks that no key can run again, and that each response expires at its retention time.
    fn check(&self) -> Result<(), TestCaseError> {
        for (row, at, _) in &self.recorded {
            let verdict = self.platform.check_key(row, self.now());
            let expired = match &verdict {
                Verdict::Replay(()) => false,
                Verdict::Refuse(refusal) => refusal.code == RefusalCode::KeyExpired,
                Verdict::Run | Verdict::Unclaimed => panic!("{row} runs again"),
            };
            prop_assert_eq!(expired, self.now().since(*at) >= RETENTION, "{:?}", verdict);
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let shard = || 0..3_u64;
    let step = prop_oneof![
        3 => (any::<bool>(), shard()).prop_map(|(large, shard)| Step::Record { large, shard }),
        2 => (1..200_u64).prop_map(|minutes| Step::Wait { minutes }),
        3 => (shard(), shard()).prop_map(|shards| Step::Sweep { shards }),
    ];
    prop::collection::vec(step, 1..60)
}

fn runner() -> TestRunner {
    let config = ProptestConfig { cases: 1_000, failure_persistence: None, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn no_key_runs_again_and_all_noted_answers_go_in_the_end() {
    let system = actix_rt::System::new();
    let faults = prop::collection::vec(prop_oneof![6 => Just(0_u8), 1 => 1..4_u8], 0..400);
    let naive_reruns = Cell::new(0_u32);
    let result = runner().run(&(steps(), faults), |(steps, faults)| {
        system.block_on(async {
            let mut world = World::default();
            *world.platform.faults.borrow_mut() = faults;
            for step in steps {
                match step {
                    Step::Record { large, shard } => world.record_response(large, shard).await,
                    Step::Wait { minutes } => world.now_ms += minutes * MINUTE_MS,
                    Step::Sweep { shards: (a, b) } => {
                        let (platform, now) = (&world.platform, world.now());
                        let one = sweep(platform, now, RETENTION, a);
                        let _ = join(one, sweep(platform, now, RETENTION, b)).await;
                    }
                }
                world.check()?;
                naive_reruns.set(naive_reruns.get() + world.naive_reruns());
            }
            finish(&mut world).await
        })
    });
    result.unwrap();
    assert!(naive_reruns.get() > 0, "no key would run again under the naive retention");
}

/// Sweeps without faults until nothing has expired, and checks the number of requests per sweep.
async fn finish(world: &mut World) -> Result<(), TestCaseError> {
    world.platform.faults.borrow_mut().clear();
    world.now_ms += RETENTION.as_millis() as u64 + 3 * 60 * MINUTE_MS;
    let now = world.now();
    let mut idle = 0;
    for round in 0..40_000_u64 {
        let before = world.platform.requests.get();
        let swept = sweep(&world.platform, now, RETENTION, round % SHARDS).await.unwrap();
        let requests = world.platform.requests.get() - before;
        prop_assert!(requests <= 3 + SHARDS as usize, "{requests} requests in one sweep");
        idle = if swept == SweepOutcome::NothingExpired { idle + 1 } else { 0 };
        if idle > 2 * DELAY {
            break;
        }
    }
    world.check()?;
    for (row, _, indexed) in world.recorded.iter().filter(|(_, _, indexed)| *indexed) {
        let value = world.platform.rows.borrow()[row].value.clone();
        prop_assert!(value.contains("expired"), "{indexed} {value}");
    }
    let remaining =
        world.platform.rows.borrow().keys().filter(|k| k.starts_with("once-index/")).count();
    prop_assert!(remaining <= 1, "{remaining} rows remain in the index");
    Ok(())
}

#[test]
fn a_delayed_sweep_does_not_bring_back_a_shard_that_others_have_emptied() {
    actix_rt::System::new().block_on(async {
        let mut world = World::default();
        for _ in 0..3 {
            world.record_response(false, 0).await;
        }
        world.now_ms += RETENTION.as_millis() as u64 + 3 * 60 * MINUTE_MS;
        // The first sweep moves past the oldest hour, which precedes the responses. In the next
        // sweep, the request after the reads of the cursor, the head and two segments is the
        // transaction.
        assert_eq!(
            sweep(&world.platform, world.now(), RETENTION, 0).await.unwrap(),
            SweepOutcome::Advanced
        );
        *world.platform.faults.borrow_mut() = vec![DELAYED, 0, 0, 0, 0];
        assert!(sweep(&world.platform, world.now(), RETENTION, 0).await.is_err());
        finish(&mut world).await.unwrap();
    });
}
