//! Tests reads of the platform: few daemons read, and the other daemons stay current when these
//! readers fail.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{HttpPlatform, VmListReader};
use cumintrail_config::{Document, Snapshot};
use cumintrail_control::membership::VersionedVmList;
use cumintrail_control::{Action, Actions, Control, Event, Identity, VmEntry, VmRole, VmState};
use cumintrail_tests::cluster::{Cluster, LOOPBACK, Plan, declare, domain};
use cumintrail_tests::standins::platform::{Fault, Platform};
use cumintrail_types::{Generation, Incarnation, Moment};
use cumintrail_wire::platform::{ListedRole, ListedVm};
use proptest::prelude::*;

/// The time limit for a change to be in force on all daemons.
const IN_FORCE: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(50);
const READ: Duration = Duration::from_millis(1_500);
const DAEMONS: usize = 72;

fn daemon(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 0], 7_000 + i as u16))
}

fn target() -> SocketAddr {
    SocketAddr::from(([10, 0, 2, 0], 7_000))
}

fn snapshot(generation: u64) -> Arc<Snapshot> {
    snapshot_of(generation, 1)
}

fn snapshot_of(generation: u64, targets: usize) -> Arc<Snapshot> {
    let at = |i| SocketAddr::new(target().ip(), target().port() + i as u16);
    let addresses: Vec<SocketAddr> = (0..targets).map(at).collect();
    let text = declare(&Plan::default(), &addresses, &[], &[]);
    let sections = Document::parse(&"test".into(), &text).unwrap().sections;
    Arc::new(Snapshot::build(Generation(generation), &sections, None, None).unwrap())
}

fn list(state: VmState) -> Vec<VmEntry> {
    let entry =
        |address, i, role, state| VmEntry { address, domain: domain(i).into(), role, state };
    let daemons = (0..DAEMONS).map(|i| entry(daemon(i), i, VmRole::Daemon, VmState::Live));
    daemons.chain([entry(target(), 0, VmRole::Target, state)]).collect()
}

/// The simulated condition of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    Healthy,
    Stopped,
    CutFromPlatform,
    ReadsOldList,
}

/// Simulates daemons in virtual time and the platform that they read.
struct Net {
    now: Moment,
    daemons: Vec<Control>,
    vm_lists: Vec<VersionedVmList>,
    states: Vec<Status>,
    generation: u64,
    lists: Vec<Vec<VmEntry>>,
    reads: BTreeMap<usize, u32>,
}

impl Net {
    fn new() -> Self {
        let start = |i: usize| {
            let identity = Identity {
                vm: format!("vm-{i}").into(),
                domain: domain(i).into(),
                incarnation: Incarnation(1),
                address: daemon(i),
                probe_interval: Duration::from_millis(500),
                digest_interval: Duration::from_secs(1),
                processor_share: 0,
            };
            let mut control = Control::new(identity, i as u64);
            control.enable_platform_reads(READ);
            control
        };
        Self {
            now: Moment::default(),
            daemons: (0..DAEMONS).map(start).collect(),
            vm_lists: (0..DAEMONS).map(|_| VersionedVmList::default()).collect(),
            states: vec![Status::Healthy; DAEMONS],
            generation: 1,
            lists: vec![list(VmState::Live)],
            reads: BTreeMap::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for i in 0..DAEMONS {
                self.send(i, Event::Tick);
            }
        }
    }

    fn send(&mut self, i: usize, event: Event) {
        if self.states[i] != Status::Stopped {
            let before = self.daemons[i].generation();
            let actions = self.daemons[i].handle(self.now, event);
            assert!(
                self.daemons[i].generation() >= before,
                "the generation of daemon {i} decreased"
            );
            self.follow(i, actions);
        }
    }

    fn follow(&mut self, i: usize, actions: Actions) {
        for action in actions {
            match action {
                Action::ReadGeneration => self.read_head(i),
                Action::ReadVmList => self.read_vms(i),
                Action::GetVmList { from } => {
                    let changes =
                        self.vm_lists[index(from)].changes_after(self.vm_lists[i].sequence());
                    if changes.is_some_and(|changes| self.vm_lists[i].apply(changes)) {
                        self.tell_list(i);
                    }
                }
                Action::SendDigest { to, .. } if self.states[index(to)] == Status::Stopped => {
                    self.send(i, Event::PeerSilent { address: to });
                }
                Action::SendDigest { to, digest } => {
                    if digest.generation > self.daemons[index(to)].generation() {
                        let newer = snapshot(digest.generation.0);
                        self.send(index(to), Event::Configured(newer));
                    }
                    self.send(index(to), Event::PeerDigest(digest));
                }
                _ => {}
            }
        }
    }

    fn read_head(&mut self, i: usize) {
        *self.reads.entry(i).or_default() += 1;
        let succeeded = self.states[i] != Status::CutFromPlatform;
        if succeeded && self.daemons[i].generation().0 < self.generation {
            self.send(i, Event::Configured(snapshot(self.generation)));
        }
        self.send(i, Event::GenerationRead { succeeded });
    }

    fn read_vms(&mut self, i: usize) {
        let sequence = match self.states[i] {
            Status::CutFromPlatform => return self.send(i, Event::VmListRead { sequence: None }),
            Status::ReadsOldList => 1,
            _ => self.lists.len(),
        };
        if self.vm_lists[i].replace(sequence as u64, self.lists[sequence - 1].clone()) {
            self.tell_list(i);
        }
        self.send(i, Event::VmListRead { sequence: Some(sequence as u64) });
    }

    fn tell_list(&mut self, i: usize) {
        let (sequence, vms) = (self.vm_lists[i].sequence(), self.vm_lists[i].vms());
        self.send(i, Event::VmListReceived { sequence, vms });
    }

    /// Returns the two daemons with the most reads in each failure domain.
    fn readers(&self) -> Vec<usize> {
        let of_domain = |d: usize| {
            let mut near: Vec<usize> = (0..DAEMONS).filter(|i| i % 4 == d).collect();
            near.sort_by_key(|i| std::cmp::Reverse(self.reads.get(i).copied().unwrap_or(0)));
            near.into_iter().take(2)
        };
        (0..4).flat_map(of_domain).collect()
    }
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - 7_000)
}

#[test]
fn few_daemons_read_the_platform() {
    let mut net = Net::new();
    net.run(Duration::from_secs(10));
    net.reads.clear();
    net.run(Duration::from_secs(30));
    let reads: u32 = net.reads.values().sum();
    let by_all = DAEMONS as f64 * 30.0 / READ.as_secs_f64();
    println!("{reads} reads of the head in 30 s; if all read, {by_all}");
    assert!(f64::from(reads) < by_all / 3.0, "{reads} of {by_all}");
}

#[test]
fn a_change_is_known_everywhere_in_time_whatever_happens_to_the_readers() {
    for state in [Status::Healthy, Status::Stopped, Status::CutFromPlatform, Status::ReadsOldList] {
        let mut net = Net::new();
        net.run(Duration::from_secs(10));
        net.reads.clear();
        net.run(Duration::from_secs(10));
        for reader in net.readers() {
            net.states[reader] = state;
        }
        net.generation = 2;
        net.lists.push(list(VmState::Leaving));
        net.run(IN_FORCE);
        for i in (0..DAEMONS).filter(|i| net.states[*i] != Status::Stopped) {
            let dump = net.daemons[i].dump(net.now);
            assert_eq!(dump.generation, Generation(2), "daemon {i}, {state:?}");
            assert!(dump.targets[0].leaving, "daemon {i}, {state:?}");
        }
    }
}

#[test]
fn a_daemon_whose_read_failed_looks_until_the_platform_answers() {
    let mut net = Net::new();
    net.run(Duration::from_secs(10));
    net.states.fill(Status::CutFromPlatform);
    net.run(Duration::from_secs(10));
    net.states.fill(Status::Healthy);
    net.reads.clear();
    net.run(READ * 2);
    assert_eq!(net.reads.len(), DAEMONS, "a daemon did not read the platform after its recovery");
}

/// Guards against a new process that probes all targets before it knows of any other daemon.
#[test]
fn a_new_daemon_probes_only_its_targets_once_it_has_the_list() {
    const TARGETS: usize = 400;
    let probes =
        |actions: Actions| actions.iter().filter(|a| matches!(a, Action::Probe(_))).count();
    for list_is_read in [true, false] {
        let mut control = Net::new().daemons.swap_remove(0);
        control.handle(Moment::default(), Event::Configured(snapshot_of(1, TARGETS)));
        assert_eq!(probes(control.handle(Moment::default(), Event::Tick)), 0);
        let sequence = list_is_read.then_some(1);
        if list_is_read {
            let vms = list(VmState::Live);
            control.handle(Moment::default(), Event::VmListReceived { sequence: 1, vms });
        }
        control.handle(Moment::default(), Event::VmListRead { sequence });
        let sent = probes(control.handle(Moment::default(), Event::Tick));
        // Without a list the daemon may be the only one that reaches the targets.
        let expected = if list_is_read { 1..TARGETS / 10 } else { TARGETS..TARGETS + 1 };
        assert!(expected.contains(&sent), "{sent} probes, list read: {list_is_read}");
    }
}

#[actix_rt::test]
async fn an_unchanged_list_is_not_sent_again() {
    let platform = Platform::spawn(LOOPBACK, 200, 2).unwrap();
    let at = platform.address();
    let client = HttpPlatform::open(at, at, at);
    platform.list_vms(Vec::new());
    assert_eq!(client.vms_if_changed(0).await.unwrap().unwrap().sequence, 1);
    assert!(client.vms_if_changed(1).await.unwrap().is_none());
    platform.list_vms(Vec::new());
    assert_eq!(client.vms_if_changed(1).await.unwrap().unwrap().sequence, 2);
}

/// Guards against a full read of the VM list by a daemon that has received this list from a peer.
#[actix_rt::test]
async fn a_list_that_is_known_from_a_peer_is_not_read_again() {
    let cluster = Cluster::spawn(&Plan { daemons: 12, ..Plan::default() }).await.unwrap();
    let mut vms = Vec::new();
    for (i, daemon) in cluster.daemons.iter().enumerate() {
        let (address, domain) = (daemon.operator_address(), domain(i));
        vms.push(ListedVm { address, domain, role: ListedRole::Daemon, leaving: false });
    }
    let settle = IN_FORCE / 2;
    actix_rt::time::sleep(settle).await;
    let before = cluster.platform.lists_sent();
    vms[0].leaving = true;
    cluster.platform.list_vms(vms);
    actix_rt::time::sleep(settle).await;
    let sent = cluster.platform.lists_sent() - before;
    assert!((1..12).contains(&sent), "{sent} lists for one change");

    // After failed reads each daemon reads the platform itself.
    cluster.platform.set_fault(Fault { down: true, ..Fault::default() });
    actix_rt::time::sleep(settle).await;
    cluster.platform.set_fault(Fault::default());
    actix_rt::time::sleep(settle).await;
    assert_eq!(cluster.platform.lists_sent() - before, sent);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]
    /// Applied changes give the same list as a full read, also when either side missed some lists.
    #[test]
    fn told_changes_make_the_whole_list(
        lists in prop::collection::vec(prop::collection::btree_map(0..12_usize, any::<bool>(), 0..8), 1..12),
        seen in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 12),
    ) {
        let (mut sender, mut receiver) = (VersionedVmList::default(), VersionedVmList::default());
        for ((sequence, vms), (sender_reads, receiver_reads, syncs)) in (1..).zip(&lists).zip(seen) {
            let vms: Vec<VmEntry> = vms.iter().map(|(i, leaving)| VmEntry {
                address: daemon(*i),
                domain: domain(*i).into(),
                role: VmRole::Target,
                state: if *leaving { VmState::Leaving } else { VmState::Live },
            }).collect();
            if sender_reads {
                sender.replace(sequence, vms.clone());
            }
            if receiver_reads {
                receiver.replace(sequence, vms);
            }
            if let Some(changes) = sender.changes_after(receiver.sequence()).filter(|_| syncs) {
                prop_assert!(receiver.apply(changes));
                prop_assert_eq!(receiver.vms(), sender.vms());
            }
        }
    }
}
