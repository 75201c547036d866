//! Committed configurations come into force on all daemons and never revert, also while the
//! platform fails.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use cumintrail_cli::CliError;
use cumintrail_client::config_log::{self, Outcome, Proposal};
use cumintrail_config::{Delta, SectionName};
use cumintrail_daemon::Daemon;
use cumintrail_tests::cluster::{
    CALLER_KEY, Cluster, OPERATOR_KEY, OTHER_KEY, Plan, eventually, settings,
};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::standins::platform::Fault;
use cumintrail_types::Generation;
use cumintrail_wire::configuration::Configuration;
use cumintrail_wire::operator::{Degradation, Status};
use cumintrail_wire::platform::{ListedRole, ListedVm};

/// The time within which a committed configuration must be in force on all daemons.
const IN_FORCE: Duration = Duration::from_secs(5);
const LIMIT: Duration = Duration::from_secs(4);

async fn status(daemon: &Daemon) -> Status {
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let at = daemon.operator_address();
    let got = send(Method::GET, at, "/operator/status", &headers, "", LIMIT).await;
    got.json().unwrap_or_else(|| panic!("unreadable status: {}", got.text()))
}

async fn wait_for(daemons: &[Daemon], generation: u64) {
    let deadline = std::time::Instant::now() + IN_FORCE;
    for daemon in daemons {
        while status(daemon).await.generation < Generation(generation) {
            assert!(
                std::time::Instant::now() < deadline,
                "generation {generation} is not in force in time"
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn prompt(daemon: &Daemon, key: &str) -> ClientResponse {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let body = r#"{"model":"curd","prompt":"brine","max_tokens":1}"#;
    send(Method::POST, daemon.caller_address(), "/v1/completions", &headers, body, LIMIT).await
}

fn listed(addresses: &[SocketAddr]) -> Vec<ListedVm> {
    let vm = |(i, address): (usize, &SocketAddr)| ListedVm {
        address: *address,
        domain: cumintrail_tests::cluster::domain(i),
        role: ListedRole::Daemon,
        leaving: false,
    };
    addresses.iter().enumerate().map(vm).collect()
}

#[actix_rt::test]
async fn a_switched_preset_and_a_removed_account_are_in_force_everywhere() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    assert_eq!(prompt(&cluster.daemons[1], OTHER_KEY).await.status, 200);
    cumintrail_cli::switch_preset(&cluster.access, "peak").await.unwrap();
    let path = cluster.declarations.path().join("deployment.ini");
    let text = std::fs::read_to_string(path).unwrap();
    let start = text.find("[account litera]").unwrap();
    let end = start + text[start..].find("[preset").unwrap();
    let generation = cluster.reapply(&text.replace(&text[start..end], "")).await.unwrap();

    wait_for(&cluster.daemons, generation.0).await;
    for daemon in &cluster.daemons {
        assert_eq!(status(daemon).await.preset.as_deref(), Some("peak"));
        assert_eq!(prompt(daemon, OTHER_KEY).await.status, 401);
        assert_eq!(prompt(daemon, CALLER_KEY).await.status, 200);
    }
}

#[actix_rt::test]
async fn a_daemon_cut_off_from_the_platform_learns_a_change_from_a_peer() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    // Nothing listens at this address, so the daemon never reaches the platform.
    let unreachable = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let known = [cluster.daemons[0].operator_address()];
    let isolated = [Daemon::spawn(settings(2, unreachable, &known).unwrap()).unwrap()];
    assert!(eventually(IN_FORCE, || isolated[0].is_ready()).await);

    let generation = cumintrail_cli::switch_preset(&cluster.access, "peak").await.unwrap();
    wait_for(&isolated, generation.0).await;
    assert_eq!(status(&isolated[0]).await.preset.as_deref(), Some("peak"));
}

#[actix_rt::test]
async fn a_new_daemon_takes_the_highest_generation_of_its_peers_while_the_platform_is_down() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let unreachable = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let old =
        Daemon::spawn(settings(2, unreachable, &[cluster.daemons[0].operator_address()]).unwrap())
            .unwrap();
    assert!(eventually(IN_FORCE, || old.is_ready()).await);
    let newest = cumintrail_cli::switch_preset(&cluster.access, "peak").await.unwrap();
    wait_for(&cluster.daemons, newest.0).await;
    cluster.platform.set_fault(Fault { down: true, ..Fault::default() });

    let alone = Daemon::spawn(settings(3, unreachable, &[]).unwrap()).unwrap();
    let peers = [old.operator_address(), cluster.daemons[1].operator_address()];
    let platform = cluster.platform.address();
    let fresh = [Daemon::spawn(settings(4, platform, &peers).unwrap()).unwrap()];
    wait_for(&fresh, newest.0).await;
    assert_eq!(status(&fresh[0]).await.preset.as_deref(), Some("peak"));
    assert!(!alone.is_ready(), "a daemon without any configuration is not ready");

    // A peer that still has an older generation must not revert the daemon.
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(status(&fresh[0]).await.generation, newest);
}

#[actix_rt::test]
async fn a_change_whose_answer_is_lost_is_accepted_once() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    cluster.platform.set_fault(Fault { lose_answers: true, ..Fault::default() });
    let generation = cumintrail_cli::switch_preset(&cluster.access, "peak").await.unwrap();
    assert_eq!(generation, Generation(2));
    wait_for(&cluster.daemons, 2).await;
    let head = config_log::read_head(&cluster.access.platform).await.unwrap();
    assert_eq!(head.generation(), Generation(2), "the change was applied twice");
}

#[actix_rt::test]
async fn a_change_is_in_force_in_time_while_the_platform_is_slow() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    cluster.platform.set_fault(Fault { slow_ms: 1_000, ..Fault::default() });
    let generation = cumintrail_cli::switch_preset(&cluster.access, "peak").await.unwrap();
    wait_for(&cluster.daemons, generation.0).await;
}

#[actix_rt::test]
async fn the_loser_of_a_race_is_told_what_the_winner_changed() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let access = &cluster.access;
    // The slow platform makes both operators read the same head before either writes.
    cluster.platform.set_fault(Fault { slow_ms: 300, ..Fault::default() });
    let (peak, maintenance) = futures_util::future::join(
        cumintrail_cli::switch_preset(access, "peak"),
        cumintrail_cli::switch_preset(access, "maintenance"),
    )
    .await;
    let (won, lost) = if peak.is_ok() { (peak, maintenance) } else { (maintenance, peak) };
    assert_eq!(won.unwrap(), Generation(2));
    let lost = lost.unwrap_err();
    assert!(matches!(&lost, CliError::Conflict { changes, .. } if changes.contains("preset")));
    assert_eq!(lost.exit_code(), 4);
}

#[actix_rt::test]
async fn a_configuration_that_cannot_be_read_keeps_the_old_one_and_shows_in_the_status() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let propose = async |delta: Delta| {
        let platform = &cluster.access.platform;
        let head = config_log::read_head(platform).await.unwrap();
        let preset = "ordinary".into();
        let id = format!("from-a-newer-build-{}", head.version);
        let retry_delay = config_log::COMMIT_RETRY_DELAY;
        let proposal = Proposal { head, id, delta, preset, retry_delay };
        config_log::propose(platform, &proposal, &Configuration::default().sections).await
    };
    let name = SectionName { kind: "cheese".into(), name: "new".into() };
    let unknown = Delta { set: vec![(name.clone(), "rind = yes\n".into())], removed: vec![] };
    assert!(matches!(propose(unknown).await, Outcome::Committed(Generation(2))));

    let deadline = std::time::Instant::now() + IN_FORCE;
    let is_not_adopted = |s: &Status| {
        s.degraded
            .iter()
            .any(|d| matches!(d, Degradation::NotAdopted { accepted, .. } if accepted.0 == 2))
    };
    while !is_not_adopted(&status(&cluster.daemons[0]).await) {
        assert!(
            std::time::Instant::now() < deadline,
            "the status does not report the configuration that was not adopted"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status(&cluster.daemons[0]).await.generation, Generation(1));
    assert_eq!(prompt(&cluster.daemons[0], CALLER_KEY).await.status, 200);

    propose(Delta { set: vec![], removed: vec![name] }).await;
    wait_for(&cluster.daemons, 3).await;
    assert!(!is_not_adopted(&status(&cluster.daemons[0]).await));
}

#[actix_rt::test]
async fn waiting_names_the_failure_domain_that_has_not_confirmed() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let unreachable = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let addresses = [cluster.daemons[0].operator_address(), unreachable];
    cluster.platform.list_vms(listed(&addresses));
    let missing =
        cumintrail_cli::wait_for_confirmation(&cluster.access, Generation(1), Some(1)).await;
    let missing = missing.unwrap_err();
    assert_eq!(missing.exit_code(), 5);
    let text = missing.to_string();
    assert!(text.contains("batangas") && !text.contains("laguna"), "{text}");
}
