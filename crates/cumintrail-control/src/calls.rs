//! The calls of one daemon and their one-way state machine.

use cumintrail_types::{AttemptNumber, Moment, Ran, TargetKey, Tokens, WeightVersion};

use smallvec::SmallVec;

use crate::Arrival;

/// Marks how far a call has come; a call never goes back to [`Phase::Queued`] once sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte can have reached a target.
    Queued,
    /// An attempt was ordered; bytes may have left.
    Sending,
    /// Tokens reached the caller.
    Streaming,
}

/// Holds one call that is not answered yet.
#[derive(Debug, Clone)]
pub struct Call {
    /// What the call asked for.
    pub arrival: Arrival,
    /// When it arrived.
    pub arrived: Moment,
    /// When its current attempt was ordered.
    pub dispatched: Moment,
    /// The weight version of its answer, once tokens were passed on.
    pub pinned_version: Option<WeightVersion>,
    /// When its first token arrived.
    pub first_token: Option<Moment>,
    /// Prompt tokens that its current attempt is expected to compute.
    pub expected_prefill: Tokens,
    attempts: u8,
    /// Attempts that may have run.
    possible_executions: u8,
    phase: Phase,
    target: Option<TargetKey>,
    version: WeightVersion,
    may_have_run: bool,
    failed_targets: SmallVec<[TargetKey; 2]>,
}

impl Call {
    /// Makes a queued call.
    pub fn new(arrival: Arrival, arrived: Moment) -> Self {
        Self {
            arrival,
            arrived,
            dispatched: arrived,
            pinned_version: None,
            first_token: None,
            expected_prefill: Tokens(0),
            attempts: 0,
            possible_executions: 0,
            phase: Phase::Queued,
            target: None,
            version: WeightVersion(0),
            may_have_run: false,
            failed_targets: SmallVec::new(),
        }
    }

    /// Returns how far the call has come.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns where the current attempt runs.
    pub const fn target(&self) -> Option<TargetKey> {
        self.target
    }

    /// Returns the weight version that the last attempt was ordered for.
    pub const fn version(&self) -> WeightVersion {
        self.version
    }

    /// Returns the number of attempts ordered.
    pub const fn attempts(&self) -> u8 {
        self.attempts
    }

    /// Returns the tokens that take an engine's memory, with half of the longest answer.
    pub const fn expected_memory(&self) -> Tokens {
        Tokens(self.arrival.prompt.0 + self.arrival.max_answer.0 / 2)
    }

    /// Returns the number of attempts that ended and may have run.
    pub const fn possible_executions(&self) -> u8 {
        self.possible_executions
    }

    /// Returns the current attempt.
    pub const fn attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts)
    }

    /// Tells what a refusal of this call may say about its execution.
    ///
    /// "No" is true only while no attempt is out and all earlier ones sent nothing.
    pub const fn ran(&self) -> Ran {
        match self.phase {
            Phase::Queued if !self.may_have_run => Ran::No,
            _ => Ran::Unknown,
        }
    }

    /// Orders an attempt; from here on bytes may leave.
    pub fn start_attempt(
        &mut self,
        target: TargetKey,
        version: WeightVersion,
        now: Moment,
    ) -> AttemptNumber {
        self.attempts = self.attempts.saturating_add(1);
        self.version = version;
        self.target = Some(target);
        self.dispatched = now;
        if self.phase == Phase::Queued {
            self.phase = Phase::Sending;
        }
        self.attempt()
    }

    /// Notes that the first token of the answer reached the caller.
    ///
    /// The answer stays with the version that the attempt was ordered for, which the target may
    /// have swapped since.
    pub const fn start_streaming(&mut self) {
        self.phase = Phase::Streaming;
        self.pinned_version = Some(self.version);
        self.may_have_run = true;
    }

    /// Tells whether an attempt of this call failed at a target.
    pub fn has_failed_at(&self, target: TargetKey) -> bool {
        self.failed_targets.contains(&target)
    }

    /// Takes back an attempt of which no byte left; the call is as if never sent.
    pub fn record_unsent_attempt(&mut self) {
        self.failed_targets.extend(self.target.take());
        if self.phase == Phase::Sending {
            self.phase = Phase::Queued;
        }
    }

    /// Notes an attempt that broke after bytes were sent.
    pub fn record_failed_attempt(&mut self) {
        self.failed_targets.extend(self.target.take());
        self.possible_executions = self.possible_executions.saturating_add(1);
        self.may_have_run = true;
        if self.phase == Phase::Sending {
            self.phase = Phase::Queued;
        }
    }
}
