//! Placement of prompts that are given as parts; docs/POLICY.md, "Prompts given as parts".

use std::time::Duration;

use cumintrail_types::{BlockKey, Bytes, TargetKey, Tokens};

use super::{Candidate, Context, Placement, Placer, Request};
use crate::FetchPlan;
use crate::parts::{PartPlans, name_hash, unit_hash};

/// Cost of running a prompt on an engine that is not the first choice for its shared parts; half of
/// the cost applies on the second choice.
///
/// About the time to read the shared parts of a long prompt from a store.
const AFFINITY_MISS_SECONDS: f64 = 0.02;
/// Additional cost for shared parts that no store delivers, in multiples of the time to compute
/// them.
///
/// Only the home engine may still have them cached. Recomputing parts delays other calls on the
/// engine, and users weigh recomputing more than the wait itself (docs/POLICY.md).
const AFFINITY_MISS_RECOMPUTE_FACTOR: f64 = 3.0;
/// Cost of running a prompt outside the failure domain that stores its longest shared part, in
/// multiples of the part's transfer time within that domain.
///
/// The transfer takes twice as long across domains, and its use of the store's link delays other
/// calls.
const REMOTE_DOMAIN_TRANSFER_FACTOR: f64 = 2.0;
/// Time to first token of a short prompt on an idle engine.
const IDLE_FIRST_TOKEN_SECONDS: f64 = 0.07;
/// Time that calls in all slots of an engine add to the time to first token of another call.
const FULL_LOAD_FIRST_TOKEN_SECONDS: f64 = 0.2;
/// Fraction of an engine's memory up to which calls do not evict each other's blocks.
const MEMORY_CONTENTION_THRESHOLD: f64 = 0.7;
/// Cost in seconds per unit of memory usage above [`MEMORY_CONTENTION_THRESHOLD`], where 1 is all
/// memory of the engine.
const MEMORY_CONTENTION_SECONDS: f64 = 4.0;
/// Fraction of an engine's memory beyond which large calls are refused until others end.
const MAX_MEMORY_USED: f64 = 0.80;
/// Fraction by which the smallest calls may exceed [`MAX_MEMORY_USED`]: they end soon and evict
/// little.
const SMALL_CALL_EXTRA_MEMORY: f64 = 0.35;
/// Size from which a call counts as large; smaller calls get a share of
/// [`SMALL_CALL_EXTRA_MEMORY`].
const LARGE_CALL_TOKENS: f64 = 8_000.0;
/// Delay after which refused calls should be retried: some running calls have ended by then.
const RETRY_AFTER: Duration = Duration::from_millis(700);
/// Cost of running a call on an engine whose weight version is not the one that the call arrived
/// for.
const REPLACED_WEIGHTS_SECONDS: f64 = 0.3;

/// Sends prompts with the same shared parts to the same engine, unless it is much busier than
/// others.
///
/// All daemons rank the engines for a part in the same order without exchanging messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct AffinityPlacer;

impl Placer for AffinityPlacer {
    fn place(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement> {
        let affinity_key = affinity_key(request.blocks);
        let recompute = request.prompt.saturating_sub(cx.tokens_read);
        let free = || candidates.iter().filter(|c| c.available);
        let is_remote =
            |c: &Candidate<'_>| request.part_location.is_some_and(|p| p.domain != c.target.domain);
        let all_remote = free().all(is_remote);
        // A prompt without shared parts finds no prompt state elsewhere that its own domain lacks.
        let is_outside =
            |c: &Candidate<'_>| request.shared == Tokens(0) && c.crossing_seconds > 0.0;
        let all_outside = free().all(is_outside);
        let ranked = || {
            let near = free().filter(|c| all_remote || !is_remote(c));
            near.filter(|c| all_outside || !is_outside(c))
        };
        let (home, second) =
            affinity_key.map_or((None, None), |affinity_key| first_two(ranked(), affinity_key));
        let estimates = free().map(|candidate| {
            let rate = f64::from(candidate.target.prefill_tokens_per_second);
            let recompute_seconds =
                f64::from(request.shared.saturating_sub(cx.tokens_read).0) / rate;
            let miss_fraction = match Some(candidate.key) {
                key if key == home => 0.0,
                key if key == second => 0.5,
                _ => 1.0,
            };
            let miss_seconds = miss_fraction
                * (AFFINITY_MISS_SECONDS + recompute_seconds * AFFINITY_MISS_RECOMPUTE_FACTOR);
            let prefill = f64::from((candidate.backlog + recompute).0) / rate;
            let used = f64::from(candidate.calls) / f64::from(candidate.target.slots.max(1));
            let first_token =
                IDLE_FIRST_TOKEN_SECONDS + prefill + used * FULL_LOAD_FIRST_TOKEN_SECONDS;
            let contention = (memory_with(candidate, request) - MEMORY_CONTENTION_THRESHOLD)
                .max(0.0)
                * MEMORY_CONTENTION_SECONDS;
            let remote_seconds = request.part_location.filter(|_| is_remote(candidate));
            let remote_seconds = remote_seconds
                .map_or(0.0, |location| location.transfer_seconds * REMOTE_DOMAIN_TRANSFER_FACTOR);
            let replaced = if candidate.can_import { 0.0 } else { REPLACED_WEIGHTS_SECONDS };
            let wait =
                first_token * candidate.slowdown + candidate.overdue.as_secs_f64() + contention;
            let outside = remote_seconds + candidate.crossing_seconds;
            (candidate, first_token, wait + miss_seconds + outside + replaced)
        });
        let best = estimates.min_by(|a, b| a.2.total_cmp(&b.2).then(a.0.key.cmp(&b.0.key)))?;
        let (candidate, first_token, cost) = best;
        Some(Placement {
            target: candidate.key,
            cost,
            wait: Duration::ZERO,
            first_token: Duration::from_secs_f64(first_token),
            recompute,
            plan: FetchPlan::default(),
            link_bytes: Bytes(0),
            parts: PartPlans::default(),
            memory_used: memory_with(candidate, request),
        })
    }

    fn retry_after(&self, request: &Request<'_>, placement: &Placement) -> Option<Duration> {
        (placement.memory_used > memory_limit(request.kv_tokens)).then_some(RETRY_AFTER)
    }

    fn queues_at_daemon(&self) -> bool {
        false
    }
}

/// Returns the fraction of an engine's memory beyond which calls of a size are refused.
pub(crate) fn memory_limit(kv_tokens: Tokens) -> f64 {
    let size = f64::from(kv_tokens.0) / LARGE_CALL_TOKENS;
    MAX_MEMORY_USED + SMALL_CALL_EXTRA_MEMORY * (1.0 - size.min(1.0))
}

/// Returns the fraction of a target's memory that calls occupy, `request` included.
fn memory_with(candidate: &Candidate<'_>, request: &Request<'_>) -> f64 {
    candidate.memory_used + f64::from(request.kv_tokens.0) * candidate.memory_per_token
}

/// Returns the key of the last part that other prompts may share; the part after it is the call's
/// own.
///
/// A prompt of a single part is ranked by that part.
fn affinity_key(blocks: &[BlockKey]) -> Option<BlockKey> {
    match blocks {
        [] => None,
        [only] => Some(*only),
        [.., shared, _] => Some(*shared),
    }
}

/// Returns the two targets that rank highest for a part by rendezvous hashing.
fn first_two<'a>(
    targets: impl Iterator<Item = &'a Candidate<'a>>,
    affinity_key: BlockKey,
) -> (Option<TargetKey>, Option<TargetKey>) {
    let mut best: [Option<(f64, TargetKey)>; 2] = [None; 2];
    for target in targets {
        let scored = Some((unit_hash(affinity_key, name_hash(&target.target.name)), target.key));
        let beats = |other: Option<(f64, TargetKey)>| other.is_none_or(|o| scored > Some(o));
        if beats(best[0]) {
            best = [scored, best[0]];
        } else if beats(best[1]) {
            best[1] = scored;
        }
    }
    (best[0].map(|b| b.1), best[1].map(|b| b.1))
}
