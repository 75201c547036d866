//! Starts and ends faults, and reads the stand-ins' observations during the run.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cumintrail_types::{Generation, WeightVersion};
use cumintrail_wire::platform::{ListedRole, ListedVm};
use nix::sys::signal::Signal;

use super::observations::Observations;
use super::schedule::{Fault, Link, Planned};
use crate::cluster::{ClusterError, domain, write};
use crate::deployment::{Deployment, RESPONSE_TIMEOUT};
use crate::standins::relay::{Mode, Relay};
use crate::standins::{engine, platform, service, store};

/// The requirements allow a leaving target to receive new work for "a few seconds".
const LEAVING_LIMIT: Duration = Duration::from_secs(5);
const STOP_POLL: Duration = Duration::from_millis(20);
const SLOW_LINK_FACTOR: u64 = 2_000;

/// A daemon during a planned stop.
struct Stopping {
    vm: usize,
    /// The end of the injected stop fault, or the last time at which a fault of the platform or of
    /// its link was active.
    since: Instant,
}

/// A target that is leaving.
struct Leaving {
    since: Instant,
    work: Box<dyn Fn() -> u64>,
    /// The work count when [`LEAVING_LIMIT`] had passed.
    settled: Option<u64>,
}

/// Applies a schedule to a deployment.
pub struct Injector {
    /// The deployment.
    pub deployment: Deployment,
    /// The daemons' current operator addresses.
    pub operators: Rc<RefCell<Vec<SocketAddr>>>,
    /// The observations of the run.
    pub observations: Rc<RefCell<Observations>>,
    /// The newest committed generation.
    pub newest: Generation,
    waiting: Vec<Planned>,
    active: Vec<Planned>,
    leaving: Vec<Leaving>,
    stopping: Vec<Stopping>,
    version: WeightVersion,
    weight: u32,
    started: Instant,
    /// When a daemon was last started or resumed after a pause.
    last_disruption: Instant,
}

impl Injector {
    /// Creates an injector that has not started any fault.
    pub fn new(
        deployment: Deployment,
        schedule: Vec<Planned>,
        observations: Rc<RefCell<Observations>>,
    ) -> Self {
        let operators = deployment.vms.iter().map(|vm| vm.process.addresses[1]).collect();
        Self {
            deployment,
            operators: Rc::new(RefCell::new(operators)),
            observations,
            newest: Generation(1),
            waiting: schedule,
            active: Vec::new(),
            leaving: Vec::new(),
            stopping: Vec::new(),
            version: WeightVersion(1),
            weight: 1,
            started: Instant::now(),
            last_disruption: Instant::now(),
        }
    }

    /// Ends and starts the faults that are due.
    ///
    /// A fault on a daemon's process is skipped while another fault acts on the same process.
    pub async fn advance(&mut self, elapsed: Duration) -> Result<(), ClusterError> {
        let over = |p: &Planned| p.at + p.duration <= elapsed;
        let (ended, active): (Vec<_>, Vec<_>) = self.active.drain(..).partition(over);
        self.active = active;
        for planned in ended {
            self.end(planned.fault)?;
        }
        let (due, waiting): (Vec<_>, Vec<_>) =
            self.waiting.drain(..).partition(|p| p.at <= elapsed);
        self.waiting = waiting;
        for planned in due {
            let vm = planned.fault.process();
            let stops = self.stopping.iter().any(|s| Some(s.vm) == vm);
            if stops || self.active.iter().any(|p| p.fault.shares_process(planned.fault)) {
                continue;
            }
            self.begin(planned.fault).await?;
            self.active.push(planned);
        }
        self.restart_stopped()
    }

    /// Ends all active faults and waits for planned stops; leaving targets stay leaving.
    pub async fn heal_all(&mut self) -> Result<(), ClusterError> {
        for planned in std::mem::take(&mut self.active) {
            self.end(planned.fault)?;
        }
        while !self.stopping.is_empty() {
            self.restart_stopped()?;
            actix_rt::time::sleep(STOP_POLL).await;
        }
        Ok(())
    }

    /// Restarts the daemons whose planned stop has ended.
    ///
    /// A daemon does not end while the outcome of a call cannot be recorded at the platform, so the
    /// time limit of a stop counts from when the daemon could reach the platform again.
    fn restart_stopped(&mut self) -> Result<(), ClusterError> {
        for mut stopping in std::mem::take(&mut self.stopping) {
            let vm = stopping.vm;
            if self.active.iter().any(|p| p.fault.hinders_platform_writes(vm)) {
                stopping.since = Instant::now();
            }
            match self.deployment.vms[vm].process.status() {
                None if stopping.since.elapsed() < RESPONSE_TIMEOUT => {
                    self.stopping.push(stopping);
                    continue;
                }
                Some(status) if status.success() => {}
                status => {
                    let what = format!("vm {vm}: planned stop ended with status {status:?}");
                    self.observations.borrow_mut().record_violation(what);
                }
            }
            self.start(vm)?;
            self.observations.borrow_mut().history.end(Fault::Stop(vm));
        }
        Ok(())
    }

    /// Records the calls that engines started and checks that leaving targets receive no new work.
    pub fn observe(&mut self) {
        let mut observations = self.observations.borrow_mut();
        for engine in &self.deployment.engines {
            observations.record_generated(engine.take_generated());
        }
        let calm = self.last_disruption.elapsed() > LEAVING_LIMIT;
        for (i, leaving) in self.leaving.iter_mut().enumerate() {
            let work = (leaving.work)();
            match leaving.settled {
                _ if !calm || leaving.since.elapsed() < LEAVING_LIMIT => leaving.settled = None,
                Some(settled) if work > settled => {
                    let at = self.started.elapsed();
                    let seen = observations.describe_targets();
                    let what = format!(
                        "leaving target {i} received new work ({settled} to {work}) at {at:?}"
                    );
                    observations.record_violation(format!("{what}: {seen}"));
                    leaving.settled = Some(work);
                }
                Some(_) => {}
                None => leaving.settled = Some(work),
            }
        }
    }

    async fn begin(&mut self, fault: Fault) -> Result<(), ClusterError> {
        self.observations.borrow_mut().history.begin(fault);
        let d = &mut self.deployment;
        match fault {
            Fault::Kill(vm) => d.vms[vm].process.kill(),
            Fault::Pause(vm) => d.vms[vm].process.signal(Signal::SIGSTOP),
            Fault::Stop(vm) => d.vms[vm].process.signal(Signal::SIGTERM),
            Fault::Link(link, i, mode) => relay(d, link, i).set(mode),
            Fault::Apart(one, other, mode) => d.set_pair(one, other, mode),
            Fault::PlatformDown => set_platform(d, |f| f.down = true),
            Fault::PlatformSlow => set_platform(d, |f| f.slow_ms = 300),
            Fault::PlatformLosesAnswers => set_platform(d, |f| f.lose_answers = true),
            Fault::StaleList => set_platform(d, |f| f.list_stuck_at = 1),
            Fault::StoreDamage(i) => d.stores[i].corrupt_all(),
            Fault::StoreFree(i) => d.stores[i].free_all(),
            Fault::StoreTorn(i) => set_store(d, i, |f| f.torn_writes = true),
            Fault::StoreFull(i) => set_store(d, i, |f| f.full = true),
            Fault::StoreSlow(i) => set_store(d, i, |f| f.slow_factor = SLOW_LINK_FACTOR),
            Fault::StoreDeath(i) => d.replace_store(i).await?,
            Fault::EngineDeath(i) => {
                self.observations.borrow_mut().record_generated(d.engines[i].take_generated());
                d.replace_engine(i).await?;
            }
            Fault::EngineSilent(i) => set_engine(d, i, |f| f.silent_after = 3),
            Fault::EngineCuts(i) => set_engine(d, i, |f| f.cut_after = 3),
            Fault::EngineForeign(i) => set_engine(d, i, |f| f.foreign_answers = true),
            Fault::EngineForgets(i) => set_engine(d, i, |f| f.forget_streams = true),
            Fault::ServiceSlow(i) => set_service(d, i, |f| f.slow_ms = 400),
            Fault::ServiceLosesAnswers(i) => set_service(d, i, |f| f.lose_answers = true),
            Fault::ServiceLeaves(i) => {
                set_service(d, i, |f| f.leaving = true);
                let service = d.services[i].clone();
                let address = d.service_links[i].address();
                self.mark_leaving(address, Box::new(move || service.executions().values().sum()));
            }
            Fault::EngineLeaves(i) => {
                let engine = d.engines[i].clone();
                let address = d.engine_links[i].address();
                self.mark_leaving(address, Box::new(move || engine.started()));
            }
            Fault::Swap => self.declare_next_version().await?,
            Fault::Operators => self.apply_concurrently().await?,
        }
        Ok(())
    }

    fn end(&mut self, fault: Fault) -> Result<(), ClusterError> {
        // A planned stop lasts until the process of the daemon has ended.
        if !matches!(fault, Fault::Stop(_)) {
            self.observations.borrow_mut().history.end(fault);
        }
        let d = &mut self.deployment;
        match fault {
            Fault::Kill(vm) => self.start(vm)?,
            Fault::Pause(vm) => {
                d.vms[vm].process.signal(Signal::SIGCONT);
                self.last_disruption = Instant::now();
            }
            // `restart_stopped` restarts the daemon when its process has ended.
            Fault::Stop(vm) => self.stopping.push(Stopping { vm, since: Instant::now() }),
            Fault::Link(link, i, _) => relay(d, link, i).set(Mode::Pass),
            Fault::Apart(one, other, _) => d.set_pair(one, other, Mode::Pass),
            Fault::PlatformDown => set_platform(d, |f| f.down = false),
            Fault::PlatformSlow => set_platform(d, |f| f.slow_ms = 0),
            Fault::PlatformLosesAnswers => set_platform(d, |f| f.lose_answers = false),
            Fault::StaleList => set_platform(d, |f| f.list_stuck_at = 0),
            Fault::StoreTorn(i) => set_store(d, i, |f| f.torn_writes = false),
            Fault::StoreFull(i) => set_store(d, i, |f| f.full = false),
            Fault::StoreSlow(i) => set_store(d, i, |f| f.slow_factor = 0),
            Fault::EngineSilent(i) => set_engine(d, i, |f| f.silent_after = 0),
            Fault::EngineCuts(i) => set_engine(d, i, |f| f.cut_after = 0),
            Fault::EngineForeign(i) => set_engine(d, i, |f| f.foreign_answers = false),
            Fault::EngineForgets(i) => set_engine(d, i, |f| f.forget_streams = false),
            Fault::ServiceSlow(i) => set_service(d, i, |f| f.slow_ms = 0),
            Fault::ServiceLosesAnswers(i) => set_service(d, i, |f| f.lose_answers = false),
            Fault::StoreDamage(_)
            | Fault::StoreFree(_)
            | Fault::StoreDeath(_)
            | Fault::EngineDeath(_)
            | Fault::ServiceLeaves(_)
            | Fault::EngineLeaves(_)
            | Fault::Swap
            | Fault::Operators => {}
        }
        Ok(())
    }

    fn start(&mut self, vm: usize) -> Result<(), ClusterError> {
        self.deployment.restart(vm)?;
        self.operators.borrow_mut()[vm] = self.deployment.vms[vm].process.addresses[1];
        self.last_disruption = Instant::now();
        Ok(())
    }

    /// Marks a target as leaving in the VM list and watches its work.
    fn mark_leaving(&mut self, address: SocketAddr, work: Box<dyn Fn() -> u64>) {
        self.leaving.push(Leaving { since: Instant::now(), work, settled: None });
        self.observations.borrow_mut().leaving.push(address);
        let entry = |address, role, leaving| ListedVm { address, domain: domain(0), role, leaving };
        let vms = self.deployment.vms.iter().enumerate().map(|(i, vm)| ListedVm {
            domain: domain(i),
            ..entry(vm.peers.address(), ListedRole::Daemon, false)
        });
        let mut listed: Vec<ListedVm> = vms.collect();
        let left = self.observations.borrow().leaving.clone();
        listed.extend(left.into_iter().map(|address| entry(address, ListedRole::Target, true)));
        self.deployment.platform.list_vms(listed);
    }

    /// Declares the next weight version; if that fails, the next swap declares the same version
    /// again.
    async fn declare_next_version(&mut self) -> Result<(), ClusterError> {
        let next = WeightVersion(self.version.0 + 1);
        // Output of the next version is correct from the time at which its declaration may be
        // committed.
        self.observations.borrow_mut().newest_version = next.0;
        let text = self.text(next, self.weight);
        write(self.deployment.declarations.path(), &text)?;
        let path = self.deployment.declarations.path();
        let Ok(generation) = cumintrail_cli::apply(&self.deployment.access, path).await else {
            return Ok(());
        };
        self.record_generation(generation);
        self.version = next;
        Ok(())
    }

    /// Applies different declarations from two operators at once; they must not get the same
    /// generation.
    async fn apply_concurrently(&mut self) -> Result<(), ClusterError> {
        let directories = [tempfile::tempdir()?, tempfile::tempdir()?];
        for directory in &directories {
            self.weight += 1;
            write(directory.path(), &self.text(self.version, self.weight))?;
        }
        let [a, b] = &directories;
        let access = &self.deployment.access;
        let (a, b) = futures_util::future::join(
            cumintrail_cli::apply(access, a.path()),
            cumintrail_cli::apply(access, b.path()),
        )
        .await;
        if let (Ok(a), Ok(b)) = (&a, &b)
            && a == b
        {
            self.observations
                .borrow_mut()
                .record_violation(format!("two operators committed generation {a}"));
        }
        for generation in [a, b].into_iter().flatten() {
            self.record_generation(generation);
        }
        Ok(())
    }

    fn record_generation(&mut self, generation: Generation) {
        self.newest = self.newest.max(generation);
    }

    fn text(&self, version: WeightVersion, weight: u32) -> String {
        let text = self.deployment.text.replace("version = 1", &format!("version = {version}"));
        text.replace("[account litera]", &format!("[account litera]\nweight = {weight}"))
    }
}

fn relay(d: &Deployment, link: Link, i: usize) -> &Relay {
    match link {
        Link::Callers => &d.vms[i].callers,
        Link::Engine => &d.engine_links[i],
        Link::Service => &d.service_links[i],
        Link::Store => &d.store_links[i],
        Link::Peer => &d.vms[i].peers,
        Link::Platform => &d.vms[i].platform,
    }
}

fn set_platform(d: &Deployment, change: impl FnOnce(&mut platform::Fault)) {
    d.platform.change_fault(change);
}

fn set_store(d: &Deployment, i: usize, change: impl FnOnce(&mut store::Fault)) {
    d.stores[i].change_fault(change);
}

fn set_engine(d: &Deployment, i: usize, change: impl FnOnce(&mut engine::Fault)) {
    d.engines[i].change_fault(change);
}

fn set_service(d: &Deployment, i: usize, change: impl FnOnce(&mut service::Fault)) {
    d.services[i].change_fault(change);
}
