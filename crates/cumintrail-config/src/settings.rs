//! The settings of one daemon: its addresses, keys, platform services, limits and intervals.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::reader::suggest;
use crate::{Document, Problem, Problems, Section, SectionReader, SectionReference};

const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
const SECTIONS: [&str; 6] = ["vm", "keys", "platform", "limits", "timing", "log"];
const MIN_SECRET_BYTES: usize = 16;

/// Contains the settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this VM in status, logs and dumps.
    pub vm: Arc<str>,
    /// The failure domain of this VM.
    pub domain: Arc<str>,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for operators, peers and the health checks of the load balancer.
    pub operator_address: SocketAddr,
    /// The address that peers connect to, if it differs from `operator_address`.
    pub peer_address: Option<SocketAddr>,
    /// The key that authorizes requests to the operator endpoints.
    pub operator_key: Secret,
    /// The key that authorizes requests to the peer endpoints.
    pub peer_key: Secret,
    /// The secret from which the block keys of all client accounts derive; equal on all daemons.
    pub block_secret: Secret,
    /// The address of the platform's table service.
    pub table: SocketAddr,
    /// The address of the platform's object store.
    pub objects: SocketAddr,
    /// The address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Daemons to contact before the VM list is known.
    pub peers: Vec<SocketAddr>,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The time limit for receiving the head and body of a request.
    pub request_timeout: Duration,
    /// The longest time for which a client may accept no byte of a response.
    pub stall_limit: Duration,
    /// The largest number of concurrent caller connections per traffic thread.
    pub max_connections: usize,
    /// The capacity of the event queue of the control thread.
    pub control_queue: usize,
    /// The number of traffic threads.
    pub workers: usize,
    /// The interval between reads of the committed generation.
    pub config_poll_interval: Duration,
    /// The interval between probes of a target.
    pub probe_interval: Duration,
    /// The interval between digests to peers.
    pub digest_interval: Duration,
    /// How long a stopping daemon still accepts calls while the load balancer detects the stop.
    pub stop_grace: Duration,
    /// The longest time that a planned stop waits for calls in flight.
    pub drain_limit: Duration,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The log level, such as `info`.
    pub log_level: Arc<str>,
}

/// Selects the format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One human-readable line per entry.
    Text,
    /// One JSON object per entry.
    Json,
}

/// Wraps a key whose `Debug` output is redacted, so that logs, dumps and errors do not show it.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps a key of any length.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the key itself, which must never be formatted or logged.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// Indicates a key that is too short.
#[derive(Debug, Display)]
#[display("shorter than {MIN_SECRET_BYTES} bytes")]
pub struct SecretTooShort;

impl FromStr for Secret {
    type Err = SecretTooShort;

    fn from_str(text: &str) -> Result<Self, SecretTooShort> {
        if text.len() < MIN_SECRET_BYTES { Err(SecretTooShort) } else { Ok(Self::new(text)) }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn open(path: &Path) -> Result<Self, Problems> {
        Self::from_document(&Document::open(path)?)
    }

    /// Checks parsed settings.
    pub fn from_document(document: &Document) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let (settings, _) = Self::read(document, &mut problems);
        problems.into_result(settings)
    }

    /// Lists the keys of each section in the order in which they are read.
    pub fn reference() -> Vec<SectionReference> {
        let document = Document { file: "reference".into(), sections: Vec::new() };
        Self::read(&document, &mut Problems::default()).1
    }

    fn read(document: &Document, problems: &mut Problems) -> (Self, Vec<SectionReference>) {
        let mut reference = Vec::new();
        let mut add_reference = |kind, keys| reference.push(SectionReference { kind, keys });
        report_unknown_sections(document, problems);

        let empty = |kind: &str| Section {
            file: document.file.clone(),
            line: 1,
            kind: kind.into(),
            name: "".into(),
            entries: Vec::new(),
        };
        let find = |kind: &str| {
            document
                .sections
                .iter()
                .find(|s| &*s.kind == kind)
                .cloned()
                .unwrap_or_else(|| empty(kind))
        };
        let [vm, keys, platform, limits, timing, log] = SECTIONS.map(find);

        let mut r = SectionReader::new(&vm, problems);
        let name: String = r.required("name", String::new());
        let domain: String = r.required("failure_domain", String::new());
        let caller_address = r.required("caller_address", UNSPECIFIED_ADDRESS);
        let operator_address = r.required("operator_address", UNSPECIFIED_ADDRESS);
        let peer_address = r.addresses("peer_address").first().copied();
        if caller_address == operator_address && caller_address.port() != 0 {
            r.reject(
                "operator_address",
                "`operator_address` equals `caller_address`".into(),
                "give operators and peers an address of their own",
            );
        }
        add_reference("vm", r.finish());

        let mut r = SectionReader::new(&keys, problems);
        let operator_key = r.required("operator", Secret::default());
        let peer_key = r.required("peer", Secret::default());
        let block_secret = r.required("block_secret", Secret::default());
        add_reference("keys", r.finish());

        let mut r = SectionReader::new(&platform, problems);
        let table = r.required("table", UNSPECIFIED_ADDRESS);
        let objects = r.required("objects", UNSPECIFIED_ADDRESS);
        let vm_list = r.required("vm_list", UNSPECIFIED_ADDRESS);
        let peers = r.addresses("peers");
        add_reference("platform", r.finish());

        let mut r = SectionReader::new(&limits, problems);
        let max_body_bytes = r.integer("max_body_bytes", 4 << 20, 1_024..=256 << 20) as usize;
        let request_timeout = r.millis("request_timeout_ms", 10_000, 100..=120_000);
        let stall_limit = r.millis("stall_limit_ms", 10_000, 1_000..=600_000);
        let max_connections = r.integer("max_connections", 4_096, 8..=100_000) as usize;
        let control_queue = r.integer("control_queue", 4_096, 16..=65_536) as usize;
        let workers = r.integer("workers", 2, 1..=64) as usize;
        add_reference("limits", r.finish());

        let mut r = SectionReader::new(&timing, problems);
        let config_poll_interval = r.millis("config_poll_ms", 1_500, 50..=4_000);
        let probe_interval = r.millis("probe_interval_ms", 500, 50..=10_000);
        let digest_interval = r.millis("digest_interval_ms", 1_000, 50..=10_000);
        let stop_grace = r.millis("stop_grace_ms", 3_000, 0..=60_000);
        let drain_limit = r.millis("drain_limit_ms", 600_000, 0..=86_400_000);
        add_reference("timing", r.finish());

        let mut r = SectionReader::new(&log, problems);
        let log_format =
            r.choice("format", &[("text", LogFormat::Text), ("json", LogFormat::Json)]);
        let levels = [("info", "info"), ("error", "error"), ("warn", "warn"), ("debug", "debug")];
        let log_level = r.choice("level", &levels).into();
        add_reference("log", r.finish());

        let settings = Self {
            vm: name.into(),
            domain: domain.into(),
            caller_address,
            operator_address,
            peer_address,
            operator_key,
            peer_key,
            block_secret,
            table,
            objects,
            vm_list,
            peers,
            max_body_bytes,
            request_timeout,
            stall_limit,
            max_connections,
            control_queue,
            workers,
            config_poll_interval,
            probe_interval,
            digest_interval,
            stop_grace,
            drain_limit,
            log_format,
            log_level,
        };
        (settings, reference)
    }
}

fn report_unknown_sections(document: &Document, problems: &mut Problems) {
    for section in &document.sections {
        if !SECTIONS.contains(&&*section.kind) {
            problems.0.push(Problem {
                file: section.file.clone(),
                line: section.line,
                message: format!("unknown section [{}]", section.kind),
                hint: suggest(&section.kind, &SECTIONS),
            });
        }
    }
}
