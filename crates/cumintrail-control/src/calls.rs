//! The calls of one daemon and their state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_types::{AttemptNumber, Moment, Ran, TargetKey, Tokens, Urgency, WeightVersion};

use smallvec::SmallVec;

use crate::Arrival;
use crate::admission::Flow;
use crate::stream_origins::OriginEvidence;

/// Describes the progress of a call.
///
/// A call returns from [`Phase::Sending`] to [`Phase::Queued`] when its attempt ends without a
/// response; it never leaves [`Phase::Streaming`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No attempt is in progress; [`Call::ran`] shows whether an earlier one may have run.
    Queued,
    /// An attempt was dispatched; bytes may have been sent.
    Sending,
    /// Output tokens were passed on to the caller.
    Streaming,
}

/// Tracks one call until its response or refusal.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request, as it arrived.
    pub arrival: Arrival,
    /// When the call arrived.
    pub arrived: Moment,
    /// When the last attempt was dispatched; the time of arrival before the first attempt.
    pub dispatched: Moment,
    /// The weight version that produces the response; `None` until a token was passed on.
    pub pinned_version: Option<WeightVersion>,
    /// The software version that produces the response; `None` while any will do.
    pub pinned_software: Option<Arc<str>>,
    /// The evidence for the software version that the call had to run at when it arrived.
    pub origin: OriginEvidence,
    /// The name of the process that sends the response of the current attempt, if it was identified.
    pub process: Option<Arc<str>>,
    /// When the first output token arrived, in whichever attempt.
    pub first_token: Option<Moment>,
    /// Prompt tokens that the target of the current attempt is still expected to compute.
    pub expected_prefill: Tokens,
    /// The urgency by which the call waits in the queue.
    pub queue_urgency: Urgency,
    /// Whether the caller was asked to return with this call and did.
    pub returned: bool,
    /// The time before which a call that is held back is not considered again.
    pub held_until: Moment,
    attempts: u8,
    /// Attempts that ended and may have run.
    possible_executions: u8,
    phase: Phase,
    target: Option<TargetKey>,
    version: WeightVersion,
    may_have_run: bool,
    failed_targets: SmallVec<[TargetKey; 2]>,
    /// Whether a token of the current attempt has arrived.
    has_begun: bool,
    /// Whether the current attempt is to end before its response.
    is_abandoned: bool,
    /// Whether the current attempt is to end unless it was sent.
    is_recalled: bool,
    /// The peer that handles the current attempt.
    peer: Option<SocketAddr>,
    tried_peers: SmallVec<[SocketAddr; 2]>,
}

impl Call {
    /// Creates a queued call.
    pub fn new(arrival: Arrival, arrived: Moment) -> Self {
        Self {
            arrival,
            arrived,
            dispatched: arrived,
            pinned_version: None,
            pinned_software: None,
            origin: OriginEvidence::None,
            process: None,
            first_token: None,
            expected_prefill: Tokens(0),
            queue_urgency: Urgency::default(),
            returned: false,
            held_until: arrived,
            attempts: 0,
            possible_executions: 0,
            phase: Phase::Queued,
            target: None,
            version: WeightVersion(0),
            may_have_run: false,
            failed_targets: SmallVec::new(),
            has_begun: false,
            is_abandoned: false,
            is_recalled: false,
            peer: None,
            tried_peers: SmallVec::new(),
        }
    }

    /// Returns the phase, which dumps show in lower case.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the target of the current attempt, or `None` between attempts.
    pub const fn target(&self) -> Option<TargetKey> {
        self.target
    }

    /// Returns the weight version that the last attempt was dispatched for.
    pub const fn version(&self) -> WeightVersion {
        self.version
    }

    /// Returns the number of attempts dispatched.
    pub const fn attempts(&self) -> u8 {
        self.attempts
    }

    /// Returns the expected engine memory of the call, in tokens: its prompt and half of its
    /// longest response.
    pub const fn expected_memory(&self) -> Tokens {
        Tokens(self.arrival.prompt.0 + self.arrival.max_output.0 / 2)
    }

    /// Returns where the call waits in the queue.
    pub const fn flow(&self) -> Flow {
        Flow { urgency: self.queue_urgency, account: self.arrival.account }
    }

    /// Returns the number of attempts that ended and may have run.
    pub const fn possible_executions(&self) -> u8 {
        self.possible_executions
    }

    /// Returns the number of the last attempt, counted from 1; zero before the first.
    pub const fn attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts)
    }

    /// Returns what a refusal of this call says about its execution.
    ///
    /// [`Ran::No`] requires that no attempt is in progress and that no earlier one may have run.
    pub const fn ran(&self) -> Ran {
        match self.phase {
            Phase::Queued if !self.may_have_run => Ran::No,
            _ => Ran::Unknown,
        }
    }

    /// Records the dispatch of an attempt; from now on bytes may be sent to the target.
    pub fn start_attempt(
        &mut self,
        target: TargetKey,
        version: WeightVersion,
        now: Moment,
    ) -> AttemptNumber {
        self.attempts = self.attempts.saturating_add(1);
        self.version = version;
        (self.target, self.peer) = (Some(target), None);
        (self.has_begun, self.is_abandoned, self.is_recalled) = (false, false, false);
        self.dispatched = now;
        if self.phase == Phase::Queued {
            self.phase = Phase::Sending;
        }
        self.attempt()
    }

    /// Records that a peer gets the call; from now on bytes may be sent to it.
    pub fn start_detour(&mut self, peer: SocketAddr, now: Moment) -> AttemptNumber {
        self.attempts = self.attempts.saturating_add(1);
        (self.target, self.peer) = (None, Some(peer));
        (self.has_begun, self.is_abandoned, self.is_recalled) = (false, false, false);
        self.tried_peers.push(peer);
        self.dispatched = now;
        if self.phase == Phase::Queued {
            self.phase = Phase::Sending;
        }
        self.attempt()
    }

    /// Returns whether a peer handles the current attempt.
    pub const fn is_detoured(&self) -> bool {
        self.peer.is_some()
    }

    /// Returns the peers that got the call.
    pub fn tried_peers(&self) -> &[SocketAddr] {
        &self.tried_peers
    }

    /// Returns whether a token of the current attempt has arrived.
    pub const fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Records that a token of the current attempt has arrived.
    pub const fn record_begin(&mut self) {
        self.has_begun = true;
    }

    /// Returns whether the current attempt is to end before its response.
    pub const fn is_abandoned(&self) -> bool {
        self.is_abandoned
    }

    /// Records that the current attempt is to end before its response.
    pub const fn record_abandonment(&mut self) {
        self.is_abandoned = true;
    }

    /// Returns whether the current attempt is to end unless it was sent.
    pub const fn is_recalled(&self) -> bool {
        self.is_recalled
    }

    /// Records that the current attempt is to end unless it was sent.
    pub const fn record_recall(&mut self) {
        self.is_recalled = true;
    }

    /// Records that an output token was passed on to the caller.
    ///
    /// The rest of the response must come from the weight version that the attempt was dispatched
    /// for, even if the target has loaded another version since.
    pub const fn start_streaming(&mut self) {
        self.phase = Phase::Streaming;
        self.has_begun = true;
        self.pinned_version = Some(self.version);
        self.may_have_run = true;
    }

    /// Returns whether an attempt of this call ended at `target` without a response.
    pub fn has_failed_at(&self, target: TargetKey) -> bool {
        self.failed_targets.contains(&target)
    }

    /// Records that the current attempt did not run: nothing was sent, or the target refused it.
    pub fn record_unexecuted_attempt(&mut self) {
        self.peer = None;
        self.failed_targets.extend(self.target.take());
        if self.phase == Phase::Sending {
            self.phase = Phase::Queued;
        }
    }

    /// Records that the current attempt failed after bytes were sent, so that it may have run.
    pub fn record_failed_attempt(&mut self) {
        self.peer = None;
        self.failed_targets.extend(self.target.take());
        self.possible_executions = self.possible_executions.saturating_add(1);
        self.may_have_run = true;
        if self.phase == Phase::Sending {
            self.phase = Phase::Queued;
        }
    }
}
