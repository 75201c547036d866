//! Gateways on a platform in memory, and callers that check what they are sent.

use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_config::{LogFormat, Secret, Settings};
use cumintrail_control::home_regions::Regions;
use cumintrail_control::retry::RetryPolicy;
use cumintrail_daemon::held::HeldLimits;
use cumintrail_daemon::{Gateway, GatewayOptions};
use cumintrail_types::{Clock, Digest};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::standins::feed::FeedPlatform;
use crate::standins::replica::{Replica, Step};

/// Time within which what a test waits for must happen.
pub const LIMIT: Duration = Duration::from_secs(10);
const ANY: &str = "127.0.0.1:0";
/// The size limit of a call's body, in bytes.
pub const BODY_LIMIT: usize = 2_000;
/// The key of the caller.
pub const KEY: &str = "caller-key-of-cheese";
/// A complete response of a target.
pub const WHOLE: &str =
    "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\ncontent-length: 5\r\n\r\nwheel";
/// The head of a streamed response.
pub const STREAM: &str =
    "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns declarations with one service, and a caller that has this key.
pub fn declarations(key: &str) -> String {
    let digest = Digest::of(key.as_bytes());
    let route = |name: &str, class: &str, attempts: u8| {
        format!(
            "[route {name}]\nhost = shop.example\nprefix = /{name}/\nclass = {class}\nto = desk\n\
             timeout_ms = 3000\nattempts = {attempts}\n"
        )
    };
    let routes = [
        route("read", "repeatable", 2),
        route("hold", "once", 1),
        route("flow", "stream", 1),
        route("resume", "resumable-stream", 2),
    ];
    format!(
        "[deployment]\nfirst_preset = day\ncaller_head_bytes = 2000\ncaller_body_bytes = {BODY_LIMIT}\n[preset day]\n\
         [account coop]\nkey_digests = {digest}\nrequests_per_second = 1000000\n[service desk]\n{}",
        routes.concat()
    )
}

/// Returns the options of a gateway without limits that matter here.
pub fn options() -> GatewayOptions {
    GatewayOptions {
        caller_address: ANY.parse().unwrap(),
        readiness_address: None,
        metrics_address: None,
        detour_address: Some(ANY.parse().unwrap()),
        retry_policy: RetryPolicy::default(),
        cold_tolerance: None,
        weights_bound: LIMIT,
        heartbeat_interval: Duration::from_millis(400),
        domain_failover: false,
        stop_limit: LIMIT,
        apply_limit: Duration::from_secs(2),
        regions: Regions::default(),
        processor_share: 0,
        held_limits: HeldLimits::of_vm(512 << 20, 8_192),
        clock: Clock::start(),
    }
}

/// Returns the settings of a VM without peers.
pub fn settings() -> Settings {
    let any: SocketAddr = ANY.parse().unwrap();
    let key = || Secret::new("a key of sixteen bytes or more");
    Settings {
        vm: "vm-1".into(),
        domain: "a".into(),
        caller_address: any,
        operator_address: any,
        peer_address: None,
        operator_key: key(),
        peer_key: key(),
        block_secret: key(),
        table: any,
        objects: any,
        vm_list: any,
        peers: Vec::new(),
        max_body_bytes: 1 << 20,
        request_timeout: LIMIT,
        stall_limit: LIMIT,
        max_connections: 100,
        control_queue: 1_024,
        workers: 1,
        config_poll_interval: Duration::from_secs(1),
        probe_interval: Duration::from_millis(200),
        digest_interval: Duration::from_secs(1),
        stop_grace: Duration::from_millis(200),
        drain_limit: LIMIT,
        log_format: LogFormat::Text,
        log_level: "info".into(),
    }
}

/// A gateway and its platform.
pub struct Cluster {
    /// The platform.
    pub platform: FeedPlatform,
    /// The gateway.
    pub gateway: Gateway,
}

impl Cluster {
    /// Starts a gateway in front of these targets, which are named `t0`, `t1` and so on.
    pub async fn spawn(targets: &[&Replica]) -> Self {
        Self::spawn_in_front(settings(), options(), targets).await
    }

    /// Starts a gateway in front of these targets whose planned stop waits this long for calls, half
    /// of it as grace for the balancer.
    pub async fn spawn_stopping_within(stop_limit: Duration, targets: &[&Replica]) -> Self {
        let settings = Settings { stop_grace: stop_limit / 2, ..settings() };
        Self::spawn_in_front(settings, GatewayOptions { stop_limit, ..options() }, targets).await
    }

    async fn spawn_in_front(
        settings: Settings,
        options: GatewayOptions,
        targets: &[&Replica],
    ) -> Self {
        let platform = FeedPlatform::new();
        platform.publish_declarations(1, &declarations(KEY));
        for (i, target) in targets.iter().enumerate() {
            platform.list_target(&format!("t{i}"), 1, 1, "desk", target.address(), false);
        }
        let cluster = Self::spawn_with(settings, &options, platform);
        cluster.until(Gateway::is_ready).await;
        cluster
    }

    /// Starts a gateway on a platform.
    pub fn spawn_on(platform: FeedPlatform) -> Self {
        Self::spawn_by(Clock::start(), platform)
    }

    /// Starts a gateway that measures time with a clock.
    pub fn spawn_by(clock: Clock, platform: FeedPlatform) -> Self {
        Self::spawn_with(settings(), &GatewayOptions { clock, ..options() }, platform)
    }

    /// Starts a gateway with these settings and options on a platform.
    pub fn spawn_with(
        settings: Settings,
        options: &GatewayOptions,
        platform: FeedPlatform,
    ) -> Self {
        let gateway = Gateway::spawn(settings, options, &platform).unwrap();
        Self { platform, gateway }
    }

    /// Waits until the gateway is in a state.
    pub async fn until(&self, holds: impl Fn(&Gateway) -> bool) {
        let wait = async {
            while !holds(&self.gateway) {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        };
        actix_rt::time::timeout(LIMIT, wait).await.expect("the gateway reaches the expected state");
    }

    /// Opens a caller's connection.
    pub async fn connect(&self) -> Caller {
        Caller(TcpStream::connect(self.gateway.caller_address()).await.unwrap())
    }

    /// Sends a call on a connection of its own and reads until the connection ends.
    pub async fn call(&self, path: &str) -> String {
        let mut caller = self.connect().await;
        caller.send(path, "c-1", "connection: close\r\n", "").await;
        caller.rest().await
    }
}

/// Gateways on one platform that exchange digests.
pub struct Fleet {
    /// The platform.
    pub platform: FeedPlatform,
    /// The gateways.
    pub gateways: Vec<Gateway>,
}

impl Fleet {
    /// Starts gateways in front of these targets, and waits until they are ready.
    pub async fn spawn(gateways: usize, targets: &[(&str, &Replica)]) -> Self {
        let platform = FeedPlatform::new();
        platform.publish_declarations(1, &declarations(KEY));
        for (id, target) in targets {
            platform.list_target(id, 1, 1, "desk", target.address(), false);
        }
        let mut fleet = Self { platform, gateways: Vec::new() };
        for number in 0..gateways {
            fleet.start_gateway(number);
        }
        let wait = async {
            while !fleet.gateways.iter().all(Gateway::is_ready) {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        };
        actix_rt::time::timeout(LIMIT, wait).await.expect("the gateways are ready");
        fleet
    }

    /// Starts one more gateway.
    pub fn start_gateway(&mut self, number: usize) {
        let seed = self.gateways.first().map(Gateway::operator_address);
        let settings = Settings {
            vm: format!("vm-{number}").into(),
            peers: seed.into_iter().collect(),
            digest_interval: Duration::from_millis(100),
            ..settings()
        };
        let gateway = Gateway::spawn(settings, &options(), &self.platform.for_vm()).unwrap();
        self.gateways.push(gateway);
    }

    /// Sends a call to a gateway on a connection of its own and reads until the connection ends.
    pub async fn call(&self, gateway: usize, path: &str, id: &str) -> String {
        let address = self.gateways[gateway].caller_address();
        let mut caller = Caller(TcpStream::connect(address).await.unwrap());
        caller.send(path, id, "connection: close\r\n", "").await;
        caller.rest().await
    }
}

/// A caller's connection.
pub struct Caller(pub TcpStream);

impl Caller {
    /// Sends a call.
    pub async fn send(&mut self, path: &str, id: &str, headers: &str, body: &str) {
        self.send_as(KEY, path, id, headers, body).await;
    }

    /// Sends a call of another account.
    pub async fn send_as(&mut self, key: &str, path: &str, id: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {key}\r\n\
             x-cumintrail-call: {id}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        );
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the text contains `end`.
    pub async fn until(&mut self, end: &str) -> String {
        let mut text = String::new();
        let read = async {
            while !text.contains(end) {
                let byte = self.0.read_u8().await.expect("the connection stays open");
                text.push(char::from(byte));
            }
        };
        actix_rt::time::timeout(LIMIT, read).await.expect("the response arrives");
        text
    }

    /// Reads until the connection is closed or reset.
    pub async fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let read = actix_rt::time::timeout(LIMIT, self.0.read_to_end(&mut bytes)).await;
        let _reset = read.expect("the connection ends");
        String::from_utf8(bytes).unwrap()
    }
}

/// Returns the step that sends a text.
pub fn send(text: &str) -> Step {
    Step::Send(text.into())
}

/// Returns the step that sends the events of a stream with these ids.
pub fn events(ids: std::ops::RangeInclusive<u64>) -> Step {
    let chunk = |id| {
        let event = format!("id: {id}\ndata: {id}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    };
    Step::Send(ids.map(chunk).collect())
}

/// Returns the status of a response.
pub fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}
