//! Compares reads of stored blocks with naive reads, on random writes, losses and repeated calls.
//!
//! The naive key covers only the prompt; the naive read accepts any bytes stored under the key.

use std::collections::BTreeMap;

use cumintrail_types::{BlockKey, Bytes, Digest, KeyChain, Sealed, WeightVersion, WriteId};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 512;
const OPERATIONS: usize = 40;
const BLOCKS: usize = 3;
const STATE_BYTES: usize = 64;

/// A prompt of one client account, computed with one weight version.
#[derive(Debug, Clone)]
struct Prompt {
    account: u8,
    version: u64,
    /// One letter per block, so that prompts of all accounts and versions often share a prefix.
    text: Vec<u8>,
}

#[derive(Debug, Clone)]
enum Operation {
    /// Computes a prompt and stores its blocks; a torn write loses half of the bytes.
    Store(Prompt, bool),
    /// Frees a block without an update to the directory.
    Free(prop::sample::Index),
    /// Replaces a block with the bytes of another write under the same key.
    Reuse(prop::sample::Index),
    /// Changes a block's bytes under its unchanged seal.
    Damage(prop::sample::Index),
    /// Reads the blocks of a prompt.
    Read(Prompt),
}

fn prompt() -> impl Strategy<Value = Prompt> {
    let text = prop::collection::vec(prop::sample::select(b"ab".to_vec()), BLOCKS);
    (0..2_u8, 1..=2_u64, text).prop_map(|(account, version, text)| Prompt {
        account,
        version,
        text,
    })
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (prompt(), prop::bool::weighted(0.1)).prop_map(|(p, torn)| Operation::Store(p, torn)),
        1 => any::<prop::sample::Index>().prop_map(Operation::Free),
        1 => any::<prop::sample::Index>().prop_map(Operation::Reuse),
        1 => any::<prop::sample::Index>().prop_map(Operation::Damage),
        4 => prompt().prop_map(Operation::Read),
    ]
}

/// Selects which steps are replaced by naive ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reader {
    naive_key: bool,
    naive_read: bool,
}

const OURS: Reader = Reader { naive_key: false, naive_read: false };
const NAIVE_KEY: Reader = Reader { naive_key: true, ..OURS };
const NAIVE_READ: Reader = Reader { naive_read: true, ..OURS };

impl Reader {
    fn keys(self, prompt: &Prompt) -> Vec<BlockKey> {
        let (secret, version) = if self.naive_key {
            (b"one for all".to_vec(), WeightVersion(0))
        } else {
            (vec![prompt.account; 32], WeightVersion(prompt.version))
        };
        let mut chain = KeyChain::new(&secret, "curd", "", version);
        prompt.text.iter().map(|letter| chain.next_key(&[*letter])).collect()
    }
}

/// Computes the only correct state after a number of blocks, for one account and version.
fn state(prompt: &Prompt, blocks: usize) -> Vec<u8> {
    let name = format!("{} {} {:?}", prompt.account, prompt.version, &prompt.text[..blocks]);
    name.into_bytes().into_iter().cycle().take(STATE_BYTES).collect()
}

struct Block {
    write_id: WriteId,
    bytes: Vec<u8>,
}

/// Counts the reads of one case by result.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    right: u32,
    wrong: u32,
    /// Stored blocks with the correct bytes that were not read.
    rejected: u32,
}

/// A store, and a directory that is updated only by writes.
struct Simulation {
    reader: Reader,
    stored: BTreeMap<BlockKey, Block>,
    seals: BTreeMap<BlockKey, Sealed>,
    writes: u8,
    outcome: Outcome,
}

impl Simulation {
    fn run(reader: Reader, operations: &[Operation]) -> Outcome {
        let (stored, seals) = (BTreeMap::new(), BTreeMap::new());
        let mut simulation = Self { reader, stored, seals, writes: 0, outcome: Outcome::default() };
        for operation in operations {
            match operation {
                Operation::Store(prompt, torn) => simulation.store(prompt, *torn),
                Operation::Free(index) => {
                    let key = simulation.pick(*index);
                    key.and_then(|key| simulation.stored.remove(&key));
                }
                Operation::Reuse(index) => {
                    let write_id = simulation.next_write();
                    simulation.change(*index, |block| {
                        *block = Block { write_id, bytes: vec![write_id.0[0]; STATE_BYTES] };
                    });
                }
                Operation::Damage(index) => simulation.change(*index, |block| block.bytes.fill(0)),
                Operation::Read(prompt) => simulation.read(prompt),
            }
        }
        simulation.outcome
    }

    fn next_write(&mut self) -> WriteId {
        self.writes += 1;
        WriteId([self.writes; 16])
    }

    fn pick(&self, index: prop::sample::Index) -> Option<BlockKey> {
        let keys: Vec<BlockKey> = self.stored.keys().copied().collect();
        (!keys.is_empty()).then(|| keys[index.index(keys.len())])
    }

    fn change(&mut self, index: prop::sample::Index, change: impl FnOnce(&mut Block)) {
        let key = self.pick(index);
        if let Some(block) = key.and_then(|key| self.stored.get_mut(&key)) {
            change(block);
        }
    }

    fn store(&mut self, prompt: &Prompt, torn: bool) {
        for (i, key) in self.reader.keys(prompt).into_iter().enumerate() {
            let write_id = self.next_write();
            let mut bytes = state(prompt, i + 1);
            let (digest, length) = (Digest::of(&bytes), Bytes(bytes.len() as u64));
            self.seals.insert(key, Sealed { key, write_id, digest, length });
            bytes.truncate(if torn { bytes.len() / 2 } else { bytes.len() });
            self.stored.insert(key, Block { write_id, bytes });
        }
    }

    fn read(&mut self, prompt: &Prompt) {
        for (i, key) in self.reader.keys(prompt).into_iter().enumerate() {
            let expected = state(prompt, i + 1);
            let (block, seal) = (self.stored.get(&key), self.seals.get(&key));
            let Some((block, seal)) = block.zip(seal) else {
                continue;
            };
            let (digest, length) = (Digest::of(&block.bytes), Bytes(block.bytes.len() as u64));
            let is_read = self.reader.naive_read
                || block.write_id == seal.write_id && seal.matches(digest, length);
            let is_right = block.bytes == expected;
            self.outcome.right += u32::from(is_read && is_right);
            self.outcome.wrong += u32::from(is_read && !is_right);
            self.outcome.rejected += u32::from(!is_read && is_right);
        }
    }
}

#[test]
fn only_own_and_intact_blocks_are_read_where_naive_reads_go_wrong() {
    let config = ProptestConfig { cases: CASES, failure_persistence: None, ..Default::default() };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let broken = std::cell::Cell::new([0_u32; 2]);
    let right = std::cell::Cell::new(0_u32);
    let cases = prop::collection::vec(operation(), OPERATIONS);
    let ran = runner.run(&cases, |operations| {
        let ours = Simulation::run(OURS, &operations);
        prop_assert_eq!((ours.wrong, ours.rejected), (0, 0), "{:?}", ours);
        right.set(right.get() + ours.right);
        let naive =
            [NAIVE_KEY, NAIVE_READ].map(|reader| Simulation::run(reader, &operations).wrong);
        let [key, read] = broken.get();
        broken.set([key + u32::from(naive[0] > 0), read + u32::from(naive[1] > 0)]);
        Ok(())
    });
    ran.unwrap();
    // The same cases must expose the naive versions, and blocks must be read, so that a reader
    // that rejects everything fails.
    let [key, read] = broken.get();
    assert!(key > CASES / 2 && read > CASES / 2, "naive key {key}, naive read {read} of {CASES}");
    assert!(right.get() > CASES, "{} blocks were read", right.get());
}
