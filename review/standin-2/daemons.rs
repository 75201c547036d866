//! The daemons of a small deployment, as separate processes, with settings as the platform writes them.

use std::fs::File;
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The program that the deploy file names.
const DAEMON: &str = "target/release/cumintraild-platform";
const ZONES: [&str; 4] = ["laguna", "batangas", "pampanga", "bulacan"];
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The bounds of the deployment that the cases rely on.
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Running daemons, which are killed on drop.
pub struct Daemons {
    children: Vec<Child>,
    /// The addresses for callers.
    pub fronts: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Daemons {
    /// Starts `count` daemons before the store at `store` and waits until all are ready.
    pub fn spawn(count: usize, store: SocketAddr) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = |index: usize| IpAddr::from(Ipv4Addr::new(127, 32 + high, low, 20 + index as u8));
        let ports = free_ports((0..count).map(ip).collect())?;
        let [front, readiness, control, metrics, internal] = ports;
        let at = |index: usize, port: u16| SocketAddr::new(ip(index), port);
        let seeds: Vec<String> =
            (0..count.min(3)).map(|index| at(index, control).to_string()).collect();
        let mut daemons = Self { children: Vec::new(), fronts: Vec::new(), readiness: Vec::new(), folder };
        for index in 0..count {
            let zone = ZONES[index % ZONES.len()];
            let mut settings = format!(
                "node_name=front-{zone}-{index}\nrole=daemon\nnode_class=front\n\
                 serves=front,control\nip={}\nzone={zone}\nregion=luzon\nlisten.front={}\n\
                 listen.readiness={}\nlisten.control={}\nlisten.metrics={}\n\
                 internal_ports={internal},{internal}\nseeds={}\nbootstrap=true\n\
                 provider.address={store}\n",
                ip(index),
                at(index, front),
                at(index, readiness),
                at(index, control),
                at(index, metrics),
                seeds.join(","),
            );
            for zone in ZONES {
                settings += &format!("zones.{zone}=luzon\n");
            }
            settings += SETTINGS;
            let path = daemons.folder.join(format!("vm-{index}.conf"));
            std::fs::write(&path, settings).map_err(|e| e.to_string())?;
            daemons.children.push(spawn_daemon(&daemons.folder, index)?);
            daemons.readiness.push(at(index, readiness));
            daemons.fronts.push(at(index, front));
        }
        let started = Instant::now();
        for index in 0..count {
            while !is_ready(daemons.readiness[index]) {
                if started.elapsed() > READY_TIMEOUT {
                    let log = daemons.log_lines("").join("\n");
                    return Err(format!("daemon {index} is not ready:\n{log}"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(daemons)
    }

    /// Kills a daemon.
    pub fn kill(&mut self, index: usize) {
        let _ = self.children[index].kill();
        let _ = self.children[index].wait();
    }

    /// Starts a killed daemon again with the same settings and waits until it is ready.
    pub fn start(&mut self, index: usize) -> Result<(), String> {
        self.children[index] = spawn_daemon(&self.folder, index)?;
        let started = Instant::now();
        while !is_ready(self.readiness[index]) {
            if started.elapsed() > READY_TIMEOUT {
                return Err(format!("daemon {index} is not ready again"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Returns the lines of all logs that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let logs = (0..self.children.len()).map(|index| self.folder.join(format!("vm-{index}.log")));
        let texts = logs.filter_map(|path| std::fs::read_to_string(path).ok());
        let lines = texts.flat_map(|log| log.lines().map(str::to_string).collect::<Vec<_>>());
        lines.filter(|line| line.contains(text)).collect()
    }

    /// Returns whether all processes still run.
    pub fn are_running(&mut self) -> bool {
        self.children.iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a daemon with its settings file in a folder, and its log there.
fn spawn_daemon(folder: &Path, index: usize) -> Result<Child, String> {
    let path = folder.join(format!("vm-{index}.log"));
    let log = File::options().create(true).append(true).open(path).map_err(|e| e.to_string())?;
    let errors = log.try_clone().map_err(|e| e.to_string())?;
    let mut command = Command::new(DAEMON);
    command.env("CUMINTRAIL_CONFIG", folder.join(format!("vm-{index}.conf")));
    let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
    let child = child.map_err(|e| format!("{DAEMON}: {e}"))?;
    note_process(child.id());
    Ok(child)
}

/// Adds a process to the file from which the script ends those that an interrupted run leaves.
fn note_process(id: u32) {
    let Some(path) = std::env::var_os("REVIEW_PIDS") else { return };
    if let Ok(mut file) = File::options().append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

/// Finds five ports that are free at all addresses.
fn free_ports(addresses: Vec<IpAddr>) -> Result<[u16; 5], String> {
    let mut found = Vec::new();
    for port in 22_000..30_000 {
        let is_free = |ip: &IpAddr| TcpListener::bind(SocketAddr::new(*ip, port)).is_ok();
        if addresses.iter().all(is_free) {
            found.push(port);
        }
        if let Ok(ports) = <[u16; 5]>::try_from(&found[..]) {
            return Ok(ports);
        }
    }
    Err("no free ports".into())
}

fn is_ready(at: SocketAddr) -> bool {
    let limit = Duration::from_secs(1);
    http::call(at, "GET /readiness", &[("Host", at.to_string())], &[], limit).is_ok_and(|response| response.status() == 200)
}

/// The settings of the deployment kpc-luzon that are the same for all machines.
const SETTINGS: &str = "fault_counted=false
limits.cpu_share=0.25
limits.cpu_cores=1
limits.memory_mb=260
limits.max_fds=4200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.sync_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.fail_closed=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=54
bounds.recovery_s=12
bounds.transit_ms=120
bounds.reuse_window_s=20
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.version_ms=12000
bounds.version_all_ms=17000
provider.form=table
provider.writes_per_s=400
provider.reads_per_s=2000
provider.tx_ms=3.0
provider.partition_writes_s=300
provider.row_bytes=65536
provider.cross_region=true
provider.history_s=20
provider.blob_bytes=8388608
provider.blob_ms=25.0
provider.blob_mb_s=80.0
";
