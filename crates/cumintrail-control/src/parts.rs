//! Index of the parts of prompts in managed stores, and the choice of a store for new parts;
//! docs/DESIGN.md, "Parts in managed stores".
//!
//! A managed store does no checks: a read of a part that is still being written returns the
//! incomplete part. So a part is read only from a store whose updates are recent and list the part
//! as complete, and only until a time before which no daemon can have started to write or free the
//! part again.

mod store_choice;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::Snapshot;
use cumintrail_types::{
    AccountKey, BlockKey, KeyChain, ModelKey, Moment, StoreKey, Tokens, WeightVersion,
};
use smallvec::SmallVec;

use crate::home_regions::AllowedRegions;

pub use self::store_choice::{PartStore, StoreChoice, name_hash, unit_hash};

/// Maximum age of the last update of a store for decisions about its parts.
///
/// The age counts from the request for the update.
pub const MAX_UPDATE_AGE: Duration = Duration::from_secs(2);
/// Time within which a read of a part must end, counted from the moment at which it is planned.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a store's epoch must have been known to this daemon before parts are saved there.
///
/// By then the reads that daemons planned from updates of the earlier epoch have ended.
pub const SETTLE_DELAY: Duration = Duration::from_secs(4);
/// Maximum number of parts that one order frees.
const MAX_PARTS_PER_FREE: usize = 100;

/// Returns the cache salt under which the parts of prompts are stored.
///
/// The salt differs between models, between weight versions, between isolated client accounts, and
/// between lists of regions: state of restricted calls must not be transferred by others.
/// All other accounts share one, which changes with the set of isolated accounts: an account that
/// is isolated now may have shared state with them before.
pub fn cache_salt(
    secret: &str,
    snapshot: &Snapshot,
    account: AccountKey,
    model: ModelKey,
    version: WeightVersion,
    regions: Option<&AllowedRegions>,
) -> BlockKey {
    let isolated = snapshot.accounts.get(account).filter(|a| a.isolated).map(|a| &a.name);
    let mut isolation = match isolated {
        Some(name) => format!("{secret}\0isolated\0{name}"),
        None => format!("{secret}\0shared\0{}", snapshot.isolated_accounts_hash),
    };
    if let Some(regions) = regions {
        isolation.push_str("\0regions");
        for name in regions.names() {
            isolation.push('\0');
            isolation.push_str(name);
        }
    }
    let name = snapshot.models.get(model).map_or("", |m| &m.name);
    KeyChain::new(isolation.as_bytes(), name, "", version).cache_salt()
}

/// Returns all cache salts under which parts may be stored while a snapshot is in force.
pub fn cache_salts_in_use(secret: &str, snapshot: &Snapshot) -> Vec<BlockKey> {
    let mut salts = Vec::new();
    let routes = distinct_region_lists(snapshot);
    for (model, declared) in snapshot.models.iter() {
        for (account, entry) in snapshot.accounts.iter().filter(|(_, a)| !a.retired) {
            for route in &routes {
                let regions = AllowedRegions::combine(route, &entry.allowed_regions);
                let version = declared.version;
                let salt = cache_salt(secret, snapshot, account, model, version, regions.as_ref());
                if !salts.contains(&salt) {
                    salts.push(salt);
                }
            }
        }
    }
    salts
}

/// Returns the different lists of regions of routes, with the empty one.
fn distinct_region_lists(snapshot: &Snapshot) -> Vec<&[Arc<str>]> {
    let mut lists: Vec<&[Arc<str>]> = vec![&[]];
    for (_, route) in snapshot.routes.iter() {
        if !lists.contains(&&*route.allowed_regions) {
            lists.push(&route.allowed_regions);
        }
    }
    lists
}

/// Returns the key of a part with a name under a cache salt.
pub fn part_key(salt: BlockKey, name: &str) -> BlockKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&salt.0);
    hasher.update(name.as_bytes());
    let mut key = [0; 16];
    key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    BlockKey(key)
}

/// Describes a part as a store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPart {
    /// The cache salt; `None` if the store's text is not in the format of this system's salts.
    pub cache_salt: Option<BlockKey>,
    /// The cache salt as the store writes it.
    pub cache_salt_text: Arc<str>,
    /// The part's name under the cache salt.
    pub name: Arc<str>,
    /// The part's length.
    pub tokens: Tokens,
}

impl StoredPart {
    /// Returns the key by which prompts refer to the part; no prompt has the key of a foreign part.
    pub fn key(&self) -> BlockKey {
        let foreign = || {
            KeyChain::new(self.cache_salt_text.as_bytes(), "foreign", "", WeightVersion(0))
                .cache_salt()
        };
        part_key(self.cache_salt.unwrap_or_else(foreign), &self.name)
    }
}

/// Describes the content of a store, or its changes, as the store reported them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartsUpdate {
    /// The incarnation of the store's process.
    pub epoch: u64,
    /// Whether `stored` lists all parts in the store, rather than changes.
    pub complete: bool,
    /// Complete parts in the store, or parts that became complete.
    pub stored: Vec<StoredPart>,
    /// Parts that the store no longer has.
    pub removed: Vec<StoredPart>,
    /// The time on the clock of targets and stores in milliseconds; deadlines of reads use this
    /// clock.
    pub clock_ms: Option<u64>,
}

impl PartsUpdate {
    /// Adds the changes of a later update; a change supersedes earlier ones of its part, so no part
    /// is in both lists.
    pub fn append(&mut self, later: Self) {
        for part in later.stored {
            self.forget(&part);
            self.stored.push(part);
        }
        for part in later.removed {
            self.forget(&part);
            self.removed.push(part);
        }
        self.clock_ms = later.clock_ms.or(self.clock_ms);
    }

    fn forget(&mut self, part: &StoredPart) {
        let is_other = |other: &StoredPart| {
            (&other.cache_salt_text, &other.name) != (&part.cache_salt_text, &part.name)
        };
        self.stored.retain(is_other);
        self.removed.retain(is_other);
    }
}

/// Describes where one part of a prompt is read from and saved to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartPlan {
    /// The store to read the part from, and the part's tokens there; `None` for no read.
    pub read: Option<(StoreKey, Tokens)>,
    /// The store to save the part to; `None` for no save.
    pub save: Option<StoreKey>,
}

/// Describes where all parts of a prompt are read from and saved to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartPlans {
    /// One plan for each part, in order.
    pub parts: SmallVec<[PartPlan; 4]>,
    /// The deadline of reads in milliseconds on the clock of targets and stores.
    pub read_until: Option<u64>,
}

/// Tracks the parts in one store, as its updates list them.
#[derive(Debug, Default)]
struct KnownStore {
    epoch: u64,
    /// When this daemon first received an update of this epoch.
    epoch_seen: Moment,
    /// When the last update was requested.
    requested: Moment,
    parts: HashMap<BlockKey, StoredPart>,
    /// The sum of the tokens of `parts`.
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

/// Tracks the parts in managed stores from the updates of these stores.
#[derive(Debug, Default)]
pub struct PartIndex {
    stores: HashMap<StoreKey, KnownStore>,
    /// A moment and the milliseconds on the clock of targets and stores at that moment.
    clock: Option<(Moment, u64)>,
}

impl PartIndex {
    /// Records an update of a store that was requested at `requested`.
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

    /// Records that the lists of stores were still current as of a moment.
    pub fn confirm(&mut self, stores: &[(StoreKey, Moment)], clock: Option<(Moment, u64)>) {
        self.clock = clock.or(self.clock);
        for (store, as_of) in stores {
            if let Some(known) = self.stores.get_mut(store) {
                known.requested = known.requested.max(*as_of);
            }
        }
    }

    /// Returns the number of parts known in a store.
    pub fn len(&self, store: StoreKey) -> usize {
        self.stores.get(&store).map_or(0, |known| known.parts.len())
    }

    /// Returns whether no store is known.
    pub fn is_empty(&self) -> bool {
        self.stores.is_empty()
    }

    /// Returns the part's tokens if the store has the complete part and its last update is recent.
    pub fn stored_tokens(&self, now: Moment, store: StoreKey, key: BlockKey) -> Option<Tokens> {
        let known = self.stores.get(&store)?;
        let fresh = now.since(known.requested) < MAX_UPDATE_AGE;
        known.parts.get(&key).filter(|_| fresh).map(|part| part.tokens)
    }

    /// Returns the tokens of all parts in a store; `None` if its last update is not recent or its
    /// epoch is too new for parts to be saved there.
    fn used_tokens(&self, now: Moment, store: StoreKey) -> Option<u64> {
        let settled = self.stores.get(&store).filter(|known| {
            now.since(known.requested) < MAX_UPDATE_AGE
                && now.since(known.epoch_seen) >= SETTLE_DELAY
        });
        settled.map(|known| known.used_tokens)
    }

    /// Plans the reads and saves of a prompt's parts; the last part is the call's own and never
    /// stored.
    ///
    /// `prompt` has the keys of the parts and the number of tokens up to the end of each part;
    /// `prefill_per_second` is the number of prompt tokens that an engine computes per second.
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

    /// Returns the deadline of a read that is planned now, on the clock of targets and stores.
    fn read_until(&self, now: Moment) -> Option<u64> {
        let (at, clock) = self.clock?;
        Some(clock + (now.since(at) + READ_TIMEOUT).as_millis() as u64)
    }

    /// Returns the epoch of a store and parts there whose cache salt `may_free` accepts, up to
    /// `MAX_PARTS_PER_FREE`; `None` without such parts or without a recent update.
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

    /// Removes parts that were ordered to be freed.
    pub fn remove(&mut self, store: StoreKey, parts: &[StoredPart]) {
        if let Some(known) = self.stores.get_mut(&store) {
            for part in parts {
                known.remove(part);
            }
        }
    }

    /// Returns the tokens of the leading parts of a prompt that are read from stores.
    pub fn tokens_read(plans: &PartPlans) -> Tokens {
        plans.parts.iter().map_while(|plan| plan.read.map(|(_, tokens)| tokens)).sum()
    }
}
