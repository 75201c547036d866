//! What all threads of a daemon read.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwapOption;
use cumintrail_config::{Sections, Settings, Snapshot};
use cumintrail_types::{CallKey, Generation, Incarnation, Moment};
use cumintrail_wire::peer::{ChangeRecord, SnapshotRecord};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::contact::Contact;
use crate::control_thread::ControlLink;

/// Holds a configuration that is in force, with what peers may ask of it.
#[derive(Debug)]
pub struct Adopted {
    /// The checked configuration.
    pub snapshot: Arc<Snapshot>,
    /// Its sections.
    pub sections: Sections,
    /// The last changes, oldest first, for peers that lag a little.
    pub recent: VecDeque<ChangeRecord>,
}

impl Adopted {
    /// Returns the whole configuration as a record.
    pub fn to_record(&self) -> SnapshotRecord {
        SnapshotRecord {
            generation: self.snapshot.generation,
            preset: self.snapshot.preset.name.clone(),
            sections: self.sections.0.iter().map(|(n, b)| (n.clone(), b.clone())).collect(),
        }
    }
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
    pub newer_generation: Notify,
    /// When the platform last answered.
    pub platform_contact: Contact,
    clock: Clock,
    adopted: ArcSwapOption<Adopted>,
    stopping: AtomicBool,
    next_call: AtomicU64,
}

impl Shared {
    /// Makes the shared state of a daemon without configuration.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        operator_address: SocketAddr,
        control: ControlLink,
        clock: Clock,
    ) -> Self {
        Self {
            settings,
            incarnation,
            operator_address,
            control,
            newer_generation: Notify::new(),
            platform_contact: Contact::default(),
            clock,
            adopted: ArcSwapOption::empty(),
            stopping: AtomicBool::new(false),
            next_call: AtomicU64::new(1),
        }
    }

    /// Returns the current moment.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn adopted(&self) -> Option<Arc<Adopted>> {
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

    /// Puts a configuration in force; only the configuration task calls this.
    pub fn adopt(&self, adopted: Arc<Adopted>) {
        self.adopted.store(Some(adopted));
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
    pub fn next_call(&self) -> CallKey {
        CallKey(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Makes the id of a call that is unique over daemons and their restarts.
    pub fn call_id(&self, call: CallKey) -> String {
        format!("{}-{:x}-{}", self.settings.vm, self.incarnation.0, call)
    }
}
