//! A deployment on loopback: the row store and replicas run in this process, and each daemon in a
//! process of its own.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use actix_http::Method;
use cumintrail_tests::http::{HttpServer, send};
use cumintrail_tests::standins::relay::{Mode, Relay};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::replica::{ExecutionLog, MODEL, Replica, ReplicaSpec};
use crate::store::{OPERATOR_TABLE, REGISTRY_TABLE, RowStore};

/// The host name of all routes.
pub const HOST: &str = "shop.example";
/// The client account that [`API_KEY`] belongs to.
pub const ACCOUNT: &str = "coop";
/// An API key that is valid in each version of the configuration.
pub const API_KEY: &str = "key-of-the-coop-that-stays-valid";
/// Name of the service for plain calls.
pub const PLAIN_SERVICE: &str = "desk";
/// Name of the service for model calls.
pub const MODEL_SERVICE: &str = "pool";
/// Keys of registry entries of another writer, which name no replica.
const FOREIGN_KEYS: [&str; 8] = [" a", " b", "#a", "%1", "%7A", "&from=z", "+a", "i-0001 é"];
/// The rows of a page of the store, once these entries are written.
const FOREIGN_PAGE_ROWS: usize = 2;
/// How long a replica may still receive calls after its entry changes to `draining`; the settings
/// files state the same time as `bounds.drain_ms`.
pub const DRAIN_PERIOD: Duration = Duration::from_secs(2);
const LOOPBACK_ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// First port of the daemons, below the range of ephemeral ports.
const FIRST_PORT: u16 = 21_000;
const PORTS_PER_VM: u16 = 4;
const PORTS_PER_DEPLOYMENT: u16 = 100;
/// Number of deployments that this process has started.
static DEPLOYMENTS_STARTED: AtomicU16 = AtomicU16::new(0);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The executables of daemons.
#[derive(Debug, Clone)]
pub struct Builds {
    /// The one under test.
    pub current: PathBuf,
    /// The one that runs when an upgrade begins. Daemons start on it, and each further start is on
    /// the other one, so that upgrades are rolled back, too.
    pub earlier: Option<PathBuf>,
}

/// Names one of [`Builds`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display)]
pub enum Build {
    /// The one under test.
    #[default]
    #[display("current")]
    Current,
    /// The one that runs when an upgrade begins.
    #[display("earlier")]
    Earlier,
}

impl From<&Path> for Builds {
    fn from(current: &Path) -> Self {
        Self { current: current.to_owned(), earlier: None }
    }
}

impl Builds {
    /// Returns the executable of a daemon that has been started this often before, and its name.
    fn of_start(&self, starts: usize) -> (&Path, Build) {
        match &self.earlier {
            Some(earlier) if starts.is_multiple_of(2) => (earlier, Build::Earlier),
            _ => (&self.current, Build::Current),
        }
    }
}

/// An entry VM: its addresses, its connection to the row store and its daemon's process.
pub struct Vm {
    /// The daemon's address for callers.
    pub caller_address: SocketAddr,
    /// The relay between the daemon and the row store.
    pub store_link: Relay,
    /// The daemon's address for the balancer's checks of readiness.
    pub readiness_address: SocketAddr,
    /// The daemon's address for operators and peers.
    pub control_address: SocketAddr,
    /// The daemon's address for metrics.
    pub metrics_address: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    process: RefCell<Option<Child>>,
    starts: Cell<usize>,
}

/// The address of a replica, which stays the same when the replica is replaced.
pub struct Endpoint {
    /// The relay between daemons and the replica; registry entries contain its address.
    pub link: Relay,
    /// The replica that the relay connects to now.
    pub replica: Replica,
}

/// The operator's declarations, from which the operator's rows are written.
#[derive(Debug, Clone, Default)]
pub struct Declarations {
    /// The version of the `config` row.
    pub config_version: u64,
    /// The API keys of the client account in addition to [`API_KEY`].
    pub extra_keys: Vec<String>,
    /// Path prefixes of additional routes to [`PLAIN_SERVICE`].
    pub extra_prefixes: Vec<String>,
    /// The announced weight version of the model.
    pub weight_version: u64,
    /// The largest body of a request, if it differs from 64 KiB.
    pub max_body_bytes: Option<u64>,
}

/// A running deployment.
pub struct Deployment {
    /// The platform's row store.
    pub store: RowStore,
    /// The entry VMs.
    pub vms: Vec<Vm>,
    /// The endpoints of replicas: first the engines, then the replicas of the plain service.
    pub endpoints: Vec<Endpoint>,
    /// The calls that replicas executed.
    pub execution_log: ExecutionLog,
    /// The operator's current declarations.
    pub declarations: Declarations,
    builds: Builds,
    replicas_started: u64,
    _store_server: HttpServer,
}

impl Deployment {
    /// Starts the row store, the replicas and the daemons, which are peers of each other if
    /// `exchanges_digests` is set; settings files and logs of the daemons are written to `folder`.
    pub async fn spawn(
        builds: impl Into<Builds>,
        folder: &Path,
        vms: usize,
        engines: usize,
        plain_replicas: usize,
        exchanges_digests: bool,
    ) -> std::io::Result<Self> {
        let counts = (vms, engines, plain_replicas);
        Self::spawn_with(builds, folder, counts, exchanges_digests, "").await
    }

    /// Like [`Deployment::spawn`], with additional lines of settings, which replace earlier ones.
    pub async fn spawn_with(
        builds: impl Into<Builds>,
        folder: &Path,
        (vms, engines, plain_replicas): (usize, usize, usize),
        exchanges_digests: bool,
        settings: &str,
    ) -> std::io::Result<Self> {
        let (store, running) = RowStore::bind(LOOPBACK_ANY_PORT)?;
        let mut deployment = Self {
            store,
            vms: Vec::new(),
            endpoints: Vec::new(),
            execution_log: ExecutionLog::default(),
            declarations: Declarations { weight_version: 1, ..Declarations::default() },
            builds: builds.into(),
            replicas_started: 0,
            _store_server: running.clone(),
        };
        deployment.publish_declarations();
        for index in 0..engines + plain_replicas {
            let service = if index < engines { MODEL_SERVICE } else { PLAIN_SERVICE };
            let replica = deployment.start_replica(service)?;
            let link = Relay::spawn(LOOPBACK_ANY_PORT, replica.address()).await?;
            replica.register(&deployment.store, link.address());
            deployment.endpoints.push(Endpoint { link, replica });
        }
        let ip = process_address();
        // Deployments of the same process share the address, so each uses its own range of ports.
        let first_port =
            FIRST_PORT + PORTS_PER_DEPLOYMENT * DEPLOYMENTS_STARTED.fetch_add(1, Ordering::Relaxed);
        let port = |index: usize, offset: u16| {
            SocketAddr::new(ip, first_port + PORTS_PER_VM * index as u16 + offset)
        };
        let control_addresses: Vec<SocketAddr> = (0..vms).map(|index| port(index, 0)).collect();
        for index in 0..vms {
            let store_link = Relay::spawn(LOOPBACK_ANY_PORT, running.address).await?;
            let vm = Vm {
                caller_address: port(index, 1),
                readiness_address: port(index, 2),
                metrics_address: port(index, 3),
                control_address: control_addresses[index],
                store_link,
                settings_path: folder.join(format!("vm-{index}.conf")),
                log_path: folder.join(format!("vm-{index}.log")),
                process: RefCell::default(),
                starts: Cell::default(),
            };
            let settings = vm.settings_text(index, &control_addresses) + settings;
            let settings = if exchanges_digests {
                // Without it, the key of peers would differ, since each VM has its own store link.
                format!("{settings}provider.common_address={}\n", running.address)
            } else {
                settings
            };
            std::fs::write(&vm.settings_path, settings)?;
            vm.start(&deployment.builds)?;
            deployment.vms.push(vm);
        }
        Ok(deployment)
    }

    /// Waits up to 20 s for each daemon, one after the other, and returns whether all became ready.
    pub async fn wait_ready(&self) -> bool {
        for vm in &self.vms {
            let ready = async {
                while !vm.is_ready().await {
                    actix_rt::time::sleep(Duration::from_millis(50)).await;
                }
            };
            if actix_rt::time::timeout(READY_TIMEOUT, ready).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Writes the `config` row under a new version, and announces the weight version.
    pub fn publish_declarations(&mut self) {
        self.declarations.config_version += 3;
        let row = self.declarations.config_row();
        self.store.put(OPERATOR_TABLE, "config", &row);
        self.announce_weights();
    }

    /// Writes the operators' rows again after the store was restored, and removes the entries of
    /// replicas that have ended; replicas write their own entries at the next heartbeat.
    pub fn write_rows_again(&self) {
        self.store.put(OPERATOR_TABLE, "config", &self.declarations.config_row());
        self.announce_weights();
        for key in self.store.keys(REGISTRY_TABLE) {
            let is_replica = self.endpoints.iter().any(|e| e.replica.spec().id == key);
            if !is_replica && !FOREIGN_KEYS.contains(&&*key) {
                self.store.remove(REGISTRY_TABLE, &key);
            }
        }
    }

    /// Writes entries of another writer to the registry, and limits pages so that their keys end
    /// pages.
    pub fn write_foreign_entries(&self) {
        for key in FOREIGN_KEYS {
            self.store.put(REGISTRY_TABLE, key, &json!({ "owner": "inventory" }));
        }
        self.store.set_max_page_rows(FOREIGN_PAGE_ROWS);
    }

    /// Writes the row that announces the weight version.
    pub fn announce_weights(&self) {
        let key = format!("version/{MODEL}");
        let row = json!({ "model": MODEL, "version": self.declarations.weight_version });
        self.store.put(OPERATOR_TABLE, &key, &row);
    }

    /// Starts a new replica behind the relay of an endpoint, so that its entry contains the same
    /// address as that of the previous replica.
    pub fn replace_replica(&mut self, endpoint: usize) -> std::io::Result<()> {
        let service = self.endpoints[endpoint].replica.spec().service.clone();
        let replica = self.start_replica(&service)?;
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.link.retarget(replica.address());
        // Closes the connections to the previous replica.
        endpoint.link.set(Mode::Cut);
        endpoint.link.set(Mode::Pass);
        replica.register(&self.store, endpoint.link.address());
        endpoint.replica = replica;
        Ok(())
    }

    /// Starts the daemon of a VM again.
    pub fn start_vm(&self, vm: usize) -> std::io::Result<()> {
        self.vms[vm].start(&self.builds)
    }

    /// Returns the builds of the daemons that were started last, by VM.
    pub fn current_builds(&self) -> Vec<Build> {
        self.vms.iter().map(|vm| vm.build(&self.builds)).collect()
    }

    /// Kills the daemon of a VM and starts it again with additional lines of settings.
    pub fn restart_vm_with(&self, vm: usize, settings: &str) -> std::io::Result<()> {
        let vm = &self.vms[vm];
        vm.kill();
        let text = std::fs::read_to_string(&vm.settings_path)?;
        std::fs::write(&vm.settings_path, text + settings)?;
        vm.start(&self.builds)
    }

    fn start_replica(&mut self, service: &str) -> std::io::Result<Replica> {
        self.replicas_started += 1;
        let weight_version =
            if service == MODEL_SERVICE { self.declarations.weight_version } else { 0 };
        let id = format!("i-{:04}", self.replicas_started);
        let spec =
            ReplicaSpec { id, service: service.into(), weight_version, drain_period: DRAIN_PERIOD };
        Replica::bind(LOOPBACK_ANY_PORT, spec, self.execution_log.clone())
    }
}

impl Declarations {
    fn config_row(&self) -> Value {
        let route = |name: &str, prefix: &str, kind: &str, service: &str, overrides: &Value| {
            let mut route = json!({
                "name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
                "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "max_attempts": 2,
                "public": false, "resumable": false,
            });
            if let (Some(route), Some(overrides)) = (route.as_object_mut(), overrides.as_object()) {
                route.extend(overrides.clone());
            }
            route
        };
        let single_attempt = json!({ "max_attempts": 1 });
        let mut routes = vec![
            route("read", "/read/", "safe", PLAIN_SERVICE, &json!({})),
            route("hold", "/hold/", "unsafe", PLAIN_SERVICE, &single_attempt),
            route("pour", "/pour/", "streaming", PLAIN_SERVICE, &single_attempt),
            route("flow", "/flow/", "streaming", MODEL_SERVICE, &single_attempt),
            route("resume", "/resume/", "streaming", MODEL_SERVICE, &json!({ "resumable": true })),
        ];
        routes.extend(
            self.extra_prefixes
                .iter()
                .map(|p| route(&p[1..], p, "safe", PLAIN_SERVICE, &json!({}))),
        );
        let keys: Vec<&str> =
            self.extra_keys.iter().map(String::as_str).chain(std::iter::once(API_KEY)).collect();
        json!({
            "version": self.config_version, "routes": routes,
            "services": [
                { "name": MODEL_SERVICE, "max_connections": 500, "engine": {
                    "slots": 32, "kv_capacity_tokens": 100_000, "kv_token_bytes": 35136,
                    "models": [{ "name": MODEL }] } },
                { "name": PLAIN_SERVICE, "max_connections": 500 },
            ],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": self.max_body_bytes.unwrap_or(65_536),
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
            "tenants": [{ "name": ACCOUNT, "api_keys": keys, "priority": 1 }],
        })
    }
}

impl Vm {
    /// Returns whether the daemon reports that it is ready for calls.
    pub async fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        send(Method::GET, self.readiness_address, "/readiness", &[], "", limit).await.status == 200
    }

    /// Sends a signal to the daemon's process, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &*self.process.borrow() {
            // Sending fails only if the process has exited, and then no signal is needed.
            let _ = kill(Pid::from_raw(child.id().cast_signed()), signal);
        }
    }

    /// Returns what the daemon's processes have logged so far.
    pub fn log(&self) -> String {
        let log = std::fs::read(&self.log_path).unwrap_or_default();
        String::from_utf8_lossy(&log).into_owned()
    }

    /// Returns the id of the daemon's process; `None` if there is none.
    pub fn pid(&self) -> Option<u32> {
        self.process.borrow().as_ref().map(Child::id)
    }

    fn kill(&self) {
        if let Some(child) = &mut *self.process.borrow_mut() {
            // Both calls fail only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the daemon's process has exited.
    pub fn has_ended(&self) -> bool {
        self.process.borrow().is_none() || self.exit_status().is_some()
    }

    /// Returns the exit status of the daemon's process; `None` while the process runs or if
    /// there is none.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        // Waiting for a child process fails only if it does not exist.
        self.process.borrow_mut().as_mut()?.try_wait().ok().flatten()
    }

    /// Returns the build of the daemon that was started last.
    fn build(&self, builds: &Builds) -> Build {
        builds.of_start(self.starts.get().saturating_sub(1)).1
    }

    fn start(&self, builds: &Builds) -> std::io::Result<()> {
        let (daemon, _) = builds.of_start(self.starts.replace(self.starts.get() + 1));
        let log = File::options().create(true).append(true).open(&self.log_path)?;
        let mut command = Command::new(daemon);
        command.arg("--settings").arg(&self.settings_path).stdin(Stdio::null());
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        *self.process.borrow_mut() = Some(child);
        Ok(())
    }

    fn settings_text(&self, index: usize, control_addresses: &[SocketAddr]) -> String {
        let seeds: Vec<String> = control_addresses.iter().map(ToString::to_string).collect();
        let zone = ["laguna", "batangas", "pampanga"][index % 3];
        format!(
            "node_name=front-{index}\nrole=daemon\nip={}\nzone={zone}\n\
             listen.front={}\nlisten.readiness={}\nlisten.control={}\nlisten.metrics={}\n\
             seeds={}\nheartbeat_ms=400\nbounds.grace_s=8\nbounds.drain_ms={}\n\
             bounds.budget_extra=54\nbounds.retry_budget_ratio=0.2\nbounds.version_ms=12000\n\
             provider.address={}\n",
            self.caller_address.ip(),
            self.caller_address,
            self.readiness_address,
            self.control_address,
            self.metrics_address,
            seeds.join(","),
            DRAIN_PERIOD.as_millis(),
            self.store_link.address(),
        )
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        self.kill();
    }
}

/// Returns a loopback address derived from this process's id, so that two processes on a machine
/// do not start daemons at the same address. A restarted daemon listens on the same ports again,
/// so another process must not take them in the meantime.
fn process_address() -> IpAddr {
    let [_, high, mid, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, mid, low).into()
}
