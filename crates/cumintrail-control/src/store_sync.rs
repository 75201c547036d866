//! Synchronizes the directory with a store: a paged listing of its blocks, then its change log.
//!
//! A response that does not continue the synchronized state, for whatever reason, leads to a new
//! listing; see docs/DESIGN.md, "Following stores".

use std::time::Duration;

use cumintrail_types::{BlockKey, Incarnation, Moment, Sealed, StoreKey, Tier, WriteId};
use rand::Rng;

use crate::directory::{AddOutcome, StoredBlocks};

/// The mean time between reads of the change log of a synchronized store.
const CHANGES_INTERVAL: Duration = Duration::from_secs(10);
/// The mean time between summaries of a store whose blocks do not fit into the table.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(60);
/// The mean time before the next read of a store after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// The mean time between two pages, during which imports can use the store's link.
const PAGE_INTERVAL: Duration = Duration::from_millis(125);
/// The time that each block of a store adds to the interval over which daemons spread their first
/// pages of its listing.
const START_SPREAD_PER_BLOCK: Duration = Duration::from_micros(100);
/// The maximum length of the interval over which daemons spread their first pages.
const MAX_START_SPREAD: Duration = Duration::from_secs(60);
/// The minimum time between two listings of a store that has blocks left out of the table.
const RELIST_INTERVAL: Duration = Duration::from_secs(600);
/// The time after which a read without a response may be repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The space, in blocks beyond those of the store, that the table must have before a store that did
/// not fit is listed again.
const RESUME_MARGIN_BLOCKS: usize = 10_000;

/// A request to read the state of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    /// The incarnation and the number of blocks, without changes.
    Summary,
    /// A page of the listing of its blocks.
    Listing {
        /// The last block of the previous page; `None` for the first page.
        after: Option<BlockKey>,
    },
    /// A page of its change log.
    Changes {
        /// The sequence number of the last change that was applied.
        after: u64,
    },
}

/// The response to a [`StoreRead`].
#[derive(Debug, Clone)]
pub enum StoreResponse {
    /// The response to [`StoreRead::Listing`].
    Listing(ListingPage),
    /// The response to [`StoreRead::Summary`] and [`StoreRead::Changes`].
    Changes(ChangesPage),
}

/// A page of the listing of a store's blocks.
#[derive(Debug, Clone)]
pub struct ListingPage {
    /// The incarnation of the store's process.
    pub incarnation: Incarnation,
    /// The sequence number of the last change when the page was made.
    pub newest: u64,
    /// The blocks, in key order.
    pub blocks: Vec<(Sealed, Tier)>,
    /// Whether more blocks follow on the next page.
    pub more: bool,
}

/// A page of the change log of a store.
#[derive(Debug, Clone)]
pub struct ChangesPage {
    /// The incarnation of the store's process.
    pub incarnation: Incarnation,
    /// The sequence number of the oldest change that the store's log still has.
    pub oldest: u64,
    /// The sequence number of the last change.
    pub newest: u64,
    /// The number of blocks in the store.
    pub held: u64,
    /// The changes after the requested one, without gaps.
    pub changes: Vec<StoreChange>,
}

/// An entry of the change log of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreChange {
    /// The block was completely written, or moved to another tier.
    Sealed(Sealed, Tier),
    /// This write of the block was freed.
    Freed(BlockKey, WriteId),
}

/// The state of the synchronization with a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum SyncState {
    /// The next read is a summary, which decides whether the store is listed.
    #[default]
    Unknown,
    /// The next read is the first page of a listing.
    ListingPending,
    /// The pages up to block `after` were read. `newest` is the last change before the first page,
    /// from which the change log is read after the listing.
    Listing { newest: u64, after: BlockKey },
    /// The changes up to `newest` were applied.
    Current { newest: u64 },
    /// The blocks of the store do not fit into the table; summaries show when they do.
    Skipped,
}

/// Schedules the reads of one store and applies the responses to the table of stored blocks.
#[derive(Debug, Clone, Default)]
pub struct StoreSync {
    state: SyncState,
    incarnation: Option<Incarnation>,
    next_read: Moment,
    /// The id of the last read, which distinguishes its response from delayed responses to earlier
    /// reads.
    request_id: u32,
    /// The read in flight, and when it was started.
    pending: Option<(StoreRead, Moment)>,
    /// Whether the last read failed.
    silent: bool,
    /// When the first page of the last listing arrived.
    last_listing: Option<Moment>,
    synced_at: Option<Moment>,
}

impl StoreSync {
    /// Returns the incarnation of the store in its last summary or first listing page.
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns when a page of changes was last applied or the store was last found empty.
    pub const fn synced_at(&self) -> Option<Moment> {
        self.synced_at
    }

    /// Returns whether a listing is in progress and the last read did not fail.
    pub const fn is_listing(&self) -> bool {
        !self.silent
            && (matches!(self.state, SyncState::Listing { .. })
                || matches!(self.pending, Some((StoreRead::Listing { .. }, _))))
    }

    /// Returns whether the store is not listed because its blocks do not fit into the table.
    pub const fn is_skipped(&self) -> bool {
        matches!(self.state, SyncState::Skipped)
    }

    /// Returns the time from which the next read is due.
    pub const fn due_at(&self) -> Moment {
        self.next_read
    }

    /// Returns the read that is due, unless one is in flight.
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

    /// Records the start of a read and returns its request id.
    pub fn start_read(&mut self, now: Moment, read: StoreRead) -> u32 {
        self.request_id = self.request_id.wrapping_add(1);
        self.pending = Some((read, now));
        self.request_id
    }

    /// Ends and returns the read in flight, or returns `None` if it has another request id.
    pub fn finish_read(&mut self, request_id: u32) -> Option<StoreRead> {
        if request_id != self.request_id {
            return None;
        }
        self.pending.take().map(|(read, _)| read)
    }

    /// Schedules a retry after a failed read. Known blocks stay, since the store may respond again.
    pub fn handle_failure(&mut self, now: Moment, rng: &mut impl Rng) {
        self.silent = true;
        self.next_read = now + jitter(RETRY_INTERVAL, rng);
    }

    /// Applies the response to a read and schedules the next read.
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

    /// Records the incarnation of the store and removes all blocks of an earlier one.
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

    /// Decides whether and when to list a store whose change log does not continue the known state.
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
            // Without the change log, blocks that peers reported would stay after they are freed.
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
            // A page that announces more blocks without making progress restarts the sync later.
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

/// Returns whether a page continues right after change `after` and makes progress.
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
