//! Reads of kept blocks against naive ones, on random writes, losses and returns.
//!
//! The naive key covers the prompt alone, the naive read takes whatever lies at the key's place.

use std::collections::BTreeMap;

use cumintrail_types::{BlockKey, Bytes, Digest, KeyChain, Sealed, WeightVersion, WriteId};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 512;
const OPERATIONS: usize = 40;
const PIECES: usize = 3;
const STATE_BYTES: usize = 64;

/// Names whose state is asked for: a piece of a prompt, with all before it.
#[derive(Debug, Clone)]
struct Prompt {
    account: u8,
    version: u64,
    /// One letter a piece, so that prompts of all accounts and versions often share their starts.
    text: Vec<u8>,
}

#[derive(Debug, Clone)]
enum Operation {
    /// Computes a prompt and keeps its state; a torn write loses half of the bytes.
    Keep(Prompt, bool),
    /// Frees a block behind the directory's back.
    Free(prop::sample::Index),
    /// Lets another write reuse a block's place.
    Reuse(prop::sample::Index),
    /// Changes a block's bytes under its unchanged seal.
    Damage(prop::sample::Index),
    /// Asks for a prompt, with all state that can be read.
    Return(Prompt),
}

fn prompt() -> impl Strategy<Value = Prompt> {
    let text = prop::collection::vec(prop::sample::select(b"ab".to_vec()), PIECES);
    (0..2_u8, 1..=2_u64, text).prop_map(|(account, version, text)| Prompt {
        account,
        version,
        text,
    })
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (prompt(), prop::bool::weighted(0.1)).prop_map(|(p, torn)| Operation::Keep(p, torn)),
        1 => any::<prop::sample::Index>().prop_map(Operation::Free),
        1 => any::<prop::sample::Index>().prop_map(Operation::Reuse),
        1 => any::<prop::sample::Index>().prop_map(Operation::Damage),
        4 => prompt().prop_map(Operation::Return),
    ]
}

/// Selects which parts of the system are replaced by naive ones.
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
        prompt.text.iter().map(|piece| chain.next_key(&[*piece])).collect()
    }
}

/// Computes the only right state after a piece; it belongs to one account and version.
fn state(prompt: &Prompt, pieces: usize) -> Vec<u8> {
    let name = format!("{} {} {:?}", prompt.account, prompt.version, &prompt.text[..pieces]);
    name.into_bytes().into_iter().cycle().take(STATE_BYTES).collect()
}

struct Block {
    write_id: WriteId,
    bytes: Vec<u8>,
}

/// Counts what a case showed.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    right: u32,
    wrong: u32,
    /// Intact blocks under their newest seal that were not read.
    lost: u32,
}

/// Holds a store and a directory that learns of writes alone.
struct World {
    reader: Reader,
    places: BTreeMap<BlockKey, Block>,
    hints: BTreeMap<BlockKey, Sealed>,
    writes: u8,
    outcome: Outcome,
}

impl World {
    fn run(reader: Reader, operations: &[Operation]) -> Outcome {
        let (places, hints) = (BTreeMap::new(), BTreeMap::new());
        let mut world = Self { reader, places, hints, writes: 0, outcome: Outcome::default() };
        for operation in operations {
            match operation {
                Operation::Keep(prompt, torn) => world.keep(prompt, *torn),
                Operation::Free(index) => {
                    let key = world.pick(*index);
                    key.and_then(|key| world.places.remove(&key));
                }
                Operation::Reuse(index) => {
                    let write_id = world.next_write();
                    world.change(*index, |block| {
                        *block = Block { write_id, bytes: vec![write_id.0[0]; STATE_BYTES] };
                    });
                }
                Operation::Damage(index) => world.change(*index, |block| block.bytes.fill(0)),
                Operation::Return(prompt) => world.read(prompt),
            }
        }
        world.outcome
    }

    fn next_write(&mut self) -> WriteId {
        self.writes += 1;
        WriteId([self.writes; 16])
    }

    fn pick(&self, index: prop::sample::Index) -> Option<BlockKey> {
        let keys: Vec<BlockKey> = self.places.keys().copied().collect();
        (!keys.is_empty()).then(|| keys[index.index(keys.len())])
    }

    fn change(&mut self, index: prop::sample::Index, change: impl FnOnce(&mut Block)) {
        let key = self.pick(index);
        if let Some(block) = key.and_then(|key| self.places.get_mut(&key)) {
            change(block);
        }
    }

    fn keep(&mut self, prompt: &Prompt, torn: bool) {
        for (i, key) in self.reader.keys(prompt).into_iter().enumerate() {
            let write_id = self.next_write();
            let mut bytes = state(prompt, i + 1);
            let (digest, length) = (Digest::of(&bytes), Bytes(bytes.len() as u64));
            self.hints.insert(key, Sealed { key, write_id, digest, length });
            bytes.truncate(if torn { bytes.len() / 2 } else { bytes.len() });
            self.places.insert(key, Block { write_id, bytes });
        }
    }

    fn read(&mut self, prompt: &Prompt) {
        for (i, key) in self.reader.keys(prompt).into_iter().enumerate() {
            let expected = state(prompt, i + 1);
            let (place, hint) = (self.places.get(&key), self.hints.get(&key));
            let Some((place, hint)) = place.zip(hint) else {
                continue;
            };
            let (digest, length) = (Digest::of(&place.bytes), Bytes(place.bytes.len() as u64));
            let is_read = self.reader.naive_read
                || place.write_id == hint.write_id && hint.matches(digest, length);
            let is_right = place.bytes == expected;
            self.outcome.right += u32::from(is_read && is_right);
            self.outcome.wrong += u32::from(is_read && !is_right);
            self.outcome.lost += u32::from(!is_read && is_right);
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
        let ours = World::run(OURS, &operations);
        prop_assert_eq!((ours.wrong, ours.lost), (0, 0), "{:?}", ours);
        right.set(right.get() + ours.right);
        let naive = [NAIVE_KEY, NAIVE_READ].map(|reader| World::run(reader, &operations).wrong);
        let [key, read] = broken.get();
        broken.set([key + u32::from(naive[0] > 0), read + u32::from(naive[1] > 0)]);
        Ok(())
    });
    ran.unwrap();
    // The same cases must be able to tell the naive versions from ours, and not by misses alone.
    let [key, read] = broken.get();
    assert!(key > CASES / 2 && read > CASES / 2, "naive key {key}, naive read {read} of {CASES}");
    assert!(right.get() > CASES, "{} blocks were read", right.get());
}
