//! Where a call runs and which kept blocks it imports first; docs/DESIGN.md, "Placement".

mod affine;
mod sources;

use std::time::Duration;

use cumintrail_config::{Deployment, Model, Preset, Store, Target};
use cumintrail_types::{
    Arena, BlockKey, Bytes, CallKey, DomainKey, Moment, StoreKey, TargetKey, Tokens,
};
use smallvec::SmallVec;

pub use self::affine::AffinePlacer;
use self::sources::Sources;
use crate::directory::Directory;
use crate::links::Links;
use crate::parts::PartPlans;
use crate::{Fetch, FetchPlan};

const FETCH_MARGIN: Duration = Duration::from_millis(50);
/// A fetch is given up when it takes this many times what computing its pieces would have taken.
const FETCH_PATIENCE: f64 = 2.0;
/// Seconds of wait expected at a target with a call in each slot, beyond what its last report shows.
///
/// Reports lag, so a target with more calls is likelier to be busier than it seems.
const UNSEEN_WAIT_WHEN_FULL: f64 = 1.6;

/// Holds what a choice of target looks at.
#[derive(Debug)]
pub struct Context<'a> {
    /// The present.
    pub now: Moment,
    /// The stores of the configuration.
    pub stores: &'a Arena<StoreKey, Store>,
    /// Piece length and text density.
    pub deployment: &'a Deployment,
    /// The weights of the preset in force.
    pub preset: &'a Preset,
    /// The model that is asked for.
    pub model: &'a Model,
    /// Where blocks probably are.
    pub directory: &'a Directory,
    /// How busy the links are.
    pub links: &'a Links,
    /// The tokens of the prompt's parts that a managed store would deliver.
    pub tokens_read: Tokens,
}

/// Describes a target that could run the call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: TargetKey,
    /// Its declaration.
    pub target: &'a Target,
    /// Prompt tokens that it still has to compute for other calls.
    pub backlog: Tokens,
    /// Calls that it probably has.
    pub calls: u32,
    /// The time until it probably has a slot.
    pub slot_wait: Duration,
    /// Whether this daemon may send it another call now.
    pub free: bool,
    /// Whether blocks may be imported, which needs the version that the keys are for.
    pub importable: bool,
    /// The part of its memory that calls take.
    pub memory: f64,
    /// The part of its memory that one token takes.
    pub memory_per_token: f64,
    /// How much longer its first tokens take than expected.
    pub pace: f64,
    /// How late the most overdue first token is.
    pub overdue: Duration,
}

impl Candidate<'_> {
    /// Returns the seconds until it begins with the prompt.
    pub fn wait(&self) -> f64 {
        let backlog = f64::from(self.backlog.0) / f64::from(self.target.prefill_per_second);
        let used = f64::from(self.calls) / f64::from(self.target.slots.max(1));
        let unseen = used * UNSEEN_WAIT_WHEN_FULL;
        backlog.max(self.slot_wait.as_secs_f64()) + unseen
    }
}

/// Holds the estimate for one target and number of pieces.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The target.
    pub target: TargetKey,
    /// The weighted cost, in seconds of time to first token.
    pub cost: f64,
    /// The expected time until the target can compute, with all imports there.
    pub wait: Duration,
    /// The expected time to first token.
    pub first_token: Duration,
    /// Prompt tokens that the target will compute.
    pub recompute: Tokens,
    /// What to import first.
    pub plan: FetchPlan,
    /// The bytes that the imports take from links.
    pub link_bytes: Bytes,
    /// What managed stores deliver and take.
    pub parts: PartPlans,
    /// The part of the target's memory that calls take with this one.
    pub memory: f64,
}

/// Describes the call that is placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The call.
    pub call: CallKey,
    /// The block keys of the prompt's full pieces, in order.
    pub pieces: &'a [BlockKey],
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The length of the parts that other prompts share.
    pub shared: Tokens,
    /// Tokens of prompt and answer that will take memory.
    pub memory: Tokens,
    /// The time within which the answer is to begin, if the route names one.
    pub objective: Option<Duration>,
    /// Where its shared parts are kept, if a managed store keeps them.
    pub near: Option<Near>,
}

/// Tells where the longest shared part of a prompt is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Near {
    /// The failure domain of the store.
    pub domain: DomainKey,
    /// The seconds that its transfer takes of the store's link within that domain.
    pub seconds: f64,
}

/// Chooses where a call runs, so that other policies can be measured in the same control state.
pub trait Placer {
    /// Chooses a target and what to import; nothing if the call should wait.
    fn place(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement>;

    /// Tells when a call should come back, if sending it now would harm others more than it helps.
    fn declines(&self, _request: &Request<'_>, _placement: &Placement) -> Option<Duration> {
        None
    }

    /// Tells whether accounts at their fair share wait here for a busy target, not at the target.
    fn holds_back(&self) -> bool {
        true
    }
}

/// Chooses the target and number of pieces with the lowest weighted cost.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheapestPlacer;

impl Placer for CheapestPlacer {
    fn place(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement> {
        let sources = Sources::new(cx, request.pieces);
        let groups = groups(cx, request, candidates);
        let options = groups.iter().map(|group| (group, sources.cheapest(cx, request, group)));
        let best = options.min_by(|(a, x), (b, y)| {
            let by_cost = x.cost.total_cmp(&y.cost);
            by_cost.then(a.candidate.key.cmp(&b.candidate.key))
        });
        best.map(|(group, option)| sources.placement(cx, request, group, &option))
    }
}

/// Stands for all targets that hold equally much and compute equally fast.
///
/// Among those the one that begins first is never worse, whatever is imported.
#[derive(Debug, Clone, Copy)]
struct Group<'a> {
    held: usize,
    candidate: Candidate<'a>,
    wait: f64,
}

fn groups<'a>(
    cx: &Context<'_>,
    request: &Request<'_>,
    candidates: &[Candidate<'a>],
) -> SmallVec<[Group<'a>; 16]> {
    let held = cx.directory.cached_prefixes(request.pieces);
    let mut groups: SmallVec<[Group<'a>; 16]> = SmallVec::new();
    for candidate in candidates.iter().filter(|c| c.free) {
        let found = held.binary_search_by_key(&candidate.key, |(target, _)| *target);
        let held = found.map_or(0, |at| held[at].1);
        let new = Group { held, candidate: *candidate, wait: candidate.wait() };
        match groups.iter_mut().find(|g| g.is_like(&new)) {
            Some(group) if (new.wait, candidate.key) < (group.wait, group.candidate.key) => {
                *group = new;
            }
            Some(_) => {}
            None => groups.push(new),
        }
    }
    groups
}

impl Group<'_> {
    fn is_like(&self, other: &Self) -> bool {
        let speed = |group: &Self| group.candidate.target.prefill_per_second;
        self.held == other.held
            && speed(self) == speed(other)
            && self.candidate.importable == other.candidate.importable
    }
}

/// Prices importing some pieces and computing the rest on one target.
#[derive(Debug, Clone, Copy)]
struct Price {
    cost: f64,
    /// Seconds until the target can compute.
    begin: f64,
    first_token: f64,
}

impl Price {
    fn new(preset: &Preset, wait: f64, transfer: f64, prefill: f64, link: f64) -> Self {
        let begin = wait.max(transfer);
        let first_token = begin + prefill;
        let cost = preset.first_token_weight * first_token
            + preset.recompute_weight * prefill
            + preset.link_weight * link;
        Self { cost, begin, first_token }
    }
}

/// Returns how long importing may take before computing the pieces is the better way.
fn patience(wait: f64, saved: f64) -> Duration {
    Duration::from_secs_f64(wait + saved * FETCH_PATIENCE) + FETCH_MARGIN
}

fn fetch_plan(fetches: SmallVec<[Fetch; 4]>, wait: f64, saved: f64) -> FetchPlan {
    FetchPlan { fetches, within: patience(wait, saved) }
}
