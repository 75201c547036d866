//! The change log against a naive sequential one, under every order of events.

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

/// Decides what the platform does with one exchange, taken in turn.
#[derive(Debug, Clone, Copy)]
struct Fate {
    wait_before: u8,
    wait_after: u8,
    lost_before: bool,
    lost_after: bool,
}

#[derive(Default)]
struct Platform {
    rows: RefCell<BTreeMap<String, Row>>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    /// The ids of the accepted changes in order: the naive log.
    accepted: RefCell<Vec<String>>,
    fates: RefCell<Vec<Fate>>,
    reads: RefCell<usize>,
}

/// Lets the scheduler run others `times` times.
async fn pass(times: u8) {
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
        let fate = self.fates.borrow_mut().pop();
        let Some(fate) = fate else {
            return Ok(effect());
        };
        pass(fate.wait_before).await;
        if fate.lost_before {
            return Err(ClientError::Timeout);
        }
        let answer = effect();
        pass(fate.wait_after).await;
        if fate.lost_after { Err(ClientError::Timeout) } else { Ok(answer) }
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
                self.accepted.borrow_mut().push(head.change);
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

/// Each change sets the section of its operator to its own id.
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
        let accepted = platform.accepted.borrow();
        let place = accepted.iter().position(|a| *a == id).map(|at| Generation(at as u64 + 1));
        match outcome {
            Some(Outcome::Committed(generation)) => assert_eq!(place, Some(generation)),
            Some(Outcome::Conflict | Outcome::Failed(_)) | None => assert_eq!(place, None),
            Some(Outcome::Unknown(_)) => {}
        }
    }
}

/// Follows the log as one task of `config_sync` does.
async fn follow_platform(platform: &Platform, own: &RefCell<Configuration>) {
    for _ in 0..8 {
        let before = own.borrow().clone();
        let Ok(head) = read_head(platform).await else { continue };
        let Ok(next) = read_configuration(platform, &head, &before).await else { continue };
        adopt(platform, own, next);
    }
}

/// Asks another daemon as the other task of `config_sync` does; replies may be late.
async fn follow_peer(
    platform: &Platform,
    own: &RefCell<Configuration>,
    peer: &RefCell<Configuration>,
) {
    for round in 0..8 {
        let before = own.borrow().clone();
        pass(round).await;
        let reply = peer.borrow().reply_to(before.generation);
        pass(3 * round).await;
        adopt(platform, own, before.with_reply(reply));
    }
}

fn adopt(platform: &Platform, own: &RefCell<Configuration>, next: Configuration) {
    let mut current = own.borrow_mut();
    if next.supersedes(current.generation) {
        assert!(next.generation > current.generation, "a generation went back");
        check(platform, &next);
        *current = next;
    }
}

/// Compares with the naive log: one change after the other, nothing else.
fn check(platform: &Platform, found: &Configuration) {
    let accepted = platform.accepted.borrow();
    let mut naive = BTreeMap::new();
    for id in &accepted[..found.generation.0 as usize] {
        naive.insert(section_of(id), id.as_str());
    }
    let sections = found.sections.0.iter().map(|(name, body)| (name.clone(), &**body));
    assert_eq!(sections.collect::<BTreeMap<_, _>>(), naive);
    assert_eq!(*found.preset, *accepted[found.generation.0 as usize - 1]);
}

type Task<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Polls the tasks in the order that `schedule` gives, then in turn until all are done.
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

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate = (0..6_u8, 0..12_u8, prop::bool::weighted(0.1), prop::bool::weighted(0.2));
    let fate = fate.prop_map(|(wait_before, wait_after, lost_before, lost_after)| Fate {
        wait_before,
        wait_after,
        lost_before,
        lost_after,
    });
    prop::collection::vec(fate, 0..200)
}

#[test]
fn generations_only_rise_and_all_agree_on_their_content() {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let input = (fates(), prop::collection::vec(any::<u8>(), 0..400), 0..70_usize);
    let run = |(fates, schedule, earlier): (Vec<Fate>, Vec<u8>, usize)| {
        let platform = Platform::default();
        run_all(vec![Box::pin(operate(&platform, 9, earlier))], &[]);
        *platform.fates.borrow_mut() = fates;
        let daemons: Vec<RefCell<Configuration>> = (0..3).map(|_| RefCell::default()).collect();
        let mut tasks: Vec<Task<'_>> = Vec::new();
        for i in 0..3 {
            tasks.push(Box::pin(operate(&platform, i, 4)));
            tasks.push(Box::pin(follow_platform(&platform, &daemons[i])));
            tasks.push(Box::pin(follow_peer(&platform, &daemons[i], &daemons[(i + 1) % 3])));
        }
        run_all(tasks, &schedule);
        let accepted = platform.accepted.borrow();
        let once: BTreeSet<&String> = accepted.iter().collect();
        assert_eq!(once.len(), accepted.len(), "a change was accepted twice");
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&input, run).unwrap();
}

#[test]
fn a_lost_answer_is_settled_when_later_changes_lie_on_top() {
    let platform = Platform::default();
    let plain = Fate { wait_before: 0, wait_after: 0, lost_before: false, lost_after: false };
    run_all(vec![Box::pin(operate(&platform, 9, 1))], &[]);
    // The head, its change and the snapshot are read; then the commit takes effect and its answer
    // is lost after others have changed the configuration twice.
    let lost = Fate { wait_after: 9, lost_after: true, ..plain };
    *platform.fates.borrow_mut() = vec![lost, plain, plain, plain];
    let first = async {
        let outcome = change(&platform, "operator0-0").await;
        assert!(matches!(outcome, Some(Outcome::Committed(Generation(2)))), "{outcome:?}");
    };
    let others = async {
        pass(3).await;
        operate(&platform, 1, 2).await;
    };
    run_all(vec![Box::pin(first), Box::pin(others)], &[]);
    assert_eq!(platform.accepted.borrow().len(), 4);
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
    assert!(platform.objects.borrow().len() <= 2, "old snapshots are not removed");
    assert!(platform.rows.borrow().len() <= 1_024 + 1, "the log is not trimmed");
}
