//! Starts and stops the threads of a daemon.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use actix_server::ServerHandle;
use cumintrail_config::Settings;
use cumintrail_control::{Control, Event, Identity};
use cumintrail_types::{Clock, Generation, Incarnation};
use rand::Rng;
use snafu::{ResultExt, Snafu};

use crate::shared::Shared;
use crate::{background, callers, control_thread, operators, table};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the last response in which callers that return at once still receive a refusal.
const FINAL_REFUSAL_PERIOD: Duration = Duration::from_millis(500);

/// Reports why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SpawnError {
    /// The daemon cannot listen on an address.
    #[snafu(display("cannot listen on {address}; check `{setting}` in the settings: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The setting that contains the address.
        setting: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The HTTP server of a bound listener cannot start.
    #[snafu(display("cannot serve a listener; raise the limit of open files: {source}"))]
    Serve {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Runs the daemon of one entry VM.
pub struct Daemon {
    shared: Arc<Shared>,
    caller_address: SocketAddr,
    servers: [ServerHandle; 2],
    arbiters: [Arbiter; 3],
}

impl Daemon {
    /// Starts all threads of a daemon within the running actix system.
    pub fn spawn(settings: Settings) -> Result<Self, SpawnError> {
        let callers = listen(settings.caller_address, "caller_address")?;
        let operators = listen(settings.operator_address, "operator_address")?;
        let caller_address = bound_address(&callers, settings.caller_address);
        let operator_address = bound_address(&operators, settings.operator_address);

        let clock = Clock::start();
        let incarnation = Incarnation(rand::rng().random_range(1..u64::MAX));
        let identity = Identity {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            incarnation,
            address: settings.peer_address.unwrap_or(operator_address),
            probe_interval: settings.probe_interval,
            digest_interval: settings.digest_interval,
            processor_share: 0,
        };
        let mut control = Control::new(identity, rand::rng().random());
        control.enable_platform_reads(settings.config_poll_interval);
        let (link, inbox) = control_thread::channel(settings.control_queue);
        let (actions_tx, actions_rx) = tokio::sync::mpsc::unbounded_channel();
        let (table_writer, table_inbox) = table::channel();
        let shared =
            Shared::new(settings, incarnation, operator_address, link, table_writer, clock);
        let shared = Arc::new(shared);

        let control_arbiter = Arbiter::new();
        control_arbiter.spawn(control_thread::run(inbox, control, clock, actions_tx));
        let background_arbiter = Arbiter::new();
        let for_background = shared.clone();
        background_arbiter.spawn_fn(move || {
            actix_rt::spawn(background::run(for_background, actions_rx));
        });
        let table_arbiter = Arbiter::new();
        let for_writer = shared.clone();
        table_arbiter.spawn_fn(move || {
            actix_rt::spawn(table::run(for_writer, table_inbox));
        });

        let servers = [
            callers::serve(callers, shared.clone()).context(ServeSnafu)?,
            operators::serve(operators, shared.clone(), None).context(ServeSnafu)?,
        ];
        log::info!("vm {} serves callers on {caller_address}", shared.settings.vm);
        Ok(Self {
            shared,
            caller_address,
            servers,
            arbiters: [control_arbiter, background_arbiter, table_arbiter],
        })
    }

    /// Returns the address on which the daemon serves callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address on which the daemon serves operators and peers.
    pub fn operator_address(&self) -> SocketAddr {
        self.shared.operator_address
    }

    /// Returns the generation in force, or zero before the first.
    pub fn generation(&self) -> Generation {
        self.shared.generation()
    }

    /// Returns whether a configuration is in force and no planned stop has begun.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Stops gracefully: the daemon first reports that it is not ready, refuses new calls after
    /// `stop_grace`, and then waits at most `drain_limit` for the calls in flight. Calls that must
    /// not be repeated are refused from the start if their deadline lies after that, and calls that
    /// are open then are refused.
    pub async fn stop(self) {
        let settings = &self.shared.settings;
        log::info!("vm {} begins a planned stop", settings.vm);
        self.shared.begin_stop();
        let deadline = self.shared.now() + settings.stop_grace + settings.drain_limit;
        self.shared.control.send(Event::StopAnnounced { end: deadline }).await;
        actix_rt::time::sleep(settings.stop_grace).await;
        self.shared.control.send(Event::Stopping).await;

        // The control thread refuses the calls that are open at the deadline.
        let deadline = deadline + FINAL_REFUSAL_PERIOD;
        while !self.is_drained().await && self.shared.now() < deadline {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        log::info!("vm {} has no call in flight", settings.vm);
        self.shared.table_writer.flush_index().await;
        actix_rt::time::sleep(FINAL_REFUSAL_PERIOD).await;
        let [callers, operators] = &self.servers;
        callers.stop(true).await;
        // Peers keep using their connections, so a graceful stop would only run into its timeout.
        operators.stop(false).await;
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }

    /// Returns whether no call is in flight and no outcome remains to be recorded.
    async fn is_drained(&self) -> bool {
        self.shared.control.calls_in_flight().await == 0 && self.shared.pending_outcomes() == 0
    }
}

fn listen(address: SocketAddr, setting: &'static str) -> Result<TcpListener, SpawnError> {
    TcpListener::bind(address).context(ListenSnafu { address, setting })
}

fn bound_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}
