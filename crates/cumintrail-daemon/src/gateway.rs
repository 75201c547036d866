//! A daemon that relays calls on a platform with a change feed and a registry of targets;
//! docs/PLATFORM.md.

mod follow;
mod follower;
mod orders;
mod parts;
mod peers;
mod publish;
mod reach;
mod serve_feed;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use actix_server::ServerHandle;
use cumintrail_client::{Feed, PartsStore, Table, TargetOrders};
use cumintrail_config::Settings;
use cumintrail_control::cold::ColdTolerance;
use cumintrail_control::home_regions::Regions;
use cumintrail_control::placement::AffinityPlacer;
use cumintrail_control::registry::EntryChange;
use cumintrail_control::retry::RetryPolicy;
use cumintrail_control::{Control, Event, Identity};
use cumintrail_types::{Clock, Generation, Incarnation, Moment};
use rand::Rng;
use snafu::ResultExt;

use crate::daemon::{ListenSnafu, ServeSnafu, SpawnError};
use crate::held::{HeldAccount, HeldLimits};
use crate::relay::{HeaderDialect, Listeners, MonitoringEndpoint, Relay};
use crate::shared::Shared;
use crate::{control_thread, operators, table};

pub use self::publish::OperatorChange;
use self::publish::Update;
pub use self::serve_feed::reply as feed_reply;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time for the responses to calls that the end of a planned stop interrupts.
const FINAL_RESPONSE_PERIOD: Duration = Duration::from_millis(300);

/// Adapts the daemon to a platform with a change feed.
pub trait Platform: Clone + Send + 'static {
    /// Reads tables, writes rows, sends orders and accesses managed stores, from one thread.
    type Client: Feed + Table + TargetOrders + PartsStore + 'static;
    /// Translates the headers of calls and responses.
    type Dialect: HeaderDialect;

    /// Opens a client for the current thread.
    fn open(&self) -> Self::Client;
    /// Returns the translation of headers.
    fn dialect(&self) -> Self::Dialect;
    /// Parses a row of the operator table; a `value` of `None` means that the row was removed.
    fn operator_change(&self, key: &str, value: Option<&[u8]>) -> OperatorChange;
    /// Parses a row of the registry; a `value` of `None` means that the row was removed.
    fn target_change(&self, key: &str, value: Option<&[u8]>) -> EntryChange;
}

/// Configures a gateway beyond its settings.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The address on which the balancer checks readiness.
    pub readiness_address: Option<SocketAddr>,
    /// The address on which metrics are served without a key.
    pub metrics_address: Option<SocketAddr>,
    /// The address on which this daemon handles calls of peers that reach no target.
    pub detour_address: Option<SocketAddr>,
    /// The limit on retries that this daemon adds to its calls.
    pub retry_policy: RetryPolicy,
    /// The tolerance of cold targets beyond the rate that their service declares; without it, they
    /// are sent requests like others.
    pub cold_tolerance: Option<ColdTolerance>,
    /// The time after the announcement of a weight version within which calls may begin on older ones.
    pub weights_bound: Duration,
    /// The interval at which targets write their entries of the registry.
    pub heartbeat_interval: Duration,
    /// Whether calls leave failure domains in which no target is reached.
    pub domain_failover: bool,
    /// The time within which a change on the platform must be in force; daemons follow readers only
    /// where that leaves enough time for it.
    pub apply_limit: Duration,
    /// How long a planned stop waits for open calls, counted from its start; calls that are open then
    /// are refused.
    pub stop_limit: Duration,
    /// The regions of failure domains, to which calls may be restricted.
    pub regions: Regions,
    /// The processor share of the VM, in thousandths of a core; zero if unknown.
    pub processor_share: u16,
    /// Limits what the daemon holds for callers and peers.
    pub held_limits: HeldLimits,
    /// The clock that measures leases and the age of received data.
    pub clock: Clock,
}

/// Runs the daemon of one entry VM on a platform with a change feed.
pub struct Gateway {
    shared: Arc<Shared>,
    relay: Relay,
    server: ServerHandle,
    arbiters: [Arbiter; 2],
    stop_limit: Duration,
}

impl Gateway {
    /// Starts all threads within the running actix system.
    pub fn spawn<P: Platform>(
        settings: Settings,
        options: &GatewayOptions,
        platform: &P,
    ) -> Result<Self, SpawnError> {
        let callers = listen(options.caller_address, "callers")?;
        let mut monitoring_listeners = Vec::new();
        for (endpoint, at) in [
            (MonitoringEndpoint::Readiness, options.readiness_address),
            (MonitoringEndpoint::Metrics, options.metrics_address),
        ] {
            if let Some(at) = at {
                monitoring_listeners.push((endpoint, listen(at, "probes")?));
            }
        }
        let detours = options.detour_address.map(|at| listen(at, "detours")).transpose()?;
        let operators = listen(settings.operator_address, "operator_address")?;
        let operator_address = operators.local_addr().unwrap_or(settings.operator_address);

        let clock = options.clock;
        let incarnation = Incarnation(rand::rng().random_range(1..u64::MAX));
        let identity = Identity {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            incarnation,
            address: settings.peer_address.unwrap_or(operator_address),
            probe_interval: settings.probe_interval,
            digest_interval: settings.digest_interval,
            processor_share: options.processor_share,
        };
        let mut control = Control::with_placer(identity, rand::rng().random(), AffinityPlacer);
        control.follow_registry(settings.block_secret.expose());
        let detour_port = detours.as_ref().and_then(|l| l.local_addr().ok()).map(|at| at.port());
        control.set_detour_port(detour_port.unwrap_or_default());
        control.set_retry_policy(options.retry_policy);
        control.set_cold_tolerance(options.cold_tolerance);
        control.set_weights_bound(options.weights_bound);
        control.set_heartbeat_interval(options.heartbeat_interval);
        if options.domain_failover {
            control.fail_over_domains();
        }
        control.set_regions(options.regions.clone());
        if let Some(own) = options.regions.own() {
            log::info!("event=regions own={own} domains={}", options.regions.len());
        }
        if options.apply_limit >= follower::MAX_APPLY_DELAY {
            control.allow_following();
        }
        let (link, inbox) = control_thread::channel(settings.control_queue);
        let (actions_tx, actions_rx) = tokio::sync::mpsc::unbounded_channel();
        let (table_writer, _) = table::channel();
        let shared =
            Shared::new(settings, incarnation, operator_address, link, table_writer, clock);
        let shared = Arc::new(shared);
        shared.await_software_history(true);

        let control_arbiter = Arbiter::new();
        control_arbiter.spawn(control_thread::run(inbox, control, clock, actions_tx));
        let background = Arbiter::new();
        let (for_background, for_feeds) = (shared.clone(), platform.clone());
        let apply_limit = options.apply_limit;
        background.spawn_fn(move || {
            actix_rt::spawn(orders::run(for_background, for_feeds, apply_limit, actions_rx));
        });
        let held = HeldAccount::new(options.held_limits);
        let listeners = Listeners { callers, detours, monitoring: monitoring_listeners };
        let relay = Relay::spawn(listeners, &shared, &held, &platform.dialect());
        let relay = relay.context(ServeSnafu)?;
        let server = operators::serve(operators, shared.clone(), Some(held)).context(ServeSnafu)?;
        log::info!("event=start vm={} callers={}", shared.settings.vm, relay.address());
        let (arbiters, stop_limit) = ([control_arbiter, background], options.stop_limit);
        Ok(Self { shared, relay, server, arbiters, stop_limit })
    }

    /// Returns the address on which callers connect.
    pub const fn caller_address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the address on which operators and peers connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.shared.operator_address
    }

    /// Returns the generation in force, or zero before the first.
    pub fn generation(&self) -> Generation {
        self.shared.generation()
    }

    /// Returns whether the daemon accepts calls.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Performs a planned stop: reports that it is not ready, waits for the balancer, closes idle
    /// connections, and ends once no call is open. Calls that are open after `stop_limit` are refused.
    pub async fn stop(self) {
        let shared = &self.shared;
        let started = shared.now();
        log::info!("event=stop vm={} open_calls={}", shared.settings.vm, self.relay.open_calls());
        let deadline = started + self.stop_limit;
        shared.begin_stop();
        shared.control.send(Event::StopAnnounced { end: deadline }).await;
        let grace = shared.settings.stop_grace;
        actix_rt::time::sleep(grace.min(self.stop_limit)).await;
        // By now, the balancer sends no new connections; closing idle ones makes callers reconnect.
        self.relay.close_idle();
        shared.control.send(Event::Stopping).await;
        self.await_calls(deadline).await;
        let interrupted = self.relay.open_calls();
        // The control thread refuses the calls that were sent or wait to be.
        self.relay.end_calls();
        self.await_calls(deadline + FINAL_RESPONSE_PERIOD).await;
        let (open, took) = (self.relay.open_calls(), shared.now().since(started));
        let took = took.as_millis();
        log::info!("event=stopped interrupted={interrupted} open_calls={open} took_ms={took}");
        self.relay.stop();
        self.server.stop(false).await;
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }

    /// Waits until no call is open, at most until `end`.
    async fn await_calls(&self, end: Moment) {
        while self.relay.open_calls() > 0 && self.shared.now() < end {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

fn listen(address: SocketAddr, setting: &'static str) -> Result<TcpListener, SpawnError> {
    let bound = || -> io::Result<TcpListener> { TcpListener::bind(address) };
    bound().context(ListenSnafu { address, setting })
}
