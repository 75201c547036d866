//! Tests daemons of one failure domain that follow readers of the platform.

use std::time::Duration;

use cumintrail_config::Settings;
use cumintrail_daemon::{Gateway, GatewayOptions};
use cumintrail_tests::gateway_cluster::{KEY, LIMIT, WHOLE, declarations, options, send, settings};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::Replica;
use cumintrail_types::Generation;

/// The time in which a change must reach each daemon, whichever readers failed.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

struct Domain {
    platform: FeedPlatform,
    vms: Vec<(FeedPlatform, Gateway)>,
}

impl Domain {
    fn spawn(daemons: usize, target: &Replica) -> Self {
        let platform = FeedPlatform::new();
        platform.publish_declarations(1, &declarations(KEY));
        platform.list_target("t0", 1, 1, "desk", target.address(), false);
        let mut domain = Self { platform, vms: Vec::new() };
        for i in 0..daemons {
            let seed = domain.vms.first().map(|(_, gateway)| gateway.operator_address());
            let settings = Settings {
                vm: format!("vm-{i}").into(),
                peers: seed.into_iter().collect(),
                digest_interval: Duration::from_millis(100),
                ..settings()
            };
            let options = GatewayOptions { apply_limit: APPLY_LIMIT, ..options() };
            let link = domain.platform.for_vm();
            let gateway = Gateway::spawn(settings, &options, &link).unwrap();
            domain.vms.push((link, gateway));
        }
        domain
    }

    /// Returns the indexes of the daemons that send requests to the platform within a second.
    async fn readers(&self) -> Vec<usize> {
        let before: Vec<usize> = self.vms.iter().map(|(link, _)| link.requests()).collect();
        actix_rt::time::sleep(Duration::from_millis(1_200)).await;
        let now = self.vms.iter().map(|(link, _)| link.requests());
        let busy = before.iter().zip(now).enumerate().filter(|(_, (old, new))| *old < new);
        busy.map(|(index, _)| index).collect()
    }

    async fn until_two_read(&self) -> Vec<usize> {
        let wait = async {
            loop {
                let readers = self.readers().await;
                if readers.len() == 2 {
                    return readers;
                }
            }
        };
        actix_rt::time::timeout(LIMIT * 2, wait).await.expect("two daemons read the platform")
    }

    /// Waits until all daemons have a generation in force, for at most [`APPLY_LIMIT`].
    async fn until_generation(&self, generation: u64) {
        let wait = async {
            while self.vms.iter().any(|(_, g)| g.generation() < Generation(generation)) {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let outcome = actix_rt::time::timeout(APPLY_LIMIT, wait).await;
        let generations: Vec<u64> = self.vms.iter().map(|(_, g)| g.generation().0).collect();
        outcome.unwrap_or_else(|_| panic!("generations in force: {generations:?}"));
    }
}

#[actix_rt::test]
async fn two_daemons_read_and_changes_reach_the_others_although_readers_fail() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let mut domain = Domain::spawn(8, &target);
    let readers = domain.until_two_read().await;
    domain.platform.publish_declarations(2, &declarations(KEY));
    domain.until_generation(2).await;

    // Both readers are cut off from the platform, and still serve their followers: these read by
    // themselves, and peers pass the configuration on to the readers.
    for reader in &readers {
        domain.vms[*reader].0.set_cut(true);
    }
    domain.platform.publish_declarations(3, &declarations(KEY));
    domain.until_generation(3).await;
    for reader in &readers {
        domain.vms[*reader].0.set_cut(false);
    }
    assert_eq!(domain.until_two_read().await, readers);

    // A reader is gone: its followers continue at the other one, and a third daemon takes its place.
    let (_, gone) = domain.vms.remove(readers[0]);
    gone.stop().await;
    domain.platform.publish_declarations(4, &declarations(KEY));
    domain.until_generation(4).await;
    domain.until_two_read().await;
}

#[actix_rt::test]
async fn followers_learn_of_a_restored_platform_from_their_reader() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let domain = Domain::spawn(7, &target);
    domain.until_two_read().await;
    let copy = domain.platform.copy();
    domain.platform.publish_declarations(5, &declarations(KEY));
    domain.until_generation(5).await;
    domain.platform.restore(copy);
    // The next row has a version that an earlier row had before the restore.
    domain.platform.publish_declarations(6, &declarations(KEY));
    domain.until_generation(6).await;
}
