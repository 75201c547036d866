//! The software versions at which resumable streams began; docs/DESIGN.md, "Software versions".

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::Moment;
use derive_more::{Display, From};
use smallvec::SmallVec;

use crate::parts::name_hash;

/// How long the origin of a stream, and a software version that no target has any more, are known at
/// least.
const MIN_RETENTION: Duration = Duration::from_secs(60);
/// The same as a multiple of the longest timeout of a route, within which each attempt of a caller
/// ends; a caller may resume a stream more than once.
const RETENTION_TIMEOUTS: u32 = 2;
/// Maximum number of known origins; the oldest are dropped first.
const MAX_ORIGINS: usize = 16_384;
/// Maximum number of origins in one digest.
const MAX_REPORTED: usize = 256;

/// Stands for a version that is not known; no target has it, so that its streams end where they
/// break.
pub const UNKNOWN_VERSION: &str = "";

/// Identifies a stream on all daemons, by the account and the caller's id of the call whose
/// response brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, From)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of a stream of a client account.
    pub fn of(account: &str, call: &str) -> Self {
        Self(name_hash(account).rotate_left(32) ^ name_hash(call))
    }
}

/// Describes how a call relates to a resumable stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamRequest {
    /// The call begins this stream; `None` if it has no name by which its caller could take it up.
    Begin(Option<StreamId>),
    /// The call continues this stream; `None` if the caller did not name it.
    Continue(Option<StreamId>),
}

impl StreamRequest {
    /// Returns the stream, if it has a name that is known.
    pub const fn stream(self) -> Option<StreamId> {
        match self {
            Self::Begin(stream) | Self::Continue(stream) => stream,
        }
    }
}

/// Reports the software version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The version of the target's software.
    pub software: Arc<str>,
}

/// Reports a stream that may have begun at one of several software versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownOrigin;

/// Names the evidence for the software version that a call must run at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum OriginEvidence {
    /// The call begins a stream or none, so that any version will do.
    #[default]
    #[display("-")]
    None,
    /// The daemon at which the stream began recorded its version.
    #[display("recorded")]
    Recorded,
    /// No other version is or lately was listed.
    #[display("only-version")]
    OnlyVersion,
}

/// The software version that a call must run at, `None` if any will do, and the evidence for it.
pub type RequiredSoftware = (Option<Arc<str>>, OriginEvidence);

/// An origin that is still to be reported to peers.
#[derive(Debug, Clone)]
struct PendingReport {
    origin: StreamOrigin,
    /// The number of further rounds of digests that contain it.
    rounds: u32,
}

/// Tracks the software versions of targets and of the streams that they began.
///
/// Events of two software versions do not fit together, and targets do not check this.
#[derive(Debug)]
pub struct StreamOrigins {
    retention: Duration,
    origins: HashMap<StreamId, Arc<str>>,
    by_age: VecDeque<(Moment, StreamId)>,
    pending: VecDeque<PendingReport>,
    /// When each software version was last listed before the snapshot in force.
    last_listed: HashMap<(TargetKind, Arc<str>), Moment>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            retention: MIN_RETENTION,
            origins: HashMap::new(),
            by_age: VecDeque::new(),
            pending: VecDeque::new(),
            last_listed: HashMap::new(),
        }
    }
}

impl StreamOrigins {
    /// Adapts the retention to the routes of a snapshot that comes into force, and records the
    /// software versions that the one it replaces lists.
    pub fn apply_snapshot(&mut self, now: Moment, next: &Snapshot, replaced: Option<&Snapshot>) {
        let required = next.routes.longest_timeout() * RETENTION_TIMEOUTS;
        // Streams of a route whose timeout was shortened go on with the longer one.
        self.retention = self.retention.max(required);
        let retention = self.retention;
        self.last_listed.retain(|_, at| now.since(*at) < retention);
        let replaced = replaced.into_iter().flat_map(|s| s.targets.iter());
        for (_, target) in replaced.filter(|(_, t)| !t.retired) {
            if let Some(software) = &target.software {
                self.last_listed.insert((target.kind, software.clone()), now);
            }
        }
    }

    /// Records an origin; if it is new, peers get it in `rounds` rounds of digests.
    pub fn record(&mut self, now: Moment, origin: StreamOrigin, rounds: u32) {
        if self.insert(now, origin.clone()) {
            self.report(origin, rounds);
        }
    }

    /// Records the origin of a stream that began at this daemon, once its process is listed; it
    /// prevails over what peers reported.
    pub fn settle(&mut self, now: Moment, origin: StreamOrigin, rounds: u32) {
        let is_new = self.insert(now, origin.clone());
        let replaced = self.origins.insert(origin.stream, origin.software.clone());
        if is_new || replaced.as_ref() != Some(&origin.software) {
            self.report(origin, rounds);
        }
    }

    fn report(&mut self, origin: StreamOrigin, rounds: u32) {
        if rounds == 0 {
            return;
        }
        // A report of the unknown version that precedes it is of no use any more.
        self.pending.retain(|report| report.origin.stream != origin.stream);
        if self.pending.len() >= MAX_ORIGINS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingReport { origin, rounds });
    }

    /// Records that the caller was sent the whole stream, so that no peer needs its origin.
    pub fn record_complete(&mut self, stream: StreamId) {
        let is_needed = |origin: &StreamOrigin| {
            // Its caller may have left before it received the last event.
            origin.stream != stream || *origin.software == *UNKNOWN_VERSION
        };
        self.pending.retain(|report| is_needed(&report.origin));
    }

    /// Records an origin unless the stream has a known one; returns whether it did.
    ///
    /// The version of a process that is listed late replaces an unknown one.
    fn insert(&mut self, now: Moment, origin: StreamOrigin) -> bool {
        let StreamOrigin { stream, software } = origin;
        if let Some(known) = self.origins.get_mut(&stream) {
            let is_news = **known == *UNKNOWN_VERSION && *known != software;
            if is_news {
                *known = software;
            }
            return is_news;
        }
        let is_dropped = |(at, _): &(Moment, StreamId)| now.since(*at) >= self.retention;
        while self.by_age.len() >= MAX_ORIGINS || self.by_age.front().is_some_and(is_dropped) {
            if let Some((_, oldest)) = self.by_age.pop_front() {
                self.origins.remove(&oldest);
            }
        }
        self.origins.insert(stream, software);
        self.by_age.push_back((now, stream));
        true
    }

    /// Returns the origins for the next round of digests.
    ///
    /// They are reported while a single software version is listed, too: this daemon may be killed
    /// before the entry of the first process of another one is read.
    pub fn take_reports(&mut self) -> Vec<StreamOrigin> {
        let count = self.pending.len().min(MAX_REPORTED);
        let mut reports: Vec<PendingReport> = self.pending.drain(..count).collect();
        let origins = reports.iter().map(|report| report.origin.clone()).collect();
        reports.retain_mut(|report| {
            report.rounds = report.rounds.saturating_sub(1);
            report.rounds > 0
        });
        self.pending.extend(reports);
        origins
    }

    /// Returns the software version that a call must run at.
    ///
    /// Unless `knows_history` is set, a stream of unknown origin may have begun at a version that
    /// ended before this daemon started.
    pub fn required_version(
        &self,
        now: Moment,
        kind: TargetKind,
        request: Option<StreamRequest>,
        snapshot: &Snapshot,
        knows_history: bool,
    ) -> Result<RequiredSoftware, UnknownOrigin> {
        let Some(StreamRequest::Continue(stream)) = request else {
            return Ok((None, OriginEvidence::None));
        };
        let recorded = stream.and_then(|stream| self.origins.get(&stream));
        let mut versions = self.recent_versions(now, kind, snapshot);
        match recorded {
            Some(software) if **software == *UNKNOWN_VERSION => Err(UnknownOrigin),
            Some(software) => Ok((Some(software.clone()), OriginEvidence::Recorded)),
            None if versions.len() < 2 && knows_history => {
                Ok((versions.pop(), OriginEvidence::OnlyVersion))
            }
            None => Err(UnknownOrigin),
        }
    }

    /// Records a version that the record of recent versions lists as just ended, unless this daemon
    /// knows when it ended.
    pub fn record_stored(&mut self, now: Moment, kind: TargetKind, software: &Arc<str>) {
        let at = self.last_listed.entry((kind, software.clone())).or_insert(now);
        if now.since(*at) >= self.retention {
            *at = now;
        }
    }

    /// Records a version at which streams of a model or service may have begun until now.
    pub fn record_history(&mut self, now: Moment, kind: TargetKind, software: Arc<str>) {
        self.last_listed.insert((kind, software), now);
    }

    /// Records a version that a peer reports, unless this daemon knows it. Daemons would remind each
    /// other of it for ever otherwise.
    pub fn record_reported(&mut self, now: Moment, kind: TargetKind, software: &Arc<str>) {
        self.last_listed.entry((kind, software.clone())).or_insert(now);
    }

    /// Returns the distinct software versions at which a stream that goes on may have begun.
    pub fn recent_versions(
        &self,
        now: Moment,
        kind: TargetKind,
        snapshot: &Snapshot,
    ) -> SmallVec<[Arc<str>; 2]> {
        let targets = snapshot.targets.iter().filter(|(_, t)| !t.retired && t.kind == kind);
        let listed = targets.filter_map(|(_, t)| t.software.as_ref());
        let earlier = self.last_listed.iter();
        let earlier = earlier.filter(|((k, _), at)| *k == kind && now.since(**at) < self.retention);
        let mut versions = SmallVec::new();
        for software in listed.chain(earlier.map(|((_, software), _)| software)) {
            if !versions.contains(software) {
                versions.push(software.clone());
            }
        }
        versions
    }
}
