//! Tests membership: daemons share the probes, leaving marks reach every daemon and are not
//! revoked, and a target counts as silent only after several missed probes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot};
use cumintrail_control::{
    Action, Control, Event, Identity, PeerDigest, TargetReport, VmEntry, VmRole, VmState,
};
use cumintrail_tests::cluster::{
    CALLER_KEY, Cluster, OPERATOR_KEY, Plan, declare, domain, eventually,
};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::engine;
use cumintrail_types::{Generation, Incarnation, Key, Moment, TargetKey, Tokens, WeightVersion};
use cumintrail_wire::peer::DigestMessage;

/// The time limit for all daemons to learn that a target is leaving.
const SPREAD_LIMIT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(20);
const PROBE: Duration = Duration::from_millis(500);
const DIGEST: Duration = Duration::from_secs(1);

fn daemon(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 0], 7_000 + i as u16))
}

fn engine_at(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 2, 0], 7_000 + i as u16))
}

fn snapshot(engines: usize) -> Arc<Snapshot> {
    let addresses: Vec<SocketAddr> = (0..engines).map(engine_at).collect();
    let text = declare(&Plan::default(), &addresses, &[], &[]);
    let sections = Document::parse(&"test".into(), &text).unwrap().sections;
    Arc::new(Snapshot::build(Generation(1), &sections, None, None).unwrap())
}

fn entry(address: SocketAddr, i: usize, role: VmRole, state: VmState) -> VmEntry {
    VmEntry { address, domain: domain(i).into(), role, state }
}

fn report(incarnation: u64, leaving: bool, running: u32) -> TargetReport {
    TargetReport {
        incarnation: Incarnation(incarnation),
        leaving,
        version: WeightVersion(1),
        loading: false,
        running,
        waiting: 0,
        prefill_backlog: Tokens(0),
    }
}

/// Simulates daemons in virtual time; probes and digests complete immediately.
struct Net {
    now: Moment,
    daemons: Vec<Control>,
    /// Returns an engine's report to a probe, by daemon, engine and time; `None` is a missed probe.
    respond: Box<dyn Fn(usize, usize, Moment) -> Option<TargetReport>>,
    probes: BTreeMap<usize, Vec<usize>>,
    digests: Vec<(usize, PeerDigest)>,
    lost: Box<dyn Fn(usize, usize) -> bool>,
}

impl Net {
    /// Starts `daemons` daemons spread over the four failure domains.
    fn new(daemons: usize, engines: usize) -> Self {
        let snapshot = snapshot(engines);
        let listed: Vec<VmEntry> =
            (0..daemons).map(|i| entry(daemon(i), i, VmRole::Daemon, VmState::Live)).collect();
        let start = |i: usize| {
            let identity = Identity {
                vm: format!("vm-{i}").into(),
                domain: domain(i).into(),
                incarnation: Incarnation(1),
                address: daemon(i),
                probe_interval: PROBE,
                digest_interval: DIGEST,
                processor_share: 0,
            };
            let mut control = Control::new(identity, i as u64);
            control.handle(Moment::default(), Event::Configured(snapshot.clone()));
            let vms = listed.clone();
            control.handle(Moment::default(), Event::VmListReceived { sequence: 1, vms });
            control
        };
        Self {
            now: Moment::default(),
            daemons: (0..daemons).map(start).collect(),
            respond: Box::new(|_, _, _| Some(report(1, false, 0))),
            probes: BTreeMap::new(),
            digests: Vec::new(),
            lost: Box::new(|_, _| false),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for i in 0..self.daemons.len() {
                let actions = self.daemons[i].handle(self.now, Event::Tick);
                for action in actions {
                    self.follow(i, action);
                }
            }
        }
    }

    fn follow(&mut self, from: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Probe(target) => {
                self.probes.entry(target.index()).or_default().push(from);
                let event = match (self.respond)(from, target.index(), now) {
                    Some(report) => Event::TargetReported { target, report },
                    None => Event::TargetSilent { target },
                };
                self.daemons[from].handle(now, event);
            }
            Action::SendDigest { to, digest } => {
                let index = usize::from(to.port() - 7_000);
                if (self.lost)(from, index) {
                    self.daemons[from].handle(now, Event::PeerSilent { address: to });
                    return;
                }
                self.digests.push((from, (*digest).clone()));
                self.daemons[index].handle(now, Event::PeerDigest(digest));
            }
            _ => {}
        }
    }

    fn all(&self, holds: impl Fn(&cumintrail_control::TargetDump) -> bool, target: usize) -> bool {
        self.daemons.iter().all(|d| holds(&d.dump(self.now).targets[target]))
    }
}

#[test]
fn each_target_is_probed_by_two_daemons_of_its_failure_domain() {
    let mut net = Net::new(40, 8);
    net.run(SPREAD_LIMIT);
    for (target, by) in &net.probes {
        let mut by = by.clone();
        by.sort_unstable();
        by.dedup();
        assert_eq!(by.len(), 2, "target {target} is probed by {by:?}");
        assert!(by.iter().all(|d| d % 4 == target % 4), "target {target} is probed by {by:?}");
    }
    assert_eq!(net.probes.len(), 8);
    net.run(Duration::from_secs(10));
    assert!(
        net.all(|t| t.liveness == "live" && t.version == Some(1), 5),
        "an update did not reach all daemons"
    );
}

#[test]
fn a_failure_domain_without_daemons_is_probed_from_outside() {
    let mut net = Net::new(3, 4);
    net.run(SPREAD_LIMIT);
    assert!(net.probes.contains_key(&3));
    net.probes.clear();
    // The only daemon of the second failure domain is cut off from its peers.
    net.lost = Box::new(|from, to| from == 1 || to == 1);
    net.run(Duration::from_secs(5));
    assert!(net.probes[&1].iter().any(|by| *by != 1), "no other daemon took over the probes");
}

#[test]
fn all_daemons_know_within_seconds_that_a_target_is_leaving_and_never_forget() {
    for daemons in [2, 9, 40] {
        let mut net = Net::new(daemons, 4);
        net.run(Duration::from_secs(2));
        net.respond = Box::new(|_, target, _| Some(report(1, target == 0, 0)));
        net.run(SPREAD_LIMIT);
        assert!(net.all(|t| t.leaving, 0), "{daemons} daemons");
        // An outdated report says that the same incarnation is not leaving.
        net.respond = Box::new(|_, _, _| Some(report(1, false, 0)));
        net.run(SPREAD_LIMIT);
        assert!(net.all(|t| t.leaving, 0), "{daemons} daemons");
        assert!(net.all(|t| !t.leaving, 1));
        // A new incarnation at the same address does not inherit the mark.
        net.respond = Box::new(|_, _, _| Some(report(2, false, 0)));
        net.run(SPREAD_LIMIT);
        assert!(net.all(|t| !t.leaving, 0), "{daemons} daemons");
    }
}

#[test]
fn an_older_vm_list_never_revives_a_target_and_a_newer_one_frees_only_a_new_run() {
    let mut net = Net::new(2, 2);
    net.run(Duration::from_secs(2));
    let daemons = [0, 1].map(|i| entry(daemon(i), i, VmRole::Daemon, VmState::Live));
    let list = |state| {
        let mut vms = daemons.to_vec();
        vms.push(entry(engine_at(0), 0, VmRole::Target, state));
        vms
    };
    let receive_list = |net: &mut Net, sequence, state| {
        let event = Event::VmListReceived { sequence, vms: list(state) };
        net.daemons[0].handle(net.now, event);
    };
    receive_list(&mut net, 5, VmState::Leaving);
    net.run(SPREAD_LIMIT);
    assert!(net.all(|t| t.leaving, 0), "the leaving mark did not reach the other daemon");
    receive_list(&mut net, 4, VmState::Live);
    assert!(net.all(|t| t.leaving, 0), "an older list removed the leaving mark");
    receive_list(&mut net, 6, VmState::Live);
    assert!(net.all(|t| t.leaving, 0), "a newer list removed the mark of the same incarnation");
    net.respond = Box::new(|_, _, _| Some(report(2, false, 0)));
    net.run(SPREAD_LIMIT);
    assert!(
        net.all(|t| !t.leaving, 0),
        "a new incarnation at the same address is still marked as leaving"
    );
}

#[test]
fn an_older_vm_list_never_revives_a_target_that_has_not_reported_yet() {
    let mut net = Net::new(1, 1);
    net.respond = Box::new(|_, _, _| None);
    for (sequence, state) in [(5, VmState::Leaving), (4, VmState::Live)] {
        let vms = vec![entry(engine_at(0), 0, VmRole::Target, state)];
        net.daemons[0].handle(net.now, Event::VmListReceived { sequence, vms });
        assert!(net.all(|t| t.leaving, 0), "list {sequence}");
    }
    let vms = vec![entry(engine_at(0), 0, VmRole::Target, VmState::Live)];
    net.daemons[0].handle(net.now, Event::VmListReceived { sequence: 6, vms });
    assert!(net.all(|t| !t.leaving, 0));
}

#[test]
fn a_mark_counts_before_the_first_report_of_its_target() {
    let mut net = Net::new(2, 1);
    net.respond = Box::new(|_, _, _| Some(report(7, true, 0)));
    net.run(SPREAD_LIMIT);
    let marked = net.digests.iter().map(|(_, digest)| digest).find(|d| !d.leaving.is_empty());
    let marks = PeerDigest {
        targets: Vec::new(),
        ..marked.expect("a digest carries the leaving mark").clone()
    };

    // This daemon receives the mark before any of its own probes succeeds.
    let mut late = Net::new(1, 1).daemons.remove(0);
    late.handle(net.now, Event::PeerDigest(Box::new(marks)));
    assert!(
        late.dump(net.now).targets[0].leaving,
        "an incarnation that may be the marked one is used"
    );
    let target = TargetKey::from_index(0);
    late.handle(net.now, Event::TargetReported { target, report: report(8, false, 0) });
    assert!(
        !late.dump(net.now).targets[0].leaving,
        "another incarnation at the same address is blocked"
    );
}

#[test]
fn a_target_is_silent_after_several_misses_and_not_when_one_prober_is_cut_off() {
    let mut net = Net::new(8, 4);
    net.run(Duration::from_secs(2));
    let by = net.probes[&0].clone();
    let (one, other) = (by[0], *by.iter().find(|d| **d != by[0]).unwrap());
    let deadline = net.now + PROBE * 2;
    net.respond = Box::new(move |_, target, now| {
        (target != 0 || now > deadline).then(|| report(1, false, 0))
    });
    net.run(PROBE * 2);
    assert!(
        net.all(|t| t.liveness == "live", 0),
        "a target is silent after one or two missed probes"
    );

    net.run(Duration::from_secs(2));
    net.respond =
        Box::new(move |from, target, _| (target != 0 || from != one).then(|| report(1, false, 0)));
    net.run(Duration::from_secs(4));
    for (i, control) in net.daemons.iter().enumerate().filter(|(i, _)| *i != one) {
        assert_eq!(control.dump(net.now).targets[0].liveness, "live", "daemon {i}, not {other}");
    }

    net.respond = Box::new(|_, target, _| (target != 0).then(|| report(1, false, 0)));
    net.run(Duration::from_secs(5));
    assert!(net.all(|t| t.liveness == "silent", 0));
    net.respond = Box::new(|_, _, _| Some(report(1, false, 0)));
    net.run(SPREAD_LIMIT);
    assert!(net.all(|t| t.liveness == "live", 0), "silent targets are not probed again");
}

#[test]
fn live_targets_are_probed_alike_and_suspected_ones_at_once() {
    let mut net = Net::new(8, 4);
    let span = Duration::from_secs(20);
    let mut count = |running: u32| {
        net.respond = Box::new(move |_, _, _| Some(report(1, false, running)));
        net.run(SPREAD_LIMIT);
        net.probes.clear();
        net.run(span);
        net.probes[&0].len() as f64 / span.as_secs_f64()
    };
    let (idle, busy) = (count(0), count(3));
    assert!((1.8..2.4).contains(&idle) && (1.8..2.4).contains(&busy), "{idle} and {busy} a second");

    // After the first missed probe, the next ones follow at the shortest interval.
    net.respond = Box::new(|_, target, _| (target != 0).then(|| report(1, false, 3)));
    net.probes.clear();
    net.run(SPREAD_LIMIT);
    assert!(net.all(|t| t.liveness == "silent", 0));
    assert!(net.probes[&0].len() >= 8, "{} probes", net.probes[&0].len());
}

#[test]
fn a_plain_service_without_reports_is_live() {
    let mut net = Net::new(2, 1);
    let target = TargetKey(0);
    for _ in 0..5 {
        net.daemons[0].handle(net.now, Event::TargetResponded { target });
    }
    assert_eq!(net.daemons[0].dump(net.now).targets[0].liveness, "live");
}

#[test]
fn runs_that_have_ended_are_forgotten() {
    let mut net = Net::new(2, 1);
    for incarnation in 1..=200 {
        net.respond = Box::new(move |_, _, _| Some(report(incarnation, true, 0)));
        net.run(PROBE * 2);
    }
    net.respond = Box::new(|_, _, _| Some(report(1_000, false, 0)));
    net.digests.clear();
    net.run(Duration::from_secs(3_700));
    // A restarted peer is sent all leaving marks that are still stored.
    let mut fresh = net.digests.last().unwrap().1.clone();
    fresh.incarnation = Incarnation(9);
    net.digests.clear();
    net.daemons[0].handle(
        net.now,
        Event::PeerDigest(Box::new(PeerDigest { address: Some(daemon(1)), ..fresh })),
    );
    net.run(DIGEST * 2);
    let most_marks = net.digests.iter().map(|(_, d)| d.leaving.len()).max();
    assert_eq!(most_marks, Some(0));
}

#[test]
fn digests_stay_within_the_control_traffic_of_a_daemon() {
    const LIMIT_PER_SECOND: usize = 4_096;
    for (daemons, engines) in [(2, 12), (9, 18), (72, 222)] {
        let mut net = Net::new(daemons, engines);
        // Loads change with each probe.
        net.respond =
            Box::new(|_, _, now| Some(report(1, false, (now.0 / 500_000 % 7) as u32 * 3)));
        net.run(Duration::from_secs(10));
        net.digests.clear();
        let seconds = 10;
        net.run(Duration::from_secs(seconds));
        let size = |d: &PeerDigest| {
            cumintrail_wire::to_msgpack(&DigestMessage::from(d.clone())).unwrap().len()
        };
        let total: usize = net.digests.iter().map(|(_, d)| size(d)).sum();
        let per_digest = total / net.digests.len();
        let per_second = total / daemons / seconds as usize;
        println!(
            "{daemons} daemons, {engines} engines: {per_digest} bytes a digest, \
             {per_second} bytes a second and daemon"
        );
        assert!(per_second < LIMIT_PER_SECOND, "{per_second} bytes a second");
    }
}

#[actix_rt::test]
async fn a_leaving_engine_gets_no_new_work_from_any_daemon() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    cluster.engines[0].set_fault(engine::Fault { leaving: true, ..engine::Fault::default() });
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    for daemon in &cluster.daemons {
        let deadline = std::time::Instant::now() + SPREAD_LIMIT;
        loop {
            let at = daemon.operator_address();
            let get = actix_http::Method::GET;
            let got = send(get, at, "/debug/state", &headers, "", SPREAD_LIMIT).await;
            let dump: cumintrail_control::Dump = got.json().unwrap();
            if dump.targets[0].leaving {
                break;
            }
            assert!(
                std::time::Instant::now() < deadline,
                "a daemon does not know that the engine is leaving"
            );
            actix_rt::time::sleep(STEP).await;
        }
    }
    // The incarnation stays marked as leaving although its next report says otherwise.
    cluster.engines[0].set_fault(engine::Fault::default());
    assert!(!eventually(Duration::from_millis(500), || cluster.engines[0].started() > 0).await);
}

#[actix_rt::test]
async fn a_probe_is_one_request_if_reports_carry_cache_events() {
    for events_in_reports in [true, false] {
        let limits = engine::Limits { events_in_reports, ..engine::Limits::default() };
        let cluster = Cluster::spawn(&Plan { engine: limits, ..Plan::default() }).await.unwrap();
        let engine = &cluster.engines[0];
        let prompt = "whey ".repeat(400);
        let body = format!(r#"{{"model":"curd","prompt":"{prompt}","max_tokens":1}}"#);
        let bearer = format!("Bearer {CALLER_KEY}");
        let headers = [("authorization", bearer.as_str())];
        for daemon in &cluster.daemons {
            let (at, post) = (daemon.caller_address(), actix_http::Method::POST);
            let got = send(post, at, "/v1/completions", &headers, body.clone(), SPREAD_LIMIT);
            assert_eq!(got.await.status, 200);
        }
        assert!(
            cluster_knows_blocks(&cluster).await,
            "the daemon did not receive the cache events"
        );
        assert_eq!(engine.event_reads() == 0, events_in_reports);
    }
}

async fn cluster_knows_blocks(cluster: &Cluster) -> bool {
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let at = cluster.daemons[0].operator_address();
    let deadline = std::time::Instant::now() + SPREAD_LIMIT;
    while std::time::Instant::now() < deadline {
        let get = actix_http::Method::GET;
        let got = send(get, at, "/debug/state", &headers, "", SPREAD_LIMIT).await;
        let dump: cumintrail_control::Dump = got.json().unwrap();
        if dump.targets.iter().any(|t| t.blocks > 0) {
            return true;
        }
        actix_rt::time::sleep(STEP).await;
    }
    false
}
