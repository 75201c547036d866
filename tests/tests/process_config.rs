//! A committed configuration is in force on all daemons within seconds and never reverts.

use cumintrail_tests::cluster::{CALLER_KEY, Plan, write};
use cumintrail_tests::deployment::{Deployment, IN_FORCE_LIMIT};
use cumintrail_tests::standins::platform::Fault;
use cumintrail_tests::standins::relay::Mode;
use cumintrail_types::Generation;
use nix::sys::signal::Signal;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");

fn plan(daemons: usize) -> Plan {
    Plan { engines: 1, daemons, services: 0, stores: 0, ..Plan::default() }
}

/// Returns the configuration with another account weight, a change that these tests see only as a
/// new generation.
fn changed(deployment: &Deployment, weight: u32) -> String {
    deployment.text.replace("[account litera]", &format!("[account litera]\nweight = {weight}"))
}

async fn generation(deployment: &Deployment, vm: usize) -> Generation {
    deployment.status(vm).await.map_or(Generation(0), |s| s.generation)
}

async fn switch(deployment: &Deployment, preset: &str) -> Generation {
    cumintrail_cli::switch_preset(&deployment.access, preset).await.unwrap()
}

#[actix_rt::test]
async fn a_change_and_a_preset_switch_are_in_force_everywhere_in_time() {
    let deployment = Deployment::spawn(BINARY, &plan(4)).await.unwrap();
    let applied = deployment.reapply(&changed(&deployment, 2)).await.unwrap();
    assert!(deployment.in_force_everywhere(applied).await);
    let switched = switch(&deployment, "peak").await;
    assert_eq!(switched.0, applied.0 + 1);
    assert!(deployment.in_force_everywhere(switched).await);
    for vm in 0..4 {
        let preset = deployment.status(vm).await.unwrap().preset;
        assert_eq!(preset.as_deref(), Some("peak"));
    }
}

#[actix_rt::test]
async fn a_killed_daemon_comes_back_with_the_newest_generation_while_the_platform_is_down() {
    let mut deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    let newest = switch(&deployment, "peak").await;
    assert!(deployment.in_force_everywhere(newest).await);
    deployment.platform.set_fault(Fault { down: true, ..Fault::default() });
    deployment.restart(0).unwrap();
    assert!(
        deployment.in_force(0, newest, IN_FORCE_LIMIT).await,
        "the generation was not read from a peer"
    );
    assert!(deployment.ask(0, CALLER_KEY, "x", 2).await.whole);
}

#[actix_rt::test]
async fn a_daemon_without_any_configuration_is_not_ready_and_refuses_truthfully() {
    let mut deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    deployment.isolate(0, Mode::Cut);
    deployment.restart(0).unwrap();
    let status = deployment.status(0).await.unwrap();
    assert!(!status.ready);
    let refusal = deployment.ask(0, CALLER_KEY, "x", 2).await.refusal.unwrap().error;
    assert_eq!(refusal.ran, cumintrail_types::Ran::No);
    deployment.isolate(0, Mode::Pass);
    assert!(deployment.in_force(0, Generation(1), IN_FORCE_LIMIT).await);
}

#[actix_rt::test]
async fn a_failure_domain_cut_off_from_the_platform_learns_of_a_change_from_its_neighbours() {
    for mode in [Mode::Cut, Mode::SilenceAll] {
        let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
        deployment.vms[0].platform.set(mode);
        let newest = switch(&deployment, "peak").await;
        assert!(deployment.in_force_everywhere(newest).await, "{mode:?}");
        assert!(deployment.ask(0, CALLER_KEY, "x", 2).await.whole, "{mode:?}");
    }
}

#[actix_rt::test]
async fn a_failure_domain_cut_off_from_everything_serves_on_and_catches_up_when_healed() {
    for mode in [Mode::Cut, Mode::SilenceAll] {
        let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
        let old = generation(&deployment, 0).await;
        deployment.isolate(0, mode);
        let newest = switch(&deployment, "maintenance").await;
        assert!(deployment.in_force(1, newest, IN_FORCE_LIMIT).await, "{mode:?}");
        assert_eq!(generation(&deployment, 0).await, old);
        assert!(
            deployment.ask(0, CALLER_KEY, "x", 2).await.whole,
            "{mode:?}: call failed while isolated"
        );
        deployment.isolate(0, Mode::Pass);
        assert!(
            deployment.in_force(0, newest, IN_FORCE_LIMIT).await,
            "{mode:?}: not caught up after the links were restored"
        );
    }
}

#[actix_rt::test]
async fn silent_links_to_platform_and_peers_do_not_delay_a_change() {
    let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    for vm in &deployment.vms {
        vm.platform.set(Mode::SilenceOpen);
        vm.peers.set(Mode::SilenceOpen);
    }
    let newest = switch(&deployment, "peak").await;
    assert!(deployment.in_force_everywhere(newest).await);
}

#[actix_rt::test]
async fn a_slow_platform_does_not_delay_a_change_beyond_the_limit() {
    let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    deployment.platform.set_fault(Fault { slow_ms: 300, ..Fault::default() });
    let newest = switch(&deployment, "peak").await;
    assert!(deployment.in_force_everywhere(newest).await);
}

#[actix_rt::test]
async fn an_operator_is_told_the_truth_when_the_platform_loses_its_answers() {
    let all = Fault { lose_answers: true, ..Fault::default() };
    let commits = Fault { lose_commits: true, ..Fault::default() };
    for fault in [all, commits] {
        let deployment = Deployment::spawn(BINARY, &plan(1)).await.unwrap();
        deployment.platform.set_fault(fault);
        let outcome = cumintrail_cli::switch_preset(&deployment.access, "peak").await;
        deployment.platform.set_fault(Fault::default());
        assert!(
            !fault.lose_commits || outcome.is_ok(),
            "the change was committed, but the operator got an error: {outcome:?}"
        );
        let committed = switch(&deployment, "peak").await;
        assert_eq!(committed, Generation(2), "{outcome:?}");
        assert!(deployment.in_force_everywhere(committed).await);
    }
}

#[actix_rt::test]
async fn of_two_operators_at_once_one_wins_each_generation_and_the_other_is_told() {
    let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    let [here, there] = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let mut committed = 1;
    for round in 0..6 {
        for (i, directory) in [&here, &there].into_iter().enumerate() {
            write(directory.path(), &changed(&deployment, 2 * round + 2 + i as u32)).unwrap();
        }
        let [a, b] = [&here, &there].map(|d| cumintrail_cli::apply(&deployment.access, d.path()));
        let (a, b) = futures_util::future::join(a, b).await;
        let mut winners: Vec<Generation> = [&a, &b].into_iter().flatten().copied().collect();
        winners.sort_unstable();
        assert!(!winners.is_empty(), "both changes were rejected: {a:?} {b:?}");
        for generation in winners {
            assert!(generation.0 > committed, "a generation was assigned twice: {a:?} {b:?}");
            committed = generation.0;
        }
    }
    assert!(deployment.in_force_everywhere(Generation(committed)).await);
    let presets =
        [deployment.status(0).await.unwrap().preset, deployment.status(1).await.unwrap().preset];
    assert_eq!(presets[0], presets[1]);
}

#[actix_rt::test]
async fn a_paused_daemon_never_goes_back_and_catches_up_when_it_goes_on() {
    let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    deployment.vms[0].process.signal(Signal::SIGSTOP);
    let mut newest = Generation(0);
    for preset in ["peak", "maintenance", "ordinary"] {
        newest = switch(&deployment, preset).await;
    }
    assert!(deployment.in_force(1, newest, IN_FORCE_LIMIT).await);
    deployment.vms[0].process.signal(Signal::SIGCONT);
    assert!(deployment.in_force(0, newest, IN_FORCE_LIMIT).await);
}

#[actix_rt::test]
async fn generations_never_fall_under_kills_cuts_and_racing_changes() {
    let mut deployment = Deployment::spawn(BINARY, &plan(3)).await.unwrap();
    let mut newest = Generation(1);
    let mut seen = [Generation(0); 3];
    for round in 0_usize..9 {
        let vm = round % 3;
        match round {
            1 | 4 => deployment.vms[vm].platform.set(Mode::Cut),
            2 => deployment.vms[vm].platform.set(Mode::SilenceAll),
            3 | 6 => deployment.platform.set_fault(Fault { slow_ms: 50, ..Fault::default() }),
            7 => deployment.vms.iter().for_each(|vm| vm.platform.set(Mode::Pass)),
            _ => deployment.platform.set_fault(Fault::default()),
        }
        let preset = ["peak", "maintenance", "ordinary"][round % 3];
        newest = newest.max(switch(&deployment, preset).await);
        for (vm, seen) in seen.iter_mut().enumerate() {
            let now = generation(&deployment, vm).await;
            assert!(now >= *seen, "vm {vm}: generation fell from {seen} to {now}");
            *seen = now;
        }
        if round == 5 {
            deployment.restart(2).unwrap();
            assert!(
                deployment.in_force(2, seen[2], IN_FORCE_LIMIT).await,
                "generation fell after a restart"
            );
        }
    }
    assert!(deployment.in_force_everywhere(newest).await);
    assert!(deployment.ask(0, CALLER_KEY, "x", 2).await.whole);
}

#[actix_rt::test]
async fn a_daemon_that_boots_while_the_platform_is_silent_is_ready_from_its_peers() {
    let mut deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    let newest = switch(&deployment, "peak").await;
    assert!(deployment.in_force_everywhere(newest).await);
    deployment.vms.iter().for_each(|vm| vm.platform.set(Mode::SilenceAll));
    deployment.restart(0).unwrap();
    assert!(
        deployment.in_force(0, newest, IN_FORCE_LIMIT).await,
        "the generation was not read from the peer"
    );
    assert!(deployment.status(0).await.unwrap().ready);
    assert!(deployment.ask(0, CALLER_KEY, "x", 2).await.whole);
}

#[actix_rt::test]
async fn two_daemons_that_boot_while_the_platform_is_silent_learn_from_the_third() {
    let mut deployment = Deployment::spawn(BINARY, &plan(3)).await.unwrap();
    let newest = switch(&deployment, "peak").await;
    assert!(deployment.in_force_everywhere(newest).await);
    deployment.vms.iter().for_each(|vm| vm.platform.set(Mode::SilenceAll));
    // The daemon that has the newest generation is unreachable at first, so the reads from peers
    // at startup fail.
    deployment.vms[2].peers.set(Mode::Cut);
    deployment.restart(0).unwrap();
    deployment.restart(1).unwrap();
    actix_rt::time::sleep(std::time::Duration::from_millis(700)).await;
    deployment.vms[2].peers.set(Mode::Pass);
    assert!(deployment.in_force_everywhere(newest).await);
}

#[actix_rt::test]
async fn a_cut_between_one_pair_of_daemons_does_not_keep_a_change_from_either() {
    for mode in [Mode::Cut, Mode::SilenceAll] {
        let deployment = Deployment::spawn(BINARY, &plan(3)).await.unwrap();
        deployment.set_pair(0, 1, mode);
        // The first daemon can receive the change only from the third.
        deployment.vms[0].platform.set(mode);
        let other = deployment.vms[1].peers.address().to_string();
        let is_other_silent = |dump: &serde_json::Value| {
            let peers = dump["peers"].as_array().cloned().unwrap_or_default();
            peers.iter().any(|p| p[0] == other.as_str() && p[1]["liveness"] == "silent")
        };
        let detected = deployment.until(0, IN_FORCE_LIMIT, is_other_silent).await;
        assert!(
            detected,
            "{mode:?}: the peer is not marked silent: {}",
            deployment.dump(0).await.unwrap()["peers"]
        );
        let newest = switch(&deployment, "peak").await;
        assert!(deployment.in_force_everywhere(newest).await, "{mode:?}");
    }
}
