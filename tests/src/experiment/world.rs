//! Simulated engines with prefix blocks in memory, and stores behind links.
//!
//! The simulation covers only what enters the cost of a placement: prefill time, slots, link time
//! and disk time. It has no network, processes or membership.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use cumintrail_control::TargetReport;
use cumintrail_control::store_sync::{
    ChangesPage, ListingPage, StoreChange, StoreRead, StoreResponse,
};
use cumintrail_types::{
    BlockKey, Bytes, CallKey, Digest, Incarnation, Moment, Sealed, Tier, Tokens, WeightVersion,
    WriteId,
};

/// Tokens per prefix block.
pub const BLOCK_TOKENS: u32 = 2_000;
/// Size of a prefix block in bytes.
pub const BLOCK_BYTES: u64 = 65_536 * BLOCK_TOKENS as u64;
/// Prompt tokens that an engine computes per second.
pub const PREFILL_TOKENS_PER_SECOND: u32 = 6_000;
/// Calls that an engine runs concurrently.
pub const SLOTS: usize = 8;
/// Link bandwidth of a store, in bytes per second.
pub const LINK_BYTES_PER_SECOND: u64 = 1_250_000_000;
/// Disk read bandwidth of a store, in bytes per second.
pub const DISK_BYTES_PER_SECOND: u64 = 600_000_000;
/// Blocks that fit in an engine's memory.
const ENGINE_MEMORY_BLOCKS: usize = 48;
/// Time between two output tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(25);
/// Duration of a request that transfers no block.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// A set of keys in order of last use; the caller enforces the limit.
#[derive(Debug, Default)]
pub struct Lru {
    last_used: HashMap<BlockKey, u64>,
    order: BTreeMap<u64, BlockKey>,
    clock: u64,
}

impl Lru {
    /// Returns whether the set contains a key.
    pub fn contains(&self, key: BlockKey) -> bool {
        self.last_used.contains_key(&key)
    }

    /// Returns how many keys the set contains.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Marks a key as used, inserting it if missing; returns whether it was inserted.
    pub fn touch(&mut self, key: BlockKey) -> bool {
        self.clock += 1;
        let old = self.last_used.insert(key, self.clock);
        if let Some(old) = old {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, key);
        old.is_none()
    }

    /// Removes a key; returns whether it was present.
    pub fn remove(&mut self, key: BlockKey) -> bool {
        let used_at = self.last_used.remove(&key);
        used_at.is_some_and(|s| self.order.remove(&s).is_some())
    }

    /// Removes and returns the least recently used key.
    pub fn evict(&mut self) -> Option<BlockKey> {
        let (_, key) = self.order.pop_first()?;
        self.last_used.remove(&key);
        Some(key)
    }
}

/// A call at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// The call and the attempt number; `None` for calls of other daemons.
    pub call: Option<(CallKey, u8)>,
    /// Keys of the prompt's full blocks.
    pub blocks: std::sync::Arc<[BlockKey]>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens.
    pub output: u32,
    /// Bit `i` says whether block `i` was imported for this job.
    pub staged: u64,
    /// Leading blocks that needed no prefill; set when the prefill starts.
    pub obtained: usize,
}

impl Job {
    fn recompute(&self, obtained: usize) -> u32 {
        self.prompt.saturating_sub(obtained as u32 * BLOCK_TOKENS)
    }
}

/// A model engine: prefills run one at a time in arrival order, and [`SLOTS`] limits the calls.
#[derive(Debug)]
pub struct Engine {
    /// Incremented at each restart.
    pub incarnation: Incarnation,
    /// Blocks in memory.
    pub memory: Lru,
    /// Jobs that wait for a slot or for an earlier prefill.
    pub queue: VecDeque<Job>,
    /// The job in prefill, and the end of the prefill.
    pub prefilling: Option<(Job, Moment)>,
    /// End of each response that is being streamed.
    pub streaming: Vec<Moment>,
    /// Blocks added to memory and blocks evicted since the last cache event.
    pub changes: (Vec<BlockKey>, Vec<BlockKey>),
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            incarnation: Incarnation(1),
            memory: Lru::default(),
            queue: VecDeque::new(),
            prefilling: None,
            streaming: Vec::new(),
            changes: (Vec::new(), Vec::new()),
        }
    }
}

impl Engine {
    /// Starts the next prefill if none is running and a slot is free; returns its end.
    pub fn start_next(&mut self, now: Moment) -> Option<Moment> {
        self.streaming.retain(|end| *end > now);
        if self.prefilling.is_some() || self.streaming.len() >= SLOTS {
            return None;
        }
        let mut job = self.queue.pop_front()?;
        job.obtained = self.obtained(&job);
        let end = now + prefill_time(job.recompute(job.obtained));
        self.prefilling = Some((job, end));
        Some(end)
    }

    /// Ends the prefill and starts streaming; returns the job and the end of its stream.
    pub fn finish_prefill(&mut self, now: Moment) -> Option<(Job, Moment)> {
        let (job, _) = self.prefilling.take()?;
        for key in job.blocks.iter().rev() {
            self.cache_block(*key);
        }
        let end = now + TOKEN_INTERVAL * job.output;
        self.streaming.push(end);
        Some((job, end))
    }

    /// Counts the leading blocks of a job that need no prefill.
    pub fn obtained(&self, job: &Job) -> usize {
        let blocks = job.blocks.iter().enumerate();
        blocks
            .take_while(|(i, key)| job.staged >> i & 1 == 1 || self.memory.contains(**key))
            .count()
    }

    /// Adds a block to memory and evicts the least recently used blocks beyond the limit.
    pub fn cache_block(&mut self, key: BlockKey) {
        if self.memory.touch(key) {
            self.changes.0.push(key);
        }
        while self.memory.len() > ENGINE_MEMORY_BLOCKS {
            self.changes.1.extend(self.memory.evict());
        }
    }

    /// Returns when a job that is queued now would start its prefill.
    pub fn ready_at(&self, now: Moment) -> Moment {
        let mut at = self.prefilling.as_ref().map_or(now, |(_, end)| *end);
        for job in &self.queue {
            at = at + prefill_time(job.recompute(self.obtained(job)));
        }
        let mut ends: Vec<Moment> = self.streaming.iter().copied().filter(|e| *e > now).collect();
        ends.sort_unstable();
        let busy = ends.len() + self.queue.len() + usize::from(self.prefilling.is_some());
        let Some(over) = busy.checked_sub(SLOTS) else {
            return at;
        };
        ends.get(over).map_or(at, |end| at.max(*end))
    }

    /// Returns the engine's load report, exact at `now`.
    pub fn report(&self, now: Moment) -> TargetReport {
        let streaming = self.streaming.iter().filter(|end| **end > now).count();
        let running = streaming + usize::from(self.prefilling.is_some());
        let rest = self.prefilling.as_ref().map_or(Duration::ZERO, |(_, end)| end.since(now));
        let mut backlog = rest.as_secs_f64() * f64::from(PREFILL_TOKENS_PER_SECOND);
        backlog += self.queue.iter().map(|j| f64::from(j.recompute(self.obtained(j)))).sum::<f64>();
        TargetReport {
            incarnation: self.incarnation,
            leaving: false,
            version: WeightVersion(1),
            loading: false,
            running: running as u32,
            waiting: self.queue.len() as u32,
            prefill_backlog: Tokens(backlog as u32),
        }
    }

    /// Restarts with empty memory; returns the jobs that were queued or in prefill.
    pub fn restart(&mut self) -> Vec<Job> {
        let next = Incarnation(self.incarnation.0 + 1);
        let old = std::mem::replace(self, Self { incarnation: next, ..Self::default() });
        old.queue.into_iter().chain(old.prefilling.map(|(job, _)| job)).collect()
    }
}

/// Returns the prefill time of `tokens` tokens.
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / f64::from(PREFILL_TOKENS_PER_SECOND))
}

/// A store with memory and disk tiers, behind a link that transfers one block at a time.
#[derive(Debug)]
pub struct Store {
    /// Incremented at each failure.
    pub incarnation: Incarnation,
    /// Whether the store responds.
    pub alive: bool,
    /// The stored blocks with their write ids.
    pub blocks: HashMap<BlockKey, WriteId>,
    /// Blocks that are also in memory.
    pub memory: Lru,
    /// Memory capacity in blocks.
    pub memory_blocks: usize,
    /// Total capacity in blocks.
    pub capacity_blocks: usize,
    /// Link speed as a fraction of the normal speed.
    pub speed: f64,
    /// Changes of blocks in this incarnation.
    log: Vec<StoreChange>,
    link_free: Moment,
    disk_free: Moment,
    ingress_free: Moment,
}

impl Store {
    /// Creates an empty store.
    pub fn new(memory_blocks: usize, capacity_blocks: usize) -> Self {
        Self {
            incarnation: Incarnation(1),
            alive: true,
            blocks: HashMap::new(),
            memory: Lru::default(),
            memory_blocks,
            capacity_blocks,
            speed: 1.0,
            log: Vec::new(),
            link_free: Moment(0),
            disk_free: Moment(0),
            ingress_free: Moment(0),
        }
    }

    /// Returns the seal and the tier of a block, if it is stored.
    pub fn sealed(&self, key: BlockKey) -> Option<(Sealed, Tier)> {
        let write_id = *self.blocks.get(&key)?;
        let tier = if self.memory.contains(key) { Tier::Memory } else { Tier::Disk };
        Some((seal(key, write_id), tier))
    }

    /// Returns the response to a daemon's read of the stored blocks; `None` if the store has
    /// failed.
    pub fn response(&self, read: StoreRead) -> Option<StoreResponse> {
        let (incarnation, newest) = (self.incarnation, self.log.len() as u64);
        let response = match read {
            StoreRead::Listing { .. } => {
                let mut keys: Vec<BlockKey> = self.blocks.keys().copied().collect();
                keys.sort_unstable();
                let blocks = keys.iter().filter_map(|k| self.sealed(*k)).collect();
                StoreResponse::Listing(ListingPage { incarnation, newest, blocks, more: false })
            }
            StoreRead::Summary | StoreRead::Changes { .. } => {
                let from = if let StoreRead::Changes { after } = read { after } else { newest };
                let changes = self.log.get(from as usize..).unwrap_or_default().to_vec();
                let held = self.blocks.len() as u64;
                StoreResponse::Changes(ChangesPage {
                    incarnation,
                    oldest: 1,
                    newest,
                    held,
                    changes,
                })
            }
        };
        self.alive.then_some(response)
    }

    /// Returns when a read that starts at `now` would end.
    ///
    /// `link` and `disk` are the ends of the reads planned so far, and are moved to the ends of
    /// this read.
    pub fn read_end(
        &self,
        now: Moment,
        tier: Tier,
        link: &mut Moment,
        disk: &mut Moment,
    ) -> Moment {
        *link = (*link).max(self.link_free).max(now) + self.link_time();
        if tier == Tier::Memory {
            return *link;
        }
        *disk = (*disk).max(self.disk_free).max(now) + disk_time();
        (*link).max(*disk)
    }

    /// Reads a block, or stops at `limit`; returns the result, the end and the transferred bytes.
    pub fn read(
        &mut self,
        now: Moment,
        key: BlockKey,
        limit: Moment,
    ) -> (Result<(), ()>, Moment, u64) {
        let Some((_, tier)) = self.sealed(key) else {
            return (Err(()), now + ROUND_TRIP, 0);
        };
        let (mut link, mut disk) = (self.link_free, self.disk_free);
        let end = self.read_end(now, tier, &mut link, &mut disk);
        if end > limit {
            let begun = limit.since(self.link_free.max(now));
            let part = begun.as_secs_f64() * LINK_BYTES_PER_SECOND as f64 * self.speed;
            self.link_free = self.link_free.max(limit.min(link));
            return (Err(()), limit, (part as u64).min(BLOCK_BYTES));
        }
        (self.link_free, self.disk_free) = (link, disk);
        self.promote(key);
        (Ok(()), end, BLOCK_BYTES)
    }

    /// Starts a write and returns its end.
    pub fn write_end(&mut self, now: Moment) -> Moment {
        self.ingress_free = self.ingress_free.max(now) + self.link_time();
        self.ingress_free
    }

    /// Stores a block; returns `None` if the store is full or has failed.
    pub fn insert(&mut self, key: BlockKey, write_id: WriteId) -> Option<(Sealed, Tier)> {
        let full = self.blocks.len() >= self.capacity_blocks && !self.blocks.contains_key(&key);
        if !self.alive || full {
            return None;
        }
        self.blocks.insert(key, write_id);
        self.promote(key);
        self.sealed(key)
    }

    /// Frees a block if its write id is unchanged.
    pub fn free(&mut self, sealed: &Sealed) {
        if self.blocks.get(&sealed.key) == Some(&sealed.write_id) {
            self.blocks.remove(&sealed.key);
            self.memory.remove(sealed.key);
            self.log.push(StoreChange::Freed(sealed.key, sealed.write_id));
        }
    }

    /// Loses all blocks and stops responding.
    pub fn fail(&mut self) {
        self.alive = false;
        self.blocks.clear();
        self.memory = Lru::default();
        self.log.clear();
        self.incarnation = Incarnation(self.incarnation.0 + 1);
    }

    fn promote(&mut self, key: BlockKey) {
        self.memory.touch(key);
        self.log.extend(self.sealed(key).map(|(sealed, tier)| StoreChange::Sealed(sealed, tier)));
        while self.memory.len() > self.memory_blocks {
            let moved = self.memory.evict().and_then(|key| self.sealed(key));
            self.log.extend(moved.map(|(sealed, tier)| StoreChange::Sealed(sealed, tier)));
        }
    }

    fn link_time(&self) -> Duration {
        Duration::from_secs_f64(BLOCK_BYTES as f64 / (LINK_BYTES_PER_SECOND as f64 * self.speed))
    }
}

fn disk_time() -> Duration {
    Duration::from_secs_f64(BLOCK_BYTES as f64 / DISK_BYTES_PER_SECOND as f64)
}

fn seal(key: BlockKey, write_id: WriteId) -> Sealed {
    Sealed { key, write_id, digest: Digest([0; 32]), length: Bytes(BLOCK_BYTES) }
}

/// The state of the simulated engines and stores.
#[derive(Debug)]
pub struct World {
    /// The current virtual time.
    pub now: Moment,
    /// Engines, indexed by target key.
    pub engines: Vec<Engine>,
    /// Stores, indexed by store key.
    pub stores: Vec<Store>,
}
