//! The text and JSON output of `status` and the text output of `dump`.

use cumintrail_cli::status::{DaemonStatus, StatusReport};
use cumintrail_cli::{Style, dump};
use cumintrail_control::{
    CallDump, Dump, LimitDump, LimitedTargetDump, PeerDump, QuarantineDump, QueueDump, StoreDump,
    TargetDump,
};
use cumintrail_types::{Bytes, CallClass, CallKey, Generation, Incarnation, Tokens};
use cumintrail_wire::operator::{Age, Degradation, Status};
use insta::{assert_json_snapshot, assert_snapshot};

fn row(vm: &str, domain: &str, generation: u64, degraded: Vec<Degradation>) -> DaemonStatus {
    let status = Status {
        vm: vm.into(),
        domain: domain.into(),
        generation: Generation(generation),
        preset: Some("ordinary".into()),
        ready: true,
        up: Age(7_500_000),
        degraded,
        calls: 12,
        waiting: 3,
        pending_outcomes: 0,
    };
    DaemonStatus { domain: domain.into(), address: "10.0.0.1:7002".into(), status: Some(status) }
}

fn report() -> StatusReport {
    let silent = Degradation::TargetSilent {
        name: "curd-7".into(),
        domain: "bulacan".into(),
        last: Some(Age(12_300)),
    };
    let platform = Degradation::PlatformUnreachable { last: Some(Age(185_000)) };
    let unreachable =
        DaemonStatus { domain: "pampanga".into(), address: "10.0.2.1:7002".into(), status: None };
    let rows = vec![
        row("vm-a", "laguna", 41, vec![silent]),
        row("vm-b", "laguna", 41, Vec::new()),
        row("vm-c", "bulacan", 40, vec![platform]),
        unreachable,
    ];
    StatusReport::new(rows)
}

#[test]
fn status_names_what_is_degraded_and_who_has_not_confirmed() {
    assert_snapshot!(report().to_text(Style::Plain));
}

#[test]
fn status_is_one_object_for_scripts() {
    assert_json_snapshot!(report());
}

#[test]
fn colour_adds_escape_sequences_only() {
    let coloured = report().to_text(Style::Coloured);
    let plain = ["\x1b[32m", "\x1b[33m", "\x1b[1m", "\x1b[0m"]
        .iter()
        .fold(coloured.clone(), |text, code| text.replace(code, ""));
    assert_ne!(coloured, plain);
    assert_eq!(plain, report().to_text(Style::Plain));
}

#[test]
fn an_empty_deployment_has_a_status() {
    assert_snapshot!(
        StatusReport::new(Vec::new()).to_text(Style::Plain),
        @"generation 0 is in force in 0 of 0 failure domains"
    );
}

fn state() -> Dump {
    let call = CallDump {
        call: CallKey(7),
        account: "kesong".into(),
        class: CallClass::Model,
        phase: "streaming".into(),
        target: Some("curd-1".into()),
        attempts: 1,
        prompt: Tokens(16_000),
        age_ms: 820,
        left_ms: 119_180,
    };
    let target = TargetDump {
        name: "curd-1".into(),
        address: "10.0.0.9:80".parse().unwrap(),
        domain: "laguna".into(),
        liveness: "live".into(),
        leaving: false,
        retired: false,
        version: Some(3),
        loading: false,
        in_flight: 1,
        slots: 8,
        backlog: Tokens(2_000),
        blocks: 480,
        failures: 0,
        ejected_ms: 0,
        report_age_ms: Some(431),
    };
    let retired = TargetDump { name: "curd-0".into(), retired: true, ..target.clone() };
    let store = StoreDump {
        name: "cellar".into(),
        address: "10.0.0.8:80".parse().unwrap(),
        domain: "laguna".into(),
        liveness: "live".into(),
        retired: false,
        incarnation: Some(Incarnation(9)),
        listing_age_ms: Some(21_000),
        link_per_second: Bytes(1_000 << 20),
        observed_per_second: Bytes(640 << 20),
        link_in_flight: Bytes(0),
    };
    let peer = PeerDump {
        vm: "vm-b".into(),
        domain: "laguna".into(),
        generation: Generation(41),
        liveness: "live".into(),
        heard_ms: Some(900),
    };
    Dump {
        vm: "vm-a".into(),
        domain: "laguna".into(),
        incarnation: Incarnation(5),
        up_ms: 7_500_000,
        generation: Generation(41),
        preset: Some("ordinary".into()),
        stopping: false,
        waiting: 0,
        calls: vec![call],
        queues: vec![QueueDump { name: "curd".into(), waiting: 3 }],
        limits: vec![LimitDump {
            account: "kesong".into(),
            in_flight: 1,
            concurrency: 64,
            share: 0.25,
            weight: 4,
        }],
        targets: vec![retired, target],
        stores: vec![store],
        kept_blocks: 26_000,
        peers: vec![("10.0.0.2:7002".parse().unwrap(), peer)],
        quarantined: vec![QuarantineDump {
            content: "00c0ffee00c0ffee".into(),
            account: Some("kesong".into()),
            left_ms: 480_000,
        }],
        limited: vec![LimitedTargetDump {
            name: "curd-1".into(),
            limit: 2.3,
            share: 0.33,
            credit: 0.5,
            age_ms: 400,
        }],
    }
}

#[test]
fn a_dump_is_a_page_of_tables() {
    assert_snapshot!(dump::to_text(&state(), Style::Plain));
}

#[test]
fn an_idle_daemon_has_a_dump() {
    let idle = Dump {
        preset: None,
        stopping: true,
        calls: Vec::new(),
        queues: Vec::new(),
        limits: Vec::new(),
        targets: Vec::new(),
        stores: Vec::new(),
        peers: Vec::new(),
        quarantined: Vec::new(),
        limited: Vec::new(),
        ..state()
    };
    assert_snapshot!(dump::to_text(&idle, Style::Plain));
}
