//! Control states of several daemons in simulated time: their configuration and their digests.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, Target};
use cumintrail_control::{Control, Event, Identity, PeerDigest};
use cumintrail_types::{Generation, Incarnation, Moment, TargetKey};
use cumintrail_wire::peer::DigestMessage;
use cumintrail_wire::{from_msgpack, to_msgpack};

/// The interval between digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(250);

/// Returns a snapshot of two client accounts and a service `desk` with this number of targets, which
/// have no limits that matter here.
pub fn snapshot(targets: usize) -> Arc<Snapshot> {
    snapshot_with_limits(targets, "concurrency = 100000\nrequests_per_second = 100000\n")
}

/// Returns the same with these limits of each account.
pub fn snapshot_with_limits(targets: usize, limits: &str) -> Arc<Snapshot> {
    let digest = |n: u8| n.to_string().repeat(64);
    let account =
        |name: &str, n: u8| format!("[account {name}]\nkey_digests = {}\n{limits}", digest(n));
    let target = |i: usize| {
        format!(
            "[target s-{i}]\nservice = desk\naddress = 127.0.0.1:{}\nfailure_domain = a\nslots = 64\n",
            i + 1
        )
    };
    let declarations = format!(
        "[deployment]\nfirst_preset = day\n[preset day]\n{}{}[service desk]\n{}",
        account("coop", 0),
        account("shop", 1),
        (0..targets).map(target).collect::<String>()
    );
    let document = Document::parse(&"declarations".into(), &declarations).unwrap();
    let declared = Snapshot::build(Generation(1), &document.sections, None, None).unwrap();
    let listed: Vec<Target> = declared
        .targets
        .iter()
        .map(|(_, target)| Target { name: format!("{}@1", target.name).into(), ..target.clone() })
        .collect();
    declared.with_targets(1, listed).into()
}

/// Returns the snapshot with new incarnations of some targets, named by `revision`.
pub fn with_new_incarnations(
    snapshot: &Snapshot,
    revision: u64,
    renewed: &[TargetKey],
) -> Arc<Snapshot> {
    let listed = snapshot.targets.iter().filter(|(_, target)| !target.retired);
    let next = listed.map(|(key, target)| {
        let base = target.name.split('@').next().unwrap_or_default();
        let new_name = format!("{base}@{revision}").into();
        let name = if renewed.contains(&key) { new_name } else { target.name.clone() };
        Target { name, ..target.clone() }
    });
    snapshot.with_targets(revision, next.collect()).into()
}

/// Returns the keys of the targets in use.
pub fn listed_targets(snapshot: &Snapshot) -> Vec<TargetKey> {
    let listed = snapshot.targets.iter().filter(|(_, target)| !target.retired);
    listed.map(|(key, _)| key).collect()
}

/// Starts the daemon at a port, which knows the other ones up to `daemons`.
pub fn start_daemon(
    port: u16,
    incarnation: u64,
    daemons: u16,
    snapshot: &Arc<Snapshot>,
) -> Control {
    let identity = Identity {
        vm: vm(port),
        domain: domain(port),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], port).into(),
        probe_interval: Duration::from_secs(3_600),
        digest_interval: DIGEST_INTERVAL,
        processor_share: 0,
    };
    let mut control = Control::new(identity, incarnation);
    control.follow_registry("a key of sixteen bytes or more");
    control.handle(Moment(1), Event::Configured(snapshot.clone()));
    for other in (1..=daemons).filter(|other| *other != port) {
        let greeting = PeerDigest {
            vm: vm(other),
            domain: domain(other),
            incarnation: Incarnation(other.into()),
            address: Some(([127, 0, 0, 1], other).into()),
            ..PeerDigest::default()
        };
        control.handle(Moment(2), Event::PeerDigest(Box::new(greeting)));
    }
    control
}

/// Returns a digest as its receiver decodes it.
pub fn transmit(digest: PeerDigest) -> PeerDigest {
    let encoded = to_msgpack(&DigestMessage::from(digest)).unwrap();
    let decoded: DigestMessage = from_msgpack(&encoded).unwrap();
    decoded.into()
}

fn vm(port: u16) -> Arc<str> {
    format!("vm-{port}").into()
}

fn domain(port: u16) -> Arc<str> {
    format!("d{}", port % 4).into()
}
