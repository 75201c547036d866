//! State shared by all threads of a daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use cumintrail_config::{Settings, Snapshot};
use cumintrail_control::feed::{FeedLog, OwnReads, ReaderAssignment};
use cumintrail_control::membership::VersionedVmList;
use cumintrail_control::once::OperationKeySigner;
use cumintrail_types::{CallKey, Clock, Generation, Incarnation, KeyChain, Moment, WeightVersion};
use cumintrail_wire::configuration::Configuration;
use tokio::sync::watch;

use crate::control_thread::ControlLink;
use crate::platform_contact::PlatformContact;
use crate::table::{TableBreaker, WriterHandle};

/// Describes a configuration that is in force.
#[derive(Debug)]
pub struct AdoptedConfiguration {
    /// The validated configuration.
    pub snapshot: Arc<Snapshot>,
    /// The configuration that the snapshot was built from, in the form that peers receive.
    pub configuration: Configuration,
}

/// Describes a higher generation that a peer has in force.
#[derive(Debug, Clone, Copy)]
pub struct NewerGeneration {
    /// The peer's generation.
    pub generation: Generation,
    /// The peer's operator address.
    pub from: SocketAddr,
}

/// Describes why this daemon could not put a committed generation in force.
#[derive(Debug)]
pub struct AdoptionFailure {
    /// The committed generation.
    pub generation: Generation,
    /// The problems found when its snapshot was built.
    pub reason: String,
}

/// Stores the state that the threads of one daemon share.
#[derive(Debug)]
pub struct Shared {
    /// The settings of this VM.
    pub settings: Settings,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The address on which operators and peers are served, as bound.
    pub operator_address: SocketAddr,
    /// Sends events and calls to the control thread.
    pub control: ControlLink,
    /// The last reported higher generation of a peer; a change wakes the configuration task.
    pub newer_generation: watch::Sender<Option<NewerGeneration>>,
    /// The weight versions in the last peer digest, where versions are announced separately from
    /// the configuration.
    pub announced_versions: watch::Sender<Vec<(Arc<str>, WeightVersion)>>,
    /// The readers that this daemon follows.
    pub reader_assignment: watch::Sender<ReaderAssignment>,
    /// What this daemon reads itself.
    pub own_reads: watch::Sender<OwnReads>,
    /// Counts the changes of tables in the feed log; a change wakes the requests of followers.
    pub feed_changes: watch::Sender<u64>,
    /// Issues and verifies operation keys.
    pub operation_key_signer: OperationKeySigner,
    /// When the platform last responded, and whether the last exchange failed.
    pub platform_contact: PlatformContact,
    /// Decides whether calls with idempotency keys may use the table.
    pub table_breaker: TableBreaker,
    /// Sends records to the table writer.
    pub table_writer: WriterHandle,
    clock: Clock,
    adopted: ArcSwapOption<AdoptedConfiguration>,
    adoption_failure: ArcSwapOption<AdoptionFailure>,
    vm_list: Mutex<VersionedVmList>,
    stopping: AtomicBool,
    /// Whether the record of recent software versions is still to be read for the first time.
    awaits_software_history: AtomicBool,
    next_call_key: AtomicU64,
    pending_outcomes: AtomicUsize,
    pending_bytes: AtomicUsize,
    feed_log: Mutex<FeedLog>,
}

/// Counts a call whose outcome is still to be recorded, until the value is dropped.
pub struct PendingOutcome {
    shared: Arc<Shared>,
    bytes: usize,
}

impl PendingOutcome {
    /// Adds a call to the count.
    pub fn begin(shared: &Arc<Shared>) -> Self {
        shared.pending_outcomes.fetch_add(1, Ordering::AcqRel);
        Self { shared: shared.clone(), bytes: 0 }
    }

    /// Adds the bytes of the response to the total of the process and returns whether the total
    /// is at most `limit`; the bytes are counted in both cases.
    pub fn add_bytes(&mut self, bytes: usize, limit: usize) -> bool {
        let previous = self.shared.pending_bytes.fetch_add(bytes, Ordering::AcqRel);
        self.bytes += bytes;
        previous + bytes <= limit
    }
}

impl Drop for PendingOutcome {
    fn drop(&mut self) {
        self.shared.pending_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
        self.shared.pending_outcomes.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Makes the shared state of a daemon that has no configuration yet.
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
            reader_assignment: watch::Sender::new(ReaderAssignment::default()),
            own_reads: watch::Sender::new(OwnReads {
                tables: true,
                stores: true,
                reader_count: 1,
                domain_daemons: 1,
                ..OwnReads::default()
            }),
            feed_changes: watch::Sender::new(0),
            platform_contact: PlatformContact::default(),
            table_breaker: TableBreaker::default(),
            table_writer,
            clock,
            adopted: ArcSwapOption::empty(),
            adoption_failure: ArcSwapOption::empty(),
            vm_list: Mutex::default(),
            stopping: AtomicBool::new(false),
            awaits_software_history: AtomicBool::new(false),
            next_call_key: AtomicU64::new(1),
            pending_outcomes: AtomicUsize::new(0),
            pending_bytes: AtomicUsize::new(0),
            feed_log: Mutex::new(FeedLog::new(incarnation)),
        }
    }

    /// Returns the tables and lists of parts that this daemon knows, with their recent changes.
    pub fn feed_log(&self) -> MutexGuard<'_, FeedLog> {
        self.feed_log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of calls whose outcome is still to be recorded.
    pub fn pending_outcomes(&self) -> usize {
        self.pending_outcomes.load(Ordering::Acquire)
    }

    /// Returns the address at which peers reach this daemon.
    pub fn peer_address(&self) -> SocketAddr {
        self.settings.peer_address.unwrap_or(self.operator_address)
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the configuration in force, or `None` before the first.
    pub fn adopted(&self) -> Option<Arc<AdoptedConfiguration>> {
        self.adopted.load_full()
    }

    /// Returns the validated configuration in force, or `None` before the first.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.adopted.load().as_ref().map(|a| a.snapshot.clone())
    }

    /// Returns the generation in force, or zero before the first.
    pub fn generation(&self) -> Generation {
        self.adopted.load().as_ref().map_or(Generation(0), |a| a.snapshot.generation)
    }

    /// Returns the configuration in force in the form that peers receive; its generation is zero
    /// before the first.
    pub fn configuration(&self) -> Configuration {
        self.adopted().map(|a| a.configuration.clone()).unwrap_or_default()
    }

    /// Returns the last recorded failure to put a committed generation in force.
    pub fn adoption_failure(&self) -> Option<Arc<AdoptionFailure>> {
        self.adoption_failure.load_full()
    }

    /// Returns the last generation that could not be put in force, or zero.
    pub fn failed_generation(&self) -> Generation {
        self.adoption_failure.load().as_ref().map_or(Generation(0), |n| n.generation)
    }

    /// Records a generation that cannot be put in force; `None` clears the record.
    pub fn set_adoption_failure(&self, adoption_failure: Option<AdoptionFailure>) {
        self.adoption_failure.store(adoption_failure.map(Arc::new));
    }

    /// Records a peer's generation and wakes the configuration task if the generation is higher
    /// than both the one in force and the last one that failed.
    pub fn record_peer_generation(&self, generation: Generation, from: SocketAddr) {
        if generation > self.generation().max(self.failed_generation()) {
            self.newer_generation.send_replace(Some(NewerGeneration { generation, from }));
        }
    }

    /// Puts a configuration in force; only the configuration tasks call this.
    pub fn adopt(&self, adopted: Arc<AdoptedConfiguration>) {
        self.adopted.store(Some(adopted));
    }

    /// Returns the newest VM list read from the platform or received from a peer.
    pub fn vm_list(&self) -> MutexGuard<'_, VersionedVmList> {
        // Updates set the sequence number last, so a panic of a lock holder leaves the old number
        // and the next newer list is applied.
        self.vm_list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the load balancer should send calls to this daemon.
    pub fn is_ready(&self) -> bool {
        let awaits_history = self.awaits_software_history.load(Ordering::Acquire);
        !self.is_stopping() && self.adopted.load().is_some() && !awaits_history
    }

    /// Sets whether readiness waits for the first read of the record of recent software versions,
    /// without which resumed streams are refused.
    pub fn await_software_history(&self, awaits: bool) {
        self.awaits_software_history.store(awaits, Ordering::Release);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Marks the daemon as stopping, so that it is no longer ready.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns the key of a new call, unique within this incarnation of the daemon.
    pub fn next_call_key(&self) -> CallKey {
        CallKey(self.next_call_key.fetch_add(1, Ordering::Relaxed))
    }

    /// Starts the chain of block keys of an account's prompts for one model and weight version.
    pub fn key_chain(&self, account: &str, model: &str, version: WeightVersion) -> KeyChain {
        let secret = format!("{}\0{account}", self.settings.block_secret.expose());
        KeyChain::new(secret.as_bytes(), model, "", version)
    }

    /// Returns the id of a call, unique across daemons and their restarts.
    pub fn call_id(&self, call: CallKey) -> String {
        format!("{}-{:x}-{}", self.settings.vm, self.incarnation.0, call)
    }
}
