//! How a store's blocks are learned: one listing in pages, then its changes by number.
//!
//! Every answer that does not continue what is known, for whatever reason, leads back to a
//! listing; see docs/DESIGN.md, "Following stores".

use std::time::Duration;

use cumintrail_types::{BlockKey, Incarnation, Moment, Sealed, StoreKey, Tier, WriteId};
use rand::Rng;

use crate::directory::{KeptBlocks, Remembered};

/// The time between looks at a store's changes.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(10);
/// The time between looks at a store whose blocks there is no room for.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(60);
/// The time after which a store that did not answer is asked again.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// The time between two pages, which leaves the store's link to imports.
const PAGE_PAUSE: Duration = Duration::from_millis(250);
/// The time that each listed block adds to the spread of first pages over daemons.
const SPREAD_PER_BLOCK: Duration = Duration::from_micros(100);
/// The longest spread.
const MAX_SPREAD: Duration = Duration::from_secs(60);
/// The shortest time between two listings for blocks that were left out.
const RELIST_INTERVAL: Duration = Duration::from_secs(600);
/// The time after which a read without an answer is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The blocks that must be free beyond a store's own before it is taken up again.
const TAKE_UP_MARGIN: usize = 10_000;

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
pub enum StoreAnswer {
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
enum Position {
    /// Nothing is known.
    #[default]
    Unknown,
    /// Its listing is still to begin.
    Waiting,
    /// Pages up to a block were read; changes after a number are still to be read.
    Listing { newest: u64, after: BlockKey },
    /// Everything up to a change is known.
    Current { newest: u64 },
    /// There is no room for its blocks.
    Unfollowed,
}

/// Follows one store.
#[derive(Debug, Clone, Default)]
pub struct Following {
    position: Position,
    run: Option<Incarnation>,
    next: Moment,
    /// Numbers the reads, so that a late answer to an earlier one is told apart.
    ticket: u32,
    /// The read under way, and when it was ordered.
    asked: Option<(StoreRead, Moment)>,
    silent: bool,
    listed: Option<Moment>,
    heard: Option<Moment>,
}

impl Following {
    /// Returns the run of the store's process that answered last.
    pub const fn run(&self) -> Option<Incarnation> {
        self.run
    }

    /// Returns when what is known of the store was last brought up to date.
    pub const fn heard(&self) -> Option<Moment> {
        self.heard
    }

    /// Tells whether a listing has begun and goes on.
    pub const fn is_listing(&self) -> bool {
        !self.silent
            && (matches!(self.position, Position::Listing { .. })
                || matches!(self.asked, Some((StoreRead::Listing { .. }, _))))
    }

    /// Tells whether there is no room for the store's blocks.
    pub const fn is_unfollowed(&self) -> bool {
        matches!(self.position, Position::Unfollowed)
    }

    /// Returns since when the next read is due.
    pub const fn due_since(&self) -> Moment {
        self.next
    }

    /// Returns the read that is due.
    pub fn due(&self, now: Moment) -> Option<StoreRead> {
        let waits = self.asked.is_some_and(|(_, at)| now.since(at) < READ_TIMEOUT);
        if waits || self.next > now {
            return None;
        }
        Some(match self.position {
            Position::Unknown | Position::Unfollowed => StoreRead::Summary,
            Position::Waiting => StoreRead::Listing { after: None },
            Position::Listing { after, .. } => StoreRead::Listing { after: Some(after) },
            Position::Current { newest } => StoreRead::Changes { after: newest },
        })
    }

    /// Notes that a read was ordered and returns its number.
    pub fn start(&mut self, now: Moment, read: StoreRead) -> u32 {
        self.ticket = self.ticket.wrapping_add(1);
        self.asked = Some((read, now));
        self.ticket
    }

    /// Ends the read under way; nothing if the answer is to another one.
    pub fn answered(&mut self, ticket: u32) -> Option<StoreRead> {
        if ticket != self.ticket {
            return None;
        }
        self.asked.take().map(|(read, _)| read)
    }

    /// Notes that a read was not answered; what is known stays, since the store may come back.
    pub fn take_silence(&mut self, now: Moment, rng: &mut impl Rng) {
        self.silent = true;
        self.next = now + jitter(RETRY_INTERVAL, rng);
    }

    /// Takes an answer into what is known of the store.
    pub fn take(
        &mut self,
        now: Moment,
        store: StoreKey,
        (read, answer): (StoreRead, &StoreAnswer),
        known: &mut KeptBlocks,
        rng: &mut impl Rng,
    ) {
        self.silent = false;
        match (read, answer) {
            (StoreRead::Listing { after: None }, StoreAnswer::Listing(page)) => {
                self.change_run(page.incarnation, store, known);
                known.begin_listing(store);
                self.listed = Some(now);
                self.take_page(now, store, None, page.newest, page, known, rng);
            }
            (StoreRead::Listing { after }, StoreAnswer::Listing(page)) => match self.position {
                Position::Listing { newest, .. } if Some(page.incarnation) == self.run => {
                    self.take_page(now, store, after, newest, page, known, rng);
                }
                _ => self.move_to(Position::Unknown, now),
            },
            (StoreRead::Changes { after }, StoreAnswer::Changes(page))
                if Some(page.incarnation) == self.run && continues(after, page) =>
            {
                self.take_changes(now, store, after, page, known, rng);
            }
            (_, StoreAnswer::Changes(page)) => self.take_summary(now, store, page, known, rng),
            (_, StoreAnswer::Listing(_)) => self.move_to(Position::Unknown, now),
        }
    }

    /// Forgets all that another run of the store held.
    fn change_run(&mut self, run: Incarnation, store: StoreKey, known: &mut KeptBlocks) {
        if self.run.replace(run).is_some_and(|old| old != run) {
            known.clear(store);
        }
    }

    /// Decides whether and when to list a store whose changes cannot be followed on.
    fn take_summary(
        &mut self,
        now: Moment,
        store: StoreKey,
        page: &ChangesPage,
        known: &mut KeptBlocks,
        rng: &mut impl Rng,
    ) {
        self.change_run(page.incarnation, store, known);
        let unfollowed = self.position == Position::Unfollowed;
        let margin = if unfollowed { TAKE_UP_MARGIN } else { 0 };
        if page.held == 0 {
            known.clear(store);
            self.heard = Some(now);
            let position = Position::Current { newest: page.newest };
            self.move_to(position, now + jitter(FOLLOW_INTERVAL, rng));
        } else if known.is_worth_listing(store, page.held as usize, margin) {
            let spread = SPREAD_PER_BLOCK.mul_f64(page.held as f64).min(MAX_SPREAD);
            self.move_to(Position::Waiting, now + spread.mul_f64(rng.random()));
        } else {
            self.move_to(Position::Unfollowed, now + jitter(SUMMARY_INTERVAL, rng));
        }
    }

    #[expect(clippy::too_many_arguments, reason = "a page continues what the first one began")]
    fn take_page(
        &mut self,
        now: Moment,
        store: StoreKey,
        after: Option<BlockKey>,
        newest: u64,
        page: &ListingPage,
        known: &mut KeptBlocks,
        rng: &mut impl Rng,
    ) {
        let mut full = false;
        for (sealed, tier) in &page.blocks {
            full |= remember(known, store, *sealed, *tier) == Remembered::Refused;
        }
        let last = page.blocks.last().map(|(sealed, _)| sealed.key);
        match last.filter(|last| page.more && after.is_none_or(|after| *last > after)) {
            _ if full => self.move_to(Position::Current { newest }, now),
            Some(after) => {
                let next = now + jitter(PAGE_PAUSE, rng);
                self.move_to(Position::Listing { newest, after }, next);
            }
            // A store that promises more blocks without naming any is listed again later.
            None if page.more => {
                self.move_to(Position::Unknown, now + jitter(FOLLOW_INTERVAL, rng));
            }
            None => {
                known.end_listing(store);
                self.move_to(Position::Current { newest }, now);
            }
        }
    }

    fn take_changes(
        &mut self,
        now: Moment,
        store: StoreKey,
        after: u64,
        page: &ChangesPage,
        known: &mut KeptBlocks,
        rng: &mut impl Rng,
    ) {
        for change in &page.changes {
            match *change {
                StoreChange::Sealed(sealed, tier) => {
                    remember(known, store, sealed, tier);
                }
                StoreChange::Freed(key, write_id) => known.remove_write(store, key, write_id),
            }
        }
        let newest = after + page.changes.len() as u64;
        self.heard = Some(now);
        let current = newest == page.newest;
        let pause = if current { FOLLOW_INTERVAL } else { PAGE_PAUSE };
        self.move_to(Position::Current { newest }, now + jitter(pause, rng));
        let long_ago = self.listed.is_none_or(|at| now.since(at) >= RELIST_INTERVAL);
        let held = page.held as usize;
        let left_out = known.is_partial(store) && long_ago;
        if left_out && known.is_worth_listing(store, held, TAKE_UP_MARGIN) {
            self.move_to(Position::Waiting, now);
        } else if known.blocks(store) == 0 && !known.is_worth_listing(store, held, 0) {
            self.move_to(Position::Unfollowed, now + jitter(SUMMARY_INTERVAL, rng));
        }
    }

    const fn move_to(&mut self, position: Position, next: Moment) {
        self.position = position;
        self.next = next;
    }
}

/// Tells whether a page goes on right after change `after` and makes progress.
fn continues(after: u64, page: &ChangesPage) -> bool {
    let last = after + page.changes.len() as u64;
    let moves = !page.changes.is_empty() || after == page.newest;
    page.oldest <= after + 1 && last <= page.newest && moves
}

fn remember(known: &mut KeptBlocks, store: StoreKey, sealed: Sealed, tier: Tier) -> Remembered {
    known.add(crate::directory::Kept { store, sealed, tier })
}

fn jitter(interval: Duration, rng: &mut impl Rng) -> Duration {
    interval.mul_f64(rng.random_range(0.8..1.2))
}
