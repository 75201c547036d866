//! Derives what a daemon may hold for others from the memory and descriptors of its VM.

/// The descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// The divisor of the VM's memory that gives the budget. The rest is for the process's own state, for
/// connections to targets and peers, and for what the allocator does not reuse.
const MEMORY_DIVISOR: usize = 4;
/// The divisor of the VM's memory that gives the budget of incomplete responses, which may use up
/// twice as much.
const RESPONSE_DIVISOR: usize = 8;
/// The smallest share of a response, which a head with many fields fits into.
const MIN_RESPONSE_SHARE: usize = 4 << 10;
/// The smallest budget: a few requests whose bodies and responses are buffered.
const MIN_BUDGET_BYTES: usize = 4 << 20;
/// The smallest number of connections of a port.
const MIN_CONNECTIONS: usize = 8;
/// The most connections of a monitoring port, which a balancer and a collector use.
const MAX_MONITORING_CONNECTIONS: usize = 32;

/// An address at which a daemon accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// Calls of callers.
    Callers,
    /// Calls of peers that reach no target.
    Detours,
    /// Checks of readiness.
    Readiness,
    /// Reads of metrics.
    Metrics,
    /// Operators and peers.
    Control,
}

impl Port {
    /// The number of ports.
    pub const COUNT: usize = 5;
    /// All ports.
    pub const ALL: [Self; Self::COUNT] =
        [Self::Callers, Self::Detours, Self::Readiness, Self::Metrics, Self::Control];

    /// Returns the name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Detours => "detours",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::Control => "control",
        }
    }
}

/// Limits what a daemon holds for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLimits {
    /// The bytes of heads, bodies, unread responses and connections.
    pub bytes: usize,
    /// The bytes that incomplete responses of targets may hold together.
    pub response_bytes: usize,
    /// The bytes that a response may hold beyond that.
    pub response_share: usize,
    /// The connections of a port, by [`Port`].
    connections: [usize; Port::COUNT],
}

impl HeldLimits {
    /// Derives the limits from the memory of a VM in bytes and its number of descriptors.
    ///
    /// Of the descriptors that are not reserved for files, three tenths are for callers and as many
    /// for the targets of their calls, an eighth each for detours, for the control port, and for
    /// connections to peers and the platform. Each port has its own limit, so that a crowd at one
    /// does not keep others away from another.
    pub fn of_vm(memory_bytes: usize, descriptors: usize) -> Self {
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let monitoring = (sockets / 80).min(MAX_MONITORING_CONNECTIONS);
        let connections = Port::ALL.map(|port| match port {
            Port::Callers => sockets * 3 / 10,
            Port::Detours | Port::Control => sockets / 8,
            Port::Readiness | Port::Metrics => monitoring,
        });
        let response_bytes = (memory_bytes / RESPONSE_DIVISOR).max(MIN_BUDGET_BYTES / 2);
        let calls = connections[Port::Callers as usize] + connections[Port::Detours as usize];
        Self {
            response_bytes,
            response_share: (response_bytes / calls.max(1)).max(MIN_RESPONSE_SHARE),
            bytes: (memory_bytes / MEMORY_DIVISOR).max(MIN_BUDGET_BYTES),
            connections: connections.map(|limit| limit.max(MIN_CONNECTIONS)),
        }
    }

    /// Returns the largest number of connections of a port.
    pub const fn connections(&self, port: Port) -> usize {
        self.connections[port as usize]
    }
}
