//! A small deployment in one process: stand-ins and daemons on free loopback ports.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cumintrail_cli::{CliError, OperatorClient};
use cumintrail_config::{Document, Problems, Secret, Settings};
use cumintrail_daemon::{Daemon, SpawnError};
use cumintrail_types::{Digest, Generation};
use cumintrail_wire::platform::{ListedRole, ListedVm};
use snafu::Snafu;

use crate::standins::engine::{self, Engine};
use crate::standins::platform::Platform;
use crate::standins::service::Service;
use crate::standins::store::{self, Store};

/// The loopback address with port 0, which binds any free port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The API key of the account `kesong`.
pub const CALLER_KEY: &str = "kesong-caller-key";
/// The API key of the account `litera`.
pub const OTHER_KEY: &str = "litera-caller-key";
/// The operators' key.
pub const OPERATOR_KEY: &str = "operator-key-for-tests";
const PEER_KEY: &str = "peer-key-for-all-tests";
const BLOCK_SECRET: &str = "block-secret-for-tests";
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// An error that prevented a deployment from starting.
#[derive(Debug, Snafu)]
pub enum ClusterError {
    /// A stand-in could not start.
    #[snafu(transparent)]
    Io {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A daemon could not start.
    #[snafu(transparent)]
    Spawn {
        /// The daemon's start error.
        source: SpawnError,
    },
    /// Settings or declarations have errors.
    #[snafu(transparent)]
    Invalid {
        /// The errors.
        source: Problems,
    },
    /// The declarations could not be applied.
    #[snafu(transparent)]
    Cli {
        /// The command's error.
        source: CliError,
    },
    /// A daemon did not become ready in time.
    #[snafu(display("a daemon did not become ready"))]
    NotReady,
}

/// The size of a deployment and the limits of its stand-ins.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Number of model engines.
    pub engines: usize,
    /// Number of stores.
    pub stores: usize,
    /// Number of replicas of the plain service `holds`.
    pub services: usize,
    /// Number of daemons; see [`domain`] for their failure domains.
    pub daemons: usize,
    /// Limits of each engine.
    pub engine: engine::Limits,
    /// Limits of each store.
    pub store: store::Limits,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            engines: 2,
            stores: 1,
            services: 1,
            daemons: 2,
            engine: engine::Limits::default(),
            store: store::Limits {
                memory_bytes: 64 << 20,
                capacity_bytes: 256 << 20,
                link_per_second: 100 << 20,
                disk_per_second: 50 << 20,
            },
        }
    }
}

/// A running deployment.
pub struct Cluster {
    /// The platform stand-in.
    pub platform: Platform,
    /// The engine stand-ins.
    pub engines: Vec<Engine>,
    /// The store stand-ins.
    pub stores: Vec<Store>,
    /// The replicas of the plain service `holds`.
    pub services: Vec<Service>,
    /// The daemons, which run in this process.
    pub daemons: Vec<Daemon>,
    /// The directory with the declarations.
    pub declarations: tempfile::TempDir,
    /// An operator's client.
    pub access: OperatorClient,
}

impl Cluster {
    /// Starts the stand-ins, applies the declarations, starts the daemons and waits until they are
    /// ready.
    pub async fn spawn(plan: &Plan) -> Result<Self, ClusterError> {
        let platform = Platform::spawn(LOOPBACK, 200, 2)?;
        let at = platform.address();
        let engines = (0..plan.engines).map(|_| Engine::spawn(LOOPBACK, 1, plan.engine));
        let engines = engines.collect::<Result<Vec<_>, _>>()?;
        let stores = (0..plan.stores).map(|_| Store::spawn(LOOPBACK, plan.store));
        let stores = stores.collect::<Result<Vec<_>, _>>()?;
        let services = (0..plan.services).map(|_| Service::spawn(LOOPBACK));
        let services = services.collect::<Result<Vec<_>, _>>()?;

        let declarations = tempfile::tempdir()?;
        let engine_addresses: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
        let store_addresses: Vec<SocketAddr> = stores.iter().map(Store::address).collect();
        let service_addresses: Vec<SocketAddr> = services.iter().map(Service::address).collect();
        let text = declare(plan, &engine_addresses, &store_addresses, &service_addresses);
        write(declarations.path(), &text)?;

        let access = OperatorClient::new(at, at, at, Secret::new(OPERATOR_KEY));
        cumintrail_cli::apply(&access, declarations.path()).await?;
        let daemons = (0..plan.daemons)
            .map(|i| Daemon::spawn(settings(i, at, &[])?).map_err(ClusterError::from));
        let daemons = daemons.collect::<Result<Vec<_>, _>>()?;
        let listed = daemons.iter().enumerate().map(|(i, daemon)| ListedVm {
            address: daemon.operator_address(),
            domain: domain(i),
            role: ListedRole::Daemon,
            leaving: false,
        });
        platform.list_vms(listed.collect());
        let cluster = Self { platform, engines, stores, services, daemons, declarations, access };
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Replaces the declarations and applies them; returns the committed generation.
    pub async fn reapply(&self, text: &str) -> Result<Generation, ClusterError> {
        write(self.declarations.path(), text)?;
        Ok(cumintrail_cli::apply(&self.access, self.declarations.path()).await?)
    }

    async fn wait_ready(&self) -> Result<(), ClusterError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > deadline {
                return Err(ClusterError::NotReady);
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }
}

/// Returns the failure domain of daemon, target or store `index`; there are four domains.
pub fn domain(index: usize) -> String {
    ["laguna", "batangas", "pampanga", "bulacan"][index % 4].to_owned()
}

/// Builds the settings of daemon `index`.
pub fn settings(
    index: usize,
    platform: SocketAddr,
    peers: &[SocketAddr],
) -> Result<Settings, Problems> {
    let text = settings_text(index, LOOPBACK, LOOPBACK, platform, peers);
    Settings::from_document(&Document::parse(&"settings.ini".into(), &text)?)
}

/// Returns the settings of daemon `index` as INI text.
pub fn settings_text(
    index: usize,
    callers: SocketAddr,
    operators: SocketAddr,
    platform: SocketAddr,
    peers: &[SocketAddr],
) -> String {
    let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
    format!(
        "[vm]\nname = vm-{index}\nfailure_domain = {}\ncaller_address = {callers}\n\
         operator_address = {operators}\n[keys]\noperator = {OPERATOR_KEY}\npeer = {PEER_KEY}\n\
         block_secret = {BLOCK_SECRET}\n[platform]\ntable = {platform}\nobjects = {platform}\n\
         vm_list = {platform}\npeers = {}\n[timing]\nconfig_poll_ms = 200\n\
         probe_interval_ms = 100\ndigest_interval_ms = 200\nstop_grace_ms = 200\n",
        domain(index),
        peers.join(", "),
    )
}

/// Returns declarations as INI text, with targets and stores at the given addresses.
pub fn declare(
    plan: &Plan,
    engines: &[SocketAddr],
    stores: &[SocketAddr],
    services: &[SocketAddr],
) -> String {
    let piece = 100;
    let state = plan.engine.block_bytes / piece;
    let mut text = format!(
        "[deployment]\npiece_tokens = {piece}\nfirst_preset = ordinary\n\n\
         [account kesong]\nkey_digests = {}\n\n[account litera]\nkey_digests = {}\n\n\
         [preset ordinary]\n\n[preset peak]\nwarm_material = yes\n\n[preset maintenance]\n\n\
         [model curd]\nversion = 1\nstate_bytes_per_token = {state}\ntoken_gap_ms = 500\n\n\
         [service holds]\ntimeout_ms = 5000\n\n",
        Digest::of(CALLER_KEY.as_bytes()),
        Digest::of(OTHER_KEY.as_bytes()),
    );
    for (i, address) in engines.iter().enumerate() {
        let _ = write!(
            text,
            "[target engine-{i}]\nmodel = curd\naddress = {address}\nfailure_domain = {}\n\
             slots = {}\nprefill_tokens_per_second = {}\nchecks_fencing = {}\n\n",
            domain(i),
            plan.engine.slots,
            plan.engine.prefill_per_second,
            if plan.engine.checks_fencing { "yes" } else { "no" },
        );
    }
    for (i, address) in services.iter().enumerate() {
        let domain = domain(i);
        let _ = write!(
            text,
            "[target holds-{i}]\nservice = holds\naddress = {address}\nfailure_domain = {domain}\n\n"
        );
    }
    for (i, address) in stores.iter().enumerate() {
        let _ = write!(
            text,
            "[store store-{i}]\naddress = {address}\nfailure_domain = {}\n\
             link_bytes_per_second = {}\ndisk_bytes_per_second = {}\ncapacity_bytes = {}\n\n",
            domain(i),
            plan.store.link_per_second,
            plan.store.disk_per_second,
            plan.store.capacity_bytes,
        );
    }
    text
}

/// Writes the declarations into a directory.
pub fn write(directory: &Path, text: &str) -> std::io::Result<()> {
    std::fs::write(directory.join("deployment.ini"), text)
}

/// Polls `holds` until it returns true; returns false if that takes longer than `limit`.
pub async fn eventually(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !holds() {
        if Instant::now() > deadline {
            return false;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    true
}

/// A value that is shared with the thread of a stand-in.
pub type Shared<T> = Arc<std::sync::Mutex<T>>;
