//! Generates the requests and faults of a scenario from a seed.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{BlockKey, Digest, Moment};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::world::{
    BLOCK_BYTES, BLOCK_TOKENS, DISK_BYTES_PER_SECOND, LINK_BYTES_PER_SECOND,
    PREFILL_TOKENS_PER_SECOND, SLOTS,
};
use super::{Preset, Scenario, Setup, Size};

const DOMAINS: usize = 4;
const ACCOUNTS: usize = 10;
const LARGE_ACCOUNTS: usize = 3;
const STORES: usize = 2;
/// Requests of a trace at scale 1.
const REQUESTS: usize = 2_000;
/// Recurring prompts per engine.
const PROMPTS_PER_ENGINE: usize = 20;
/// Fraction of requests that other daemons send to the same engines.
const OTHER_DAEMONS_FRACTION: f64 = 0.3;
/// Fraction of requests whose prompt occurs only once.
const ONE_TIME_FRACTION: f64 = 0.15;

/// A prompt of an account, as block keys and a remainder.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Index of the account.
    pub account: usize,
    /// Keys of the prompt's full blocks.
    pub blocks: Arc<[BlockKey]>,
    /// Tokens after the last full block.
    pub tail_tokens: u32,
}

/// A request of the trace.
#[derive(Debug, Clone)]
pub struct Request {
    /// Arrival time.
    pub at: Moment,
    /// The prompt.
    pub prompt: Prompt,
    /// Output tokens.
    pub output: u32,
    /// The engine to which another daemon sends the request; `None` if the daemon under test places
    /// it.
    pub preassigned_engine: Option<usize>,
}

/// A fault or the end of one.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Sets the speed of all store links to this fraction of their normal speed.
    LinkSpeed(f64),
    /// A store stops responding and loses all blocks.
    StoreDies(usize),
    /// A failed store responds again, empty.
    StoreReturns(usize),
    /// All engines of a failure domain restart with empty memory.
    DomainRestarts(usize),
}

/// The input of a run.
#[derive(Debug)]
pub struct Trace {
    /// The declarations as INI text.
    pub declarations: String,
    /// The number of engines.
    pub engines: usize,
    /// The number of stores.
    pub stores: usize,
    /// Capacity of a store in blocks: memory, and total.
    pub store_blocks: (usize, usize),
    /// Whether each account is large.
    pub large: Vec<bool>,
    /// Blocks that the stores contain at the start.
    pub initial_blocks: Vec<BlockKey>,
    /// Requests in order of arrival.
    pub requests: Vec<Request>,
    /// Faults in order of time.
    pub faults: Vec<(Moment, Fault)>,
    /// Arrival time of the last request.
    pub end: Moment,
}

/// The request rate of a scenario.
struct LoadProfile {
    /// Requests per second outside bursts, for 12 engines.
    rate: f64,
    /// Length of a burst and its period, in seconds, and the factor on the rate during a burst.
    rush: (f64, f64, f64),
    /// Fraction of requests that large accounts send.
    large_share: f64,
}

fn load_profile(scenario: Scenario) -> LoadProfile {
    let (rate, rush, large_share) = match scenario {
        Scenario::QuietDay => (0.8, (0.0, 600.0, 1.0), 0.6),
        Scenario::MonthEnd => (2.2, (30.0, 180.0, 2.5), 0.8),
        Scenario::YearEnd => (2.6, (20.0, 120.0, 2.0), 0.5),
        Scenario::SlowLink
        | Scenario::StoreLost
        | Scenario::StoreFull
        | Scenario::DomainRestart => (1.8, (20.0, 180.0, 1.5), 0.6),
        Scenario::Flood => (1.5, (120.0, 400.0, 5.0), 0.6),
    };
    LoadProfile { rate, rush, large_share }
}

/// Generates the trace of a setup; equal setups give equal traces.
pub fn make(setup: &Setup) -> Trace {
    let mut rng = StdRng::seed_from_u64(setup.seed);
    let scale = setup.scale as usize;
    let base_engines = if setup.size == Size::Kesong { 12 } else { 18 };
    let (engines, stores, accounts) = (base_engines * scale, STORES * scale, ACCOUNTS * scale);
    let large: Vec<bool> = (0..accounts).map(|i| i % ACCOUNTS < LARGE_ACCOUNTS).collect();
    let prompts = make_prompts(setup, &mut rng, engines, &large);
    let profile = load_profile(setup.scenario);
    let requests = make_requests(setup, &profile, &mut rng, engines, &prompts, &large);
    let end = requests.last().map_or(Moment(0), |r| r.at);
    let mut initial_blocks: Vec<BlockKey> =
        prompts.iter().filter(|_| rng.random_bool(0.7)).flat_map(|p| p.blocks.to_vec()).collect();
    initial_blocks.sort_unstable();
    initial_blocks.dedup();
    let all: usize = prompts.iter().map(|p| p.blocks.len()).sum();
    let full = setup.scenario == Scenario::StoreFull;
    let capacity = if full { initial_blocks.len() / stores * 3 / 5 } else { all };
    Trace {
        declarations: declare(setup, engines, stores, accounts, capacity),
        engines,
        stores,
        store_blocks: (all / stores / 5, capacity),
        large,
        initial_blocks,
        requests,
        faults: faults(setup.scenario, end),
        end,
    }
}

/// Generates prompts, each of which starts with a shared prefix of its account.
fn make_prompts(setup: &Setup, rng: &mut StdRng, engines: usize, large: &[bool]) -> Vec<Prompt> {
    let (material, own) = match setup.size {
        Size::Kesong => (6..=16, 0..=4),
        Size::Litera => (3..=8, 0..=3),
    };
    let per_account: Vec<usize> = large.iter().map(|l| if *l { 6 } else { 1 }).collect();
    let materials: Vec<Vec<Vec<BlockKey>>> = per_account
        .iter()
        .map(|n| (0..*n).map(|_| chain(rng, &[], material.clone())).collect())
        .collect();
    let prompts = (0..engines * PROMPTS_PER_ENGINE).map(|_| {
        let account = pick_account(rng, large, 0.7);
        let shared = materials[account].choose(rng).cloned().unwrap_or_default();
        let blocks = chain(rng, &shared, own.clone());
        Prompt { account, blocks: blocks.into(), tail_tokens: rng.random_range(50..BLOCK_TOKENS) }
    });
    prompts.collect()
}

fn chain(
    rng: &mut StdRng,
    start: &[BlockKey],
    more: std::ops::RangeInclusive<usize>,
) -> Vec<BlockKey> {
    let mut blocks = start.to_vec();
    for _ in 0..rng.random_range(more) {
        blocks.push(BlockKey(rng.random()));
    }
    blocks
}

fn pick_account(rng: &mut StdRng, large: &[bool], large_share: f64) -> usize {
    let wanted = rng.random_bool(large_share);
    loop {
        let account = rng.random_range(0..large.len());
        if large[account] == wanted {
            return account;
        }
    }
}

fn make_requests(
    setup: &Setup,
    profile: &LoadProfile,
    rng: &mut StdRng,
    engines: usize,
    prompts: &[Prompt],
    large: &[bool],
) -> Vec<Request> {
    let scale = f64::from(setup.scale) * engines as f64 / (12.0 * f64::from(setup.scale));
    let count = REQUESTS * setup.scale as usize;
    let by_account: Vec<Vec<&Prompt>> =
        (0..large.len()).map(|a| prompts.iter().filter(|p| p.account == a).collect()).collect();
    let mut seconds = 0.0_f64;
    let mut requests = Vec::with_capacity(count);
    while requests.len() < count {
        let (length, every, times) = profile.rush;
        let in_rush = seconds % every < length;
        let rate = profile.rate * scale * if in_rush { times } else { 1.0 };
        seconds += -rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let at = Moment((seconds * 1e6) as u64);
        let flooding = setup.scenario == Scenario::Flood && in_rush;
        let flood = flooding && rng.random_bool(1.0 - 1.0 / times);
        let account = if flood { 0 } else { pick_account(rng, large, profile.large_share) };
        let Some(known) = by_account[account].choose(rng) else { continue };
        let mut prompt = Prompt::clone(known);
        if rng.random_bool(ONE_TIME_FRACTION) {
            let more = 1..=6;
            prompt.blocks = chain(rng, &prompt.blocks[..prompt.blocks.len() / 4], more).into();
        }
        let preassigned_engine =
            rng.random_bool(OTHER_DAEMONS_FRACTION).then(|| rng.random_range(0..engines));
        requests.push(Request {
            at,
            prompt,
            output: rng.random_range(40..200),
            preassigned_engine,
        });
    }
    requests
}

fn faults(scenario: Scenario, end: Moment) -> Vec<(Moment, Fault)> {
    let at = |third: u64| Moment(end.0 / 3 * third);
    match scenario {
        Scenario::SlowLink => {
            vec![(at(1), Fault::LinkSpeed(0.2)), (at(2), Fault::LinkSpeed(1.0))]
        }
        Scenario::StoreLost => vec![(at(1), Fault::StoreDies(0)), (at(2), Fault::StoreReturns(0))],
        Scenario::DomainRestart => vec![(at(1), Fault::DomainRestarts(0))],
        _ => Vec::new(),
    }
}

/// Returns whether an engine belongs to a failure domain.
pub const fn in_domain(engine: usize, domain: usize) -> bool {
    engine % DOMAINS == domain
}

fn declare(
    setup: &Setup,
    engines: usize,
    stores: usize,
    accounts: usize,
    capacity: usize,
) -> String {
    let (first_token, recompute, link) = match setup.preset {
        Preset::FirstToken => (1.0, 0.05, 0.05),
        Preset::Economy => (0.2, 1.0, 0.5),
    };
    let mut text = format!(
        "[deployment]\npiece_tokens = {BLOCK_TOKENS}\nfirst_preset = measured\n\
         [preset measured]\nfirst_token_weight = {first_token}\nrecompute_weight = {recompute}\n\
         link_weight = {link}\nqueue = 2000\n\
         [model curd]\nversion = 1\nstate_bytes_per_token = 65536\n",
    );
    for i in 0..accounts {
        let digest = Digest::of(&i.to_le_bytes());
        let _ = write!(
            text,
            "[account a{i}]\nkey_digests = {digest}\nconcurrency = 1000\n\
             tokens_per_second = 100000000\n"
        );
    }
    for i in 0..engines {
        let _ = write!(
            text,
            "[target e{i}]\nmodel = curd\naddress = 10.0.{}.{}:80\nfailure_domain = d{}\n\
             slots = {SLOTS}\nprefill_tokens_per_second = {PREFILL_TOKENS_PER_SECOND}\n\
             link_bytes_per_second = {LINK_BYTES_PER_SECOND}\n",
            i / 200,
            i % 200 + 1,
            i % DOMAINS,
        );
    }
    for i in 0..stores {
        let _ = write!(
            text,
            "[store s{i}]\naddress = 10.1.0.{}:80\nfailure_domain = d{}\n\
             link_bytes_per_second = {LINK_BYTES_PER_SECOND}\ndisk_bytes_per_second = {DISK_BYTES_PER_SECOND}\n\
             capacity_bytes = {}\n",
            i + 1,
            i % DOMAINS,
            capacity as u64 * BLOCK_BYTES,
        );
    }
    text
}

/// Delay of target reports, cache events and store responses.
pub const REPORT_LAG: Duration = Duration::from_millis(400);
