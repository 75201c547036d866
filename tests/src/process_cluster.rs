//! A deployment whose daemons are separate processes, so that tests can kill and pause them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_wire::platform::{ListedRole, ListedVm};

use crate::cluster::{Cluster, ClusterError, LOOPBACK, Plan, domain, settings_text};
use crate::http::send;
use crate::process::Process;

const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins in this process, with daemons as child processes.
pub struct ProcessCluster {
    /// The stand-ins; this cluster has no daemons of its own.
    pub cluster: Cluster,
    /// The daemon processes.
    pub daemons: Vec<Process>,
    settings: tempfile::TempDir,
    edit_settings: fn(String) -> String,
}

impl ProcessCluster {
    /// Starts the stand-ins and the daemons; `edit` changes the declarations before the daemons
    /// start.
    pub async fn spawn(
        binary: &str,
        plan: &Plan,
        edit: impl FnOnce(String) -> String,
    ) -> Result<Self, ClusterError> {
        Self::spawn_with(binary, plan, edit, |settings| settings).await
    }

    /// Like [`Self::spawn`]; `edit_settings` changes the settings of each daemon.
    pub async fn spawn_with(
        binary: &str,
        plan: &Plan,
        edit: impl FnOnce(String) -> String,
        edit_settings: fn(String) -> String,
    ) -> Result<Self, ClusterError> {
        let cluster = Cluster::spawn(&Plan { daemons: 0, ..*plan }).await?;
        let declared = std::fs::read_to_string(cluster.declarations.path().join("deployment.ini"))?;
        cluster.reapply(&edit(declared)).await?;
        let mut started =
            Self { cluster, daemons: Vec::new(), settings: tempfile::tempdir()?, edit_settings };
        for index in 0..plan.daemons {
            let process = Process::daemon(binary, &started.write_settings(index, LOOPBACK)?)?;
            started.daemons.push(process);
        }
        started.list_vms();
        started.wait_ready().await?;
        Ok(started)
    }

    /// Returns the caller address of daemon `index`.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.daemons[index].addresses[0]
    }

    /// Returns the operator address of daemon `index`, which peers use too.
    pub fn operators(&self, index: usize) -> SocketAddr {
        self.daemons[index].addresses[1]
    }

    /// Kills daemon `index` with SIGKILL and starts it again on the same operator address.
    pub async fn restart(&mut self, binary: &str, index: usize) -> Result<(), ClusterError> {
        let operators = self.operators(index);
        self.daemons[index].signal(nix::sys::signal::Signal::SIGKILL);
        let _ = self.daemons[index].wait(READY_TIMEOUT);
        let settings = self.write_settings(index, operators)?;
        self.daemons[index] = Process::daemon(binary, &settings)?;
        self.wait_ready().await
    }

    fn write_settings(&self, index: usize, operators: SocketAddr) -> std::io::Result<PathBuf> {
        let platform = self.cluster.platform.address();
        let path = self.settings.path().join(format!("vm-{index}.ini"));
        let text = settings_text(index, LOOPBACK, operators, platform, &[]);
        std::fs::write(&path, (self.edit_settings)(text))?;
        Ok(path)
    }

    fn list_vms(&self) {
        let listed = (0..self.daemons.len()).map(|index| ListedVm {
            address: self.operators(index),
            domain: domain(index),
            role: ListedRole::Daemon,
            leaving: false,
        });
        self.cluster.platform.list_vms(listed.collect());
    }

    async fn wait_ready(&self) -> Result<(), ClusterError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for index in 0..self.daemons.len() {
            while !self.is_ready(index).await {
                if Instant::now() > deadline {
                    return Err(ClusterError::NotReady);
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Returns whether the readiness endpoint of daemon `index` responds with status 200.
    pub async fn is_ready(&self, index: usize) -> bool {
        let at = self.callers(index);
        send(Method::GET, at, "/readyz", &[], "", Duration::from_secs(1)).await.status == 200
    }
}
