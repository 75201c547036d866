//! Observations of callers and stand-ins, and the checks on them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use cumintrail_types::{BlockKey, Generation, Ran, WeightVersion};
use cumintrail_wire::caller::RefusalBody;
use rand::Rng;
use rand::rngs::StdRng;

use super::Verdict;
use super::history::{History, Span};
use crate::deployment::Reply;
use crate::http::ClientResponse;
use crate::standins::engine::{CORRUPTED_TEXT, FOREIGN_TEXT, Generated, response_text};

/// A model call of a caller.
pub struct ModelCall {
    /// Unique number of the call.
    pub number: u64,
    /// The prompt.
    pub prompt: String,
    /// Requested output tokens.
    pub tokens: u32,
    /// Index of the daemon.
    pub vm: usize,
    /// When the call was in flight.
    pub span: Span,
}

/// The responses that callers received for one operation.
#[derive(Debug, Default)]
pub struct Operation {
    /// Attempts that were started.
    pub begun: u32,
    /// Attempts refused with `ran: no`, which guarantees that the operation did not run.
    not_executed: u32,
    /// Attempts with a successful response.
    answered: u32,
}

/// Everything that was observed during a run, and the violations found so far.
#[derive(Default)]
pub struct Observations {
    /// Whether callers must stop sending calls.
    pub stopped: bool,
    /// Operations by request body.
    pub operations: BTreeMap<String, Operation>,
    /// Targets that the VM list marks as leaving.
    pub leaving: Vec<SocketAddr>,
    /// The targets in each daemon's last state dump, for violation messages.
    pub targets_seen: BTreeMap<usize, (Instant, String)>,
    /// The faults that have begun.
    pub history: History,
    /// The newest weight version that may have been committed.
    pub newest_version: u64,
    catalogue_count: u64,
    accounts: Vec<usize>,
    refused: HashSet<u64>,
    started: HashSet<u64>,
    owners: HashMap<BlockKey, (usize, WeightVersion)>,
    answered: u64,
    unanswered: u64,
    reused: u64,
    stopped_calls: u64,
    violations: Vec<String>,
}

impl Observations {
    /// Records a violation.
    pub fn record_violation(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Returns the targets in each daemon's last state dump, and the age of the dump.
    pub fn describe_targets(&self) -> String {
        let seen = self.targets_seen.values();
        let lines = seen.map(|(at, targets)| format!("{:?} ago: {targets}", at.elapsed()));
        lines.collect::<Vec<_>>().join("; ")
    }

    /// Returns the unique number of a new call and records its account.
    pub fn next_call_number(&mut self, account: usize) -> u64 {
        self.accounts.push(account);
        self.accounts.len() as u64 - 1
    }

    /// Chooses a catalogue: a new one with probability `new`, else one that some account has used.
    pub fn pick_catalogue(&mut self, rng: &mut StdRng, new: f64) -> u64 {
        if self.catalogue_count == 0 || rng.random_bool(new) {
            self.catalogue_count += 1;
            return self.catalogue_count - 1;
        }
        rng.random_range(0..self.catalogue_count)
    }

    /// Checks that the text of a response is the expected one for this prompt and one weight
    /// version, or a prefix of it if the response is visibly incomplete.
    ///
    /// The text must contain no output of another call or from damaged blocks.
    pub fn check_reply(&mut self, call: &ModelCall, reply: &Reply) {
        let contaminated =
            [CORRUPTED_TEXT, FOREIGN_TEXT].iter().any(|mark| reply.text.contains(mark));
        let matches_version = (1..=self.newest_version.max(1)).any(|version| {
            let text = response_text(&call.prompt, WeightVersion(version), call.tokens as usize);
            if reply.whole { text == reply.text } else { text.starts_with(&reply.text) }
        });
        if contaminated || !matches_version {
            self.record_violation(format!(
                "call {} received wrong text `{}`",
                call.number, reply.text
            ));
        }
        let answered = reply.whole || reply.refusal.is_some();
        self.check_planned_stop(call.vm, call.span, reply.status != 0, answered);
        if reply.refusal.as_ref().is_some_and(|r| r.error.ran == Ran::No) {
            self.refused.insert(call.number);
        }
        self.reused += u64::from(reply.reused());
        if reply.whole {
            self.answered += 1;
        } else {
            self.unanswered += 1;
        }
    }

    /// Checks that a planned stop did not interrupt a call that no other fault can have broken.
    pub fn check_planned_stop(
        &mut self,
        vm: usize,
        call: Span,
        answer_began: bool,
        answered: bool,
    ) {
        if !self.history.only_planned_stop(vm, call, answer_began) {
            return;
        }
        self.stopped_calls += 1;
        if !answered {
            let lasted = call.to.duration_since(call.from);
            self.record_violation(format!(
                "a planned stop of vm {vm} interrupted a call after {lasted:?}"
            ));
        }
    }

    /// Records which calls engines started and checks that each block belongs to one account and
    /// one weight version.
    pub fn record_generated(&mut self, generated: Vec<Generated>) {
        for run in generated {
            let number: Option<u64> = run.prompt_end.parse().ok();
            let account = number.and_then(|n| self.accounts.get(n as usize).copied());
            let Some((number, account)) = number.zip(account) else {
                continue;
            };
            self.started.insert(number);
            for key in run.pieces {
                let owner = *self.owners.entry(key).or_insert((account, run.version));
                if owner != (account, run.version) {
                    self.record_violation(format!(
                        "block {key} of {owner:?} used by call {number}"
                    ));
                }
            }
        }
    }

    /// Records the response to an attempt of an operation.
    pub fn record_operation(&mut self, operation: &str, got: &ClientResponse) {
        let responses = self.operations.entry(operation.to_owned()).or_default();
        let refusal = got.json::<RefusalBody>();
        responses.not_executed += u32::from(refusal.is_some_and(|r| r.error.ran == Ran::No));
        responses.answered += u32::from(got.status == 200);
    }

    /// Compares the responses that callers received with the executions that the service counted,
    /// and the refused model calls with those that engines started.
    pub fn check_operations(&mut self, executions: impl Fn(&str) -> u64) {
        let mut violations = Vec::new();
        for (name, responses) in &self.operations {
            let ran = executions(name);
            if ran > 1 {
                violations.push(format!("{name} ran {ran} times"));
            }
            if responses.answered > 0 && ran == 0 {
                violations.push(format!("{name} had a successful response but never ran"));
            }
            if responses.not_executed == responses.begun && ran > 0 {
                violations
                    .push(format!("{name} ran although every attempt was refused with `ran: no`"));
            }
        }
        violations.extend(
            self.refused
                .intersection(&self.started)
                .map(|n| format!("refused call {n} was started")),
        );
        self.violations.extend(violations);
    }

    /// Returns the result of the run and removes the recorded violations.
    pub fn verdict(&mut self, seed: u64, schedule: Vec<String>, generation: Generation) -> Verdict {
        Verdict {
            seed,
            schedule,
            answered: self.answered,
            unanswered: self.unanswered,
            reused_tokens: self.reused,
            operations: self.operations.len(),
            operations_run: self.operations.values().filter(|o| o.answered > 0).count(),
            stopped_calls: self.stopped_calls,
            generation,
            violations: std::mem::take(&mut self.violations),
        }
    }
}
