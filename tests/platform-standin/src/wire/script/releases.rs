//! Scripts in which software versions appear that no entry of the registry names yet.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng, SeedableRng as _};

use super::changes::{Changes, Notice, Operation, Release, Replacement};
use super::{Disturbance, Fault, Script};
use crate::calls::CallKind;

/// The version of all targets at the start.
const FIRST_VERSION: u8 = 1;
const TARGETS_PER_SERVICE: usize = 3;
/// The longest time between the start of a process and its first entry, in milliseconds; targets
/// write theirs every 400 ms.
const MAX_ENTRY_DELAY_MS: u64 = 350;
/// Times at which callers leave a stream to take it up at another daemon.
const MAX_MOVES: usize = 2;

/// The part of a script that is drawn.
struct Draw {
    rng: StdRng,
    vms: usize,
    replacements: Vec<(u64, Replacement)>,
    disturbances: Vec<(u64, Disturbance)>,
    operations: Vec<(u64, Operation)>,
    newest: u8,
}

impl Script {
    /// Draws a script whose targets have one software version at the start. Single targets start
    /// again with newer ones, before daemons can read of these, while daemons fail and callers
    /// take up their streams elsewhere. With `has_withdrawn`, the first of the new processes end
    /// before they write an entry.
    pub fn draw_releases(seed: u64, seconds: u64, has_withdrawn: bool) -> Self {
        let mut script = Self::draw_steady(seed, seconds);
        let mut rng = StdRng::seed_from_u64(!seed);
        let vms = rng.random_range(3..=4);
        for exchange in script.lanes.iter_mut().flatten() {
            exchange.vm = rng.random_range(0..vms);
            if rng.random_bool(0.9) {
                exchange.kind = CallKind::Resume;
            }
            exchange.body_bytes = exchange.body_bytes.min(10);
            exchange.in_chunks &= exchange.body_bytes > 0;
            exchange.leaves_after_ms = None;
            if exchange.kind == CallKind::Resume && rng.random_bool(0.4) {
                exchange.leaves_after_ms = Some(rng.random_range(20..120));
                exchange.moves = rng.random_range(1..=MAX_MOVES);
            }
            for response in &mut exchange.responses {
                response.pause_ms = *[5, 15, 40].choose(&mut rng).unwrap_or(&15);
                // Processes end as the releases say.
                if let Fault::Kill { at, .. } = response.fault {
                    response.fault = Fault::Reset(at);
                }
            }
        }
        let mut draw = Draw {
            rng,
            vms,
            replacements: Vec::new(),
            disturbances: Vec::new(),
            operations: Vec::new(),
            newest: FIRST_VERSION,
        };
        draw.releases(seconds * 1000, has_withdrawn);
        draw.replacements.sort_by_key(|(at_ms, _)| *at_ms);
        draw.disturbances.sort_by_key(|(at_ms, _)| *at_ms);
        script.disturbances = draw.disturbances;
        script.max_joined_versions = 0;
        script.changes = Changes {
            vms,
            targets_per_service: TARGETS_PER_SERVICE,
            replacements: draw.replacements,
            operations: draw.operations,
            ..Changes::default()
        };
        script
    }
}

impl Draw {
    /// Draws the releases, at first those that are withdrawn.
    fn releases(&mut self, end_ms: u64, has_withdrawn: bool) {
        let listed_from_ms =
            if has_withdrawn { self.rng.random_range(end_ms / 3..end_ms) } else { 0 };
        let mut at_ms = self.rng.random_range(300..900);
        while at_ms < end_ms {
            // Targets with an even number serve the model.
            let first = self.rng.random_range(0..TARGETS_PER_SERVICE);
            if at_ms < listed_from_ms {
                let software = self.next_version();
                self.withdrawn_release(at_ms, 2 * first, software);
            } else {
                // Once entries name several versions, streams of unknown origin are refused.
                let is_first = self.newest == FIRST_VERSION;
                let targets =
                    if is_first { 2 } else { self.rng.random_range(1..TARGETS_PER_SERVICE) };
                for nth in 0..targets {
                    let target = 2 * ((first + nth) % TARGETS_PER_SERVICE);
                    let min_ms = if is_first { MAX_ENTRY_DELAY_MS - 50 } else { 0 };
                    let entry_after_ms = self.rng.random_range(min_ms..MAX_ENTRY_DELAY_MS);
                    let entry_after_ms = Some(entry_after_ms);
                    let release = Release { software: self.next_version(), entry_after_ms };
                    if is_first || self.rng.random() {
                        self.restart(at_ms, target, release);
                    } else {
                        let at_ms = at_ms + self.rng.random_range(0..100);
                        self.replace(at_ms, target, release);
                    }
                }
            }
            self.disturb_daemons(at_ms);
            at_ms += self.rng.random_range(900..1_500);
        }
    }

    fn next_version(&mut self) -> u8 {
        self.newest += 1;
        self.newest
    }

    /// Draws processes that end before they write their entry, and one of the first version that
    /// follows them. The entry of the process before them has not expired by then.
    fn withdrawn_release(&mut self, mut at_ms: u64, target: usize, software: u8) {
        for _ in 0..self.rng.random_range(1..=2) {
            self.restart(at_ms, target, Release { software, entry_after_ms: None });
            at_ms += self.rng.random_range(100..MAX_ENTRY_DELAY_MS);
        }
        self.restart(at_ms, target, Release { software: FIRST_VERSION, entry_after_ms: Some(0) });
    }

    /// Replaces a target after a notice, under its id and address or not.
    fn replace(&mut self, at_ms: u64, target: usize, release: Release) {
        let drawn = Replacement::draw(&mut self.rng, target);
        let serves_ms = drawn.serves_ms.min(300);
        let replacement = Replacement { serves_ms, release: Some(release), ..drawn };
        self.replacements.push((at_ms, replacement));
    }

    /// Kills a target, and starts it again at once.
    fn restart(&mut self, at_ms: u64, target: usize, release: Release) {
        let restart = Replacement {
            target,
            keeps_id: true,
            keeps_address: true,
            notice: Notice::None,
            serves_ms: 0,
            exits_after_ms: 0,
            release: Some(release),
        };
        self.replacements.push((at_ms, restart));
    }

    /// Disturbs one or two daemons at which streams begin at a new process.
    fn disturb_daemons(&mut self, at_ms: u64) {
        for _ in 0..self.rng.random_range(1..=2) {
            let vm = self.rng.random_range(0..self.vms);
            let at_ms = at_ms + self.rng.random_range(20..400);
            match self.rng.random_range(0..4) {
                0 | 1 => self.disturbances.push((at_ms, Disturbance::Restart { vm })),
                2 => {
                    let ms = self.rng.random_range(100..600);
                    self.disturbances.push((at_ms, Disturbance::Suspend { vm, ms }));
                }
                _ => self.operations.push((at_ms, Operation::Stop { vm, downtime_ms: 0 })),
            }
        }
    }
}
