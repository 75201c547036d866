//! One reader for each kind of declaration; docs/OPERATIONS.md lists the keys.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{
    AccountKey, Arena, Bytes, CallClass, Digest, DomainKey, Key, ModelKey, RequestRate, ServiceKey,
    Tokens, Urgency, WeightVersion,
};
use smallvec::SmallVec;

use crate::reader::suggest;
use crate::{
    Account, CallerLimits, ColdStart, Deployment, Material, Model, Preset, Problems, Route,
    Section, SectionReader, SectionReference, Service, Store, Target, TargetKind, WeightedKind,
};

const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
const MIB: u64 = 1 << 20;

type Domains = Arena<DomainKey, Arc<str>>;

pub(super) fn deployment(r: &mut SectionReader<'_>) -> Deployment {
    Deployment {
        block_tokens: Tokens(r.integer("piece_tokens", 2_000, 1..=1_000_000) as u32),
        bytes_per_token: r.integer("bytes_per_token", 4, 1..=64) as u32,
        first_preset: r.required("first_preset", String::new()).into(),
        load_slots: r.integer("load_slots", 2, 1..=64) as u8,
        record_retention: r.millis("record_life_ms", 86_400_000, 1_000..=2_592_000_000),
        default_deadline: r.millis("default_deadline_ms", 120_000, 100..=3_600_000),
        evacuated_domains: r.list("evacuated_domains"),
        callers: CallerLimits {
            head_bytes: r.integer("caller_head_bytes", 16_384, 256..=131_072) as usize,
            body_bytes: r.integer("caller_body_bytes", 4 << 20, 1_024..=256 << 20) as usize,
            head_timeout: r.millis("caller_head_timeout_ms", 5_000, 100..=120_000),
            idle_timeout: r.millis("caller_idle_timeout_ms", 30_000, 100..=3_600_000),
        },
    }
}

pub(super) fn model(name: &Arc<str>, r: &mut SectionReader<'_>) -> Model {
    Model {
        name: name.clone(),
        weights_name: r.text("weights").unwrap_or_else(|| name.clone()),
        version: WeightVersion(r.integer("version", 1, 1..=u64::MAX)),
        state_bytes_per_token: Bytes(r.integer("state_bytes_per_token", 131_072, 1..=1 << 30)),
        token_gap: r.millis("token_gap_ms", 2_000, 10..=60_000),
        memory_tokens: Tokens(r.integer("memory_tokens", 1_000_000, 1..=u64::from(u32::MAX)) as u32),
        connections: r.integer("connections", 1_024, 1..=1_000_000) as u32,
        cold_start: cold_start(r),
        identity_path: r.optional("identity_path"),
    }
}

/// Reads what cold targets take; a zero rate or period means no limit.
fn cold_start(r: &mut SectionReader<'_>) -> Option<ColdStart> {
    let period = r.millis("cold_start_ms", 0, 0..=3_600_000);
    let rate = RequestRate::from_per_second(r.non_negative("cold_per_second", 0.0));
    (!period.is_zero() && rate.0 > 0).then_some(ColdStart { period, rate })
}

pub(super) fn service(name: &Arc<str>, r: &mut SectionReader<'_>) -> Service {
    Service {
        name: name.clone(),
        repeatable: match r.list("repeatable") {
            methods if methods.is_empty() => vec!["GET".into(), "HEAD".into()],
            methods => methods,
        },
        timeout: r.millis("timeout_ms", 5_000, 10..=600_000),
        connections: r.integer("connections", 1_024, 1..=1_000_000) as u32,
        cold_start: cold_start(r),
        identity_path: r.optional("identity_path"),
    }
}

pub(super) fn account(name: &Arc<str>, r: &mut SectionReader<'_>) -> Account {
    let tokens = 1..=u64::from(u32::MAX);
    Account {
        name: name.clone(),
        key_digests: read_digests(r),
        weight: r.integer("weight", 1, 1..=1_000) as u32,
        concurrency: r.integer("concurrency", 16, 1..=100_000) as u32,
        requests_per_second: r.integer("requests_per_second", 1_000, 1..=1_000_000) as u32,
        tokens_per_second: r.integer("tokens_per_second", 1_000_000, tokens) as u32,
        urgency: r.optional::<u8>("urgency").map(Urgency),
        isolated: r.choice("isolated", &[("no", false), ("yes", true)]),
        allowed_regions: r.list("allowed_regions"),
        retired: false,
    }
}

pub(super) fn material(
    name: &Arc<str>,
    r: &mut SectionReader<'_>,
    accounts: &Arena<AccountKey, Account>,
    models: &Arena<ModelKey, Model>,
) -> Material {
    Material {
        name: name.clone(),
        account: resolve_name(r, "account", accounts.iter().map(|(k, a)| (k, &a.name))),
        model: resolve_name(r, "model", models.iter().map(|(k, m)| (k, &m.name))),
        digest: r.required("digest", Digest([0; 32])),
    }
}

pub(super) fn target(
    name: &Arc<str>,
    r: &mut SectionReader<'_>,
    domains: &mut Domains,
    models: &Arena<ModelKey, Model>,
    services: &Arena<ServiceKey, Service>,
) -> Target {
    Target {
        name: name.clone(),
        instance: name.clone(),
        kind: read_kind(r, models, services),
        address: r.required("address", UNSPECIFIED_ADDRESS),
        domain: read_domain(r, domains),
        slots: r.integer("slots", 8, 1..=10_000) as u32,
        prefill_tokens_per_second: r.integer("prefill_tokens_per_second", 8_000, 1..=10_000_000)
            as u32,
        link_bytes_per_second: Bytes(r.integer("link_bytes_per_second", 1_000 * MIB, 1..=u64::MAX)),
        checks_fencing: r.choice("checks_fencing", &[("no", false), ("yes", true)]),
        leaving: false,
        version: None,
        software: None,
        cold_until: None,
        retired: false,
    }
}

pub(super) fn store(name: &Arc<str>, r: &mut SectionReader<'_>, domains: &mut Domains) -> Store {
    Store {
        name: name.clone(),
        address: r.required("address", UNSPECIFIED_ADDRESS),
        domain: read_domain(r, domains),
        link_bytes_per_second: Bytes(r.integer("link_bytes_per_second", 1_000 * MIB, 1..=u64::MAX)),
        transfer_delay: Duration::from_micros(r.integer("transfer_delay_us", 0, 0..=10_000_000)),
        disk_bytes_per_second: Bytes(r.integer("disk_bytes_per_second", 500 * MIB, 1..=u64::MAX)),
        capacity: Bytes(r.integer("capacity_bytes", 64 << 30, 1..=u64::MAX)),
        stores_parts: r.choice("keeps", &[("blocks", false), ("parts", true)]),
        waiting_readers: r.integer("waiting_readers", 12, 1..=100_000) as u32,
        retired: false,
    }
}

pub(super) fn preset(name: &Arc<str>, r: &mut SectionReader<'_>) -> Preset {
    Preset {
        name: name.clone(),
        first_token_weight: r.non_negative("first_token_weight", 1.0),
        recompute_weight: r.non_negative("recompute_weight", 0.1),
        link_weight: r.non_negative("link_weight", 0.1),
        domain_traffic_weight: r.non_negative("domain_traffic_weight", 0.0),
        warm_material: r.choice("warm_material", &[("no", false), ("yes", true)]),
        queue: r.integer("queue", 256, 0..=100_000) as usize,
    }
}

pub(super) fn route(
    name: &Arc<str>,
    r: &mut SectionReader<'_>,
    models: &Arena<ModelKey, Model>,
    services: &Arena<ServiceKey, Service>,
) -> Route {
    let classes = [
        ("once", CallClass::Once),
        ("repeatable", CallClass::Repeatable),
        ("stream", CallClass::Stream),
        ("resumable-stream", CallClass::ResumableStream),
    ];
    let host: String = r.required("host", String::new());
    let prefix: String = r.required("prefix", String::new());
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let hint = "begin and end the prefix with a slash";
        r.reject("prefix", format!("`{prefix}` is no prefix of paths"), hint);
    }
    Route {
        name: name.clone(),
        host: host.to_ascii_lowercase().into(),
        prefix: prefix.into(),
        class: r.choice("class", &classes),
        timeout: r.millis("timeout_ms", 5_000, 1..=3_600_000),
        latency_objective: r.millis("objective_ms", 1_000, 1..=3_600_000),
        event_gap: r.millis("event_gap_ms", 1_000, 1..=3_600_000),
        urgency: Urgency(r.integer("urgency", 5, 0..=255) as u8),
        max_attempts: r.integer("attempts", 1, 1..=255) as u8,
        public: r.choice("public", &[("no", false), ("yes", true)]),
        allowed_regions: r.list("allowed_regions"),
        split: read_split(r, models, services),
    }
}

/// Reads `NAME:WEIGHT, …`; each name is a model or a plain service, and the weight defaults to 1.
fn read_split(
    r: &mut SectionReader<'_>,
    models: &Arena<ModelKey, Model>,
    services: &Arena<ServiceKey, Service>,
) -> SmallVec<[WeightedKind; 2]> {
    let find = |name: &str| {
        let model = models.iter().find(|(_, m)| &*m.name == name);
        let service = || services.iter().find(|(_, s)| &*s.name == name);
        let model = model.map(|(key, _)| TargetKind::Engine(key));
        model.or_else(|| service().map(|(key, _)| TargetKind::Service(key)))
    };
    let mut split = SmallVec::new();
    for item in r.list("to") {
        let (name, weight) = item.rsplit_once(':').unwrap_or((&item, "1"));
        match (find(name.trim()), weight.trim().parse()) {
            (Some(kind), Ok(weight)) => split.push(WeightedKind { kind, weight }),
            (None, _) => {
                let hint = "declare a model or service of that name";
                r.reject("to", format!("`{name}` names nothing that is declared"), hint);
            }
            (_, Err(_)) => {
                r.reject("to", format!("`{weight}` is no weight"), "write NAME:WEIGHT, …");
            }
        }
    }
    if split.is_empty() {
        r.reject(
            "to",
            "the route has no model or service".into(),
            "add `to = NAME` of a model or service",
        );
    }
    split
}

/// Lists the keys that each reader requests from an empty section.
pub(super) fn reference() -> Vec<SectionReference> {
    let name: Arc<str> = "NAME".into();
    let (accounts, models, services) = (Arena::new(), Arena::new(), Arena::new());
    let mut domains = Domains::new();
    vec![
        section_reference("deployment", |r| drop(deployment(r))),
        section_reference("account", |r| drop(account(&name, r))),
        section_reference("material", |r| drop(material(&name, r, &accounts, &models))),
        section_reference("preset", |r| drop(preset(&name, r))),
        section_reference("model", |r| drop(model(&name, r))),
        section_reference("service", |r| drop(service(&name, r))),
        section_reference("target", |r| drop(target(&name, r, &mut domains, &models, &services))),
        section_reference("store", |r| drop(store(&name, r, &mut domains))),
        section_reference("route", |r| drop(route(&name, r, &models, &services))),
    ]
}

fn section_reference(
    kind: &'static str,
    read: impl FnOnce(&mut SectionReader<'_>),
) -> SectionReference {
    let section = Section {
        file: "reference".into(),
        line: 1,
        kind: kind.into(),
        name: "".into(),
        entries: Vec::new(),
    };
    let mut problems = Problems::default();
    let mut r = SectionReader::new(&section, &mut problems);
    read(&mut r);
    SectionReference { kind, keys: r.finish() }
}

fn read_digests(r: &mut SectionReader<'_>) -> Vec<Digest> {
    let mut digests = Vec::new();
    for text in r.list("key_digests") {
        match text.parse() {
            Ok(digest) => digests.push(digest),
            Err(e) => {
                r.reject("key_digests", format!("bad digest: {e}"), "run `cumintrail hash-key`");
            }
        }
    }
    if digests.is_empty() {
        r.reject(
            "key_digests",
            "the account has no API key".into(),
            "add key_digests, made by `cumintrail hash-key`",
        );
    }
    digests
}

fn read_kind(
    r: &mut SectionReader<'_>,
    models: &Arena<ModelKey, Model>,
    services: &Arena<ServiceKey, Service>,
) -> TargetKind {
    match (r.text("model"), r.text("service")) {
        (Some(_), None) => {
            TargetKind::Engine(resolve_name(r, "model", models.iter().map(|(k, m)| (k, &m.name))))
        }
        (None, Some(_)) => TargetKind::Service(resolve_name(
            r,
            "service",
            services.iter().map(|(k, s)| (k, &s.name)),
        )),
        _ => {
            r.reject(
                "model",
                "a target serves one model or one service".into(),
                "give either `model` or `service`",
            );
            TargetKind::Engine(ModelKey(0))
        }
    }
}

fn read_domain(r: &mut SectionReader<'_>, domains: &mut Domains) -> DomainKey {
    let name: String = r.required("failure_domain", String::new());
    let known = domains.iter().find(|(_, n)| ***n == *name).map(|(k, _)| k);
    known.unwrap_or_else(|| domains.push(name.into()))
}

fn resolve_name<'n, K: Key>(
    r: &mut SectionReader<'_>,
    key: &'static str,
    choices: impl Iterator<Item = (K, &'n Arc<str>)>,
) -> K {
    let wanted: String = r.required(key, String::new());
    let choices: Vec<(K, &Arc<str>)> = choices.collect();
    if let Some((found, _)) = choices.iter().find(|(_, name)| ***name == *wanted) {
        return *found;
    }
    let names: Vec<&str> = choices.iter().map(|(_, name)| &***name).collect();
    if !wanted.is_empty() {
        r.reject(
            key,
            format!("`{key} = {wanted}` names nothing that is declared"),
            &suggest(&wanted, &names),
        );
    }
    K::from_index(0)
}
