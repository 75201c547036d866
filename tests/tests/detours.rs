//! Callers of a daemon that is partitioned from all targets are served through its peers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumintrail_config::Settings;
use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{
    Caller, KEY, LIMIT, STREAM, declarations, events, options, send, settings, status,
};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::path::{Path, PathState};
use cumintrail_tests::standins::replica::{Replica, Step, header};
use tokio::net::TcpStream;

/// The time from the start of a partition after which callers must be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Calls in each phase of a test.
const CALLS: usize = 30;

/// Daemons of which the first reaches the targets on paths that can be cut.
struct Deployment {
    targets: Vec<Replica>,
    paths: Vec<Path>,
    gateways: Vec<Gateway>,
}

impl Deployment {
    async fn spawn(gateways: usize, respond: impl Fn(&str) -> Vec<Step> + Clone + 'static) -> Self {
        let platform = FeedPlatform::new();
        platform.publish_declarations(1, &declarations(KEY));
        let (mut targets, mut paths) = (Vec::new(), Vec::new());
        for number in 0..4 {
            let target = Replica::bind_by_head(respond.clone()).await.unwrap();
            paths.push(Path::spawn(target.address()).unwrap());
            platform.list_target(&format!("t{number}"), 1, 1, "desk", target.address(), false);
            targets.push(target);
        }
        let on_paths = targets.iter().zip(&paths).map(|(t, p)| (t.address(), p.address()));
        let on_paths = platform.for_vm_with_paths(on_paths.collect());
        let mut deployment = Self { targets, paths, gateways: Vec::new() };
        for number in 0..gateways {
            let seed = deployment.gateways.first().map(Gateway::operator_address);
            let settings = Settings {
                vm: format!("vm-{number}").into(),
                peers: seed.into_iter().collect(),
                digest_interval: Duration::from_millis(100),
                ..settings()
            };
            let view = if number == 0 { on_paths.clone() } else { platform.for_vm() };
            deployment.gateways.push(Gateway::spawn(settings, &options(), &view).unwrap());
        }
        let ready = async {
            while !deployment.gateways.iter().all(Gateway::is_ready) {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        };
        actix_rt::time::timeout(LIMIT, ready).await.expect("the gateways are ready");
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        deployment
    }

    fn set_paths(&self, state: PathState) {
        self.paths.iter().for_each(|path| path.set(state));
    }

    fn carried(&self) -> usize {
        self.paths.iter().map(Path::carried).sum()
    }

    /// Returns the ids of the calls that targets received.
    fn received(&self) -> Vec<String> {
        let calls = self.targets.iter().flat_map(Replica::calls);
        calls.map(|call| header(&call, "x-cumintrail-call").unwrap().to_owned()).collect()
    }

    /// Makes calls to the first daemon, one after the other, until `time` has passed.
    async fn call_for(&self, time: Duration) {
        let begun = std::time::Instant::now();
        let mut number = 0;
        while begun.elapsed() < time {
            number += 1;
            let id = format!("early-{number}");
            let call = self.call("/read/", &id);
            let _ = actix_rt::time::timeout(Duration::from_millis(600), call).await;
        }
    }

    async fn call(&self, path: &str, id: &str) -> String {
        call(self.gateways[0].caller_address(), path, id).await
    }
}

async fn call(at: SocketAddr, path: &str, id: &str) -> String {
    let mut caller = Caller(TcpStream::connect(at).await.unwrap());
    caller.send(path, id, "connection: close\r\n", "two wheels").await;
    caller.rest().await
}

/// Answers a call with its own path and id, or streams four events.
fn respond(head: &str) -> Vec<Step> {
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    if path.starts_with("/flow/") || path.starts_with("/resume/") {
        return vec![send(STREAM), events(1..=4), send("0\r\n\r\n")];
    }
    let length = path.len();
    vec![send(&format!(
        "HTTP/1.1 200 OK\r\nx-cumintrail-call: {{id}}\r\ncontent-length: {length}\r\n\r\n{path}"
    ))]
}

fn is_served(path: &str, id: &str, response: &str) -> bool {
    let is_own = header(response, "x-cumintrail-call") == Some(id);
    let is_whole = if path.starts_with("/flow/") || path.starts_with("/resume/") {
        response.matches("id: ").count() == 4 && response.ends_with("0\r\n\r\n")
    } else {
        response.ends_with(path)
    };
    status(response) == "200" && is_own && is_whole
}

/// Guards against callers that are refused for as long as their daemon reaches no target.
#[actix_rt::test]
async fn callers_of_a_partitioned_daemon_are_served_through_its_peers() {
    for state in [PathState::Refused, PathState::Hung, PathState::NewRefused] {
        let deployment = Deployment::spawn(3, respond).await;
        assert_eq!(status(&deployment.call("/hold/", "before").await), "200");
        deployment.set_paths(state);
        deployment.call_for(CONTACT_TIME).await;

        let mut served = 0;
        for number in 0..CALLS {
            let path = ["/read/1", "/hold/2", "/flow/3", "/resume/4"][number % 4];
            let id = format!("{state:?}-{number}");
            let response = deployment.call(path, &id).await;
            served += usize::from(is_served(path, &id, &response));
        }
        assert!(served * 3 >= CALLS * 2, "{state:?}: {served} of {CALLS} calls were served");
        let received = deployment.received();
        let mut once = received.clone();
        once.sort();
        once.dedup();
        assert_eq!(once.len(), received.len(), "{state:?}: a call was sent to two targets");

        // Once the partition ends, the daemon goes its own way again.
        deployment.set_paths(PathState::Open);
        actix_rt::time::sleep(CONTACT_TIME).await;
        let before = deployment.carried();
        for number in 0..CALLS {
            let id = format!("{state:?}-after-{number}");
            assert_eq!(status(&deployment.call("/read/", &id).await), "200", "{state:?}");
        }
        assert!(deployment.carried() > before, "{state:?}: calls still go through peers");
    }
}

/// Guards against a stream that begins at one peer and goes on with another run at the next one.
#[actix_rt::test]
async fn a_stream_that_breaks_at_a_peer_is_not_continued_with_another_run() {
    let runs = Rc::new(Cell::new(0));
    let script = {
        let runs = runs.clone();
        move |head: &str| match header(head, "last-event-id") {
            _ if !head.contains(" /resume/") => respond(head),
            Some(_) => vec![Step::Reset],
            None => {
                runs.set(runs.get() + 1);
                let first = 100 * runs.get();
                let pause = Step::Pause(Duration::from_millis(100));
                vec![send(STREAM), events(first..=first + 1), pause, Step::Reset]
            }
        }
    };
    let deployment = Deployment::spawn(3, script).await;
    deployment.set_paths(PathState::Refused);
    deployment.call_for(CONTACT_TIME).await;
    for number in 0..4 {
        let response = deployment.call("/resume/", &format!("stream-{number}")).await;
        let ids: Vec<u64> =
            response.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect();
        assert_eq!(ids.len(), 2, "{response}");
        assert_eq!(ids[0] + 1, ids[1], "{response}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    }
    assert_eq!(runs.get(), 4, "a stream ran again from its start");
}
