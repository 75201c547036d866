//! The thread that owns the control state, and the link that other threads use to reach it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cumintrail_control::once::{KeyOutcome, OperationKey, UsedKeys, Verdict};
use cumintrail_control::placement::Placer;
use cumintrail_control::reach::ReachChange;
use cumintrail_control::{
    AbandonReason, Action, Arrival, AttemptOutcome, Control, Detour, Dispatch, Dump, Event,
};
use cumintrail_types::{
    AttemptNumber, CallKey, Clock, Digest, LogText, Moment, Refusal, RefusalCode, WriteId,
};
use cumintrail_wire::record::ResponseRecord;
use tokio::sync::{mpsc, oneshot};

use crate::control_meter::ControlMeter;
use crate::{evacuation_lines, limit_lines, metric, quarantine_lines, spill_lines, version_lines};

/// How long after its issue an operation key may be used.
pub const OPERATION_KEY_LIFETIME: Duration = Duration::from_secs(600);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const FIRST_ATTEMPT: AttemptNumber = AttemptNumber(1);

/// Describes a decision of the control state for one call, sent to the task of the call.
#[derive(Debug)]
pub enum Command {
    /// Run an attempt.
    Dispatch(Box<Dispatch>),
    /// Send the call to a peer.
    Detour(Detour),
    /// End this attempt before its response.
    Abandon(AttemptNumber, AbandonReason),
    /// Respond to the caller with a refusal.
    Refuse(Refusal),
}

/// Carries one message to the control thread.
#[derive(Debug)]
enum Message {
    Arrive(Arrival, mpsc::UnboundedSender<Command>),
    Event(Event),
    Dump(oneshot::Sender<Dump>),
    CallsInFlight(oneshot::Sender<usize>),
    BeginKey(OperationKey, Digest, oneshot::Sender<Verdict<ResponseRecord>>),
    EndKey(WriteId, KeyOutcome<ResponseRecord>),
}

/// Sends messages to the control thread from any other thread.
#[derive(Debug, Clone)]
pub struct ControlLink {
    tx: mpsc::Sender<Message>,
}

/// Reports that the queue of the control thread is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

impl ControlLink {
    /// Submits a call without waiting; fails if the queue is full.
    pub fn submit_call(
        &self,
        arrival: Arrival,
    ) -> Result<mpsc::UnboundedReceiver<Command>, QueueFull> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.tx.try_send(Message::Arrive(arrival, tx)).map(|()| rx).map_err(|_| QueueFull)
    }

    /// Sends an event, waiting while the queue is full.
    pub async fn send(&self, event: Event) {
        // The control thread ends before a sender only while the process exits.
        let _ = self.tx.send(Message::Event(event)).await;
    }

    /// Returns a dump of the control state, or `None` if the control thread has ended.
    pub async fn dump(&self) -> Option<Dump> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Message::Dump(tx)).await.ok()?;
        rx.await.ok()
    }

    /// Returns the number of calls in flight, or zero if the control thread has ended.
    pub async fn calls_in_flight(&self) -> usize {
        let (tx, rx) = oneshot::channel();
        match self.tx.send(Message::CallsInFlight(tx)).await {
            Ok(()) => rx.await.unwrap_or(0),
            Err(_) => 0,
        }
    }
}

impl ControlLink {
    /// Begins a call under an operation key that this process issued.
    pub async fn begin_key(&self, key: OperationKey, request: Digest) -> Verdict<ResponseRecord> {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(Message::BeginKey(key, request, tx)).await;
        let verdict = match sent {
            Ok(()) => rx.await.ok(),
            Err(_) => None,
        };
        let stopping = Refusal::unknown(RefusalCode::OutcomeUnknown);
        verdict.unwrap_or(Verdict::Refuse(stopping))
    }

    /// Records the end of a call under an operation key.
    pub async fn end_key(&self, id: WriteId, end: KeyOutcome<ResponseRecord>) {
        // The control thread has ended only if the process exits, which discards all keys.
        let _ = self.tx.send(Message::EndKey(id, end)).await;
    }
}

/// Receives the messages that a [`ControlLink`] sends.
#[derive(Debug)]
pub struct ControlInbox {
    rx: mpsc::Receiver<Message>,
}

/// Makes a link to the control thread whose queue has room for `queue` messages.
pub fn channel(queue: usize) -> (ControlLink, ControlInbox) {
    let (tx, rx) = mpsc::channel(queue);
    (ControlLink { tx }, ControlInbox { rx })
}

/// Runs the control state until all links have been dropped.
pub async fn run<P: Placer>(
    mut inbox: ControlInbox,
    mut control: Control<P>,
    clock: Clock,
    background: mpsc::UnboundedSender<Action>,
) {
    let mut calls: HashMap<CallKey, mpsc::UnboundedSender<Command>> = HashMap::new();
    let mut keys = UsedKeys::new(OPERATION_KEY_LIFETIME);
    let mut meter = ControlMeter::start();
    let mut ticks = actix_rt::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let message = tokio::select! {
            message = inbox.rx.recv() => message,
            _ = ticks.tick() => Some(Message::Event(Event::Tick)),
        };
        let (now, started) = (clock.now(), Instant::now());
        let actions = match message {
            None => return,
            Some(Message::Dump(reply)) => {
                let _ = reply.send(control.dump(now));
                continue;
            }
            Some(Message::CallsInFlight(reply)) => {
                let _ = reply.send(control.calls_in_flight());
                continue;
            }
            Some(Message::BeginKey(key, request, reply)) => {
                let verdict = keys.begin(now, &key, request);
                // A call whose task no longer waits for the verdict is never sent.
                if let Err(Verdict::Run) = reply.send(verdict) {
                    keys.end(key.id, KeyOutcome::NotSent);
                }
                continue;
            }
            Some(Message::EndKey(id, end)) => {
                keys.end(id, end);
                continue;
            }
            Some(Message::Arrive(arrival, commands)) => {
                calls.insert(arrival.call, commands);
                control.handle(now, Event::Arrived(arrival))
            }
            Some(Message::Event(event)) => {
                if let Some(call) = ended_call(&event) {
                    calls.remove(&call);
                }
                control.handle(now, event)
            }
        };
        for action in actions {
            route_action(now, action, &mut calls, &background);
        }
        if meter.record_event(started) {
            meter.publish(inbox.rx.len(), &control.counts());
        }
    }
}

/// Logs and counts that this daemon is partitioned from the targets of a model or service, or reaches
/// half of them again.
fn report_reach(name: &str, change: ReachChange) {
    let partitioned = metrics::gauge!(metric::PARTITIONED, "serves" => name.to_owned());
    match change {
        ReachChange::Partitioned { failed_targets } => {
            partitioned.set(1.0);
            log::warn!("event=partitioned from={name} failed_targets={failed_targets}");
        }
        ReachChange::Restored { after } => {
            partitioned.set(0.0);
            log::info!("event=restored to={name} after_ms={}", after.as_millis());
        }
    }
}

/// Logs and counts that this daemon reaches no target in a failure domain, or half of them again.
fn report_domain_reach(domain: &str, change: ReachChange, abandoned: usize) {
    let unreached = metrics::gauge!(metric::UNREACHED_DOMAIN, "domain" => domain.to_owned());
    let domain = LogText(domain);
    match change {
        ReachChange::Partitioned { failed_targets } => {
            unreached.set(1.0);
            log::warn!(
                "event=domain-unreached domain={domain} failed_targets={failed_targets} abandoned={abandoned}"
            );
        }
        ReachChange::Restored { after } => {
            unreached.set(0.0);
            log::info!("event=domain-reached domain={domain} after_ms={}", after.as_millis());
        }
    }
}

/// Returns the call that needs no further commands after `event`.
fn ended_call(event: &Event) -> Option<CallKey> {
    match event {
        Event::CallerDisconnected { call } => Some(*call),
        Event::AttemptEnded { call, outcome, .. } => {
            let ended =
                matches!(outcome, AttemptOutcome::Completed(_) | AttemptOutcome::RespondedLocally);
            ended.then_some(*call)
        }
        _ => None,
    }
}

fn route_action(
    now: Moment,
    action: Action,
    calls: &mut HashMap<CallKey, mpsc::UnboundedSender<Command>>,
    background: &mpsc::UnboundedSender<Action>,
) {
    match action {
        Action::Dispatch(dispatch) => {
            if dispatch.attempt > FIRST_ATTEMPT {
                metrics::counter!(metric::RETRIES).increment(1);
            }
            // If the task has ended, its event is already in the queue or on the way to it.
            if let Some(commands) = calls.get(&dispatch.call) {
                let _ = commands.send(Command::Dispatch(dispatch));
            }
        }
        Action::Detour(detour) => {
            metrics::counter!(metric::DETOURS).increment(1);
            if let Some(commands) = calls.get(&detour.call) {
                let _ = commands.send(Command::Detour(detour));
            }
        }
        Action::Refuse { call, refusal } => {
            if let Some(commands) = calls.remove(&call) {
                let _ = commands.send(Command::Refuse(refusal));
            }
        }
        Action::ReportQuarantine(change) => quarantine_lines::report(now, change),
        Action::ReportEvacuation(change) => evacuation_lines::report(&change),
        Action::ReportAnnouncement(report) => version_lines::report_announcement(&report),
        Action::ReportBegin(begin) => version_lines::report_begin(begin),
        Action::ReportLimit(change) => limit_lines::report(change),
        Action::ReportShortage { name, has_ended, held, refused } => {
            let outcome = if has_ended { "ended" } else { "began" };
            log::warn!(
                "event=shortage name={name} outcome={outcome} held={held} refused={refused}"
            );
        }
        Action::ReportSpill(change) => spill_lines::report(&change),
        Action::ReportCold(change) => limit_lines::report_cold(change),
        Action::ReportReach { name, change } => report_reach(&name, change),
        Action::ReportDomainReach { domain, change, abandoned } => {
            report_domain_reach(&domain, change, abandoned);
        }
        Action::Abandon { call, attempt, reason } => {
            if let Some(commands) = calls.get(&call) {
                let _ = commands.send(Command::Abandon(attempt, reason));
            }
        }
        other => {
            let _ = background.send(other);
        }
    }
}
