//! The deployment under measurement: daemons are separate processes.

use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_cli::OperatorClient;
use cumintrail_config::Secret;
use cumintrail_types::{BlockKey, Digest, Sealed, Tier, WriteId};
use cumintrail_wire::platform::{ListedRole, ListedVm};

use super::{LoadError, Options, process_use};
use crate::cluster::{ClusterError, LOOPBACK, OPERATOR_KEY, Plan, declare, domain, settings_text};
use crate::http::send;
use crate::process::Process;
use crate::standins::engine::{self, Engine};
use crate::standins::platform::Platform;
use crate::standins::store::Store;

const ENGINES: usize = 4;
const ENGINE_SLOTS: usize = 256;
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
const PREFILL_TOKENS_PER_SECOND: u32 = 10_000_000;
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
const CONTROL_BYTES: &str = "cumintrail_control_bytes_total";
const UNUSED_PORT: u16 = 10_000;
const BLOCK_BYTES: u64 = 4 << 10;

/// Stand-ins in this process, with daemons as child processes.
pub struct Deployment {
    platform: Platform,
    engines: Vec<Engine>,
    store: Store,
    daemons: Vec<Process>,
    _files: tempfile::TempDir,
}

/// The resources that all daemons have used up to one time.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// When the reading began.
    pub at: Instant,
    /// Number of daemons.
    pub daemons: usize,
    /// CPU time of all daemons.
    pub cpu_time: Duration,
    /// Resident memory of the largest daemon.
    pub resident_bytes: u64,
    /// Digest bytes that all daemons sent to peers, without HTTP heads.
    pub peer_bytes: u64,
    /// Bytes of the control requests that all daemons sent and of the responses, with HTTP heads.
    pub control_bytes: ControlBytes,
    /// Events that all control threads handled.
    pub control_events: u64,
    /// Time that all control threads spent on handling events.
    pub control_busy: Duration,
    /// Table reads of all daemons.
    pub table_reads: u64,
    /// Bytes of block lists that the store sent to all daemons.
    pub listed_bytes: u64,
}

/// Bytes of control requests and responses, by kind of the remote end.
#[derive(Debug, Clone, Copy, Default)]
pub struct ControlBytes {
    /// Targets: engines and replicas of plain services.
    pub engines: u64,
    /// Stores.
    pub stores: u64,
    /// Other daemons.
    pub peers: u64,
    /// The platform.
    pub platform: u64,
}

impl ControlBytes {
    fn add(&mut self, text: &str) {
        let part = |part| counter(text, &format!("{CONTROL_BYTES}{{part=\"{part}\"}}"));
        self.engines += part("engines");
        self.stores += part("stores");
        self.peers += part("peers");
        self.platform += part("platform");
    }
}

impl Deployment {
    /// Starts the stand-ins and the daemons and waits until the daemons are ready.
    pub async fn spawn(options: &Options) -> Result<Self, LoadError> {
        let platform = Platform::spawn(LOOPBACK, 200, 2).map_err(ClusterError::from)?;
        let plan = Plan {
            engine: engine::Limits {
                slots: ENGINE_SLOTS,
                token_time: TOKEN_INTERVAL,
                prefill_per_second: PREFILL_TOKENS_PER_SECOND,
                ..engine::Limits::default()
            },
            ..Plan::default()
        };
        let engines = (0..ENGINES).map(|_| Engine::spawn(LOOPBACK, 1, plan.engine));
        let engines: Vec<Engine> = engines.collect::<Result<_, _>>().map_err(ClusterError::from)?;
        let store = Store::spawn(LOOPBACK, plan.store).map_err(ClusterError::from)?;
        store.seal((0..options.blocks).map(preloaded_block));

        let addresses: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
        let text = declarations(options, &plan, &addresses, store.address());
        let files = tempfile::tempdir().map_err(ClusterError::from)?;
        let declared = files.path().join("declarations");
        std::fs::create_dir(&declared).map_err(ClusterError::from)?;
        std::fs::write(declared.join("all.ini"), text).map_err(ClusterError::from)?;
        let at = platform.address();
        let access = OperatorClient::new(at, at, at, Secret::new(OPERATOR_KEY));
        cumintrail_cli::apply(&access, &declared).await.map_err(ClusterError::from)?;

        // The VM list is published before the daemons start, as a platform lists a VM that it
        // starts.
        let ports = reserve_ports(options.daemons.into()).map_err(ClusterError::from)?;
        let others = (0..usize::from(options.vms)).map(other_vm);
        platform.list_vms(ports.iter().enumerate().map(listed).chain(others).collect());
        let daemons = spawn_daemons(ports, at, files.path()).map_err(ClusterError::from)?;
        let deployment = Self { platform, engines, store, daemons, _files: files };
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn wait_ready(&self) -> Result<(), LoadError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for at in self.caller_addresses() {
            while send(Method::GET, at, "/readyz", &[], "", RESPONSE_TIMEOUT).await.status != 200 {
                if Instant::now() > deadline {
                    return Err(ClusterError::NotReady.into());
                }
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the daemons' caller addresses.
    pub fn caller_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.addresses[0])
    }

    /// Returns the engines' own addresses, for calls that bypass the daemons.
    pub fn engine_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.engines.iter().map(Engine::address)
    }

    /// Reads the resources that all daemons have used so far.
    pub async fn usage(&self) -> Result<Usage, LoadError> {
        let mut usage = Usage {
            at: Instant::now(),
            daemons: self.daemons.len(),
            cpu_time: Duration::ZERO,
            resident_bytes: 0,
            peer_bytes: 0,
            control_bytes: ControlBytes::default(),
            control_events: 0,
            control_busy: Duration::ZERO,
            table_reads: self.platform.table_use().1,
            listed_bytes: self.store.listed_bytes(),
        };
        for (index, daemon) in self.daemons.iter().enumerate() {
            usage.cpu_time += process_use::cpu_time(daemon.pid());
            let resident = process_use::resident_bytes(daemon.pid());
            usage.resident_bytes = usage.resident_bytes.max(resident);
            let text = metrics_of(daemon.addresses[1]).await;
            let text = text.ok_or(LoadError::NoMetrics { index })?;
            usage.peer_bytes += counter(&text, "cumintrail_peer_bytes_total");
            usage.control_bytes.add(&text);
            usage.control_events += counter(&text, "cumintrail_control_events_total");
            let busy = counter(&text, "cumintrail_control_busy_microseconds_total");
            usage.control_busy += Duration::from_micros(busy);
        }
        Ok(usage)
    }
}

async fn metrics_of(at: SocketAddr) -> Option<String> {
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let got = send(Method::GET, at, "/metrics", &headers, "", RESPONSE_TIMEOUT).await;
    (got.status == 200).then(|| got.text())
}

/// Returns the sum of a counter's samples over all labels.
fn counter(text: &str, name: &str) -> u64 {
    let samples = text.lines().filter(|line| {
        let rest = line.strip_prefix(name);
        rest.is_some_and(|rest| rest.starts_with([' ', '{']))
    });
    samples.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Finds free ports by binding them; daemons bind them again after the VM list is published.
fn reserve_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let bound: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind(LOOPBACK)).collect::<Result<_, _>>()?;
    bound.iter().map(TcpListener::local_addr).collect()
}

fn spawn_daemons(
    operators: Vec<SocketAddr>,
    platform: SocketAddr,
    files: &std::path::Path,
) -> std::io::Result<Vec<Process>> {
    let binary = std::env::current_exe()?.display().to_string();
    let spawn = |(index, operator): (usize, SocketAddr)| {
        let text = settings_text(index, LOOPBACK, operator, platform, &[]);
        let (text, _) = text.split_once("[timing]").unwrap_or((&text, ""));
        let path = files.join(format!("vm-{index}.ini"));
        std::fs::write(&path, text)?;
        Process::daemon(&binary, &path)
    };
    operators.into_iter().enumerate().map(spawn).collect()
}

fn listed((index, address): (usize, &SocketAddr)) -> ListedVm {
    ListedVm { address: *address, domain: domain(index), role: ListedRole::Daemon, leaving: false }
}

/// Returns a target VM for the VM list that belongs to no declared target.
fn other_vm(index: usize) -> ListedVm {
    let address = SocketAddr::from(([10, 0, 0, 0], UNUSED_PORT + index as u16));
    ListedVm { address, domain: domain(index), role: ListedRole::Target, leaving: false }
}

fn declarations(
    options: &Options,
    plan: &Plan,
    engines: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let mut text = declare(plan, engines, &[store], &[]);
    text = text.replacen("[account kesong]", "[account kesong]\nconcurrency = 10000", 1);
    for i in 0..options.accounts {
        let digest = Digest::of(format!("key-{i}").as_bytes());
        let _ = write!(text, "[account extra-{i}]\nkey_digests = {digest}\n\n");
    }
    for i in 0..options.targets {
        let address = engines[i as usize % engines.len()];
        let domain = domain(i as usize);
        let _ = write!(
            text,
            "[target extra-{i}]\nmodel = curd\naddress = {address}\nfailure_domain = {domain}\n\n"
        );
    }
    text
}

fn preloaded_block(index: u32) -> (Sealed, Tier) {
    let digest = Digest::of(&index.to_le_bytes());
    let mut key = [0; 16];
    key.copy_from_slice(&digest.0[..16]);
    let write_id = WriteId(key);
    let key = BlockKey(key);
    (Sealed { key, write_id, digest, length: cumintrail_types::Bytes(BLOCK_BYTES) }, Tier::Disk)
}
