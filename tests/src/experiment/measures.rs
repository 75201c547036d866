//! Metrics of one experiment run.

use std::collections::HashMap;

use cumintrail_types::{CallKey, Moment};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::Policy;
use super::world::{BLOCK_TOKENS, Job};

const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_MICROS: u64 = 600_000_000;

/// Latency percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// The measured results of one policy on a trace.
#[derive(Debug, Clone, Serialize)]
pub struct Measures {
    /// The policy under test.
    pub policy: Policy,
    /// Time from a call's arrival to its first token, over all accounts.
    pub first_token_ms: Percentiles,
    /// Fraction of prompt tokens that engines computed instead of reusing or importing them.
    pub recomputed_share: f64,
    /// Bytes sent over store links, in both directions.
    pub link_bytes: u64,
    /// Number of refused calls.
    pub refused: u64,
    /// Highest 95th percentile of the time to first token among the small accounts.
    pub worst_small_account_p95_ms: f64,
}

/// Collects measures during a run.
#[derive(Debug)]
pub struct Recorder {
    policy: Policy,
    large: Vec<bool>,
    waiting: HashMap<CallKey, (usize, Moment)>,
    accounts: Vec<Histogram<u64>>,
    prompt: u64,
    recomputed: u64,
    link_bytes: u64,
    refused: u64,
}

impl Recorder {
    /// Creates an empty recorder; `large` says for each account whether it is large.
    pub fn new(policy: Policy, large: &[bool]) -> Self {
        Self {
            policy,
            large: large.to_vec(),
            waiting: HashMap::new(),
            accounts: large.iter().map(|_| empty_histogram()).collect(),
            prompt: 0,
            recomputed: 0,
            link_bytes: 0,
            refused: 0,
        }
    }

    /// Records the arrival of a call.
    pub fn record_arrival(&mut self, call: CallKey, account: usize, now: Moment) {
        self.waiting.insert(call, (account, now));
    }

    /// Records a refused call.
    pub fn record_refusal(&mut self, call: CallKey) {
        self.refused += 1;
        self.waiting.remove(&call);
    }

    /// Adds bytes sent over a store link.
    pub const fn record_transfer(&mut self, bytes: u64) {
        self.link_bytes += bytes;
    }

    /// Records a call's first token and the recomputed part of its prompt.
    pub fn record_first_token(&mut self, call: CallKey, now: Moment, job: &Job) {
        self.prompt += u64::from(job.prompt);
        let obtained = job.obtained as u32 * BLOCK_TOKENS;
        self.recomputed += u64::from(job.prompt.saturating_sub(obtained));
        if let Some((account, arrived)) = self.waiting.remove(&call) {
            self.accounts[account].saturating_record(now.since(arrived).as_micros() as u64);
        }
    }

    /// Computes the measures.
    pub fn finish(self) -> Measures {
        let mut all = empty_histogram();
        for account in &self.accounts {
            all.add(account).expect("the histograms resize");
        }
        let small =
            self.accounts.iter().zip(&self.large).filter(|(h, large)| !**large && !h.is_empty());
        let worst = small.map(|(h, _)| h.value_at_quantile(0.95)).max().unwrap_or_default();
        let ms = |micros: u64| micros as f64 / 1_000.0;
        let at = |quantile| ms(all.value_at_quantile(quantile));
        Measures {
            policy: self.policy,
            first_token_ms: Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) },
            recomputed_share: self.recomputed as f64 / self.prompt.max(1) as f64,
            link_bytes: self.link_bytes,
            refused: self.refused,
            worst_small_account_p95_ms: ms(worst),
        }
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are in range")
}
