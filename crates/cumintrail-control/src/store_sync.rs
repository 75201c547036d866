//! How a store's blocks are learned: one listing in pages, then its changes by number.
//!
//! Every answer that does not continue what is known, for whatever reason, leads back to a
//! listing; see docs/DESIGN.md, "Following stores".

use std::time::Duration;

use cumintrail_types::{BlockKey, Incarnation, Moment, Sealed, StoreKey, Tier, WriteId};
use rand::Rng;

use crate::directory::{AddOutcome, StoredBlocks};

/// The time between looks at a store's changes.
const CHANGES_INTERVAL: Duration = Duration::from_secs(10);
/// The time between looks at a store whose blocks there is no room for.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(60);
/// The time after which a store that did not answer is asked again.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// The time between two pages, which leaves the store's link to imports.
const PAGE_INTERVAL: Duration = Duration::from_millis(125);
/// The time that each listed block adds to the spread of first pages over daemons.
const START_SPREAD_PER_BLOCK: Duration = Duration::from_micros(100);
/// The longest spread.
const MAX_START_SPREAD: Duration = Duration::from_secs(60);
/// The shortest time between two listings for blocks that were left out.
const RELIST_INTERVAL: Duration = Duration::from_secs(600);
/// The time after which a read without an answer is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The blocks that must be free beyond a store's own before it is taken up again.
const RESUME_MARGIN_BLOCKS: usize = 10_000;

/// Names a read of what a store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    /// Which run answers and how much it holds.
    Summary,
    /// A page of its blocks.
    Listing {
        /// The last block of the page before.
        after: Option<BlockKey>,
    },
    /// A page of its changes.
    Changes {
        /// The number of the last change that is known.
        after: u64,
    },
}

/// Answers a read.
#[derive(Debug, Clone)]
pub enum StoreResponse {
    /// Answers [`StoreRead::Listing`].
    Listing(ListingPage),
    /// Answers [`StoreRead::Summary`] and [`StoreRead::Changes`].
    Changes(ChangesPage),
}

/// Holds a page of a store's blocks.
#[derive(Debug, Clone)]
pub struct ListingPage {
    /// The run of the store's process.
    pub incarnation: Incarnation,
    /// The number of the last change when the page was made.
    pub newest: u64,
    /// The blocks, in key order.
    pub blocks: Vec<(Sealed, Tier)>,
    /// Whether more follow.
    pub more: bool,
}

/// Holds a page of a store's changes.
#[derive(Debug, Clone)]
pub struct ChangesPage {
    /// The run of the store's process.
    pub incarnation: Incarnation,
    /// The number of the oldest change that the store still knows.
    pub oldest: u64,
    /// The number of the last change.
    pub newest: u64,
    /// The blocks that the store holds.
    pub held: u64,
    /// The changes, without gaps.
    pub changes: Vec<StoreChange>,
}

/// Names what happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreChange {
    /// It was completely written, or moved to another tier.
    Sealed(Sealed, Tier),
    /// This write of it was freed.
    Freed(BlockKey, WriteId),
}

/// Tells how far a store is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum SyncState {
    /// Nothing is known.
    #[default]
    Unknown,
    /// Its listing is still to begin.
    ListingPending,
    /// Pages up to a block were read; changes after a number are still to be read.
    Listing { newest: u64, after: BlockKey },
    /// Everything up to a change is known.
    Current { newest: u64 },
    /// There is no room for its blocks.
    Skipped,
}

/// Follows one store.
#[derive(Debug, Clone, Default)]
pub struct StoreSync {
    state: SyncState,
    incarnation: Option<Incarnation>,
    next_read: Moment,
    /// Numbers the reads, so that a late answer to an earlier one is told apart.
    request_id: u32,
    /// The read under way, and when it was ordered.
    pending: Option<(StoreRead, Moment)>,
    silent: bool,
    last_listing: Option<Moment>,
    synced_at: Option<Moment>,
}

impl StoreSync {
    /// Returns the run of the store's process that answered last.
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns when what is known of the store was last brought up to date.
    pub const fn synced_at(&self) -> Option<Moment> {
        self.synced_at
    }

    /// Tells whether a listing has begun and goes on.
    pub const fn is_listing(&self) -> bool {
        !self.silent
            && (matches!(self.state, SyncState::Listing { .. })
                || matches!(self.pending, Some((StoreRead::Listing { .. }, _))))
    }

    /// Tells whether there is no room for the store's blocks.
    pub const fn is_skipped(&self) -> bool {
        matches!(self.state, SyncState::Skipped)
    }

    /// Returns since when the next read is due.
    pub const fn due_at(&self) -> Moment {
        self.next_read
    }

    /// Returns the read that is due.
    pub fn due(&self, now: Moment) -> Option<StoreRead> {
        let is_pending = self.pending.is_some_and(|(_, at)| now.since(at) < READ_TIMEOUT);
        if is_pending || self.next_read > now {
            return None;
        }
        Some(match self.state {
            SyncState::Unknown | SyncState::Skipped => StoreRead::Summary,
            SyncState::ListingPending => StoreRead::Listing { after: None },
            SyncState::Listing { after, .. } => StoreRead::Listing { after: Some(after) },
            SyncState::Current { newest } => StoreRead::Changes { after: newest },
        })
    }

    /// Notes that a read was ordered and returns its number.
    pub fn start_read(&mut self, now: Moment, read: StoreRead) -> u32 {
        self.request_id = self.request_id.wrapping_add(1);
        self.pending = Some((read, now));
        self.request_id
    }

    /// Ends the read under way; nothing if the answer is to another one.
    pub fn finish_read(&mut self, request_id: u32) -> Option<StoreRead> {
        if request_id != self.request_id {
            return None;
        }
        self.pending.take().map(|(read, _)| read)
    }

    /// Notes that a read was not answered; what is known stays, since the store may come back.
    pub fn handle_failure(&mut self, now: Moment, rng: &mut impl Rng) {
        self.silent = true;
        self.next_read = now + jitter(RETRY_INTERVAL, rng);
    }

    /// Takes an answer into what is known of the store.
    pub fn handle_response(
        &mut self,
        now: Moment,
        store: StoreKey,
        (read, response): (StoreRead, &StoreResponse),
        known: &mut StoredBlocks,
        rng: &mut impl Rng,
    ) {
        self.silent = false;
        match (read, response) {
            (StoreRead::Listing { after: None }, StoreResponse::Listing(page)) => {
                self.set_incarnation(page.incarnation, store, known);
                known.begin_listing(store);
                self.last_listing = Some(now);
                self.handle_listing_page(now, store, None, page.newest, page, known, rng);
            }
            (StoreRead::Listing { after }, StoreResponse::Listing(page)) => match self.state {
                SyncState::Listing { newest, .. } if Some(page.incarnation) == self.incarnation => {
                    self.handle_listing_page(now, store, after, newest, page, known, rng);
                }
                _ => self.set_state(SyncState::Unknown, now),
            },
            (StoreRead::Changes { after }, StoreResponse::Changes(page))
                if Some(page.incarnation) == self.incarnation && continues(after, page) =>
            {
                self.handle_changes(now, store, after, page, known, rng);
            }
            (_, StoreResponse::Changes(page)) => self.handle_summary(now, store, page, known, rng),
            (_, StoreResponse::Listing(_)) => self.set_state(SyncState::Unknown, now),
        }
    }

    /// Forgets all that another run of the store held.
    fn set_incarnation(
        &mut self,
        incarnation: Incarnation,
        store: StoreKey,
        known: &mut StoredBlocks,
    ) {
        if self.incarnation.replace(incarnation).is_some_and(|old| old != incarnation) {
            known.clear(store);
        }
    }

    /// Decides whether and when to list a store whose changes cannot be followed on.
    fn handle_summary(
        &mut self,
        now: Moment,
        store: StoreKey,
        page: &ChangesPage,
        known: &mut StoredBlocks,
        rng: &mut impl Rng,
    ) {
        self.set_incarnation(page.incarnation, store, known);
        let skipped = self.state == SyncState::Skipped;
        let margin = if skipped { RESUME_MARGIN_BLOCKS } else { 0 };
        if page.held == 0 {
            known.clear(store);
            self.synced_at = Some(now);
            let state = SyncState::Current { newest: page.newest };
            self.set_state(state, now + jitter(CHANGES_INTERVAL, rng));
        } else if known.should_list(store, page.held as usize, margin) {
            let spread = START_SPREAD_PER_BLOCK.mul_f64(page.held as f64).min(MAX_START_SPREAD);
            self.set_state(SyncState::ListingPending, now + spread.mul_f64(rng.random()));
        } else {
            // What peers told of the store would not be forgotten when it is freed.
            known.clear(store);
            self.set_state(SyncState::Skipped, now + jitter(SUMMARY_INTERVAL, rng));
        }
    }

    #[expect(clippy::too_many_arguments, reason = "a page continues what the first one began")]
    fn handle_listing_page(
        &mut self,
        now: Moment,
        store: StoreKey,
        after: Option<BlockKey>,
        newest: u64,
        page: &ListingPage,
        known: &mut StoredBlocks,
        rng: &mut impl Rng,
    ) {
        let mut full = false;
        for (sealed, tier) in &page.blocks {
            full |= add_block(known, store, *sealed, *tier) == AddOutcome::Refused;
        }
        let last = page.blocks.last().map(|(sealed, _)| sealed.key);
        match last.filter(|last| page.more && after.is_none_or(|after| *last > after)) {
            _ if full => self.set_state(SyncState::Current { newest }, now),
            Some(after) => {
                let next = now + jitter(PAGE_INTERVAL, rng);
                self.set_state(SyncState::Listing { newest, after }, next);
            }
            // A store that promises more blocks without naming any is listed again later.
            None if page.more => {
                self.set_state(SyncState::Unknown, now + jitter(CHANGES_INTERVAL, rng));
            }
            None => {
                known.end_listing(store);
                self.set_state(SyncState::Current { newest }, now);
            }
        }
    }

    fn handle_changes(
        &mut self,
        now: Moment,
        store: StoreKey,
        after: u64,
        page: &ChangesPage,
        known: &mut StoredBlocks,
        rng: &mut impl Rng,
    ) {
        for change in &page.changes {
            match *change {
                StoreChange::Sealed(sealed, tier) => {
                    add_block(known, store, sealed, tier);
                }
                StoreChange::Freed(key, write_id) => known.remove_write(store, key, write_id),
            }
        }
        let newest = after + page.changes.len() as u64;
        self.synced_at = Some(now);
        let current = newest == page.newest;
        let interval = if current { CHANGES_INTERVAL } else { PAGE_INTERVAL };
        self.set_state(SyncState::Current { newest }, now + jitter(interval, rng));
        let relist_allowed = self.last_listing.is_none_or(|at| now.since(at) >= RELIST_INTERVAL);
        let held = page.held as usize;
        let may_relist = known.is_partial(store) && relist_allowed;
        if may_relist && known.should_list(store, held, RESUME_MARGIN_BLOCKS) {
            self.set_state(SyncState::ListingPending, now);
        } else if known.block_count(store) == 0 && !known.should_list(store, held, 0) {
            self.set_state(SyncState::Skipped, now + jitter(SUMMARY_INTERVAL, rng));
        }
    }

    const fn set_state(&mut self, state: SyncState, next: Moment) {
        self.state = state;
        self.next_read = next;
    }
}

/// Tells whether a page goes on right after change `after` and makes progress.
fn continues(after: u64, page: &ChangesPage) -> bool {
    let last = after + page.changes.len() as u64;
    let progresses = !page.changes.is_empty() || after == page.newest;
    page.oldest <= after + 1 && last <= page.newest && progresses
}

fn add_block(known: &mut StoredBlocks, store: StoreKey, sealed: Sealed, tier: Tier) -> AddOutcome {
    known.add(crate::directory::StoredBlock { store, sealed, tier })
}

fn jitter(interval: Duration, rng: &mut impl Rng) -> Duration {
    interval.mul_f64(rng.random_range(0.8..1.2))
}
