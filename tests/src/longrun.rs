//! Runs a whole deployment under random faults and checks its behavior from the outside.
//!
//! Callers, services, engines and the platform are stand-ins of the tests. The checks of calls,
//! operations and leaving targets use what the stand-ins observed, not what a daemon reports about
//! itself.

mod faults;
mod history;
mod observations;
mod schedule;
mod workload;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cumintrail_config::Secret;
use cumintrail_types::{Generation, Incarnation};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

use self::faults::Injector;
use self::observations::Observations;
pub use self::schedule::{Fault, Link, Planned};
use crate::cluster::{ClusterError, OPERATOR_KEY, Plan};
use crate::deployment::Deployment;
use crate::standins::engine::Limits;

const TICK: Duration = Duration::from_millis(50);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
const DAEMONS: usize = 3;

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of the faults, their times and the callers' choices.
    pub seed: u64,
    /// How long faults are injected.
    pub run: Duration,
}

impl Options {
    /// Returns the faults of the run, in order of their start; equal options give equal faults.
    pub fn schedule(&self) -> Vec<Planned> {
        schedule::draw(&mut StdRng::seed_from_u64(self.seed), self.run)
    }
}

/// The result of a run.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// The seed of the run.
    pub seed: u64,
    /// The faults of the run, with start and duration.
    pub schedule: Vec<String>,
    /// Model calls with a complete response.
    pub answered: u64,
    /// Model calls that were refused or whose response was incomplete.
    pub unanswered: u64,
    /// Prompt tokens that engines reused from memory or imported instead of computing them.
    pub reused_tokens: u64,
    /// Operations of the plain service that callers attempted.
    pub operations: usize,
    /// Operations for which a caller received a successful response.
    pub operations_run: usize,
    /// Calls that were affected by a planned stop of their daemon and by no other fault that can
    /// break a call.
    pub stopped_calls: u64,
    /// The newest committed generation.
    pub generation: Generation,
    /// Violations that the checks found.
    pub violations: Vec<String>,
}

/// Runs a deployment under faults and checks it.
pub async fn run(binary: &str, options: &Options) -> Result<Verdict, ClusterError> {
    let engine = Limits {
        token_time: Duration::from_millis(15),
        memory_pieces: 40,
        prefill_per_second: 10_000,
        ..Limits::default()
    };
    let plan =
        Plan { engines: 3, stores: 2, services: 2, daemons: DAEMONS, engine, ..Plan::default() };
    let edit = |text: String| text.replace("timeout_ms = 5000", "timeout_ms = 1000");
    let deployment = Deployment::spawn_with(binary, &plan, edit).await?;
    let observations = Rc::new(RefCell::new(Observations::default()));
    let schedule = options.schedule();
    let described = schedule.iter().map(ToString::to_string).collect();
    let mut injector = Injector::new(deployment, schedule, observations.clone());

    let callers: Vec<_> = injector.deployment.vms.iter().map(|vm| vm.callers.address()).collect();
    let tasks = workload::spawn(&callers, options.seed, &observations);
    let watchers = watch_generations(&injector);
    let started = Instant::now();
    while started.elapsed() < options.run {
        injector.advance(started.elapsed()).await?;
        injector.observe();
        actix_rt::time::sleep(TICK).await;
    }
    injector.heal_all().await?;
    let newest = injector.newest;
    if !injector.deployment.in_force_everywhere(newest).await {
        observations
            .borrow_mut()
            .record_violation(format!("generation {newest} is not in force everywhere"));
    }
    observations.borrow_mut().stopped = true;
    wait_for_callers(tasks).await;
    injector.observe();
    watchers.iter().for_each(actix_rt::task::JoinHandle::abort);
    let deployment = &injector.deployment;
    observations.borrow_mut().check_operations(|operation| deployment.executions(operation));
    let verdict = observations.borrow_mut().verdict(options.seed, described, newest);
    Ok(verdict)
}

/// Waits up to [`SETTLE_TIMEOUT`] for calls in flight, then aborts the callers: a call on a
/// connection that stays silent never ends.
async fn wait_for_callers(tasks: Vec<actix_rt::task::JoinHandle<()>>) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while Instant::now() < deadline && tasks.iter().any(|task| !task.is_finished()) {
        actix_rt::time::sleep(TICK).await;
    }
    tasks.iter().for_each(actix_rt::task::JoinHandle::abort);
}

/// The part of a daemon's state dump with the generation in force and the targets.
#[derive(Debug, Clone, Deserialize)]
struct DumpedState {
    incarnation: Incarnation,
    generation: Generation,
    targets: serde_json::Value,
}

/// Checks continuously that the generation in force never decreases within one incarnation of a
/// daemon.
fn watch_generations(injector: &Injector) -> Vec<actix_rt::task::JoinHandle<()>> {
    let watch = |vm: usize| {
        let (operators, observations) = (injector.operators.clone(), injector.observations.clone());
        let platform = injector.deployment.platform.address();
        actix_rt::spawn(async move {
            let key = Secret::new(OPERATOR_KEY);
            let access = cumintrail_cli::OperatorClient::new(platform, platform, platform, key);
            let mut last: Option<DumpedState> = None;
            loop {
                actix_rt::time::sleep(TICK).await;
                let at = operators.borrow()[vm];
                let Ok(now) = access.get::<DumpedState>(at, "/debug/state").await else {
                    continue;
                };
                let seen = format!(
                    "vm {vm} incarnation {} sees targets {}",
                    now.incarnation.0, now.targets
                );
                observations.borrow_mut().targets_seen.insert(vm, (Instant::now(), seen));
                let same_incarnation =
                    last.as_ref().filter(|last| last.incarnation == now.incarnation);
                if let Some(last) = same_incarnation.filter(|last| last.generation > now.generation)
                {
                    let (from, to) = (last.generation, now.generation);
                    observations.borrow_mut().record_violation(format!(
                        "vm {vm}: generation in force decreased from {from} to {to}"
                    ));
                }
                last = Some(now);
            }
        })
    };
    (0..DAEMONS).map(watch).collect()
}
