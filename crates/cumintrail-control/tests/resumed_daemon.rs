//! What a daemon knows of its peers after a suspension.

use std::time::Duration;

use cumintrail_control::{Action, Control, Event, Identity, PeerDigest};
use cumintrail_types::{Incarnation, Moment};

const DIGEST_INTERVAL: Duration = Duration::from_millis(250);

fn control() -> Control {
    let identity = Identity {
        vm: "vm-1".into(),
        domain: "a".into(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().unwrap(),
        probe_interval: Duration::from_secs(1),
        digest_interval: DIGEST_INTERVAL,
        processor_share: 0,
    };
    let mut control = Control::new(identity, 1);
    control.follow_registry("a secret");
    control
}

/// Lets a second pass and returns the number of daemons that the last round of digests states; none
/// if the daemon has nobody to send one to.
fn known_daemons(control: &mut Control, from: Moment) -> Option<u32> {
    let mut known = None;
    for step in 0..10 {
        let actions = control.handle(from + Duration::from_millis(100) * step, Event::Tick);
        let digests = actions.into_iter().filter_map(|action| match action {
            Action::SendDigest { digest, .. } => Some(digest),
            _ => None,
        });
        if step > 5 {
            let sizes = digests.map(|d| d.domain_sizes.iter().map(|size| size.daemons).sum());
            known = known.or(sizes.last());
        }
    }
    known
}

/// Guards against a daemon that takes all of a limit or of the retry budget for its own share.
#[test]
fn a_daemon_counts_its_peers_after_a_suspension() {
    let mut control = control();
    for port in 2..6 {
        let digest = PeerDigest {
            vm: format!("vm-{port}").into(),
            domain: "a".into(),
            incarnation: Incarnation(1),
            address: Some(([127, 0, 0, 1], port).into()),
            ..PeerDigest::default()
        };
        control.handle(Moment(0), Event::PeerDigest(Box::new(digest)));
    }
    assert_eq!(known_daemons(&mut control, Moment(0)), Some(5));
    let resumed = Moment::from_millis(600_000);
    assert_eq!(known_daemons(&mut control, resumed), Some(5));
}
