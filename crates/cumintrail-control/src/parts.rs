//! Which managed stores hold which parts of prompts, and where new ones are saved;
//! docs/DESIGN.md, "Parts in managed stores".
//!
//! A managed store checks nothing: a part that is still being written is read as it is. So a part
//! is read only from a store whose events say that it is whole and that were heard of late, and
//! only until a time by which nobody can have begun to write or free it again.

mod store_choice;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::Snapshot;
use cumintrail_types::{
    AccountKey, BlockKey, KeyChain, ModelKey, Moment, StoreKey, Tokens, WeightVersion,
};
use smallvec::SmallVec;

pub use self::store_choice::{PartStore, StoreChoice, name_hash, unit_hash};

/// How long what a store told may be acted upon.
pub const MAX_UPDATE_AGE: Duration = Duration::from_secs(2);
/// How long a read of a part may last from the moment at which it is planned.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a store must have run before parts are saved there, or a part have gone unnamed
/// before it is freed: whoever knows less has stopped reading by then.
pub const SETTLE_DELAY: Duration = Duration::from_secs(4);
/// Parts that one order frees.
const MAX_PARTS_PER_FREE: usize = 100;

/// Returns the root of the names under which the state of prompts is kept.
///
/// It differs between models and weight versions, and between isolated client accounts. It changes
/// for all others when the set of isolated accounts does, as one may have shared state before.
pub fn cache_salt(
    secret: &str,
    snapshot: &Snapshot,
    account: AccountKey,
    model: ModelKey,
    version: WeightVersion,
) -> BlockKey {
    let isolated = snapshot.accounts.get(account).filter(|a| a.isolated).map(|a| &a.name);
    let isolation = match isolated {
        Some(name) => format!("{secret}\0isolated\0{name}"),
        None => format!("{secret}\0shared\0{}", snapshot.isolation),
    };
    let name = snapshot.models.get(model).map_or("", |m| &m.name);
    KeyChain::new(isolation.as_bytes(), name, "", version).root()
}

/// Returns all roots that prompts may be kept under as long as a snapshot is in force.
pub fn cache_salts_in_use(secret: &str, snapshot: &Snapshot) -> Vec<BlockKey> {
    let mut salts = Vec::new();
    for (model, declared) in snapshot.models.iter() {
        for (account, _) in snapshot.accounts.iter().filter(|(_, a)| !a.retired) {
            let salt = cache_salt(secret, snapshot, account, model, declared.version);
            if !salts.contains(&salt) {
                salts.push(salt);
            }
        }
    }
    salts
}

/// Names a part under the root that its state lies below.
pub fn part_key(salt: BlockKey, name: &str) -> BlockKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&salt.0);
    hasher.update(name.as_bytes());
    let mut key = [0; 16];
    key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    BlockKey(key)
}

/// Holds a part as a store names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPart {
    /// The root of its name; nothing if it is none of this system's.
    pub cache_salt: Option<BlockKey>,
    /// The root as the store has it.
    pub cache_salt_text: Arc<str>,
    /// Its name below the root.
    pub name: Arc<str>,
    /// Its length.
    pub tokens: Tokens,
}

impl StoredPart {
    /// Returns the key that prompts know the part by; a foreign part has one that none knows.
    pub fn key(&self) -> BlockKey {
        let foreign = || {
            KeyChain::new(self.cache_salt_text.as_bytes(), "foreign", "", WeightVersion(0)).root()
        };
        part_key(self.cache_salt.unwrap_or_else(foreign), &self.name)
    }
}

/// Holds what a store told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartsUpdate {
    /// Changes when the store's process starts again.
    pub epoch: u64,
    /// Whether `stored` is all that it holds.
    pub complete: bool,
    /// Parts that became whole.
    pub stored: Vec<StoredPart>,
    /// Parts that are gone.
    pub removed: Vec<StoredPart>,
    /// The time on the clock that reads are bounded by, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// Tells where one part of a prompt is read from and saved to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartPlan {
    /// The store that it is read from, and the tokens that are whole there.
    pub read: Option<(StoreKey, Tokens)>,
    /// The store that it is saved to.
    pub save: Option<StoreKey>,
}

/// Tells the same for all parts of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartPlans {
    /// One plan for each part, in order.
    pub parts: SmallVec<[PartPlan; 4]>,
    /// The time by which reads must have ended, on the clock of targets and stores.
    pub read_until: Option<u64>,
}

#[derive(Debug, Default)]
struct KnownStore {
    epoch: u64,
    /// When the epoch was first heard of.
    epoch_seen: Moment,
    /// When the question was asked that the last answer answers.
    requested: Moment,
    parts: HashMap<BlockKey, StoredPart>,
    /// The tokens of all of these.
    used_tokens: u64,
}

impl KnownStore {
    fn insert(&mut self, part: StoredPart) {
        self.used_tokens += u64::from(part.tokens.0);
        if let Some(old) = self.parts.insert(part.key(), part) {
            self.used_tokens -= u64::from(old.tokens.0);
        }
    }

    fn remove(&mut self, part: &StoredPart) {
        if let Some(old) = self.parts.remove(&part.key()) {
            self.used_tokens -= u64::from(old.tokens.0);
        }
    }
}

/// Remembers what managed stores told.
#[derive(Debug, Default)]
pub struct PartIndex {
    stores: HashMap<StoreKey, KnownStore>,
    /// A moment and what the clock of targets and stores showed then.
    clock: Option<(Moment, u64)>,
}

impl PartIndex {
    /// Takes what a store told in answer to a question that was asked at `asked`.
    pub fn record(&mut self, requested: Moment, now: Moment, store: StoreKey, update: PartsUpdate) {
        let known = self.stores.entry(store).or_default();
        if known.epoch != update.epoch {
            *known = KnownStore { epoch: update.epoch, epoch_seen: now, ..KnownStore::default() };
        }
        if update.complete {
            known.parts.clear();
            known.used_tokens = 0;
        }
        known.requested = known.requested.max(requested);
        for part in update.stored {
            known.insert(part);
        }
        for part in update.removed {
            known.remove(&part);
        }
        if let Some(clock) = update.clock_ms {
            self.clock = Some((now, clock));
        }
    }

    /// Returns the number of parts known in a store.
    pub fn len(&self, store: StoreKey) -> usize {
        self.stores.get(&store).map_or(0, |known| known.parts.len())
    }

    /// Tells whether no store is known.
    pub fn is_empty(&self) -> bool {
        self.stores.is_empty()
    }

    /// Returns the part's tokens if a store that was heard of late holds all of it.
    pub fn stored_tokens(&self, now: Moment, store: StoreKey, key: BlockKey) -> Option<Tokens> {
        let known = self.stores.get(&store)?;
        let fresh = now.since(known.requested) < MAX_UPDATE_AGE;
        known.parts.get(&key).filter(|_| fresh).map(|part| part.tokens)
    }

    /// Returns the tokens that a store holds, if parts may be saved there.
    fn used_tokens(&self, now: Moment, store: StoreKey) -> Option<u64> {
        let settled = self.stores.get(&store).filter(|known| {
            now.since(known.requested) < MAX_UPDATE_AGE
                && now.since(known.epoch_seen) >= SETTLE_DELAY
        });
        settled.map(|known| known.used_tokens)
    }

    /// Plans reads and saves of a prompt's parts; the last part is the call's own and never kept.
    ///
    /// `ends` are the tokens up to and with each part, `prefill` what an engine computes a second.
    pub fn plan(
        &self,
        now: Moment,
        stores: &[PartStore],
        prompt: (&[BlockKey], &[Tokens]),
        prefill_per_second: f64,
        may_read: bool,
    ) -> PartPlans {
        let (keys, ends) = prompt;
        let shared = keys.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut plans = PartPlans { read_until: self.read_until(now), ..PartPlans::default() };
        let may_read = may_read && plans.read_until.is_some();
        let mut start = Tokens(0);
        for (key, end) in shared.iter().zip(ends) {
            let tokens = end.saturating_sub(start);
            start = *end;
            let choice = StoreChoice::new(stores, *key, tokens);
            let source = choice
                .keys()
                .find_map(|store| Some((store, self.stored_tokens(now, store, *key)?)));
            let recompute_seconds = f64::from(tokens.0) / prefill_per_second;
            let save =
                || choice.store_to_save(recompute_seconds, |store| self.used_tokens(now, store));
            plans.parts.push(PartPlan {
                read: source.filter(|_| may_read),
                save: if source.is_some() { None } else { save() },
            });
        }
        plans.parts.resize(keys.len(), PartPlan::default());
        plans
    }

    /// Returns the time by which a read that is planned now must have ended.
    fn read_until(&self, now: Moment) -> Option<u64> {
        let (at, clock) = self.clock?;
        Some(clock + (now.since(at) + READ_TIMEOUT).as_millis() as u64)
    }

    /// Lists parts below roots of which nobody reads any more, and the epoch of their store.
    pub fn unused(
        &self,
        now: Moment,
        store: StoreKey,
        may_free: impl Fn(Option<BlockKey>) -> bool,
    ) -> Option<(u64, Vec<StoredPart>)> {
        let known = self.stores.get(&store)?;
        if now.since(known.requested) >= MAX_UPDATE_AGE {
            return None;
        }
        let unused = known.parts.values().filter(|part| may_free(part.cache_salt));
        let unused: Vec<StoredPart> = unused.take(MAX_PARTS_PER_FREE).cloned().collect();
        (!unused.is_empty()).then_some((known.epoch, unused))
    }

    /// Forgets parts that were ordered to be freed.
    pub fn remove(&mut self, store: StoreKey, parts: &[StoredPart]) {
        if let Some(known) = self.stores.get_mut(&store) {
            for part in parts {
                known.remove(part);
            }
        }
    }

    /// Returns the tokens of a prompt's leading parts that the plans read.
    pub fn tokens_read(plans: &PartPlans) -> Tokens {
        plans.parts.iter().map_while(|plan| plan.read.map(|(_, tokens)| tokens)).sum()
    }
}
