//! Which faults happen when, as a seed decides.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::standins::relay::Mode;

const FAULT_INTERVAL: Duration = Duration::from_millis(600);
const MIN_DURATION: Duration = Duration::from_millis(300);
const MAX_DURATION: Duration = Duration::from_millis(2_500);
/// Part of the run after which targets begin to leave, so that they are watched long enough.
const LEAVE_START_FRACTION: f64 = 0.15;

/// Names the kind of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Callers to a daemon.
    Callers,
    /// Daemons to a model engine.
    Engine,
    /// Daemons to a plain service.
    Service,
    /// Daemons and engines to a store.
    Store,
    /// Daemons to a daemon.
    Peer,
    /// A daemon to the platform.
    Platform,
}

/// Describes one fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon dies and is started anew.
    Kill(usize),
    /// A daemon is paused and goes on.
    Pause(usize),
    /// A daemon is stopped as planned and started anew.
    Stop(usize),
    /// Two daemons are cut off from each other alone.
    Apart(usize, usize, Mode),
    /// A link is cut or silent.
    Link(Link, usize, Mode),
    /// The platform answers errors.
    PlatformDown,
    /// The platform is slow.
    PlatformSlow,
    /// The platform's writes take effect and their answers are lost.
    PlatformLosesAnswers,
    /// The VM list is an old one.
    StaleList,
    /// A store's bytes are damaged under unchanged seals.
    StoreDamage(usize),
    /// A store keeps half of what it is given.
    StoreTorn(usize),
    /// A store frees everything.
    StoreFree(usize),
    /// A store's link is slow.
    StoreSlow(usize),
    /// A store is full.
    StoreFull(usize),
    /// A store dies and comes back empty.
    StoreDeath(usize),
    /// An engine dies and comes back empty.
    EngineDeath(usize),
    /// An engine's connections go silent.
    EngineSilent(usize),
    /// An engine's connections break.
    EngineCuts(usize),
    /// An engine sends events of other calls.
    EngineForeign(usize),
    /// An engine forgets its streams.
    EngineForgets(usize),
    /// A service is slow.
    ServiceSlow(usize),
    /// A service runs calls and loses the answers.
    ServiceLosesAnswers(usize),
    /// The VM list and the service itself call it leaving.
    ServiceLeaves(usize),
    /// The VM list calls an engine leaving, which itself still takes work.
    EngineLeaves(usize),
    /// Another weight version is declared and loaded.
    Swap,
    /// Two operators apply different declarations at once.
    Operators,
}

impl Fault {
    /// Tells whether two faults would act on the process of one daemon.
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

    /// Tells whether a daemon cannot rely on the platform during the fault.
    pub fn hinders_platform_writes(self, vm: usize) -> bool {
        match self {
            Self::PlatformDown | Self::PlatformSlow | Self::PlatformLosesAnswers => true,
            Self::Link(Link::Platform, cut, _) => cut == vm,
            _ => false,
        }
    }
}

/// Places a fault in time.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

impl fmt::Display for Planned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, duration) = (self.at.as_millis(), self.duration.as_millis());
        write!(f, "{at:>6} ms for {duration:>4} ms: {:?}", self.fault)
    }
}

/// Draws the faults of a run; up to several overlap.
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
