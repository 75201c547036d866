//! A deployment for failure tests: daemons are separate processes, and each link has a relay.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_cli::OperatorClient;
use cumintrail_config::Secret;
use cumintrail_types::Generation;
use cumintrail_wire::caller::{Completion, CompletionRequest, RefusalBody, STREAM_END, UsageBody};
use cumintrail_wire::operator::Status;
use cumintrail_wire::platform::{ListedRole, ListedVm};
use nix::sys::signal::Signal;

use crate::cluster::{
    ClusterError, LOOPBACK, OPERATOR_KEY, Plan, declare, domain, eventually, settings_text, write,
};
use crate::http::{ClientResponse, send};
use crate::process::Process;
use crate::standins::engine::{Engine, Limits};
use crate::standins::platform::Platform;
use crate::standins::relay::{Mode, Relay};
use crate::standins::service::Service;
use crate::standins::store::Store;

/// The longest time that the requirements allow until a committed configuration is in force.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Upper bound on waiting for a response; no check depends on a faster response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One daemon process with the relays of its links.
pub struct Vm {
    /// The daemon process.
    pub process: Process,
    /// The relay to which callers connect.
    pub callers: Relay,
    /// The relay to which peers connect.
    pub peers: Relay,
    /// The relay through which the daemon reaches the platform.
    pub platform: Relay,
    settings: PathBuf,
}

/// A running deployment; its processes and stand-ins end when it is dropped.
pub struct Deployment {
    /// The platform stand-in.
    pub platform: Platform,
    /// The engine stand-ins.
    pub engines: Vec<Engine>,
    /// The relays in front of the engines.
    pub engine_links: Vec<Relay>,
    /// The store stand-ins.
    pub stores: Vec<Store>,
    /// The relays in front of the stores, for daemons and engines.
    pub store_links: Vec<Relay>,
    /// The replicas of the plain service `holds`.
    pub services: Vec<Service>,
    /// The relays in front of the replicas of `holds`.
    pub service_links: Vec<Relay>,
    /// The daemons with their relays.
    pub vms: Vec<Vm>,
    /// The directory with the declarations.
    pub declarations: tempfile::TempDir,
    /// The declarations that were applied first.
    pub text: String,
    /// An operator's client, which bypasses all relays.
    pub access: OperatorClient,
    plan: Plan,
    binary: String,
}

impl Deployment {
    /// Starts all processes and stand-ins, applies the declarations and waits until the daemons are
    /// ready.
    pub async fn spawn(binary: &str, plan: &Plan) -> Result<Self, ClusterError> {
        Self::spawn_with(binary, plan, |text| text).await
    }

    /// Like [`Self::spawn`], with declarations changed by `edit`.
    pub async fn spawn_with(
        binary: &str,
        plan: &Plan,
        edit: impl FnOnce(String) -> String,
    ) -> Result<Self, ClusterError> {
        let platform = Platform::spawn(LOOPBACK, 200, 2)?;
        let at = platform.address();
        let plan = &with_weights(plan, at);
        let engines = (0..plan.engines).map(|_| Engine::spawn(LOOPBACK, 1, plan.engine));
        let engines = engines.collect::<Result<Vec<_>, _>>()?;
        let stores = (0..plan.stores).map(|_| Store::spawn(LOOPBACK, plan.store));
        let stores = stores.collect::<Result<Vec<_>, _>>()?;
        let services = (0..plan.services).map(|_| Service::spawn(LOOPBACK));
        let services = services.collect::<Result<Vec<_>, _>>()?;
        let engine_links = relays(engines.iter().map(Engine::address)).await?;
        let store_links = relays(stores.iter().map(Store::address)).await?;
        let service_links = relays(services.iter().map(Service::address)).await?;

        let [e, s, v] = [&engine_links, &store_links, &service_links]
            .map(|links| links.iter().map(Relay::address).collect::<Vec<_>>());
        let text = edit(declare(plan, &e, &s, &v));
        let declarations = tempfile::tempdir()?;
        write(declarations.path(), &text)?;
        let access = OperatorClient::new(at, at, at, Secret::new(OPERATOR_KEY));
        cumintrail_cli::apply(&access, declarations.path()).await?;

        let vms = spawn_vms(binary, plan.daemons, at, declarations.path()).await?;
        let deployment = Self {
            platform,
            engines,
            engine_links,
            stores,
            store_links,
            services,
            service_links,
            vms,
            declarations,
            text,
            access,
            plan: *plan,
            binary: binary.to_owned(),
        };
        deployment.list_daemons();
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Publishes a VM list that contains exactly the daemons.
    pub fn list_daemons(&self) {
        let listed = self.vms.iter().enumerate().map(|(i, vm)| ListedVm {
            address: vm.peers.address(),
            domain: domain(i),
            role: ListedRole::Daemon,
            leaving: false,
        });
        self.platform.list_vms(listed.collect());
    }

    /// Replaces the declarations and applies them; returns the committed generation.
    pub async fn reapply(&self, text: &str) -> Result<Generation, ClusterError> {
        write(self.declarations.path(), text)?;
        Ok(cumintrail_cli::apply(&self.access, self.declarations.path()).await?)
    }

    /// Kills a daemon if it still runs and starts a new process behind the same relays.
    pub fn restart(&mut self, vm: usize) -> Result<(), ClusterError> {
        let vm = &mut self.vms[vm];
        vm.process.kill();
        vm.process = Process::daemon(&self.binary, &vm.settings)?;
        vm.callers.retarget(vm.process.addresses[0]);
        vm.peers.retarget(vm.process.addresses[1]);
        Ok(())
    }

    /// Kills an engine and starts an empty one behind the same relay address.
    pub async fn replace_engine(&mut self, index: usize) -> Result<(), ClusterError> {
        self.engines[index].server.kill().await;
        self.engines[index] = Engine::spawn(LOOPBACK, 1, self.plan.engine)?;
        self.engine_links[index].retarget(self.engines[index].address());
        Ok(())
    }

    /// Kills a store and starts an empty one behind the same relay address.
    pub async fn replace_store(&mut self, index: usize) -> Result<(), ClusterError> {
        self.stores[index].server.kill().await;
        self.stores[index] = Store::spawn(LOOPBACK, self.plan.store)?;
        self.store_links[index].retarget(self.stores[index].address());
        Ok(())
    }

    /// Sets the mode of a daemon's platform link and of the peer links of all daemons.
    pub fn isolate(&self, vm: usize, mode: Mode) {
        self.vms[vm].platform.set(mode);
        for vm in &self.vms {
            vm.peers.set(mode);
        }
    }

    /// Sets the mode of the links between two daemons, in both directions.
    pub fn set_pair(&self, one: usize, other: usize, mode: Mode) {
        for (from, to) in [(one, other), (other, one)] {
            let source = Some((from, mode)).filter(|_| mode != Mode::Pass);
            self.vms[to].peers.set_source(source);
        }
    }

    /// Reads the status of a daemon, bypassing the relays; `None` if it does not respond.
    pub async fn status(&self, vm: usize) -> Option<Status> {
        let at = self.vms[vm].process.addresses[1];
        self.access.get(at, "/operator/status").await.ok()
    }

    /// Reads the state dump of a daemon, bypassing the relays; `None` if it does not respond.
    pub async fn dump(&self, vm: usize) -> Option<serde_json::Value> {
        let at = self.vms[vm].process.addresses[1];
        self.access.get(at, "/debug/state").await.ok()
    }

    /// Reads the metrics of a daemon, bypassing the relays.
    pub async fn metrics(&self, vm: usize) -> String {
        let at = self.vms[vm].process.addresses[1];
        let key = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", key.as_str())];
        send(Method::GET, at, "/metrics", &headers, "", RESPONSE_TIMEOUT).await.text()
    }

    /// Waits until a daemon has `generation` or a later one in force; returns whether that happened
    /// within `limit`.
    pub async fn in_force(&self, vm: usize, generation: Generation, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            let status = self.status(vm).await;
            if status.is_some_and(|s| s.generation >= generation) {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all daemons have `generation` or a later one in force; returns whether that
    /// happened within [`IN_FORCE_LIMIT`].
    pub async fn in_force_everywhere(&self, generation: Generation) -> bool {
        let started = Instant::now();
        for vm in 0..self.vms.len() {
            let left = IN_FORCE_LIMIT.saturating_sub(started.elapsed());
            if !self.in_force(vm, generation, left).await {
                return false;
            }
        }
        true
    }

    /// Waits until the status of every daemon is ready.
    pub async fn wait_ready(&self) -> Result<(), ClusterError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for vm in 0..self.vms.len() {
            while !self.status(vm).await.is_some_and(|s| s.ready) {
                if Instant::now() > deadline {
                    return Err(ClusterError::NotReady);
                }
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until a daemon's state dump fulfils a condition; returns whether that happened within
    /// `limit`.
    pub async fn until(
        &self,
        vm: usize,
        limit: Duration,
        holds: impl Fn(&serde_json::Value) -> bool,
    ) -> bool {
        let deadline = Instant::now() + limit;
        while !self.dump(vm).await.is_some_and(|dump| holds(&dump)) {
            if Instant::now() > deadline {
                return false;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Sends a prompt, waits until at least `blocks` blocks are stored, evicts all blocks from the
    /// engines and waits until the first daemon knows both; returns whether all steps succeeded.
    pub async fn store_prompt(&self, key: &str, prompt: &str, blocks: usize) -> bool {
        if !self.ask(0, key, prompt, 2).await.whole {
            return false;
        }
        let all_stored = || self.stores.iter().map(|s| s.blocks().len()).sum::<usize>() >= blocks;
        let written = eventually(RESPONSE_TIMEOUT, all_stored).await;
        for engine in &self.engines {
            engine.evict_all();
        }
        let known = |dump: &serde_json::Value| {
            let targets = dump["targets"].as_array().cloned().unwrap_or_default();
            let cached = targets.iter().filter_map(|t| t["blocks"].as_u64()).sum::<u64>();
            cached == 0 && dump["kept_blocks"].as_u64() >= Some(blocks as u64)
        };
        written && self.until(0, RESPONSE_TIMEOUT, known).await
    }

    /// Starts a streamed call and returns once a call at the daemon is in the phase `streaming`.
    pub async fn ask_until_streaming(
        &self,
        vm: usize,
        key: &'static str,
        prompt: &str,
        tokens: u32,
    ) -> actix_rt::task::JoinHandle<Reply> {
        let (at, prompt) = (self.vms[vm].callers.address(), prompt.to_owned());
        let asked = actix_rt::spawn(async move { ask(at, key, &prompt, tokens, true).await });
        let streaming = |dump: &serde_json::Value| {
            let calls = dump["calls"].as_array();
            calls.is_some_and(|calls| calls.iter().any(|c| c["phase"] == "streaming"))
        };
        assert!(
            self.until(vm, RESPONSE_TIMEOUT, streaming).await,
            "no call reached the phase `streaming`"
        );
        asked
    }

    /// Returns the index of the engine that started the most calls.
    pub fn busiest_engine(&self) -> usize {
        let started = |i: &usize| self.engines[*i].started();
        (0..self.engines.len()).max_by_key(started).unwrap_or(0)
    }

    /// Sends a streamed completion request through the callers' relay.
    pub async fn ask(&self, vm: usize, key: &str, prompt: &str, tokens: u32) -> Reply {
        ask(self.vms[vm].callers.address(), key, prompt, tokens, true).await
    }

    /// Sends a call to the service `holds` through the callers' relay.
    pub async fn hold(
        &self,
        vm: usize,
        operation: &str,
        headers: &[(&str, &str)],
    ) -> ClientResponse {
        hold(self.vms[vm].callers.address(), operation, headers).await
    }

    /// Returns how often the replicas of `holds` executed an operation, in total.
    pub fn executions(&self, operation: &str) -> u64 {
        let counts = self.services.iter().map(|s| s.executions().get(operation).copied());
        counts.flatten().sum()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            vm.process.signal(Signal::SIGCONT);
            vm.process.kill();
        }
    }
}

/// Lets engines load weights from the platform's weight store unless the plan names another one.
fn with_weights(plan: &Plan, platform: SocketAddr) -> Plan {
    let weights = plan.engine.weights.or(Some(platform));
    Plan { engine: Limits { weights, ..plan.engine }, ..*plan }
}

async fn relays(to: impl Iterator<Item = SocketAddr>) -> std::io::Result<Vec<Relay>> {
    let mut relays = Vec::new();
    for to in to {
        relays.push(Relay::spawn(LOOPBACK, to).await?);
    }
    Ok(relays)
}

async fn spawn_vms(
    binary: &str,
    count: usize,
    platform: SocketAddr,
    directory: &std::path::Path,
) -> Result<Vec<Vm>, ClusterError> {
    let peers = relays(std::iter::repeat_n(LOOPBACK, count)).await?;
    let addresses: Vec<SocketAddr> = peers.iter().map(Relay::address).collect();
    let mut vms = Vec::new();
    for (i, own) in peers.into_iter().enumerate() {
        let platform = Relay::spawn(LOOPBACK, platform).await?;
        let others: Vec<_> = addresses.iter().copied().filter(|a| *a != own.address()).collect();
        let text = settings_text(i, LOOPBACK, LOOPBACK, platform.address(), &others);
        let announced = format!("peer_address = {}\n[keys]", own.address());
        let settings = directory.join(format!("vm-{i}.settings"));
        std::fs::write(&settings, text.replacen("[keys]", &announced, 1))?;
        let process = Process::daemon(binary, &settings)?;
        let callers = Relay::spawn(LOOPBACK, process.addresses[0]).await?;
        own.retarget(process.addresses[1]);
        vms.push(Vm { process, callers, peers: own, platform, settings });
    }
    Ok(vms)
}

/// The response that a caller received for a prompt.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// The text received so far.
    pub text: String,
    /// The token usage, if it was received.
    pub usage: Option<UsageBody>,
    /// Whether the explicit end of the response was received.
    pub whole: bool,
    /// The refusal, if one was received.
    pub refusal: Option<RefusalBody>,
    /// The HTTP status; zero if no response head was received.
    pub status: u16,
}

/// Sends a completion request to an address.
pub async fn ask(at: SocketAddr, key: &str, prompt: &str, tokens: u32, stream: bool) -> Reply {
    let request = CompletionRequest {
        model: "curd".into(),
        prompt: prompt.to_owned(),
        max_tokens: Some(tokens),
        stream,
    };
    let body = serde_json::to_vec(&request).unwrap_or_default();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
    read_reply(&send(Method::POST, at, "/v1/completions", &headers, body, RESPONSE_TIMEOUT).await)
}

fn read_reply(got: &ClientResponse) -> Reply {
    let mut reply = Reply { status: got.status, refusal: got.json(), ..Reply::default() };
    if let Some(completion) = got.json::<Completion>() {
        reply.record_completion(&completion);
        reply.whole = got.is_complete;
        return reply;
    }
    for data in got.text().lines().filter_map(|line| line.strip_prefix("data: ")) {
        reply.whole |= data == STREAM_END;
        if let Ok(completion) = serde_json::from_str(data) {
            reply.record_completion(&completion);
        }
    }
    reply
}

impl Reply {
    fn record_completion(&mut self, completion: &Completion) {
        self.text.extend(completion.choices.iter().filter_map(|c| c.text.as_deref()));
        self.usage = completion.usage.or(self.usage);
    }

    /// Returns the prompt tokens that were cached or imported instead of computed.
    pub fn reused(&self) -> u32 {
        self.usage.map_or(0, |u| u.cached_tokens + u.imported_tokens)
    }
}

/// Sends a call to the service `holds` at an address.
pub async fn hold(at: SocketAddr, operation: &str, headers: &[(&str, &str)]) -> ClientResponse {
    let bearer = format!("Bearer {}", crate::cluster::CALLER_KEY);
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend(headers);
    let body = operation.to_owned();
    send(Method::POST, at, "/services/holds/place", &all, body, RESPONSE_TIMEOUT).await
}
