//! Generates the schedule of faults from a seeded generator.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::standins::relay::Mode;

const FAULT_INTERVAL: Duration = Duration::from_millis(600);
const MIN_DURATION: Duration = Duration::from_millis(300);
const MAX_DURATION: Duration = Duration::from_millis(2_500);
/// Fraction of the run after which targets start to leave, early enough to observe them for most of
/// the run.
const LEAVE_START_FRACTION: f64 = 0.15;

/// The kind of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// From callers to a daemon.
    Callers,
    /// From daemons to a model engine.
    Engine,
    /// From daemons to a replica of a plain service.
    Service,
    /// From daemons and engines to a store.
    Store,
    /// From other daemons to a daemon.
    Peer,
    /// From a daemon to the platform.
    Platform,
}

/// A fault; indices select the daemon, engine, store or service replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and later restarted.
    Kill(usize),
    /// A daemon is paused with SIGSTOP and later resumed.
    Pause(usize),
    /// A daemon is stopped with SIGTERM and restarted after it has ended.
    Stop(usize),
    /// Only the links between two daemons are cut or silent.
    Apart(usize, usize, Mode),
    /// A link is cut or silent.
    Link(Link, usize, Mode),
    /// The platform responds with errors.
    PlatformDown,
    /// The platform is slow.
    PlatformSlow,
    /// Writes at the platform take effect, but their responses are lost.
    PlatformLosesAnswers,
    /// The platform serves an outdated VM list.
    StaleList,
    /// The bytes of a store's blocks are corrupted under unchanged seals.
    StoreDamage(usize),
    /// A store keeps only half of the bytes of a written block.
    StoreTorn(usize),
    /// A store frees all its blocks.
    StoreFree(usize),
    /// A store's link is slow.
    StoreSlow(usize),
    /// A store is full.
    StoreFull(usize),
    /// A store is killed and replaced by an empty one.
    StoreDeath(usize),
    /// An engine is killed and replaced by an empty one.
    EngineDeath(usize),
    /// An engine's streams fall silent after some events.
    EngineSilent(usize),
    /// An engine's streams are cut after some events.
    EngineCuts(usize),
    /// An engine sends events of other calls.
    EngineForeign(usize),
    /// An engine discards its streams, so that they cannot be resumed.
    EngineForgets(usize),
    /// A service is slow.
    ServiceSlow(usize),
    /// A service executes calls, but its responses are lost.
    ServiceLosesAnswers(usize),
    /// The VM list and the service itself report the service as leaving.
    ServiceLeaves(usize),
    /// The VM list reports an engine as leaving, while the engine itself still accepts work.
    EngineLeaves(usize),
    /// The next weight version is declared, so that engines load it.
    Swap,
    /// Two operators apply different declarations concurrently.
    Operators,
}

impl Fault {
    /// Returns whether both faults act on the process of the same daemon.
    pub fn shares_process(self, other: Self) -> bool {
        self.process().is_some() && self.process() == other.process()
    }

    /// Returns the daemon on whose process a fault acts.
    pub fn process(self) -> Option<usize> {
        match self {
            Self::Kill(vm) | Self::Pause(vm) | Self::Stop(vm) => Some(vm),
            _ => None,
        }
    }

    /// Returns whether the fault can keep daemon `vm` from recording outcomes at the platform.
    pub fn hinders_platform_writes(self, vm: usize) -> bool {
        match self {
            Self::PlatformDown | Self::PlatformSlow | Self::PlatformLosesAnswers => true,
            Self::Link(Link::Platform, cut, _) => cut == vm,
            _ => false,
        }
    }
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// Start, counted from the start of the run.
    pub at: Duration,
    /// Duration.
    pub duration: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

impl fmt::Display for Planned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, duration) = (self.at.as_millis(), self.duration.as_millis());
        write!(f, "{at:>6} ms for {duration:>4} ms: {:?}", self.fault)
    }
}

/// Draws the faults of a run, in order of their start; faults may overlap.
pub fn draw(rng: &mut StdRng, run: Duration) -> Vec<Planned> {
    let leave = |fault| Planned { at: run.mul_f64(LEAVE_START_FRACTION), duration: run, fault };
    let mut planned = vec![leave(Fault::ServiceLeaves(1)), leave(Fault::EngineLeaves(2))];
    let mut at = FAULT_INTERVAL;
    while at + MAX_DURATION < run {
        let duration = rng.random_range(MIN_DURATION..MAX_DURATION);
        planned.push(Planned { at, duration, fault: draw_fault(rng) });
        at += FAULT_INTERVAL.mul_f64(rng.random_range(0.3..1.7));
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    let (vm, engine, pair) =
        (rng.random_range(0..3), rng.random_range(0..3), rng.random_range(0..2));
    match rng.random_range(0..35) {
        0..=1 => Fault::Kill(vm),
        2..=3 => Fault::Pause(vm),
        4 | 29..=31 => Fault::Stop(vm),
        5..=13 => draw_link(rng),
        14 => Fault::PlatformDown,
        15 => Fault::PlatformSlow,
        16 => Fault::PlatformLosesAnswers,
        17 => Fault::StaleList,
        18 => Fault::StoreDamage(pair),
        19 => Fault::StoreTorn(pair),
        20 => [Fault::StoreFree(pair), Fault::StoreFull(pair)][rng.random_range(0..2)],
        21 => [Fault::StoreSlow(pair), Fault::StoreDeath(pair)][rng.random_range(0..2)],
        22 => Fault::EngineDeath(engine),
        23 => [Fault::EngineSilent(engine), Fault::EngineCuts(engine)][rng.random_range(0..2)],
        24 => Fault::EngineForeign(engine),
        25 => Fault::EngineForgets(engine),
        26 => Fault::ServiceSlow(pair),
        27 => Fault::ServiceLosesAnswers(pair),
        28 => Fault::Swap,
        32..=33 => {
            let mode = [Mode::Cut, Mode::SilenceAll][rng.random_range(0..2)];
            Fault::Apart(vm, (vm + 1) % 3, mode)
        }
        _ => Fault::Operators,
    }
}

fn draw_link(rng: &mut StdRng) -> Fault {
    let modes = [Mode::Cut, Mode::SilenceOpen, Mode::SilenceAll];
    let mode = modes[rng.random_range(0..modes.len())];
    let links = [
        (Link::Callers, 3),
        (Link::Engine, 3),
        (Link::Service, 2),
        (Link::Store, 2),
        (Link::Peer, 3),
        (Link::Platform, 3),
    ];
    let (link, count) = links[rng.random_range(0..links.len())];
    Fault::Link(link, rng.random_range(0..count), mode)
}
