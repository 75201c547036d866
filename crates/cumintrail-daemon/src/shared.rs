//! What all threads of a daemon read.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use cumintrail_config::{Settings, Snapshot};
use cumintrail_control::membership::VersionedVmList;
use cumintrail_control::once::OperationKeySigner;
use cumintrail_types::{CallKey, Clock, Generation, Incarnation, KeyChain, Moment, WeightVersion};
use cumintrail_wire::configuration::Configuration;
use tokio::sync::watch;

use crate::control_thread::ControlLink;
use crate::platform_contact::PlatformContact;
use crate::table::{TableBreaker, WriterHandle};

/// Holds a configuration that is in force.
#[derive(Debug)]
pub struct AdoptedConfiguration {
    /// The checked configuration.
    pub snapshot: Arc<Snapshot>,
    /// What it was built from, for peers.
    pub configuration: Configuration,
}

/// Tells which peer has a higher generation.
#[derive(Debug, Clone, Copy)]
pub struct NewerGeneration {
    /// The generation.
    pub generation: Generation,
    /// The peer's operator address.
    pub from: SocketAddr,
}

/// Tells why an accepted generation is not in force here.
#[derive(Debug)]
pub struct AdoptionFailure {
    /// The generation.
    pub generation: Generation,
    /// What is wrong with it.
    pub reason: String,
}

/// Holds what is shared between the threads of one daemon.
#[derive(Debug)]
pub struct Shared {
    /// The daemon's settings.
    pub settings: Settings,
    /// The run of this process.
    pub incarnation: Incarnation,
    /// The operator address as it was bound.
    pub operator_address: SocketAddr,
    /// The way to the control thread.
    pub control: ControlLink,
    /// Wakes the configuration task when a peer has a higher generation.
    pub newer_generation: watch::Sender<Option<NewerGeneration>>,
    /// The weight versions that peers told of, where operators name them apart.
    pub announced_versions: watch::Sender<Vec<(Arc<str>, WeightVersion)>>,
    /// Issues and verifies operation keys.
    pub operation_key_signer: OperationKeySigner,
    /// When the platform last answered.
    pub platform_contact: PlatformContact,
    /// Whether keyed calls may ask the table.
    pub table_breaker: TableBreaker,
    /// The way to the writer of records.
    pub table_writer: WriterHandle,
    clock: Clock,
    adopted: ArcSwapOption<AdoptedConfiguration>,
    adoption_failure: ArcSwapOption<AdoptionFailure>,
    vm_list: Mutex<VersionedVmList>,
    stopping: AtomicBool,
    next_call_key: AtomicU64,
    pending_outcomes: AtomicUsize,
    pending_bytes: AtomicUsize,
    store_limit_daemons: AtomicUsize,
}

/// Counts a call whose outcome is still to be recorded, for as long as it lives.
pub struct PendingOutcome {
    shared: Arc<Shared>,
    bytes: usize,
}

impl PendingOutcome {
    /// Begins to count.
    pub fn begin(shared: &Arc<Shared>) -> Self {
        shared.pending_outcomes.fetch_add(1, Ordering::AcqRel);
        Self { shared: shared.clone(), bytes: 0 }
    }

    /// Counts the bytes of its answer, unless the process then holds more than `limit`.
    pub fn add_bytes(&mut self, bytes: usize, limit: usize) -> bool {
        let held = self.shared.pending_bytes.fetch_add(bytes, Ordering::AcqRel);
        self.bytes += bytes;
        held + bytes <= limit
    }
}

impl Drop for PendingOutcome {
    fn drop(&mut self) {
        self.shared.pending_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
        self.shared.pending_outcomes.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Makes the shared state of a daemon without configuration.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        operator_address: SocketAddr,
        control: ControlLink,
        table_writer: WriterHandle,
        clock: Clock,
    ) -> Self {
        Self {
            operation_key_signer: OperationKeySigner::new(settings.peer_key.expose()),
            settings,
            incarnation,
            operator_address,
            control,
            newer_generation: watch::Sender::new(None),
            announced_versions: watch::Sender::new(Vec::new()),
            platform_contact: PlatformContact::default(),
            table_breaker: TableBreaker::default(),
            table_writer,
            clock,
            adopted: ArcSwapOption::empty(),
            adoption_failure: ArcSwapOption::empty(),
            vm_list: Mutex::default(),
            stopping: AtomicBool::new(false),
            next_call_key: AtomicU64::new(1),
            pending_outcomes: AtomicUsize::new(0),
            pending_bytes: AtomicUsize::new(0),
            store_limit_daemons: AtomicUsize::new(1),
        }
    }

    /// Returns the number of daemons that share what stores allow.
    pub fn store_limit_daemons(&self) -> usize {
        self.store_limit_daemons.load(Ordering::Relaxed)
    }

    /// Notes that number.
    pub fn set_store_limit_daemons(&self, daemons: usize) {
        self.store_limit_daemons.store(daemons, Ordering::Relaxed);
    }

    /// Returns the number of calls whose outcome is still to be recorded.
    pub fn pending_outcomes(&self) -> usize {
        self.pending_outcomes.load(Ordering::Acquire)
    }

    /// Returns where peers reach this daemon.
    pub fn peer_address(&self) -> SocketAddr {
        self.settings.peer_address.unwrap_or(self.operator_address)
    }

    /// Returns the current moment.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn adopted(&self) -> Option<Arc<AdoptedConfiguration>> {
        self.adopted.load_full()
    }

    /// Returns the checked configuration in force.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.adopted.load().as_ref().map(|a| a.snapshot.clone())
    }

    /// Returns the generation in force, or zero.
    pub fn generation(&self) -> Generation {
        self.adopted.load().as_ref().map_or(Generation(0), |a| a.snapshot.generation)
    }

    /// Returns the configuration in force as it travels; generation zero before the first.
    pub fn configuration(&self) -> Configuration {
        self.adopted().map(|a| a.configuration.clone()).unwrap_or_default()
    }

    /// Returns why an accepted generation above the one in force is not adopted.
    pub fn adoption_failure(&self) -> Option<Arc<AdoptionFailure>> {
        self.adoption_failure.load_full()
    }

    /// Returns the highest generation that could not be adopted, or zero.
    pub fn failed_generation(&self) -> Generation {
        self.adoption_failure.load().as_ref().map_or(Generation(0), |n| n.generation)
    }

    /// Notes a generation that cannot be adopted, or that there is none.
    pub fn set_adoption_failure(&self, adoption_failure: Option<AdoptionFailure>) {
        self.adoption_failure.store(adoption_failure.map(Arc::new));
    }

    /// Notes that a peer has `generation`, which wakes the configuration task if it is higher.
    pub fn record_peer_generation(&self, generation: Generation, from: SocketAddr) {
        if generation > self.generation().max(self.failed_generation()) {
            self.newer_generation.send_replace(Some(NewerGeneration { generation, from }));
        }
    }

    /// Puts a configuration in force; only the configuration task calls this.
    pub fn adopt(&self, adopted: Arc<AdoptedConfiguration>) {
        self.adopted.store(Some(adopted));
    }

    /// Returns the VM list as it was last read or heard.
    pub fn vm_list(&self) -> MutexGuard<'_, VersionedVmList> {
        // A holder that panicked left a whole list, since lists are replaced at their end.
        self.vm_list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the balancer should send calls here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.adopted.load().is_some()
    }

    /// Tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Makes the key of a new call.
    pub fn next_call_key(&self) -> CallKey {
        CallKey(self.next_call_key.fetch_add(1, Ordering::Relaxed))
    }

    /// Starts the block keys of an account's prompts for one model and weight version.
    pub fn key_chain(&self, account: &str, model: &str, version: WeightVersion) -> KeyChain {
        let secret = format!("{}\0{account}", self.settings.block_secret.expose());
        KeyChain::new(secret.as_bytes(), model, "", version)
    }

    /// Makes the id of a call that is unique over daemons and their restarts.
    pub fn call_id(&self, call: CallKey) -> String {
        format!("{}-{:x}-{}", self.settings.vm, self.incarnation.0, call)
    }
}
