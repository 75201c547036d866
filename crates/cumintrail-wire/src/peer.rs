//! The protocol between daemons, in `MessagePack` over HTTP, and the stored configuration records.
//!
//! - `POST /peer/digest` receives a [`DigestMessage`] and returns a [`DigestReply`].
//! - `POST /peer/config` receives a [`ConfigRequest`] and returns a [`ConfigReply`].
//! - `POST /peer/vms` receives a [`VmListRequest`] and returns a [`VmListReply`].
//! - `POST /peer/forward` receives a [`ForwardRequest`] and returns a [`ForwardReply`].

mod demand;
mod evacuation;
mod quarantine;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Delta, Sections};
use cumintrail_control::membership::VmChanges;
use cumintrail_control::quarantine::QuarantineReport;
use cumintrail_control::stream_origins::StreamOrigin;
use cumintrail_control::target_limits::ReportedLimit;
use cumintrail_control::{
    DomainSize, Echo, Freshness, LeavingIncarnation, PeerDigest, TargetLoad, TargetReport,
    TargetUpdate, VersionAnnouncement, VmEntry, VmRole, VmState,
};
use cumintrail_types::{
    Digest, Generation, Incarnation, Moment, Ran, Refusal, RefusalCode, RequestRate, Sealed, Tier,
    Tokens, WeightVersion,
};
use serde::{Deserialize, Serialize};

use self::demand::{DemandMessage, from_demand, from_rates, to_demand, to_rates};
use self::evacuation::EvacuationMessage;
use self::quarantine::{QuarantineMessage, TargetCrashMessage};
use crate::platform::{ListedRole, ListedVm};
use crate::record::{BodyRecord, ResponseRecord};

/// Encodes a daemon's [`PeerDigest`], which documents the fields.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DigestMessage {
    vm: Arc<str>,
    domain: Arc<str>,
    incarnation: Incarnation,
    #[serde(default)]
    sent: u64,
    #[serde(default)]
    echo: Option<(Incarnation, u64)>,
    address: Option<SocketAddr>,
    generation: Generation,
    #[serde(default)]
    freshness: FreshnessMessage,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    leaving: Vec<LeavingMessage>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    targets: Vec<TargetMessage>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    stored: Vec<(SocketAddr, Sealed, Tier)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    wants: Vec<(Arc<str>, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    versions: Vec<AnnouncementMessage>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    loads: Vec<(u64, u32, u32, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    announced_leaving: Vec<u64>,
    #[serde(default)]
    processor_share: u16,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    domain_sizes: Vec<(Arc<str>, u32, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    stream_origins: Vec<(Arc<str>, Vec<u64>)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    software: Vec<(u64, Arc<str>)>,
    #[serde(default, skip_serializing_if = "QuarantineMessage::is_empty")]
    quarantine: QuarantineMessage,
    /// The request of each crash in `quarantine`, in the same order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crash_requests: Vec<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    target_crashes: Vec<TargetCrashMessage>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    served_calls: Vec<(u64, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    limits: Vec<(u64, Option<u32>, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    call_rates: Vec<(u64, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    service_rates: Vec<(u64, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    domain_demands: Vec<DemandMessage>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    peers: Vec<(SocketAddr, Arc<str>)>,
    #[serde(default)]
    detour_port: u16,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    partitioned: Vec<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    evacuations: Vec<EvacuationMessage>,
}

impl From<PeerDigest> for DigestMessage {
    fn from(d: PeerDigest) -> Self {
        Self {
            vm: d.vm,
            domain: d.domain,
            incarnation: d.incarnation,
            sent: d.sent.0,
            echo: d.echo.map(|echo| (echo.incarnation, echo.sent.0)),
            address: d.address,
            generation: d.generation,
            freshness: d.freshness.into(),
            leaving: d.leaving.into_iter().map(Into::into).collect(),
            targets: d.targets.into_iter().map(Into::into).collect(),
            stored: d.stored,
            wants: d.demand,
            versions: d.versions.into_iter().map(Into::into).collect(),
            loads: d
                .loads
                .iter()
                .map(|l| (l.target_hash, l.calls, l.backlog.0, l.memory.0))
                .collect(),
            announced_leaving: d.announced_leaving,
            processor_share: d.processor_share,
            domain_sizes: d
                .domain_sizes
                .into_iter()
                .map(|s| (s.domain, s.daemons, to_millis(s.age)))
                .collect(),
            stream_origins: group_by_software(d.stream_origins),
            software: d.software,
            crash_requests: d.quarantine.crashes.iter().map(|crash| crash.request).collect(),
            target_crashes: d
                .quarantine
                .target_crashes
                .iter()
                .map(TargetCrashMessage::from)
                .collect(),
            served_calls: d.quarantine.served_calls.clone(),
            quarantine: d.quarantine.into(),
            limits: d
                .limits
                .iter()
                .map(|l| (l.target, l.rate.map(|rate| rate.0), to_millis(l.age)))
                .collect(),
            call_rates: from_rates(d.call_rates),
            service_rates: from_rates(d.service_rates),
            domain_demands: d.domain_demands.into_iter().map(from_demand).collect(),
            peers: d.peers,
            detour_port: d.detour_port,
            partitioned: d.partitioned,
            evacuations: d.evacuations.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<DigestMessage> for PeerDigest {
    fn from(m: DigestMessage) -> Self {
        let mut quarantine = QuarantineReport::from(m.quarantine);
        // Without the list, each crash counts as that of another request.
        let requests = m.crash_requests.into_iter().map(Some).chain(std::iter::repeat(None));
        for (crash, request) in quarantine.crashes.iter_mut().zip(requests) {
            crash.request = request.unwrap_or(crash.target);
        }
        quarantine.target_crashes = m.target_crashes.into_iter().map(Into::into).collect();
        quarantine.served_calls = m.served_calls;
        Self {
            vm: m.vm,
            domain: m.domain,
            incarnation: m.incarnation,
            sent: Moment(m.sent),
            echo: m.echo.map(|(incarnation, sent)| Echo { incarnation, sent: Moment(sent) }),
            address: m.address,
            generation: m.generation,
            freshness: m.freshness.into(),
            leaving: m.leaving.into_iter().map(Into::into).collect(),
            targets: m.targets.into_iter().map(Into::into).collect(),
            stored: m.stored,
            demand: m.wants,
            versions: m.versions.into_iter().map(Into::into).collect(),
            loads: m.loads.into_iter().map(to_load).collect(),
            announced_leaving: m.announced_leaving,
            processor_share: m.processor_share,
            domain_sizes: m
                .domain_sizes
                .into_iter()
                .map(|(domain, daemons, age)| {
                    let age = Duration::from_millis(age.into());
                    DomainSize { domain, daemons, age }
                })
                .collect(),
            stream_origins: m
                .stream_origins
                .into_iter()
                .flat_map(|(software, streams)| {
                    streams.into_iter().map(move |stream| StreamOrigin {
                        stream: stream.into(),
                        software: software.clone(),
                    })
                })
                .collect(),
            software: m.software,
            quarantine,
            limits: m.limits.into_iter().map(to_limit).collect(),
            call_rates: to_rates(m.call_rates),
            service_rates: to_rates(m.service_rates),
            domain_demands: m.domain_demands.into_iter().map(to_demand).collect(),
            peers: m.peers,
            detour_port: m.detour_port,
            partitioned: m.partitioned,
            evacuations: m.evacuations.into_iter().map(Into::into).collect(),
        }
    }
}

/// Lists the streams that began at each software version.
fn group_by_software(origins: Vec<StreamOrigin>) -> Vec<(Arc<str>, Vec<u64>)> {
    let mut groups: Vec<(Arc<str>, Vec<u64>)> = Vec::new();
    for StreamOrigin { stream, software } in origins {
        match groups.iter_mut().find(|(known, _)| *known == software) {
            Some((_, streams)) => streams.push(stream.0),
            None => groups.push((software, vec![stream.0])),
        }
    }
    groups
}

/// Encodes a [`Freshness`] without field names: milliseconds since the last read of the head,
/// milliseconds since the last read of the VM list, sequence number of that list.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct FreshnessMessage(Option<u32>, Option<u32>, u64);

impl From<Freshness> for FreshnessMessage {
    fn from(f: Freshness) -> Self {
        Self(f.head.map(to_millis), f.vms.map(to_millis), f.vms_sequence)
    }
}

fn to_millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

impl From<FreshnessMessage> for Freshness {
    fn from(FreshnessMessage(head, vms, vms_sequence): FreshnessMessage) -> Self {
        let age = |millis: u32| Duration::from_millis(millis.into());
        Self { head: head.map(age), vms: vms.map(age), vms_sequence }
    }
}

/// Encodes a [`VersionAnnouncement`] without field names: weights, version, age in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct AnnouncementMessage(Arc<str>, WeightVersion, Option<u32>);

impl From<VersionAnnouncement> for AnnouncementMessage {
    fn from(n: VersionAnnouncement) -> Self {
        Self(n.weights, n.version, n.age.map(to_millis))
    }
}

impl From<AnnouncementMessage> for VersionAnnouncement {
    fn from(AnnouncementMessage(weights, version, age): AnnouncementMessage) -> Self {
        Self { weights, version, age: age.map(|millis| Duration::from_millis(millis.into())) }
    }
}

/// Encodes a [`LeavingIncarnation`] without field names: address, incarnation, seconds until the
/// mark expires.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct LeavingMessage(SocketAddr, Incarnation, u32);

impl From<LeavingIncarnation> for LeavingMessage {
    fn from(r: LeavingIncarnation) -> Self {
        Self(r.address, r.incarnation, r.expires_in.as_secs() as u32)
    }
}

impl From<LeavingMessage> for LeavingIncarnation {
    fn from(LeavingMessage(address, incarnation, seconds): LeavingMessage) -> Self {
        Self { address, incarnation, expires_in: Duration::from_secs(seconds.into()) }
    }
}

/// Encodes a [`TargetUpdate`] without field names: address, revision, silent, report.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct TargetMessage(SocketAddr, u64, bool, Option<ReportMessage>);

/// Encodes a [`TargetReport`] without field names: incarnation, leaving, version, loading, running,
/// waiting, prefill backlog.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct ReportMessage(Incarnation, bool, WeightVersion, bool, u32, u32, u32);

impl From<TargetUpdate> for TargetMessage {
    fn from(n: TargetUpdate) -> Self {
        let report = n.report.map(|r| {
            let backlog = r.prefill_backlog.0;
            let load = (r.running, r.waiting, backlog);
            ReportMessage(r.incarnation, r.leaving, r.version, r.loading, load.0, load.1, load.2)
        });
        Self(n.address, n.revision, n.silent, report)
    }
}

impl From<TargetMessage> for TargetUpdate {
    fn from(TargetMessage(address, revision, silent, report): TargetMessage) -> Self {
        let report = report.map(|r| TargetReport {
            incarnation: r.0,
            leaving: r.1,
            version: r.2,
            loading: r.3,
            running: r.4,
            waiting: r.5,
            prefill_backlog: Tokens(r.6),
        });
        Self { address, revision, silent, report }
    }
}

fn to_load((target_hash, calls, backlog, memory): (u64, u32, u32, u32)) -> TargetLoad {
    TargetLoad { target_hash, calls, backlog: Tokens(backlog), memory: Tokens(memory) }
}

/// Reads a limit: target, thousandths of a request a second if it did not end, age in milliseconds.
fn to_limit((target, rate, age): (u64, Option<u32>, u32)) -> ReportedLimit {
    let (rate, age) = (rate.map(RequestRate), Duration::from_millis(age.into()));
    ReportedLimit { target, rate, age }
}

/// Represents the response to a digest, which shows the sender whether its generation is outdated.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct DigestReply {
    /// The generation in force at the receiver.
    pub generation: Generation,
}

/// Requests the configuration that a peer has in force beyond generation `after`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// The generation in force at the requesting daemon.
    pub after: Generation,
}

/// Represents the response to a [`ConfigRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ConfigReply {
    /// The peer has no newer generation in force.
    Nothing,
    /// The changes after the requested generation, in order.
    Changes(Vec<ChangeRecord>),
    /// The complete configuration.
    Snapshot(SnapshotRecord),
}

/// Requests the changes in a peer's VM list since list `after`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct VmListRequest {
    /// The sequence number of the requesting daemon's list; zero if it has none.
    pub after: u64,
}

/// Represents the response to a [`VmListRequest`]; `None` if the peer has no newer list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmListReply(Option<VmChangesMessage>);

/// Encodes [`VmChanges`] without field names: sequence number of the earlier list, sequence number
/// of the resulting list, changed entries, removed addresses.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct VmChangesMessage(Option<u64>, u64, Vec<VmMessage>, Vec<SocketAddr>);

/// Encodes a [`VmEntry`] without field names: address, failure domain, role, leaving.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct VmMessage(SocketAddr, Arc<str>, ListedRole, bool);

impl From<Option<VmChanges>> for VmListReply {
    fn from(changes: Option<VmChanges>) -> Self {
        let message = |c: VmChanges| {
            let entries = c.changed.into_iter().map(VmMessage::from).collect();
            VmChangesMessage(c.after, c.sequence, entries, c.removed)
        };
        Self(changes.map(message))
    }
}

impl From<VmListReply> for Option<VmChanges> {
    fn from(VmListReply(reply): VmListReply) -> Self {
        let VmChangesMessage(after, sequence, changed, removed) = reply?;
        let changed = changed.into_iter().map(VmEntry::from).collect();
        Some(VmChanges { after, sequence, changed, removed })
    }
}

impl From<VmEntry> for VmMessage {
    fn from(vm: VmEntry) -> Self {
        let role = match vm.role {
            VmRole::Daemon => ListedRole::Daemon,
            VmRole::Target => ListedRole::Target,
            VmRole::Store => ListedRole::Store,
        };
        Self(vm.address, vm.domain, role, vm.state == VmState::Leaving)
    }
}

impl From<VmMessage> for VmEntry {
    fn from(VmMessage(address, domain, role, leaving): VmMessage) -> Self {
        Self::from(ListedVm { address, domain: domain.to_string(), role, leaving })
    }
}

/// Requests that the daemon that issued an operation key runs the key's call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The name of the client account.
    pub account: String,
    /// The name of the service.
    pub service: String,
    /// The operation key.
    pub key: String,
    /// The HTTP method.
    pub method: String,
    /// The path below the service's root, with the query.
    pub path: String,
    /// The headers to forward to the service, as names and values.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: BodyRecord,
    /// The time that the caller is ready to wait, in milliseconds.
    pub within_ms: u64,
}

/// Represents the response to a [`ForwardRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The call has a response, possibly from an earlier run.
    Answered {
        /// The response.
        answer: ResponseRecord,
        /// Whether the response was recorded earlier and is now replayed.
        replayed: bool,
    },
    /// The call was refused.
    Refused(RefusalRecord),
}

/// Encodes a [`Refusal`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RefusalRecord {
    code: RefusalCode,
    ran: Ran,
    retry_after_ms: Option<u64>,
}

impl From<Refusal> for RefusalRecord {
    fn from(r: Refusal) -> Self {
        let retry_after_ms = r.retry_after.map(|after| after.as_millis() as u64);
        Self { code: r.code, ran: r.ran, retry_after_ms }
    }
}

impl From<RefusalRecord> for Refusal {
    fn from(r: RefusalRecord) -> Self {
        let retry_after = r.retry_after_ms.map(std::time::Duration::from_millis);
        Self { code: r.code, ran: r.ran, retry_after }
    }
}

/// Represents the row `config/head`, which stores the committed generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// The committed generation.
    pub generation: Generation,
    /// The random id of the change that made this generation.
    pub change: String,
    /// The newest generation that has a snapshot in the object store.
    pub snapshot: Generation,
}

/// Represents the row `config/change/{generation}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The generation that results from this change.
    pub generation: Generation,
    /// The random id of the change, which shows whether the change was committed when the response
    /// to its commit was lost.
    pub change: String,
    /// The changed declarations.
    pub delta: Delta,
    /// The preset in force from this generation on.
    pub preset: Arc<str>,
}

/// Represents the object named by [`snapshot_name`], which stores a complete configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The generation of the configuration.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Arc<str>,
    /// All declarations, as pairs of name and text, since JSON object keys must be strings.
    pub sections: Vec<(cumintrail_config::SectionName, Arc<str>)>,
}

impl SnapshotRecord {
    /// Returns the declarations.
    pub fn to_sections(&self) -> Sections {
        Sections(self.sections.iter().cloned().collect())
    }
}

/// The key of the row that stores the committed generation.
pub const HEAD_KEY: &str = "config/head";

/// Returns the key of the row that stores a change.
pub fn change_key(generation: Generation) -> String {
    format!("config/change/{generation:020}", generation = generation.0)
}

/// Returns the name of the object that stores a complete configuration.
pub fn snapshot_name(generation: Generation, change: &str) -> String {
    format!("config/{}-{change}", generation.0)
}

/// Returns the name of the object that stores a text that declarations refer to by digest.
pub fn material_name(digest: &Digest) -> String {
    format!("material/{digest}")
}
