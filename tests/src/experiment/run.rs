//! Simulates a trace on one control state, in virtual time, and measures the results.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, TargetKind};
use cumintrail_control::store_sync::StoreRead;
use cumintrail_control::{
    Action, Arrival, AttemptOutcome, Control, Dispatch, Event, Export, FetchOutcome, Identity,
    RouteOptions, Usage,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, BlockKey, CallClass, CallKey, Generation, Incarnation, Key,
    ModelKey, Moment, StoreKey, TargetKey, Tokens, WeightVersion, WriteId,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::measures::{Measures, Recorder};
use super::policies::PolicyPlacer;
use super::trace::{self, Fault, REPORT_LAG, Trace};
use super::world::{BLOCK_BYTES, BLOCK_TOKENS, Engine, Job, Store, World};
use super::{Policy, Setup};

const TICK: Duration = Duration::from_millis(100);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const CALL_DEADLINE: Duration = Duration::from_secs(60);
/// Time until an export to a failed store, or a read of its block list, is reported as failed.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Probability that a cache event is lost.
const EVENT_LOSS_PROBABILITY: f64 = 0.03;
/// Time simulated after the last arrival, so that the last calls can end.
const DRAIN_TIME: Duration = Duration::from_secs(120);

/// A scheduled simulation step.
enum Step {
    Arrive(usize),
    Tick,
    Fault(Fault),
    Staged { engine: usize, job: Job, outcomes: Outcomes, dispatched_at: Moment },
    PrefillDone { engine: usize, incarnation: Incarnation },
    Ended { engine: usize, job: Job },
    ExportEnded(Export),
    Event(Box<Event>),
}

type Outcomes = Vec<(StoreKey, BlockKey, FetchOutcome)>;

/// Runs one policy on a trace.
pub fn run(setup: &Setup, trace: &Trace, policy: Policy) -> Measures {
    let mut run = Run::new(setup, trace, policy);
    run.start();
    while let Some(((now, _), step)) = run.steps.pop_first() {
        if now > trace.end + DRAIN_TIME {
            break;
        }
        run.world.borrow_mut().now = now;
        run.handle_step(now, step);
    }
    run.recorder.finish()
}

struct Run<'a> {
    trace: &'a Trace,
    control: Control<PolicyPlacer>,
    world: Rc<RefCell<World>>,
    steps: BTreeMap<(Moment, u64), Step>,
    sequence: u64,
    rng: StdRng,
    recorder: Recorder,
    lost_events: HashMap<usize, bool>,
}

impl<'a> Run<'a> {
    fn new(setup: &Setup, trace: &'a Trace, policy: Policy) -> Self {
        let (memory, capacity) = trace.store_blocks;
        let world = Rc::new(RefCell::new(World {
            now: Moment(0),
            engines: (0..trace.engines).map(|_| Engine::default()).collect(),
            stores: (0..trace.stores).map(|_| Store::new(memory, capacity)).collect(),
        }));
        let identity = Identity {
            vm: "vm-0".into(),
            domain: "d0".into(),
            incarnation: Incarnation(1),
            address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1),
            probe_interval: PROBE_INTERVAL,
            digest_interval: Duration::from_secs(3_600),
            processor_share: 0,
        };
        let placer = PolicyPlacer { policy, world: world.clone() };
        Self {
            trace,
            control: Control::with_placer(identity, setup.seed, placer),
            world,
            steps: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(setup.seed ^ 1),
            recorder: Recorder::new(policy, &trace.large),
            lost_events: HashMap::new(),
        }
    }

    fn start(&mut self) {
        let document = Document::parse(&"experiment.ini".into(), &self.trace.declarations);
        let sections = document.map(|d| d.sections).expect("the declarations parse");
        let snapshot = Snapshot::build(Generation(1), &sections, None, None);
        self.fill_stores();
        let snapshot = Arc::new(snapshot.expect("the declarations are valid"));
        self.handle_event(Moment(0), Event::Configured(snapshot));
        for i in 0..self.trace.requests.len() {
            self.schedule(self.trace.requests[i].at, Step::Arrive(i));
        }
        for (at, fault) in &self.trace.faults {
            self.schedule(*at, Step::Fault(*fault));
        }
        self.schedule(Moment(0), Step::Tick);
    }

    fn fill_stores(&mut self) {
        let mut world = self.world.borrow_mut();
        let count = world.stores.len();
        for key in &self.trace.initial_blocks {
            let store = &mut world.stores[usize::from(key.0[0]) % count];
            store.insert(*key, WriteId(self.rng.random()));
        }
    }

    fn schedule(&mut self, at: Moment, step: Step) {
        self.sequence += 1;
        self.steps.insert((at, self.sequence), step);
    }

    fn handle_event(&mut self, now: Moment, event: Event) {
        for action in self.control.handle(now, event) {
            self.act(now, action);
        }
    }

    fn handle_step(&mut self, now: Moment, step: Step) {
        match step {
            Step::Arrive(index) => self.arrive(now, index),
            Step::Tick => {
                self.handle_event(now, Event::Tick);
                if now < self.trace.end + DRAIN_TIME {
                    self.schedule(now + TICK, Step::Tick);
                }
            }
            Step::Fault(fault) => self.apply_fault(now, fault),
            Step::Staged { engine, job, outcomes, dispatched_at } => {
                self.stage(now, engine, job, &outcomes, dispatched_at);
            }
            Step::PrefillDone { engine, incarnation } => {
                self.finish_prefill(now, engine, incarnation);
            }
            Step::Ended { engine, job } => self.end(now, engine, &job),
            Step::ExportEnded(export) => self.end_export(now, export),
            Step::Event(event) => self.handle_event(now, *event),
        }
    }

    fn arrive(&mut self, now: Moment, index: usize) {
        let request = &self.trace.requests[index];
        let prompt = request.prompt.blocks.len() as u32 * BLOCK_TOKENS + request.prompt.tail_tokens;
        let blocks = request.prompt.blocks.clone();
        if let Some(engine) = request.preassigned_engine {
            let output = request.output;
            let job = Job { call: None, blocks, prompt, output, staged: 0, obtained: 0 };
            return self.enqueue(now, engine, job);
        }
        let call = CallKey(index as u64);
        self.recorder.record_arrival(call, request.prompt.account, now);
        let arrival = Arrival {
            call,
            account: AccountKey(request.prompt.account as u32),
            class: CallClass::Model,
            kind: TargetKind::Engine(ModelKey(0)),
            version: WeightVersion(1),
            blocks,
            prompt: Tokens(prompt),
            max_output: Tokens(request.output),
            deadline: now + CALL_DEADLINE,
            options: RouteOptions::default(),
        };
        self.handle_event(now, Event::Arrived(arrival));
    }

    fn act(&mut self, now: Moment, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(now, &dispatch),
            Action::Refuse { call, .. } => self.recorder.record_refusal(call),
            Action::Probe(target) => self.probe(now, target),
            Action::Export(export) => self.export(now, export),
            Action::Free { store, sealed } => {
                self.world.borrow_mut().stores[store.index()].free(&sealed);
            }
            Action::ReadStore { store, read_id, read } => self.respond(now, store, read_id, read),
            Action::Cancel { call, attempt, target } => {
                let engine = &mut self.world.borrow_mut().engines[target.index()];
                engine.queue.retain(|job| job.call != Some((call, attempt.0)));
            }
            Action::PreloadPrompt { .. }
            | Action::FreeParts { .. }
            | Action::AssignReaders(_)
            | Action::ReportQuarantine(_)
            | Action::ReportAnnouncement(_)
            | Action::ReportBegin(_)
            | Action::ReportLimit(_)
            | Action::ReportEvacuation(_)
            | Action::ReportSpill(_)
            | Action::Detour(_)
            | Action::CheckReach { .. }
            | Action::ReportShortage { .. }
            | Action::ReportReach { .. }
            | Action::ReportDomainReach { .. }
            | Action::Abandon { .. }
            | Action::SoftwareHistory(_)
            | Action::ReadGeneration
            | Action::ReadVmList
            | Action::GetVmList { .. }
            | Action::SendDigest { .. }
            | Action::Lease(_)
            | Action::ReportCold(_)
            | Action::Order(_) => {}
        }
    }

    fn dispatch(&mut self, now: Moment, dispatch: &Dispatch) {
        let request = &self.trace.requests[dispatch.call.0 as usize];
        let blocks = request.prompt.blocks.clone();
        let mut job = Job {
            call: Some((dispatch.call, dispatch.attempt.0)),
            prompt: blocks.len() as u32 * BLOCK_TOKENS + request.prompt.tail_tokens,
            blocks,
            output: request.output,
            staged: 0,
            obtained: 0,
        };
        let limit = now + dispatch.plan.timeout;
        let mut staged = now;
        let mut outcomes = Outcomes::new();
        let mut world = self.world.borrow_mut();
        for fetch in &dispatch.plan.fetches {
            let store = &mut world.stores[fetch.store.index()];
            let key = fetch.sealed.key;
            if !store.alive {
                staged = limit;
                outcomes.push((fetch.store, key, FetchOutcome::Failed));
                continue;
            }
            let missing = store.blocks.get(&key) != Some(&fetch.sealed.write_id);
            let (read, end, bytes) = store.read(now, key, limit);
            self.recorder.record_transfer(bytes);
            staged = staged.max(end);
            let outcome = match read {
                Ok(()) => FetchOutcome::Imported,
                Err(()) if missing => FetchOutcome::Missing,
                Err(()) => FetchOutcome::Failed,
            };
            if let Some(i) = job.blocks.iter().position(|p| *p == key).filter(|_| read.is_ok()) {
                job.staged |= 1 << i;
            }
            outcomes.push((fetch.store, key, outcome));
        }
        drop(world);
        let engine = dispatch.target.index();
        self.schedule(staged, Step::Staged { engine, job, outcomes, dispatched_at: now });
    }

    fn stage(
        &mut self,
        now: Moment,
        engine: usize,
        job: Job,
        outcomes: &Outcomes,
        dispatched_at: Moment,
    ) {
        if let Some((call, _)) = job.call.filter(|_| !outcomes.is_empty()) {
            let outcomes = outcomes.iter().copied().collect();
            let (target, elapsed) = (TargetKey::from_index(engine), now.since(dispatched_at));
            self.handle_event(now, Event::FetchesEnded { call, target, outcomes, elapsed });
        }
        self.enqueue(now, engine, job);
    }

    fn enqueue(&mut self, now: Moment, engine: usize, job: Job) {
        self.world.borrow_mut().engines[engine].queue.push_back(job);
        self.start_next(now, engine);
    }

    fn start_next(&mut self, now: Moment, engine: usize) {
        let started = {
            let engine = &mut self.world.borrow_mut().engines[engine];
            engine.start_next(now).map(|end| (end, engine.incarnation))
        };
        if let Some((end, incarnation)) = started {
            self.schedule(end, Step::PrefillDone { engine, incarnation });
        }
    }

    fn finish_prefill(&mut self, now: Moment, engine: usize, incarnation: Incarnation) {
        let finished = {
            let engine = &mut self.world.borrow_mut().engines[engine];
            let current = engine.incarnation == incarnation;
            current.then(|| engine.finish_prefill(now)).flatten()
        };
        let Some((job, end)) = finished else { return };
        if let Some((call, _)) = job.call {
            self.recorder.record_first_token(call, now, &job);
            self.handle_event(now, Event::FirstToken { call });
        }
        self.schedule(end, Step::Ended { engine, job });
        self.start_next(now, engine);
    }

    fn end(&mut self, now: Moment, engine: usize, job: &Job) {
        if let Some((call, attempt)) = job.call {
            let imported = job.staged.count_ones() * BLOCK_TOKENS;
            let usage = Usage {
                prompt: Tokens(job.prompt),
                cached: Tokens((job.obtained as u32 * BLOCK_TOKENS).saturating_sub(imported)),
                imported: Tokens(imported),
                output: Tokens(job.output),
            };
            let (attempt, outcome) = (AttemptNumber(attempt), AttemptOutcome::Completed(usage));
            self.handle_event(now, Event::AttemptEnded { call, attempt, outcome });
        }
        self.start_next(now, engine);
    }

    /// Responds to a probe after [`REPORT_LAG`] and drops some of the cache events.
    fn probe(&mut self, now: Moment, target: TargetKey) {
        let lost = self.rng.random_bool(EVENT_LOSS_PROBABILITY);
        let engine = &mut self.world.borrow_mut().engines[target.index()];
        let report = engine.report(now);
        let incarnation = engine.incarnation;
        let (stored, evicted) = std::mem::take(&mut engine.changes);
        let gap = self.lost_events.insert(target.index(), lost).unwrap_or_default();
        let at = now + REPORT_LAG;
        let sequence = self.sequence;
        self.sequence += 2;
        let event = Event::TargetReported { target, report };
        self.steps.insert((at, sequence + 1), Step::Event(Box::new(event)));
        if !lost {
            let event = Event::CacheChanged { target, incarnation, gap, stored, evicted };
            self.steps.insert((at, sequence + 2), Step::Event(Box::new(event)));
        }
    }

    fn export(&mut self, now: Moment, export: Export) {
        let at = {
            let mut world = self.world.borrow_mut();
            let store = &mut world.stores[export.store.index()];
            if store.alive { store.write_end(now) } else { now + STORE_TIMEOUT }
        };
        self.recorder.record_transfer(BLOCK_BYTES);
        self.schedule(at, Step::ExportEnded(export));
    }

    fn end_export(&mut self, now: Moment, export: Export) {
        let sealed = {
            let mut world = self.world.borrow_mut();
            let cached = world.engines[export.target.index()].memory.contains(export.key);
            let store = &mut world.stores[export.store.index()];
            cached.then(|| store.insert(export.key, export.write_id)).flatten()
        };
        self.handle_event(now, Event::Exported { export, sealed });
    }

    fn respond(&mut self, now: Moment, store: StoreKey, read_id: u32, read: StoreRead) {
        let response = self.world.borrow().stores[store.index()].response(read);
        let (at, event) = match response {
            Some(response) => {
                (now + REPORT_LAG, Event::StoreResponded { store, read_id, response })
            }
            None => (now + STORE_TIMEOUT, Event::StoreSilent { store, read_id }),
        };
        self.schedule(at, Step::Event(Box::new(event)));
    }

    fn apply_fault(&mut self, now: Moment, fault: Fault) {
        match fault {
            Fault::LinkSpeed(speed) => {
                let mut world = self.world.borrow_mut();
                world.stores.iter_mut().for_each(|s| s.speed = speed);
            }
            Fault::StoreDies(store) => {
                self.world.borrow_mut().stores[store].fail();
            }
            Fault::StoreReturns(store) => self.world.borrow_mut().stores[store].alive = true,
            Fault::DomainRestarts(domain) => self.restart_domain(now, domain),
        }
    }

    fn restart_domain(&mut self, now: Moment, domain: usize) {
        for index in (0..self.trace.engines).filter(|e| trace::in_domain(*e, domain)) {
            let failed_jobs = self.world.borrow_mut().engines[index].restart();
            for (call, attempt) in failed_jobs.into_iter().filter_map(|job| job.call) {
                let outcome = AttemptOutcome::Failed { can_continue: true };
                let attempt = AttemptNumber(attempt);
                self.schedule(
                    now,
                    Step::Event(Box::new(Event::AttemptEnded { call, attempt, outcome })),
                );
            }
        }
    }
}
