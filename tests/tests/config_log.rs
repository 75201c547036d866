//! Compares the change log with a naive sequential log under random schedules, losses and delays.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use cumintrail_client::config_log::{self, Outcome, Proposal, read_configuration, read_head};
use cumintrail_client::{ClientError, ObjectStore, Table};
use cumintrail_config::{Delta, SectionName};
use cumintrail_types::Generation;
use cumintrail_wire::configuration::Configuration;
use cumintrail_wire::peer::{ChangeRecord, HEAD_KEY, HeadRecord};
use cumintrail_wire::platform::{Condition, Row, Transaction, TransactionResponse};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The delays and losses of one request to the platform.
#[derive(Debug, Clone, Copy)]
struct RequestFault {
    wait_before: u8,
    wait_after: u8,
    lost_before: bool,
    lost_after: bool,
}

#[derive(Default)]
struct Platform {
    rows: RefCell<BTreeMap<String, Row>>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    /// The ids of the committed changes in order; this is the naive log.
    committed: RefCell<Vec<String>>,
    /// Faults of the next requests; the last one is used first.
    faults: RefCell<Vec<RequestFault>>,
    reads: RefCell<usize>,
}

/// Yields to the scheduler `times` times.
async fn yield_times(times: u8) {
    let mut left = times;
    std::future::poll_fn(|_| {
        if left == 0 {
            return Poll::Ready(());
        }
        left -= 1;
        Poll::Pending
    })
    .await;
}

impl Platform {
    async fn exchange<T>(&self, effect: impl FnOnce() -> T) -> Result<T, ClientError> {
        let fault = self.faults.borrow_mut().pop();
        let Some(fault) = fault else {
            return Ok(effect());
        };
        yield_times(fault.wait_before).await;
        if fault.lost_before {
            return Err(ClientError::Timeout);
        }
        let response = effect();
        yield_times(fault.wait_after).await;
        if fault.lost_after { Err(ClientError::Timeout) } else { Ok(response) }
    }

    fn write(&self, transaction: &Transaction) -> TransactionResponse {
        let mut rows = self.rows.borrow_mut();
        let conditions = transaction.conditions.iter();
        let found: Vec<Option<Row>> = conditions.map(|c| rows.get(&c.key).cloned()).collect();
        let holds = |(c, row): (&Condition, &Option<Row>)| {
            row.as_ref().map_or(0, |r| r.version) == c.version
        };
        let committed = transaction.conditions.iter().zip(&found).all(holds);
        for write in transaction.writes.iter().filter(|_| committed) {
            let version = rows.get(&write.key).map_or(0, |r| r.version) + 1;
            let Some(value) = write.value.clone() else {
                rows.remove(&write.key);
                continue;
            };
            if write.key == HEAD_KEY {
                let head: HeadRecord = serde_json::from_str(&value).unwrap();
                self.committed.borrow_mut().push(head.change);
            }
            rows.insert(write.key.clone(), Row { version, value });
        }
        TransactionResponse { committed, found, version: None }
    }
}

impl Table for Platform {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionResponse, ClientError> {
        self.exchange(|| self.write(transaction)).await
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, ClientError> {
        *self.reads.borrow_mut() += 1;
        self.exchange(|| self.rows.borrow().get(key).cloned()).await
    }
}

impl ObjectStore for Platform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ClientError> {
        self.exchange(|| drop(self.objects.borrow_mut().insert(name.to_owned(), body))).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, ClientError> {
        *self.reads.borrow_mut() += 1;
        self.exchange(|| self.objects.borrow().get(name).cloned()).await
    }

    async fn remove(&self, name: &str) -> Result<(), ClientError> {
        self.exchange(|| drop(self.objects.borrow_mut().remove(name))).await
    }
}

/// Returns the section that a change sets to its own id; each operator has one section.
fn section_of(id: &str) -> SectionName {
    let operator = id.split('-').next().unwrap_or_default();
    SectionName { kind: "account".into(), name: operator.into() }
}

async fn change(platform: &Platform, id: &str) -> Option<Outcome> {
    let head = read_head(platform).await.ok()?;
    let current = read_configuration(platform, &head, &Configuration::default()).await.ok()?;
    let delta = Delta { set: vec![(section_of(id), id.into())], removed: Vec::new() };
    let mut sections = current.sections;
    sections.apply(&delta);
    let (id, preset, retry_delay) = (id.to_owned(), id.into(), Duration::ZERO);
    let proposal = Proposal { head, id, delta, preset, retry_delay };
    Some(config_log::propose(platform, &proposal, &sections).await)
}

async fn operate(platform: &Platform, operator: usize, changes: usize) {
    for i in 0..changes {
        let id = format!("operator{operator}-{i}");
        let outcome = change(platform, &id).await;
        let committed = platform.committed.borrow();
        let expected = committed.iter().position(|a| *a == id).map(|at| Generation(at as u64 + 1));
        match outcome {
            Some(Outcome::Committed(generation)) => assert_eq!(expected, Some(generation)),
            Some(Outcome::Conflict | Outcome::Failed(_)) | None => assert_eq!(expected, None),
            Some(Outcome::Unknown(_)) => {}
        }
    }
}

/// Reads the log from the platform as one task of `config_sync` does.
async fn sync_from_platform(platform: &Platform, own: &RefCell<Configuration>) {
    for _ in 0..8 {
        let before = own.borrow().clone();
        let Ok(head) = read_head(platform).await else { continue };
        let Ok(next) = read_configuration(platform, &head, &before).await else { continue };
        adopt(platform, own, next);
    }
}

/// Requests changes from another daemon as the other task of `config_sync` does; responses may be
/// delayed.
async fn sync_from_peer(
    platform: &Platform,
    own: &RefCell<Configuration>,
    peer: &RefCell<Configuration>,
) {
    for round in 0..8 {
        let before = own.borrow().clone();
        yield_times(round).await;
        let response = peer.borrow().reply_to(before.generation);
        yield_times(3 * round).await;
        adopt(platform, own, before.with_reply(response));
    }
}

fn adopt(platform: &Platform, own: &RefCell<Configuration>, next: Configuration) {
    let mut current = own.borrow_mut();
    if next.supersedes(current.generation) {
        assert!(next.generation > current.generation, "the generation did not increase");
        check(platform, &next);
        *current = next;
    }
}

/// Checks that a configuration equals the result of the naive log's changes, applied in order.
fn check(platform: &Platform, found: &Configuration) {
    let committed = platform.committed.borrow();
    let mut naive = BTreeMap::new();
    for id in &committed[..found.generation.0 as usize] {
        naive.insert(section_of(id), id.as_str());
    }
    let sections = found.sections.0.iter().map(|(name, body)| (name.clone(), &**body));
    assert_eq!(sections.collect::<BTreeMap<_, _>>(), naive);
    assert_eq!(*found.preset, *committed[found.generation.0 as usize - 1]);
}

type Task<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Polls the tasks in the order of `schedule`, then in turn until all are done.
fn run_all(mut tasks: Vec<Task<'_>>, schedule: &[u8]) {
    let mut cx = Context::from_waker(Waker::noop());
    let mut order = schedule.iter().map(|b| *b as usize).chain(0..);
    while !tasks.is_empty() {
        let at = order.next().unwrap_or_default() % tasks.len();
        if tasks[at].as_mut().poll(&mut cx).is_ready() {
            drop(tasks.swap_remove(at));
        }
    }
}

fn faults() -> impl Strategy<Value = Vec<RequestFault>> {
    let fault = (0..6_u8, 0..12_u8, prop::bool::weighted(0.1), prop::bool::weighted(0.2));
    let fault = fault.prop_map(|(wait_before, wait_after, lost_before, lost_after)| RequestFault {
        wait_before,
        wait_after,
        lost_before,
        lost_after,
    });
    prop::collection::vec(fault, 0..200)
}

#[test]
fn generations_only_rise_and_all_agree_on_their_content() {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let input = (faults(), prop::collection::vec(any::<u8>(), 0..400), 0..70_usize);
    let run = |(faults, schedule, earlier): (Vec<RequestFault>, Vec<u8>, usize)| {
        let platform = Platform::default();
        run_all(vec![Box::pin(operate(&platform, 9, earlier))], &[]);
        *platform.faults.borrow_mut() = faults;
        let daemons: Vec<RefCell<Configuration>> = (0..3).map(|_| RefCell::default()).collect();
        let mut tasks: Vec<Task<'_>> = Vec::new();
        for i in 0..3 {
            tasks.push(Box::pin(operate(&platform, i, 4)));
            tasks.push(Box::pin(sync_from_platform(&platform, &daemons[i])));
            tasks.push(Box::pin(sync_from_peer(&platform, &daemons[i], &daemons[(i + 1) % 3])));
        }
        run_all(tasks, &schedule);
        let committed = platform.committed.borrow();
        let once: BTreeSet<&String> = committed.iter().collect();
        assert_eq!(once.len(), committed.len(), "a change was committed twice");
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&input, run).unwrap();
}

#[test]
fn a_lost_answer_is_settled_when_later_changes_lie_on_top() {
    let platform = Platform::default();
    let plain =
        RequestFault { wait_before: 0, wait_after: 0, lost_before: false, lost_after: false };
    run_all(vec![Box::pin(operate(&platform, 9, 1))], &[]);
    // Three reads succeed: the head, its change and the snapshot. The commit then takes effect, and
    // its response is lost after others have changed the configuration twice.
    let lost = RequestFault { wait_after: 9, lost_after: true, ..plain };
    *platform.faults.borrow_mut() = vec![lost, plain, plain, plain];
    let first = async {
        let outcome = change(&platform, "operator0-0").await;
        assert!(matches!(outcome, Some(Outcome::Committed(Generation(2)))), "{outcome:?}");
    };
    let others = async {
        yield_times(3).await;
        operate(&platform, 1, 2).await;
    };
    run_all(vec![Box::pin(first), Box::pin(others)], &[]);
    assert_eq!(platform.committed.borrow().len(), 4);
}

#[test]
fn changes_that_are_repeated_or_leave_a_gap_are_passed_over() {
    let change_to = |generation: u64| ChangeRecord {
        generation: Generation(generation),
        change: format!("operator0-{generation}"),
        delta: Delta::default(),
        preset: format!("operator0-{generation}").into(),
    };
    let mut found = Configuration::default();
    found.generation = Generation(1);
    found.apply([2, 1, 2, 4, 3, 2, 5].map(change_to));
    assert_eq!((found.generation, &*found.preset), (Generation(3), "operator0-3"));
}

#[test]
fn a_new_daemon_reads_little_however_long_the_log_is() {
    let platform = Platform::default();
    run_all(vec![Box::pin(operate(&platform, 0, 1_300))], &[]);
    *platform.reads.borrow_mut() = 0;
    let read = async {
        let head = read_head(&platform).await.unwrap();
        let fresh = read_configuration(&platform, &head, &Configuration::default()).await.unwrap();
        assert_eq!(fresh.generation, Generation(1_300));
        check(&platform, &fresh);
    };
    run_all(vec![Box::pin(read)], &[]);
    assert!(*platform.reads.borrow() <= 3 + 64, "{} reads", platform.reads.borrow());
    assert!(platform.objects.borrow().len() <= 2, "old snapshots were not removed");
    assert!(platform.rows.borrow().len() <= 1_024 + 1, "the log was not trimmed");
}
