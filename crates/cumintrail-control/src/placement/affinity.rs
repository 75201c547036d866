//! Placement of prompts that are given as parts; docs/POLICY.md, "Prompts given as parts".

use std::time::Duration;

use cumintrail_types::{BlockKey, Bytes, TargetKey};

use super::{Candidate, Context, Placement, Placer, Request};
use crate::FetchPlan;
use crate::parts::{PartPlans, name_hash, unit_hash};

/// The price of sending a prompt elsewhere than where its shared parts probably are, in seconds.
///
/// About what it takes to bring the shared parts of a long prompt from a store.
const AFFINITY_MISS_SECONDS: f64 = 0.02;
/// The price of going elsewhere with parts that no store delivers, in times of computing them.
///
/// Only the home engine may still hold them. Computing parts again delays other calls there, and
/// users weigh it more than the wait itself (docs/POLICY.md).
const AFFINITY_MISS_RECOMPUTE_FACTOR: f64 = 3.0;
/// The price of running a prompt in another failure domain than its shared parts are kept in, in
/// times that their transfer takes.
///
/// It takes twice as long there, and what it takes of the store's link delays other calls.
const REMOTE_DOMAIN_TRANSFER_FACTOR: f64 = 2.0;
/// Seconds that the first token of a short prompt takes on an idle engine.
const IDLE_FIRST_TOKEN_SECONDS: f64 = 0.07;
/// Seconds that calls in all slots add to the first token of another one.
const FULL_LOAD_FIRST_TOKEN_SECONDS: f64 = 0.2;
/// The part of an engine's memory up to which calls do not displace each other.
const MEMORY_CONTENTION_THRESHOLD: f64 = 0.7;
/// Seconds that a call costs where calls take all memory once more.
const MEMORY_CONTENTION_SECONDS: f64 = 4.0;
/// The part of an engine's memory beyond which large calls wait for others to end.
const MAX_MEMORY_USED: f64 = 0.80;
/// How far beyond it the smallest calls may go, since they end soon and displace little.
const SMALL_CALL_EXTRA_MEMORY: f64 = 0.35;
/// The tokens of a call that counts as large.
const LARGE_CALL_TOKENS: f64 = 8_000.0;
/// When calls come back for which there was no memory: some running ones have ended by then.
const RETRY_AFTER: Duration = Duration::from_millis(700);
/// Seconds that a call on replaced weights costs.
const REPLACED_WEIGHTS_SECONDS: f64 = 0.3;

/// Sends prompts with the same shared parts to the same engine, as long as it is not much busier
/// than others; all daemons choose alike without talking.
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
            |c: &Candidate<'_>| request.part_location.is_some_and(|n| n.domain != c.target.domain);
        let all_remote = free().all(is_remote);
        let ranked = || free().filter(|c| all_remote || !is_remote(c));
        let (home, second) =
            affinity_key.map_or((None, None), |affinity_key| first_two(ranked(), affinity_key));
        let estimates = free().map(|candidate| {
            let rate = f64::from(candidate.target.prefill_per_second);
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
            (candidate, first_token, wait + miss_seconds + remote_seconds + replaced)
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
        let size = f64::from(request.kv_tokens.0) / LARGE_CALL_TOKENS;
        let limit = MAX_MEMORY_USED + SMALL_CALL_EXTRA_MEMORY * (1.0 - size.min(1.0));
        (placement.memory_used > limit).then_some(RETRY_AFTER)
    }

    fn queues_at_daemon(&self) -> bool {
        false
    }
}

/// Returns the part of a target's memory that calls take with one more.
fn memory_with(candidate: &Candidate<'_>, request: &Request<'_>) -> f64 {
    candidate.memory_used + f64::from(request.kv_tokens.0) * candidate.memory_per_token
}

/// Returns the deepest part that other prompts share; the last one is the call's own.
fn affinity_key(blocks: &[BlockKey]) -> Option<BlockKey> {
    match blocks {
        [] => None,
        [only] => Some(*only),
        [.., shared, _] => Some(*shared),
    }
}

/// Returns the first and second target in the order that a part ranks them.
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
